/// Cold times in records and responses, and what the target registry keeps of them.
#include "gateway/target_registry.hpp"
#include "platform/ingress.hpp"
#include "platform/records.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::platform;

namespace {
constexpr time_point start { seconds(1000) };

deployment::target targetWith(const std::string& fields)
{
    return decodeTarget("t-1", R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":8,"state":"ready")" + fields + "}").value();
}

stated_cold coldOf(std::initializer_list<const char*> values, unsigned status = 200)
{
    http1::response_head head;
    head.status = status;
    for (const char* value : values)
        head.headers.emplace_back("X-Cold-Ms", value);
    return decodeCold(head);
}

gateway::target_registry makeRegistry()
{
    return gateway::target_registry([](const gateway::target_state&, std::string_view) {});
}
}

Test(cold_decoding, cold_times_in_records_are_bounded)
{
    cr_assert_eq(targetWith("").cold, deployment::cold_statement());
    cr_assert_eq(targetWith(R"(,"cold_left_ms":5900.5,"seq":7)").cold, (deployment::cold_statement { milliseconds(5900), 7, false }));
    cr_assert_eq(targetWith(R"(,"cold_left_ms":1e300)").cold, (deployment::cold_statement { longestColdTime, 0, true }));
    for (const char* value : { "-1", "\"5900\"", "null", "[]", "true" })
        cr_assert_eq(targetWith(std::string(R"(,"cold_left_ms":)") + value).cold, (deployment::cold_statement { milliseconds(0), 0, true }), "%s", value);
}

Test(cold_decoding, cold_rates_of_services_are_bounded_and_never_invalidate_a_configuration)
{
    const auto rateOf = [](const std::string& fields) {
        const auto configuration = decodeConfiguration(R"({"version":1,"routes":[],"services":[{"name":"s")" + fields + "}]}");
        return deployment::coldRateOf(configuration.value(), "s");
    };
    cr_assert_eq(rateOf(""), 0);
    cr_assert_eq(rateOf(R"(,"cold_start_s":8.0,"cold_per_s":5.9)"), 5.9);
    for (const char* value : { "0", "-3", "\"many\"", "null", "{}" })
        cr_assert_eq(rateOf(std::string(R"(,"cold_per_s":)") + value), 0, "%s", value);
    cr_assert_eq(rateOf(R"(,"cold_per_s":1e300)"), 1e6);
}

Test(cold_decoding, cold_times_in_responses_are_bounded)
{
    cr_assert_eq(coldOf({ "1500" }).left, milliseconds(1500));
    cr_assert_eq(coldOf({ "0" }).left, milliseconds(0));
    cr_assert_eq(coldOf({ "1e9", "5" }).left, std::nullopt);
    cr_assert_eq(coldOf({ "99999999999999999999" }).left, longestColdTime);
    cr_assert(coldOf({ "99999999999999999999" }).isTooLong);
    for (const char* value : { "-1", "nan", "inf", "soon", "", "1,2" }) {
        cr_assert_eq(coldOf({ value }).left, std::nullopt, "%s", value);
        cr_assert(coldOf({ value }).text.has_value());
    }
    cr_assert_not(coldOf({ "1500" }, http1::statusMisdirected).text.has_value(), "another target answered a misdirected request");
}

Test(cold_decoding, a_repeated_record_is_no_new_statement)
{
    auto registry = makeRegistry();
    registry.apply(targetWith(R"(,"cold_left_ms":5000,"seq":1)"), start);
    const auto target = registry.ofService("s").front();
    cr_assert_eq(registry.takeColdTargets().size(), size_t { 1 });
    cr_assert_eq(target->coldStart.until, start + seconds(5));
    registry.applyAll({ targetWith(R"(,"cold_left_ms":5000,"seq":1)") }, start + seconds(4));
    cr_assert_eq(target->coldStart.until, start + seconds(5), "a record that was read again lengthened the cold time");
    cr_assert(registry.isListed(targetWith(R"(,"cold_left_ms":5000,"seq":1)")));
    cr_assert_not(registry.isListed(targetWith(R"(,"cold_left_ms":5000,"seq":2)")), "peers would not learn that the target is cold again");
    registry.apply(targetWith(R"(,"cold_left_ms":5000,"seq":2)"), start + seconds(6));
    cr_assert_eq(target->coldStart.until, start + seconds(11));
    cr_assert(registry.isListed(targetWith(R"(,"cold_left_ms":5000,"seq":2)")));
}

Test(cold_decoding, heartbeats_of_a_warm_target_change_nothing)
{
    auto registry = makeRegistry();
    registry.apply(targetWith(R"(,"cold_left_ms":0,"seq":1)"), start);
    cr_assert(registry.isListed(targetWith(R"(,"cold_left_ms":0,"seq":2)")));
    registry.apply(targetWith(R"(,"cold_left_ms":0,"seq":2)"), start + seconds(1));
    cr_assert(registry.takeColdTargets().empty());
}

Test(cold_decoding, an_older_record_of_a_restarted_target_keeps_its_cold_time)
{
    auto registry = makeRegistry();
    registry.apply(targetWith(R"(,"born":2000,"cold_left_ms":8000,"seq":1)"), start);
    registry.apply(targetWith(R"(,"born":1000,"cold_left_ms":0,"seq":9)"), start + seconds(1));
    cr_assert_geq(registry.ofService("s").front()->coldStart.until, start + seconds(8));
    registry.apply(targetWith(R"(,"born":3000,"cold_left_ms":0,"seq":1)"), start + seconds(2));
    cr_assert_leq(registry.ofService("s").front()->coldStart.until, start + seconds(2), "a later start does not begin anew");
}
