/// One request through separate processes, end to end.
#include "support/check.hpp"
#include "support/cluster.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
cluster_spec fourStages(int slot)
{
    cluster_spec spec;
    spec.slot = slot;
    spec.targets = { { "enc-1", "encode", "encoder" }, { "ret-1", "retrieve", "retriever" }, { "rer-1", "rerank", "reranker" }, { "llm-1", "generate", "engine" }, { "book-1", "book", "plain" } };
    spec.targets.back().isRetryable = false;
    spec.pipelines = json::array({ pipelineOf("assistant", { "encode", "retrieve", "rerank", "generate" }), pipelineOf("booking", { "book" }) });
    return spec;
}
}

Test(whole_path, a_request_passes_four_stages)
{
    cluster cluster(fourStages(1));
    const auto response = cluster.sendAndWait({ .pipeline = "assistant" });
    cr_assert_eq(response->reply.status, 200u);
    checkEqual(response->outcomeName(), "answered");
    cr_assert(!response->outcome()["output"]["text"].get<std::string>().empty());
    for (const char* target : { "enc-1", "ret-1", "rer-1", "llm-1" })
        cr_assert_eq(cluster.targetCounts(target)["runs"], 1);
}

Test(whole_path, a_streamed_response_equals_the_unstreamed_one)
{
    cluster cluster(fourStages(2));
    const auto unstreamedResponse = cluster.sendAndWait({ .pipeline = "assistant" });
    const auto streamedResponse = cluster.sendAndWait({ .pipeline = "assistant", .isStreamed = true });
    checkEqual(streamedResponse->outcomeName(), "answered");
    checkEqual(streamedResponse->text(), unstreamedResponse->outcome()["output"]["text"]);
}

Test(whole_path, a_booking_passes_one_stage)
{
    cluster cluster(fourStages(3));
    const auto response = cluster.sendAndWait({ .pipeline = "booking", .input = { { "seat", 12 } } });
    checkEqual(response->outcomeName(), "answered");
    cr_assert_eq(response->outcome()["output"]["echo"]["seat"], 12);
    cr_assert_eq(cluster.targetCounts("book-1")["runs"], 1);
}

Test(whole_path, a_disconnected_caller_cancels_the_call_at_the_target)
{
    cluster_spec spec = fourStages(4);
    spec.targets[3].behaviour = { { "tokenMs", 20 } };
    spec.pipelines = json::array({ pipelineOf("assistant", { "encode", "retrieve", "rerank", "generate" }, 5000) });
    cluster cluster(spec);
    auto request = cluster.send({ .pipeline = "assistant", .isStreamed = true });
    cluster.waitUntil([&] { return !request->text().empty(); }, "the first token");
    request->handle.reset();
    cluster.waitUntil([&] { return cluster.targetCounts("llm-1")["cancelled"] == 1; }, "the cancellation at the target");
    cluster.waitUntil([&] { return cluster.targetCounts("llm-1")["running"] == 0; }, "the end of the stream");
    cluster.waitUntil([&] { return cluster.entryStatus()["openRequests"] == 0; }, "the end of the request");
    cr_assert_eq(cluster.entryMetric("bilberryseam_requests_total{outcome=\"failed\",reason=\"caller_gone\"}"), 1);
}
