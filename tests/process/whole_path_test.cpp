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
    spec.targets.back().isRepeatable = false;
    spec.pipelines = json::array({ pipelineOf("assistant", { "encode", "retrieve", "rerank", "generate" }), pipelineOf("booking", { "book" }) });
    return spec;
}
}

Test(whole_path, a_request_passes_four_stages)
{
    cluster running(fourStages(1));
    const auto answer = running.ask({ .pipeline = "assistant" });
    cr_assert_eq(answer->reply.status, 200u);
    checkEqual(answer->kind(), "answered");
    cr_assert(!answer->outcome()["output"]["text"].get<std::string>().empty());
    for (const char* target : { "enc-1", "ret-1", "rer-1", "llm-1" })
        cr_assert_eq(running.targetCounts(target)["runs"], 1);
}

Test(whole_path, a_streamed_answer_equals_the_whole_one)
{
    cluster running(fourStages(2));
    const auto whole = running.ask({ .pipeline = "assistant" });
    const auto streamed = running.ask({ .pipeline = "assistant", .isStreamed = true });
    checkEqual(streamed->kind(), "answered");
    checkEqual(streamed->text(), whole->outcome()["output"]["text"]);
}

Test(whole_path, a_booking_passes_one_stage)
{
    cluster running(fourStages(3));
    const auto answer = running.ask({ .pipeline = "booking", .input = { { "seat", 12 } } });
    checkEqual(answer->kind(), "answered");
    cr_assert_eq(answer->outcome()["output"]["echo"]["seat"], 12);
    cr_assert_eq(running.targetCounts("book-1")["runs"], 1);
}

Test(whole_path, a_caller_that_goes_away_cancels_down_to_the_target)
{
    cluster_spec spec = fourStages(4);
    spec.targets[3].behaviour = { { "tokenMs", 20 } };
    spec.pipelines = json::array({ pipelineOf("assistant", { "encode", "retrieve", "rerank", "generate" }, 5000) });
    cluster running(spec);
    auto sent = running.send({ .pipeline = "assistant", .isStreamed = true });
    running.waitUntil([&] { return !sent->text().empty(); }, "the first token");
    sent->handle.reset();
    running.waitUntil([&] { return running.targetCounts("llm-1")["cancelled"] == 1; }, "the cancellation at the target");
    running.waitUntil([&] { return running.targetCounts("llm-1")["running"] == 0; }, "the end of the stream");
    running.waitUntil([&] { return running.entryStatus()["openRequests"] == 0; }, "the end of the request");
    cr_assert_eq(running.entryMetric("bilberryseam_requests_total{outcome=\"failed\",reason=\"caller_gone\"}"), 1);
}
