/// Tests for the encoding and decoding of platform messages, and for the event stream of the gateway.
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
const std::string configurationText = R"({"version":7,"routes":[
  {"name":"r-1","host":"a.example","path_prefix":"/p/","kind":"streaming","timeout_ms":12000,"target_latency_ms":1500,"priority":1,"traffic_split":[{"service":"s-1","weight":90},{"service":"s-2","weight":10}],"max_attempts":1,"stages":[{"service":"s-3","after":[],"bytes":3000000},{"service":"s-4","after":[0],"bytes":10}],"public":false,"sticky":true,"resumable":true,"gap_aim_ms":250},
  {"name":"r-2","host":"a.example","path_prefix":"/q/","kind":"something new","timeout_ms":2500.0,"service":"s-2","public":true}],
  "services":[{"name":"s-1","health_path":"/healthz","max_conns":360,"engine":{"slots":64,"kv_capacity_tokens":566282}},{"name":"s-3","pieces":{"slots":1,"queue":2,"batch":8,"call_ms":150.0,"item_ms":16.0,"headroom_mb":36.0,"handle_s":4.0}}],
  "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
  "tenants":[{"name":"acme","api_keys":["k1","k2"],"priority":1}]})";

http1::request_head makeRequestHead(http1::header_list headers)
{
    headers.emplace_back("Host", "a.example:8080");
    return { "POST", "/p/1", std::move(headers) };
}
}

Test(platform_records, decodes_configuration)
{
    const auto configuration = decodeConfiguration(configurationText).value();
    cr_assert_eq(configuration.version, 7u);
    const auto* route = deployment::matchRoute(configuration, "a.example", "/p/x");
    cr_assert(route && route->kind == deployment::call_kind::Streaming && route->isResumable && route->isRetryable());
    cr_assert_eq(route->timeout, milliseconds(12000));
    cr_assert_eq(route->stages.size(), 2u);
    cr_assert_eq(deployment::finalStages(*route), std::vector<size_t> { 1 });
    const auto* secondRoute = deployment::matchRoute(configuration, "a.example", "/q/x");
    cr_assert(secondRoute && secondRoute->kind == deployment::call_kind::NonIdempotent && secondRoute->isPublic, "an unknown kind must be handled as non-idempotent");
    cr_assert_eq(secondRoute->objective, milliseconds(2500));
    cr_assert_eq(configuration.accountsByApiKey.at("k2").name, "acme");
    cr_assert_eq(configuration.accountsByApiKey.at("k2").priority.value_or(-1), 1);
    const auto& pool = *configuration.services.at("s-3").pool;
    cr_assert_eq(pool.batchSize, 8);
    cr_assert_eq(pool.expectedCallTime(8), milliseconds(278));
    cr_assert_eq(pool.resultLifetime, milliseconds(4000));
    cr_assert(!deployment::matchRoute(configuration, "a.example", "/p"));
}

Test(platform_records, service_is_picked_by_weight)
{
    const auto configuration = decodeConfiguration(configurationText).value();
    std::mt19937_64 random(1);
    int firstServiceCount = 0;
    for (int i = 0; i < 10000; ++i)
        firstServiceCount += deployment::pickService(configuration.routes[0], random()) == "s-1" ? 1 : 0;
    cr_assert(firstServiceCount > 8800 && firstServiceCount < 9200, "%d", firstServiceCount);
}

Test(platform_records, invalid_records_are_rejected_without_a_crash)
{
    cr_assert(!decodeConfiguration("{}"));
    cr_assert(!decodeConfiguration("not json"));
    cr_assert(!decodeConfiguration(R"({"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/","kind":"idempotent","service":"s","stages":[{"service":"s","after":[0]}]}],"services":[]})"), "a stage that depends on itself");
    cr_assert(!decodeTarget("t", R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":1,"state":"resting"})"));
    cr_assert(!decodeTarget("t", R"({"service":"s","address":"nowhere","zone":"a","slots":1,"state":"ready"})"));
    cr_assert(!decodeTarget("t", R"({"service":"s","address":"10.0.0.1:80","zone":"a","state":"ready"})"));
    std::mt19937 random(5);
    for (int i = 0; i < 3000; ++i) {
        std::string text = configurationText;
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

Test(platform_records, keyed_records_round_trip)
{
    using namespace platform::detail;
    const std::string records[] { encodeKeyedRecord("k", "value"), encodeKeyedRecord("gone", ""), "" };
    const std::string body = encodeBigEndian(12, 8) + encodeBigEndian(9, 8) + encodeRecords(records);
    const auto readResult = decodeReadResponse(body);
    cr_assert(readResult.outcome == platform::read_outcome::Ok);
    cr_assert_eq(readResult.nextOffset, 12u);
    cr_assert_eq(readResult.oldestOffset, 9u);
    cr_assert_eq(readResult.records.size(), 3u);
    cr_assert_eq(decodeKeyedRecord(readResult.records[0]).key, "k");
    cr_assert_eq(decodeKeyedRecord(readResult.records[0]).value.value(), "value");
    cr_assert_eq(decodeKeyedRecord(readResult.records[1]).key, "gone");
    cr_assert(!decodeKeyedRecord(readResult.records[1]).value);
    cr_assert(decodeKeyedRecord(readResult.records[2]).key.empty(), "an unreadable record must keep its position");
    cr_assert(decodeReadResponse(body.substr(0, body.size() - 1)).outcome == platform::read_outcome::Malformed, "no part of a truncated response may be used");
}

Test(platform_records, empty_long_poll_advances_freshness)
{
    using platform::detail::freshAsOf;
    constexpr time_point sentAt { seconds(1000) };
    constexpr milliseconds longPollWait { 2000 };
    const auto freshAfterEmptyPoll = freshAsOf(sentAt, sentAt + milliseconds(2010), longPollWait, true);
    cr_assert(freshAfterEmptyPoll > sentAt + milliseconds(1900) && freshAfterEmptyPoll < sentAt + longPollWait);
    cr_assert(freshAsOf(sentAt, sentAt + seconds(9), longPollWait, true) == freshAfterEmptyPoll, "a delayed response must not advance the freshness");
    cr_assert(freshAsOf(sentAt, sentAt + milliseconds(1500), longPollWait, true) == sentAt, "a long poll that ended early is fresh as of its start");
    cr_assert(freshAsOf(sentAt, sentAt + milliseconds(2010), longPollWait, false) == sentAt, "a read with records may have been answered at its start");
    cr_assert(freshAsOf(sentAt, sentAt + milliseconds(5), milliseconds(0), true) == sentAt);
}

Test(platform_records, stream_records_round_trip)
{
    using namespace platform::detail;
    const platform::stream_record record = decodeStreamRecord(7, encodeStreamRecord(1234567890123, "text"));
    cr_assert_eq(record.offset, 7u);
    cr_assert_eq(record.appendedMs, 1234567890123);
    cr_assert_eq(record.text, "text");
    cr_assert_eq(decodeStreamRecord(8, "short").text, "", "an unreadable record must have an empty text");
}

Test(platform_ingress, decodes_request)
{
    const auto request = decodeRequest(makeRequestHead({ { "X-Attempt-Id", "id" }, { "X-Deadline-Ms", "2000" }, { "X-Api-Key", "k" }, { "X-Model", "m" }, { "X-Token-Counts", "1460,80" }, { "X-Prompt-Prefix", "5c:800, 91:410,e4:250" }, { "X-Pieces", "2,0,16" }, { "X-Piece-Key", "pk" } })).value();
    cr_assert_eq(request.id, "id");
    cr_assert_eq(request.host, "a.example");
    cr_assert_eq(request.deadline, milliseconds(2000));
    cr_assert_eq(request.generation->promptTokens, 1460u);
    cr_assert_eq(request.generation->segments.size(), 3u);
    cr_assert_eq(request.generation->segments[1].tokens, 410u);
    cr_assert_eq(request.taskCounts, (std::vector<uint32_t> { 2, 0, 16 }));
}

Test(platform_ingress, ambiguous_and_incomplete_requests_are_rejected)
{
    cr_assert(!decodeRequest(makeRequestHead({})), "missing request identifier");
    cr_assert(!decodeRequest(makeRequestHead({ { "X-Attempt-Id", "a" }, { "X-Attempt-Id", "b" } })));
    cr_assert(!decodeRequest(makeRequestHead({ { "X-Attempt-Id", "a" }, { "Host", "other" } })));
    cr_assert(!decodeRequest(makeRequestHead({ { "X-Attempt-Id", "a" }, { "X-Deadline-Ms", "soon" } })));
    cr_assert(!decodeRequest(makeRequestHead({ { "X-Attempt-Id", "a" }, { "X-Api-Key", "k" }, { "X-Api-Key", "l" } })));
    cr_assert(!decodeRequest({ "GET", "http://a.example/p/1", { { "Host", "a.example" }, { "X-Attempt-Id", "a" } } }));
}

Test(platform_batch_call, encodes_tasks_and_decodes_results)
{
    const std::vector<std::string> inputs { "10.0.0.1:80/a" };
    const std::vector<task_request> tasks { { "id", 0, 2, milliseconds(900), "key", {} }, { "id", 1, 0, milliseconds(0), "key", inputs } };
    const auto document = nlohmann::json::parse(encodeBatchCall(tasks));
    cr_assert_eq(document["items"][0]["key"], "key");
    cr_assert(!document["items"][0].contains("inputs"));
    cr_assert_eq(document["items"][1]["inputs"][0], "10.0.0.1:80/a");
    cr_assert(!document["items"][1].contains("key"));
    const auto results = decodeTaskResults(R"({"items":[{"handle":"h"},{"reason":"room"}]})", 2).value();
    cr_assert_eq(results[0].handle, "h");
    cr_assert_eq(results[1].failure, task_failure::NoMemory);
    cr_assert(!decodeTaskResults(R"({"items":[{"handle":"h"}]})", 2), "a response with a different number of tasks must be rejected");
}

Test(event_stream, complete_events_are_forwarded_once_and_in_order)
{
    gateway::event_stream events;
    std::string output;
    cr_assert_eq(events.append("id: 1\ndata: a\n\nid: 2\nda", output), gateway::event_stream::state::Good);
    cr_assert_eq(output, "id: 1\ndata: a\n\n");
    cr_assert(!events.isAtBoundary());
    events.restart();
    output.clear();
    cr_assert_eq(events.append("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", output), gateway::event_stream::state::Good);
    cr_assert_eq(output, "id: 2\ndata: b\n\n");
    cr_assert_eq(events.lastId(), "2");
    cr_assert_eq(events.append("id: 4\n\n", output), gateway::event_stream::state::Gap);
}

Test(event_stream, output_does_not_depend_on_chunk_boundaries)
{
    std::string input;
    for (int i = 1; i <= 20; ++i)
        input += "id: " + std::to_string(i) + "\ndata: x" + std::string(static_cast<size_t>(i), 'y') + "\n\n";
    std::mt19937 random(2);
    for (int round = 0; round < 200; ++round) {
        gateway::event_stream events;
        std::string output;
        for (size_t position = 0; position < input.size();) {
            const size_t size = 1 + random() % 17;
            cr_assert_eq(events.append(std::string_view(input).substr(position, size), output), gateway::event_stream::state::Good);
            position += size;
        }
        cr_assert_eq(output, input);
    }
}

namespace {
result<deployment::target> targetOfVersion(const std::string& field)
{
    return decodeTarget("t", R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":1,"state":"ready")" + field + "}");
}

std::string versionOf(const std::string& text)
{
    return targetOfVersion(R"(,"version":")" + text + "\"").value().softwareVersion;
}
}

// Guards against long versions that all count as none, so that streams of different ones are joined (review/11).
Test(platform_records, versions_of_any_length_are_equal_only_if_their_texts_are)
{
    cr_assert_eq(versionOf("v1.2"), "v1.2");
    cr_assert_eq(targetOfVersion("").value().softwareVersion, "");
    for (const size_t length : { 63, 64, 65, 71, 135, 10000, 262000 }) {
        const std::string text(length, 'v');
        cr_assert_eq(versionOf(text), versionOf(text));
        cr_assert_neq(versionOf(text), versionOf(text.substr(1) + "w"), "%zu bytes", length);
        cr_assert_neq(versionOf(text), versionOf(text + "v"), "%zu bytes", length);
        cr_assert_leq(versionOf(text).size(), deployment::maxSoftwareVersionBytes);
        cr_assert_neq(versionOf(versionOf(text) + "v"), versionOf(text));
    }
    const std::string digest = versionOf(std::string(71, 'v'));
    cr_assert_neq(versionOf(digest), digest, "a version that is the digest of another one");
}

// The platform's pages: an entry with a field of another type names no target to use.
Test(platform_records, a_version_that_is_no_text_names_no_target)
{
    for (const char* value : { "7", "null", R"(["v1"])", R"({"v":1})", "true" })
        cr_assert(!targetOfVersion(std::string(R"(,"version":)") + value).has_value(), "%s", value);
}

Test(platform_ingress, the_request_that_began_a_stream_is_decoded_if_it_is_named_once)
{
    cr_assert_eq(decodeRequest(makeRequestHead({ { "X-Attempt-Id", "b" }, { "Resumes", "a" } })).value().continuedRequest, "a");
    cr_assert_eq(decodeRequest(makeRequestHead({ { "X-Attempt-Id", "b" } })).value().continuedRequest, "");
    cr_assert(!decodeRequest(makeRequestHead({ { "X-Attempt-Id", "b" }, { "Resumes", "a" }, { "Resumes", "c" } })));
}
