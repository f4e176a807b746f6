/// Records of another writer among those of the targets: a gateway goes on, and follows the list.
#include "support/deployment_fixture.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
/// @return The record of a sound target with one field replaced by a JSON text.
std::string recordWith(const std::string& address, const std::string& name, const std::string& value, const std::string& service = "pages")
{
    json record { { "service", service }, { "address", address }, { "zone", "north-1" }, { "version", "v1" }, { "slots", 4 }, { "state", "ready" }, { "cold_left_ms", 0 }, { "born", 1700000000000 }, { "seq", 1 } };
    record[name] = "PLACE";
    std::string text = record.dump();
    text.replace(text.find("\"PLACE\""), std::string("\"PLACE\"").size(), value);
    return text;
}

/// @param unusedAddress  Address of no target, for records that are odd only in a field which a target may lack.
std::vector<std::string> oddRecords(const std::string& address, const std::string& unusedAddress)
{
    const std::string nested = std::string(100000, '[') + std::string(100000, ']');
    std::vector<std::string> records { nested, std::string(200000, '['), std::string(200000, '{'), "\xff\xfe", "null", "7", "\"text\"", "{}" };
    for (const char* name : { "service", "address", "zone", "slots", "state", "born", "version", "cold_left_ms", "seq" }) {
        const std::string field = name;
        const bool isOptional = field == "version" || field == "cold_left_ms" || field == "seq";
        for (const std::string& value : { nested, std::string("1e999"), std::string("1e300"), std::string("-1"), std::string("99999999999999999999999"), std::string("\"\\ud800\"") })
            records.push_back(recordWith(isOptional ? unusedAddress : address, name, value, isOptional ? "other" : "pages"));
    }
    for (const char* port : { "0", "65536", "4294967376", "-80", "" })
        records.push_back(recordWith(address, "address", "\"127.0.0.1:" + std::string(port) + "\""));
    return records;
}
}

// Guards against gateways that end, or stop following the list, on a record that they cannot use.
Test(gateway_odd_records, odd_records_end_no_gateway_and_hide_no_target)
{
    deployment_fixture deployment(403);
    auto& first = deployment.addTarget("t-1", "pages");
    const std::string address = first.endpoint().toString();
    const auto records = oddRecords(address, deployment.allocateAddress().toString());
    for (size_t i = 0; i < records.size(); ++i)
        deployment.store().put("keyed.servers", "odd-" + std::to_string(i), records[i]);
    deployment.configure(3, { deployment.route("/p/", "idempotent", "pages") });
    deployment.startGateway();
    deployment.waitUntilReady();
    cr_assert_eq(deployment.sendAndWait("GET", "/p/1")->head.status, 200);

    // While the gateway follows the list.
    for (size_t i = 0; i < records.size(); ++i)
        deployment.store().put("keyed.servers", "odd-" + std::to_string(i), records[records.size() - 1 - i]);
    deployment.store().put("keyed.servers", "t\r\nX-Tenant: other", recordWith(address, "slots", "4"));
    auto& second = deployment.addTarget("t-2", "pages");
    deployment.unlistTarget("t-1");
    deployment.waitUntil([&] { return deployment.sendAndWait("GET", "/p/1")->body == "t-2"; }, "the new target");
    for (int i = 0; i < 10; ++i)
        cr_assert_eq(deployment.sendAndWait("GET", "/p/1")->body, "t-2");
    cr_assert(!deployment.hasExited(0));
    for (const auto& request : second.requests())
        cr_assert(!http1::findHeader(request.head.headers, "X-Tenant"));
}

Test(gateway_odd_records, an_odd_record_in_place_of_a_sound_one_names_no_target)
{
    deployment_fixture deployment(404);
    auto& first = deployment.addTarget("t-1", "pages");
    deployment.addTarget("t-2", "pages");
    deployment.configure(3, { deployment.route("/p/", "idempotent", "pages") });
    deployment.startGateway();
    deployment.waitUntilReady();
    deployment.store().put("keyed.servers", "t-1", recordWith(first.endpoint().toString(), "slots", "1e300"));
    deployment.runLoopFor(milliseconds(1500));
    const size_t before = first.requests().size();
    for (int i = 0; i < 10; ++i)
        cr_assert_eq(deployment.sendAndWait("GET", "/p/1")->body, "t-2");
    cr_assert_eq(first.requests().size(), before);
    deployment.listTarget(first, "pages");
    deployment.waitUntil([&] { return deployment.sendAndWait("GET", "/p/1")->body == "t-1"; }, "the target whose record is sound again");
}
