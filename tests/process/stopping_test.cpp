/// Planned stops interrupt no request; draining targets receive no new calls.
#include "http1/tcp_stream.hpp"
#include "platform/instance_list.hpp"
#include "support/check.hpp"
#include "support/cluster.hpp"

#include <criterion/criterion.h>
#include <csignal>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
constexpr uint32_t tokens = 100;

/// Time after which a draining target must receive no new calls.
constexpr milliseconds drainingBound { 2000 };

cluster_spec twoEngineSpec(int slot)
{
    cluster_spec spec;
    spec.slot = slot;
    spec.entries = 2;
    for (const char* name : { "llm-1", "llm-2" })
        spec.targets.push_back({ .name = name, .service = "generate", .kind = "engine", .behaviour = { { "tokenMs", 30 } } });
    spec.pipelines = json::array({ pipelineOf("assistant", { "generate" }, tokens), pipelineOf("short", { "generate" }, 1) });
    return spec;
}

std::vector<std::shared_ptr<sent_request>> openStreams(cluster& deployment, int count, int entry = 0)
{
    std::vector<std::shared_ptr<sent_request>> streams;
    for (int i = 0; i < count; ++i)
        streams.push_back(deployment.send({ .pipeline = "assistant", .input = { { "prompt", "stream " + std::to_string(i) } }, .isStreamed = true, .entry = entry }));
    for (const auto& stream : streams)
        deployment.waitUntil([&] { return !stream->text().empty(); }, "the first token");
    return streams;
}

void checkComplete(cluster& deployment, const std::vector<std::shared_ptr<sent_request>>& streams)
{
    for (size_t i = 0; i < streams.size(); ++i) {
        deployment.waitUntil([&] { return streams[i]->isDone; }, "the response");
        checkEqual(streams[i]->outcomeName(), "answered");
        checkEqual(streams[i]->text(), wordsFor("stream " + std::to_string(i), tokens));
    }
}

/// Checks that after `drainingBound` no call reaches the target through any entry.
void checkNoNewCalls(cluster& deployment, const std::string& target)
{
    deployment.runFor(drainingBound);
    const int runsBefore = deployment.targetCounts(target)["runs"];
    for (int i = 0; i < 20; ++i)
        checkEqual(deployment.sendAndWait({ .pipeline = "short", .entry = i % 2 })->outcomeName(), "answered");
    cr_assert_eq(deployment.targetCounts(target)["runs"].get<int>(), runsBefore);
}
}

Test(stopping, a_planned_stop_of_an_entry_interrupts_no_request)
{
    cluster deployment(twoEngineSpec(40));
    const auto streams = openStreams(deployment, 4);
    deployment.signal("entry-0", SIGTERM);
    deployment.waitUntil([&] { return deployment.get(deployment.entryOperator(), "/readyz")["ready"] == false; }, "the entry to report that it is not ready");
    checkEqual(deployment.sendAndWait({ .pipeline = "short" })->outcomeName(), "answered");
    checkComplete(deployment, streams);
    deployment.waitUntil([&] { return deployment.hasExited("entry-0"); }, "the entry to exit");
}

Test(stopping, a_planned_stop_of_a_side_interrupts_no_request)
{
    cluster deployment(twoEngineSpec(41));
    const auto streams = openStreams(deployment, 4);
    deployment.signal("side-llm-1", SIGTERM);
    checkNoNewCalls(deployment, "llm-1");
    checkComplete(deployment, streams);
    deployment.waitUntil([&] { return deployment.hasExited("side-llm-1"); }, "the side to exit");
    cr_assert_eq(deployment.targetCounts("llm-1")["cancelled"], 0);
}

Test(stopping, an_instance_listed_as_leaving_gets_no_new_calls)
{
    cluster deployment(twoEngineSpec(42));
    const auto streams = openStreams(deployment, 2);
    deployment.switchFakes({ { "log", { { "put", { { "topic", platform::instanceTopic }, { "key", "llm-1" }, { "value", R"({"state":"leaving"})" } } } } } });
    checkNoNewCalls(deployment, "llm-1");
    checkComplete(deployment, streams);
}

Test(stopping, an_operator_drains_and_undrains_a_target)
{
    cluster deployment(twoEngineSpec(43));
    const auto streams = openStreams(deployment, 2);
    deployment.post(deployment.sideOperator("llm-1"), "/drain", { { "target", "llm-1" } });
    checkNoNewCalls(deployment, "llm-1");
    checkComplete(deployment, streams);
    deployment.post(deployment.sideOperator("llm-1"), "/undrain", { { "target", "llm-1" } });
    deployment.waitForTargets();
}

Test(stopping, a_withdrawn_target_drains)
{
    cluster deployment(twoEngineSpec(44));
    const auto streams = openStreams(deployment, 4);
    deployment.appendNote({ { "schema", 1 }, { "note", "second" }, { "withdrawn", { { "targets", { { { "name", "llm-1" }, { "basedOn", 0 } } } } } } });
    checkNoNewCalls(deployment, "llm-1");
    checkComplete(deployment, streams);
    cr_assert_eq(deployment.targetCounts("llm-1")["cancelled"], 0);
}

Test(stopping, a_killed_entry_interrupts_no_request_of_another_entry)
{
    cluster deployment(twoEngineSpec(45));
    const auto interruptedStreams = openStreams(deployment, 2, 0);
    const auto otherStreams = openStreams(deployment, 2, 1);
    deployment.kill("entry-0");
    checkComplete(deployment, otherStreams);
    deployment.start("entry-0");
    deployment.waitForTargets();
    checkEqual(deployment.sendAndWait({ .pipeline = "short", .input = { { "prompt", "new" } }, .isStreamed = true })->text(), wordsFor("new", 1));
    cr_assert_eq(deployment.entryMetric("bilberryseam_protocol_violations_total", 0), 0);
}

Test(stopping, a_request_whose_body_is_half_read_is_answered_before_the_entry_exits)
{
    cluster deployment(twoEngineSpec(48));
    const std::string body = R"({"input":{"prompt":"half"},"stream":false})";
    std::string response;
    const auto connection = http1::tcp_stream::connectTo(ip_endpoint::parse(deployment.entryAddress()).value());
    http1::tcp_stream::callbacks callbacks;
    callbacks.onBytes = [&response](std::string_view bytes) { response.append(bytes); };
    connection->setCallbacks(std::move(callbacks));
    connection->write("POST /v1/pipelines/short HTTP/1.1\r\nHost: entry\r\nBilberryseam-Account: acme\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body.substr(0, 10));
    deployment.runFor(milliseconds(300));
    deployment.signal("entry-0", SIGTERM);
    deployment.runFor(milliseconds(3000));
    connection->write(body.substr(10));
    deployment.waitUntil([&] { return !response.empty() || deployment.hasExited("entry-0"); }, "the response or the exit");
    cr_assert(response.starts_with("HTTP/1.1 200"), "the response is \"%s\"", response.c_str());
    cr_assert(response.find("Connection: close") != std::string::npos, "the caller may send another request on the connection");
    deployment.waitUntil([&] { return deployment.hasExited("entry-0"); }, "the entry to exit");
}

Test(stopping, requests_that_outlast_the_stop_of_their_entry_end_with_an_outcome)
{
    cluster_spec spec = twoEngineSpec(49);
    spec.entryLimits = { { "drainTimeoutMs", 500 } };
    cluster deployment(spec);
    const auto streams = openStreams(deployment, 4);
    const auto unstreamed = deployment.send({ .pipeline = "assistant" });
    deployment.runFor(milliseconds(200));
    deployment.signal("entry-0", SIGTERM);
    deployment.waitUntil([&] { return deployment.hasExited("entry-0"); }, "the entry to exit");
    deployment.waitUntil([&] { return unstreamed->isDone; }, "the end of the response");
    checkEqual(unstreamed->outcomeName(), "failed");
    for (const auto& stream : streams) {
        deployment.waitUntil([&] { return stream->isDone; }, "the end of the stream");
        checkEqual(stream->outcomeName(), "failed");
    }
}
