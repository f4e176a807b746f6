/// Targets and sides that send nothing for a while and then go on: no request ends for silence alone.
#include "support/check.hpp"
#include "support/cluster.hpp"

#include <criterion/criterion.h>
#include <csignal>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
constexpr uint32_t tokens = 12;
constexpr int requestCount = 6;

/// Far below the pauses of the targets.
constexpr int silenceLimitMs = 200;

json silence(uint64_t seed, json changes = json::object())
{
    json settings { { "seed", seed }, { "minMs", 500 }, { "maxMs", 3000 } };
    settings.update(changes);
    return settings;
}

cluster_spec engines(int slot, int count, const json& pause)
{
    cluster_spec spec;
    spec.slot = slot;
    for (int i = 1; i <= count; ++i)
        spec.targets.push_back({ .name = "llm-" + std::to_string(i), .service = "generate", .kind = "engine", .capacity = 16, .behaviour = { { "tokenMs", 10 }, { "silence", pause } } });
    spec.pipelines = json::array({ pipelineOf("assistant", { "generate" }, tokens) });
    spec.sideLimits = { { "targetSilenceMs", silenceLimitMs } };
    return spec;
}

cluster_spec plainTargets(int slot)
{
    cluster_spec spec;
    spec.slot = slot;
    spec.targets = { { .name = "rank-1", .service = "rank", .kind = "reranker", .capacity = 16, .behaviour = { { "silence", silence(3) } } },
        { .name = "book-1", .service = "book", .kind = "plain", .capacity = 16, .behaviour = { { "silence", silence(4) } }, .isRetryable = false } };
    spec.pipelines = json::array({ pipelineOf("ranking", { "rank" }), pipelineOf("booking", { "book" }) });
    spec.sideLimits = { { "targetSilenceMs", silenceLimitMs } };
    return spec;
}

std::string promptOf(int number)
{
    return "question " + std::to_string(number);
}

std::vector<std::shared_ptr<sent_request>> sendStreams(cluster& deployment, int count)
{
    std::vector<std::shared_ptr<sent_request>> requests;
    for (int i = 0; i < count; ++i)
        requests.push_back(deployment.send({ .pipeline = "assistant", .input = { { "prompt", promptOf(i) } }, .isStreamed = true }));
    return requests;
}

void checkWholeStreams(cluster& deployment, const std::vector<std::shared_ptr<sent_request>>& requests)
{
    for (size_t i = 0; i < requests.size(); ++i) {
        deployment.waitUntil([&] { return requests[i]->isDone; }, "the response");
        checkEqual(requests[i]->outcomeName(), "answered");
        checkEqual(requests[i]->text(), wordsFor(promptOf(static_cast<int>(i)), tokens));
    }
}

/// Sends requests to the only target of a service; each must be answered by its one run.
void checkLateResponses(cluster& deployment, const std::string& pipeline, const std::string& target)
{
    std::vector<std::shared_ptr<sent_request>> requests;
    for (int i = 0; i < requestCount; ++i)
        requests.push_back(deployment.send({ .pipeline = pipeline, .input = { { "seat", i } } }));
    for (const auto& request : requests) {
        deployment.waitUntil([&] { return request->isDone; }, "the response");
        checkEqual(request->outcomeName(), "answered");
    }
    cr_assert_eq(deployment.targetCounts(target)["runs"], requestCount);
}
}

Test(silent_target, a_stream_without_another_target_goes_on_after_silence)
{
    cluster deployment(engines(36, 1, silence(1)));
    checkWholeStreams(deployment, sendStreams(deployment, requestCount));
    // The same with pauses inside an event.
    deployment.switchFakes({ { "targets", { { "llm-1", { { "silence", silence(2, { { "insideEvent", true } }) } } } } } });
    checkWholeStreams(deployment, sendStreams(deployment, requestCount));
    cr_assert_eq(deployment.targetCounts("llm-1")["runs"], 2 * requestCount);
    cr_assert_eq(deployment.targetCounts("llm-1")["cancelled"], 0);
}

Test(silent_target, a_second_run_costs_a_silent_stream_nothing_until_it_delivers)
{
    cluster_spec spec = engines(39, 2, nullptr);
    spec.entryLimits = { { "targetSilenceMs", silenceLimitMs } };
    cluster deployment(spec);
    // The second run never delivers, so each stream goes on at the target that was silent.
    deployment.switchFakes({ { "targets", { { "llm-1", { { "silence", silence(5, { { "afterTokens", 4 } }) } } }, { "llm-2", { { "frozen", true } } } } } });
    checkWholeStreams(deployment, sendStreams(deployment, requestCount));
    cr_assert_eq(deployment.targetCounts("llm-1")["runs"], requestCount);
    cr_assert_eq(deployment.targetCounts("llm-1")["cancelled"], 0);
    cr_assert_eq(deployment.targetCounts("llm-2")["runsByRequest"].size(), static_cast<size_t>(requestCount));
    // The second run delivers, so the streams do not wait for the silent target.
    deployment.switchFakes({ { "targets", { { "llm-1", { { "silence", silence(6, { { "minMs", 60000 }, { "maxMs", 60000 }, { "afterTokens", 4 } }) } } }, { "llm-2", { { "frozen", false } } } } } });
    checkWholeStreams(deployment, sendStreams(deployment, requestCount));
    cr_assert_geq(deployment.entryMetric("bilberryseam_retries_total{reason=\"silent\""), 1);
}

Test(silent_target, a_late_response_is_delivered)
{
    cluster deployment(plainTargets(37));
    checkLateResponses(deployment, "ranking", "rank-1");
}

Test(silent_target, a_late_response_to_a_call_that_must_not_run_twice_is_delivered)
{
    cluster deployment(plainTargets(38));
    checkLateResponses(deployment, "booking", "book-1");
}

Test(silent_side, a_stream_without_another_target_goes_on_after_its_side_was_frozen)
{
    cluster_spec spec = engines(46, 1, nullptr);
    spec.targets.push_back({ .name = "enc-1", .service = "encode", .kind = "encoder", .behaviour = { { "latencyMs", 1500 } } });
    spec.pipelines.push_back(pipelineOf("two_stages", { "encode", "generate" }, tokens));
    cluster deployment(spec);
    deployment.switchFakes({ { "targets", { { "llm-1", { { "tokenMs", 100 } } } } } });
    const auto requests = sendStreams(deployment, requestCount);
    for (const auto& request : requests)
        deployment.waitUntil([&] { return !request->text().empty(); }, "the first token");
    // The first stage of this request ends while the side of its second stage is known to be silent.
    const auto laterRequest = deployment.send({ .pipeline = "two_stages" });
    deployment.signal("side-llm-1", SIGSTOP);
    deployment.runFor(milliseconds(4000));
    deployment.signal("side-llm-1", SIGCONT);
    checkWholeStreams(deployment, requests);
    deployment.waitUntil([&] { return laterRequest->isDone; }, "the response");
    checkEqual(laterRequest->outcomeName(), "answered");
    cr_assert_eq(deployment.targetCounts("llm-1")["runs"], requestCount + 1);
}

Test(straggler, a_rejected_hedge_does_not_end_the_first_attempt)
{
    cluster_spec spec;
    spec.slot = 47;
    // The first attempts go to the target that was fast so far.
    spec.targets = { { .name = "pool-1", .service = "rerank", .kind = "reranker", .capacity = 16, .behaviour = { { "latencyMs", 5 } } },
        { .name = "pool-2", .service = "rerank", .kind = "reranker", .capacity = 16, .behaviour = { { "latencyMs", 60 } } } };
    spec.pipelines = json::array({ pipelineOf("rank", { "rerank" }) });
    cluster deployment(spec);
    for (int i = 0; i < 40; ++i)
        checkEqual(deployment.sendAndWait({ .pipeline = "rank" })->outcomeName(), "answered");
    deployment.switchFakes({ { "targets", { { "pool-1", { { "latencyMs", 600 } } }, { "pool-2", { { "failStatus", 500 } } } } } });
    const json earlierRuns = deployment.targetCounts("pool-1")["runsByRequest"];
    std::vector<std::shared_ptr<sent_request>> requests;
    for (int i = 0; i < 12; ++i)
        requests.push_back(deployment.send({ .pipeline = "rank" }));
    for (const auto& request : requests)
        deployment.waitUntil([&] { return request->isDone; }, "the response");
    const json runs = deployment.targetCounts("pool-1")["runsByRequest"];
    cr_assert_gt(runs.size(), earlierRuns.size());
    for (const auto& request : requests) {
        if (runs.contains(request->outcome()["request"].get<std::string>()))
            checkEqual(request->outcomeName(), "answered");
    }
    cr_assert_geq(deployment.entryMetric("bilberryseam_hedges_total"), 1);
}
