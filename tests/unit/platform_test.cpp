/// The platform's words, decoded and encoded.
#include "gateway/event_stream.hpp"
#include "platform/batch_call.hpp"
#include "platform/ingress.hpp"
#include "platform/log_client.hpp"
#include "platform/records.hpp"
#include "platform/topic_follower.hpp"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>
#include <random>

using namespace bilberryseam;
using namespace bilberryseam::platform;

namespace {
const std::string configuration = R"({"version":7,"routes":[
  {"name":"r-1","host":"a.example","path_prefix":"/p/","kind":"streaming","timeout_ms":12000,"target_latency_ms":1500,"priority":1,"traffic_split":[{"service":"s-1","weight":90},{"service":"s-2","weight":10}],"max_attempts":1,"stages":[{"service":"s-3","after":[],"bytes":3000000},{"service":"s-4","after":[0],"bytes":10}],"public":false,"sticky":true,"resumable":true,"gap_aim_ms":250},
  {"name":"r-2","host":"a.example","path_prefix":"/q/","kind":"something new","timeout_ms":2500.0,"service":"s-2","public":true}],
  "services":[{"name":"s-1","health_path":"/healthz","max_conns":360,"engine":{"slots":64,"kv_capacity_tokens":566282}},{"name":"s-3","pieces":{"slots":1,"queue":2,"batch":8,"call_ms":150.0,"item_ms":16.0,"headroom_mb":36.0,"handle_s":4.0}}],
  "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
  "tenants":[{"name":"acme","api_keys":["k1","k2"],"priority":1}]})";

http1::request_head headOf(http1::header_list headers)
{
    headers.emplace_back("Host", "a.example:8080");
    return { "POST", "/p/1", std::move(headers) };
}
}

Test(platform_records, a_configuration_is_decoded_as_a_whole)
{
    const auto state = decodeConfiguration(configuration).value();
    cr_assert_eq(state.version, 7u);
    const auto* route = deployment::matchRoute(state, "a.example", "/p/x");
    cr_assert(route && route->kind == deployment::call_kind::Streaming && route->isResumable && route->isRetryable());
    cr_assert_eq(route->timeout, milliseconds(12000));
    cr_assert_eq(route->stages.size(), 2u);
    cr_assert_eq(deployment::finalStages(*route), std::vector<size_t> { 1 });
    const auto* other = deployment::matchRoute(state, "a.example", "/q/x");
    cr_assert(other && other->kind == deployment::call_kind::NonIdempotent && other->isPublic, "an unknown kind is handled with the most care");
    cr_assert_eq(other->objective, milliseconds(2500));
    cr_assert_eq(state.accountsByApiKey.at("k2").name, "acme");
    cr_assert_eq(state.accountsByApiKey.at("k2").priority.value_or(-1), 1);
    const auto& pool = *state.services.at("s-3").pool;
    cr_assert_eq(pool.batchSize, 8);
    cr_assert_eq(pool.expectedCallTime(8), milliseconds(278));
    cr_assert_eq(pool.resultLifetime, milliseconds(4000));
    cr_assert(!deployment::matchRoute(state, "a.example", "/p"));
}

Test(platform_records, weights_decide_the_service)
{
    const auto state = decodeConfiguration(configuration).value();
    std::mt19937_64 random(1);
    int first = 0;
    for (int i = 0; i < 10000; ++i)
        first += deployment::pickService(state.routes[0], random()) == "s-1" ? 1 : 0;
    cr_assert(first > 8800 && first < 9200, "%d", first);
}

Test(platform_records, what_cannot_be_read_is_an_error_and_never_a_crash)
{
    cr_assert(!decodeConfiguration("{}"));
    cr_assert(!decodeConfiguration("not json"));
    cr_assert(!decodeConfiguration(R"({"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/","kind":"idempotent","service":"s","stages":[{"service":"s","after":[0]}]}],"services":[]})"), "a stage that waits for itself");
    cr_assert(!decodeTarget("t", R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":1,"state":"resting"})"));
    cr_assert(!decodeTarget("t", R"({"service":"s","address":"nowhere","zone":"a","slots":1,"state":"ready"})"));
    cr_assert(!decodeTarget("t", R"({"service":"s","address":"10.0.0.1:80","zone":"a","state":"ready"})"));
    std::mt19937 random(5);
    for (int i = 0; i < 3000; ++i) {
        std::string text = configuration;
        for (int k = 0; k < 3; ++k)
            text[random() % text.size()] = static_cast<char>(random() % 256);
        static_cast<void>(decodeConfiguration(text));
        static_cast<void>(decodeTarget("t", text));
        static_cast<void>(decodeTaskResults(text, 2));
        static_cast<void>(platform::detail::decodeReadResponse(text));
        static_cast<void>(platform::detail::decodeNewestResponse(text));
        static_cast<void>(platform::detail::decodeKeyedRecord(text));
        static_cast<void>(platform::detail::decodeStreamRecord(0, text));
        static_cast<void>(platform::detail::decodeBase64(text));
    }
}

Test(platform_records, keyed_records_survive_the_way_there_and_back)
{
    using namespace platform::detail;
    const std::string records[] { encodeKeyedRecord("k", "value"), encodeKeyedRecord("gone", ""), "" };
    const std::string bytes = encodeBigEndian(12, 8) + encodeBigEndian(9, 8) + encodeRecords(records);
    const auto slice = decodeReadResponse(bytes);
    cr_assert(slice.outcome == platform::read_outcome::Ok);
    cr_assert_eq(slice.nextOffset, 12u);
    cr_assert_eq(slice.oldestOffset, 9u);
    cr_assert_eq(slice.records.size(), 3u);
    cr_assert_eq(decodeKeyedRecord(slice.records[0]).key, "k");
    cr_assert_eq(decodeKeyedRecord(slice.records[0]).value.value(), "value");
    cr_assert_eq(decodeKeyedRecord(slice.records[1]).key, "gone");
    cr_assert(!decodeKeyedRecord(slice.records[1]).value);
    cr_assert(decodeKeyedRecord(slice.records[2]).key.empty(), "an unreadable record keeps its place");
    cr_assert(decodeReadResponse(bytes.substr(0, bytes.size() - 1)).outcome == platform::read_outcome::Malformed, "a truncated answer is not half an answer");
}

Test(platform_records, a_read_that_was_held_to_its_end_tells_all_until_then)
{
    using platform::detail::freshAsOf;
    constexpr time_point sent { seconds(1000) };
    constexpr milliseconds held { 2000 };
    const auto fresh = freshAsOf(sent, sent + milliseconds(2010), held, true);
    cr_assert(fresh > sent + milliseconds(1900) && fresh < sent + held);
    cr_assert(freshAsOf(sent, sent + seconds(9), held, true) == fresh, "an answer that was late on its way tells no more");
    cr_assert(freshAsOf(sent, sent + milliseconds(1500), held, true) == sent, "a read that ended early tells only what was known at first");
    cr_assert(freshAsOf(sent, sent + milliseconds(2010), held, false) == sent, "a record may have been there at once");
    cr_assert(freshAsOf(sent, sent + milliseconds(5), milliseconds(0), true) == sent);
}

Test(platform_records, stream_records_keep_their_writer_s_time)
{
    using namespace platform::detail;
    const platform::stream_record record = decodeStreamRecord(7, encodeStreamRecord(1234567890123, "text"));
    cr_assert_eq(record.offset, 7u);
    cr_assert_eq(record.appendedMs, 1234567890123);
    cr_assert_eq(record.text, "text");
    cr_assert_eq(decodeStreamRecord(8, "short").text, "", "an unreadable record has no text");
}

Test(platform_ingress, a_request_is_decoded)
{
    const auto request = decodeRequest(headOf({ { "X-Attempt-Id", "id" }, { "X-Deadline-Ms", "2000" }, { "X-Api-Key", "k" }, { "X-Model", "m" }, { "X-Token-Counts", "1460,80" }, { "X-Prompt-Prefix", "5c:800, 91:410,e4:250" }, { "X-Pieces", "2,0,16" }, { "X-Piece-Key", "pk" } })).value();
    cr_assert_eq(request.id, "id");
    cr_assert_eq(request.host, "a.example");
    cr_assert_eq(request.deadline, milliseconds(2000));
    cr_assert_eq(request.generation->promptTokens, 1460u);
    cr_assert_eq(request.generation->segments.size(), 3u);
    cr_assert_eq(request.generation->segments[1].tokens, 410u);
    cr_assert_eq(request.taskCounts, (std::vector<uint32_t> { 2, 0, 16 }));
}

Test(platform_ingress, what_is_ambiguous_is_refused)
{
    cr_assert(!decodeRequest(headOf({})), "no identifier");
    cr_assert(!decodeRequest(headOf({ { "X-Attempt-Id", "a" }, { "X-Attempt-Id", "b" } })));
    cr_assert(!decodeRequest(headOf({ { "X-Attempt-Id", "a" }, { "Host", "other" } })));
    cr_assert(!decodeRequest(headOf({ { "X-Attempt-Id", "a" }, { "X-Deadline-Ms", "soon" } })));
    cr_assert(!decodeRequest(headOf({ { "X-Attempt-Id", "a" }, { "X-Api-Key", "k" }, { "X-Api-Key", "l" } })));
    cr_assert(!decodeRequest({ "GET", "http://a.example/p/1", { { "Host", "a.example" }, { "X-Attempt-Id", "a" } } }));
}

Test(platform_stages, pieces_and_their_answers)
{
    const std::vector<std::string> inputs { "10.0.0.1:80/a" };
    const std::vector<task_request> pieces { { "id", 0, 2, milliseconds(900), "key", {} }, { "id", 1, 0, milliseconds(0), "key", inputs } };
    const auto encoded = nlohmann::json::parse(encodeBatchCall(pieces));
    cr_assert_eq(encoded["items"][0]["key"], "key");
    cr_assert(!encoded["items"][0].contains("inputs"));
    cr_assert_eq(encoded["items"][1]["inputs"][0], "10.0.0.1:80/a");
    cr_assert(!encoded["items"][1].contains("key"));
    const auto answers = decodeTaskResults(R"({"items":[{"handle":"h"},{"reason":"room"}]})", 2).value();
    cr_assert_eq(answers[0].handle, "h");
    cr_assert_eq(answers[1].failure, task_failure::NoMemory);
    cr_assert(!decodeTaskResults(R"({"items":[{"handle":"h"}]})", 2), "an answer for another number of pieces is none");
}

Test(event_stream, whole_events_pass_once_and_in_order)
{
    gateway::event_stream events;
    std::string out;
    cr_assert_eq(events.append("id: 1\ndata: a\n\nid: 2\nda", out), gateway::event_stream::state::Good);
    cr_assert_eq(out, "id: 1\ndata: a\n\n");
    cr_assert(!events.isAtBoundary());
    events.restart();
    out.clear();
    cr_assert_eq(events.append("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", out), gateway::event_stream::state::Good);
    cr_assert_eq(out, "id: 2\ndata: b\n\n");
    cr_assert_eq(events.lastId(), "2");
    cr_assert_eq(events.append("id: 4\n\n", out), gateway::event_stream::state::Gap);
}

Test(event_stream, any_split_of_the_bytes_gives_the_same_events)
{
    std::string whole;
    for (int i = 1; i <= 20; ++i)
        whole += "id: " + std::to_string(i) + "\ndata: x" + std::string(static_cast<size_t>(i), 'y') + "\n\n";
    std::mt19937 random(2);
    for (int round = 0; round < 200; ++round) {
        gateway::event_stream events;
        std::string out;
        for (size_t at = 0; at < whole.size();) {
            const size_t size = 1 + random() % 17;
            cr_assert_eq(events.append(std::string_view(whole).substr(at, size), out), gateway::event_stream::state::Good);
            at += size;
        }
        cr_assert_eq(out, whole);
    }
}
