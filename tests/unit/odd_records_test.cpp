/// Records of another writer: each decoder of the store's records rejects what it cannot use, and its process goes on.
#include "gateway/crash_records.hpp"
#include "gateway/entry_directory.hpp"
#include "gateway/origin_archive.hpp"
#include "gateway/version_history.hpp"
#include "platform/batch_call.hpp"
#include "platform/instance_list.hpp"
#include "platform/records.hpp"
#include "platform/store_client.hpp"

#include <criterion/criterion.h>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

using namespace bilberryseam;
using nlohmann::json;

namespace {
/// As deep as a record of the store allows.
constexpr size_t depth = 130000;

std::string nestedArrays()
{
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string nestedObjects()
{
    std::string text;
    for (size_t i = 0; i < depth / 4; ++i)
        text += R"({"a":)";
    return text + "1" + std::string(depth / 4, '}');
}

const std::string targetText = R"({"service":"s","address":"127.0.0.1:80","zone":"z","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"born":1700000000000,"seq":1})";
const std::string entryText = R"({"peerListen":"127.0.0.1:80","weight":1,"startedAtMs":5,"failureDomain":"z"})";
const std::string reportText = R"({"kind":"report","id":1,"target":2,"ageMs":3,"segments":[[4,5]],"writtenAtMs":6})";
const std::string verdictText = R"({"kind":"verdict","segment":1,"companions":[2],"crashes":3,"ageMs":4,"trials":0,"nextTrialMs":5,"writtenAtMs":6})";
const std::string survivalText = R"({"kind":"survival","segment":1,"ageMs":4,"writtenAtMs":6})";
const std::string versionText = R"({"versions":["v1"],"changedAtMs":5})";
const std::string originsText = R"({"service":"s","writtenAtMs":5,"streams":[[1,"v1",2,3]]})";

/// A decoder and a record that it accepts.
struct decoder_case {
    const char* name;
    std::string sound;
    /// @return Whether the decoder accepts a record.
    std::function<bool(const std::string&)> accepts;
};

std::vector<decoder_case> decoders()
{
    const auto crash = [](const std::string& text) { return gateway::decodeCrashRecord("k", text).has_value(); };
    return {
        { "target", targetText, [](const std::string& text) { return platform::decodeTarget("t-1", text).has_value(); } },
        { "entry", entryText, [](const std::string& text) { return gateway::entry_record::decode("e-1", text).has_value(); } },
        { "crash report", reportText, crash },
        { "segment verdict", verdictText, crash },
        { "segment survival", survivalText, crash },
        { "versions", versionText, [](const std::string& text) { return gateway::detail::decodeVersionRecord("s", text).has_value(); } },
        { "origins", originsText, [](const std::string& text) { return gateway::detail::decodeArchivedOrigins(text).has_value(); } },
    };
}

/// @return The sound record with one field replaced by a JSON text.
std::string withField(const std::string& sound, const std::string& name, const std::string& value)
{
    json document = json::parse(sound);
    document[name] = "PLACE";
    std::string text = document.dump();
    text.replace(text.find("\"PLACE\""), std::string("\"PLACE\"").size(), value);
    return text;
}
}

Test(odd_records, a_sound_record_is_accepted)
{
    for (const auto& decoder : decoders())
        cr_assert(decoder.accepts(decoder.sound), "%s", decoder.name);
}

// Guards against processes that end on a deeply nested record of another writer.
Test(odd_records, deeply_nested_records_are_rejected)
{
    for (const auto& decoder : decoders()) {
        cr_assert(!decoder.accepts(nestedArrays()), "%s", decoder.name);
        cr_assert(!decoder.accepts(nestedObjects()), "%s", decoder.name);
        cr_assert(!decoder.accepts(std::string(depth, '[')), "%s", decoder.name);
        const json sound = json::parse(decoder.sound);
        for (const auto& [name, value] : sound.items()) {
            // Whether it is accepted depends on the field: some are not read.
            static_cast<void>(decoder.accepts(withField(decoder.sound, name, nestedArrays())));
            static_cast<void>(decoder.accepts(withField(decoder.sound, name, nestedObjects())));
        }
    }
    cr_assert(!platform::decodeConfiguration(nestedArrays()).has_value());
    cr_assert(!platform::decodeConfiguration(R"({"version":1,"routes":)" + nestedArrays() + R"(,"services":[]})").has_value());
    cr_assert(!platform::decodeTaskResults(R"({"items":)" + nestedArrays() + "}", 1).has_value());
    cr_assert(!platform::decodePoolReport(nestedArrays()).has_value());
    cr_assert(!platform::detail::decodeNewestResponse(R"({"items":)" + nestedArrays() + R"(,"end":1})").isOk);
    cr_assert(!platform::detail::isLeaving(nestedArrays()));
}

// Guards against numbers that are cut to another value instead of rejected.
Test(odd_records, numbers_out_of_range_are_rejected)
{
    for (const char* number : { "1e999", "-1", "1e300", "18446744073709551616", "99999999999999999999999999", "0.5", "\"8\"", "null", "[8]", "{}" }) {
        cr_assert(!platform::decodeTarget("t-1", withField(targetText, "slots", number)).has_value(), "slots %s", number);
        const std::string text = number;
        if (text != "null")
            cr_assert(!platform::decodeTarget("t-1", withField(targetText, "born", number)).has_value(), "born %s", number);
        cr_assert(!gateway::entry_record::decode("e-1", withField(entryText, "startedAtMs", number)).has_value(), "startedAtMs %s", number);
        cr_assert(!gateway::decodeCrashRecord("k", withField(survivalText, "ageMs", number)).has_value(), "ageMs %s", number);
        cr_assert(!gateway::decodeCrashRecord("k", withField(survivalText, "writtenAtMs", number)).has_value(), "writtenAtMs %s", number);
        cr_assert(!gateway::decodeCrashRecord("k", withField(verdictText, "crashes", number)).has_value(), "crashes %s", number);
    }
    cr_assert(!platform::decodeTarget("t-1", withField(targetText, "slots", "0")).has_value());
    cr_assert(!platform::decodeTarget("t-1", withField(targetText, "slots", "4294967297")).has_value());
    cr_assert(!platform::decodeTarget("t-1", withField(targetText, "born", "9223372036854775807")).has_value());
    for (const char* weight : { "1e999", "-1", "0", "1e300", "\"1\"", "null" })
        cr_assert(!gateway::entry_record::decode("e-1", withField(entryText, "weight", weight)).has_value(), "weight %s", weight);
}

Test(odd_records, ports_out_of_range_are_rejected)
{
    for (const char* port : { "0", "65536", "70000", "99999999999999999999", "-1", "+80", "", "80 ", "8e1" }) {
        const std::string address = "\"127.0.0.1:" + std::string(port) + "\"";
        cr_assert(!platform::decodeTarget("t-1", withField(targetText, "address", address)).has_value(), "port %s", port);
        cr_assert(!gateway::entry_record::decode("e-1", withField(entryText, "peerListen", address)).has_value(), "port %s", port);
        cr_assert(!platform::holderOf("127.0.0.1:" + std::string(port) + "/abc"), "port %s", port);
    }
}

// The identifier of a target is sent in a header field.
Test(odd_records, identifiers_that_no_header_field_can_hold_are_rejected)
{
    for (const std::string& id : { std::string(), std::string("t\r\nX-Tenant: other"), std::string("t\n"), std::string("t\0x", 3), std::string("\xff\xfe"), std::string("t 1") })
        cr_assert(!platform::decodeTarget(id, targetText).has_value(), "identifier of %zu bytes", id.size());
    cr_assert(platform::decodeTarget("i-7f3a91c2", targetText).has_value());
    cr_assert(platform::decodeTarget("north.rack_4:engine/2", targetText).has_value());
}

Test(odd_records, truncated_records_are_rejected)
{
    for (const auto& decoder : decoders()) {
        for (size_t size = 0; size < decoder.sound.size(); ++size)
            cr_assert(!decoder.accepts(decoder.sound.substr(0, size)), "%s, %zu bytes", decoder.name, size);
    }
}
