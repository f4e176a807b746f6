/// Requests that crash their targets, slow or frozen targets, and the budgets of hedges and retries.
#include "support/check.hpp"
#include "support/cluster.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
constexpr uint32_t tokens = 20;

cluster_spec engineSpec(int slot, int count, const json& behaviour)
{
    cluster_spec spec;
    spec.slot = slot;
    spec.entries = 2;
    for (int i = 1; i <= count; ++i)
        spec.targets.push_back({ .name = "llm-" + std::to_string(i), .service = "generate", .kind = "engine", .capacity = 16, .behaviour = behaviour });
    spec.pipelines = json::array({ pipelineOf("assistant", { "generate" }, tokens) });
    return spec;
}

int crashCount(cluster& deployment)
{
    int sum = 0;
    const json counts = deployment.fakeCounts();
    for (const auto& [name, targetCounts] : counts["targets"].items())
        sum += targetCounts["deaths"].get<int>();
    return sum;
}

request_spec normalRequest(int number)
{
    return { .pipeline = "assistant", .input = { { "prompt", "normal " + std::to_string(number) } }, .isStreamed = true, .entry = number % 2 };
}

request_spec crashingRequest(int entry)
{
    return { .pipeline = "assistant", .input = { { "prompt", "poison pill" } }, .entry = entry };
}
}

Test(crash, a_request_that_crashes_targets_is_refused_everywhere_and_others_finish)
{
    cluster deployment(engineSpec(50, 4, { { "tokenMs", 20 }, { "poison", "poison pill" }, { "restartMs", 300 } }));
    std::vector<std::shared_ptr<sent_request>> requests;
    for (int i = 0; i < 40; ++i)
        requests.push_back(deployment.send(normalRequest(i)));
    deployment.runFor(milliseconds(150));
    // The caller repeats the crashing request through both entries.
    for (int i = 0; i < 6; ++i) {
        const auto request = deployment.sendAndWait(crashingRequest(i % 2));
        checkEqual(request->outcomeName(), i == 0 ? "failed" : request->outcomeName());
        cr_assert(request->outcomeName() != "answered");
        checkEqual(request->reason(), "quarantined");
    }
    for (size_t i = 0; i < requests.size(); ++i) {
        deployment.waitUntil([&] { return requests[i]->isDone; }, "the response to a normal request");
        checkEqual(requests[i]->reason(), "");
        checkEqual(requests[i]->outcomeName(), "answered");
        checkEqual(requests[i]->text(), wordsFor("normal " + std::to_string(i), tokens));
    }
    cr_assert_geq(crashCount(deployment), 1);
    cr_assert_leq(crashCount(deployment), 3);
}

Test(crash, a_crashing_request_sent_through_all_entries_at_once_crashes_at_most_three_targets)
{
    cluster deployment(engineSpec(51, 5, { { "poison", "poison pill" }, { "restartMs", 300 } }));
    std::vector<std::shared_ptr<sent_request>> requests { deployment.send(crashingRequest(0)), deployment.send(crashingRequest(1)) };
    for (const auto& request : requests) {
        deployment.waitUntil([&] { return request->isDone; }, "the response");
        checkEqual(request->reason(), "quarantined");
    }
    for (int i = 0; i < 4; ++i)
        checkEqual(deployment.sendAndWait(crashingRequest(i % 2))->reason(), "quarantined");
    cr_assert_geq(crashCount(deployment), 1);
    cr_assert_leq(crashCount(deployment), 3);
}

Test(crash, one_crashing_request_in_two_hundred_affects_no_other_request)
{
    constexpr int requestCount = 400;
    constexpr int everyNth = 200;
    cluster deployment(engineSpec(57, 4, { { "tokenMs", 5 }, { "poison", "poison pill" }, { "restartMs", 300 } }));
    std::vector<std::shared_ptr<sent_request>> normalRequests;
    std::vector<std::shared_ptr<sent_request>> crashingRequests;
    for (int i = 0; i < requestCount; ++i) {
        if (i % everyNth == everyNth / 2) {
            // The caller sends the crashing request through both entries, one after the other.
            for (int entry : { 0, 1 }) {
                request_spec request = crashingRequest(entry);
                request.input = { { "prompt", "poison pill " + std::to_string(i) } };
                crashingRequests.push_back(deployment.send(request));
                deployment.runFor(milliseconds(20));
            }
            continue;
        }
        normalRequests.push_back(deployment.send(normalRequest(i)));
        deployment.runFor(milliseconds(5));
    }
    for (const auto& request : normalRequests) {
        deployment.waitUntil([&] { return request->isDone; }, "the response to a normal request");
        checkEqual(request->reason(), "");
        checkEqual(request->outcomeName(), "answered");
    }
    for (const auto& request : crashingRequests) {
        deployment.waitUntil([&] { return request->isDone; }, "the response to a crashing request");
        checkEqual(request->reason(), "quarantined");
    }
    cr_assert_geq(crashCount(deployment), 2);
    cr_assert_leq(crashCount(deployment), 3 * requestCount / everyNth);
}

Test(crash, requests_that_share_a_crashing_prefix_are_refused_everywhere_and_others_finish)
{
    constexpr int requestCount = 12;
    constexpr int maxCrashes = 5;
    cluster deployment(engineSpec(58, 8, { { "tokenMs", 5 }, { "poison", "poison pill" }, { "restartMs", 300 } }));
    std::string lastReason;
    for (int i = 0; i < requestCount; ++i) {
        // No two of the crashing requests are alike; sound ones share all but the prefix.
        const json input { { "prefix", "poison pill" }, { "prompt", "poison pill, question " + std::to_string(i) } };
        lastReason = deployment.sendAndWait({ .pipeline = "assistant", .input = input, .isStreamed = true, .entry = i % 2 })->reason();
        const auto sound = deployment.sendAndWait({ .pipeline = "assistant", .input = { { "prefix", "sound" }, { "prompt", "question " + std::to_string(i) } }, .isStreamed = true, .entry = i % 2 });
        checkEqual(sound->outcomeName(), "answered");
    }
    checkEqual(lastReason, "quarantined");
    cr_assert_geq(crashCount(deployment), 1);
    cr_assert_leq(crashCount(deployment), maxCrashes, "%d targets crashed", crashCount(deployment));
}

Test(crash, a_stream_interrupted_by_its_target_is_resumed_at_another)
{
    cluster deployment(engineSpec(52, 2, { { "tokenMs", 5 } }));
    deployment.switchFakes({ { "targets", { { "llm-1", { { "cutAfterTokens", 7 } } }, { "llm-2", { { "cutAfterTokens", 9 } } } } } });
    const auto request = deployment.send(normalRequest(1));
    deployment.waitUntil([&] { return !request->text().empty(); }, "the first token");
    deployment.switchFakes({ { "targets", { { "llm-1", { { "cutAfterTokens", 0 } } }, { "llm-2", { { "cutAfterTokens", 0 } } } } } });
    deployment.waitUntil([&] { return request->isDone; }, "the response");
    checkEqual(request->text(), wordsFor("normal 1", tokens));
}

Test(crash, a_side_killed_with_running_calls_loses_no_response)
{
    cluster deployment(engineSpec(53, 2, { { "tokenMs", 20 } }));
    std::vector<std::shared_ptr<sent_request>> requests;
    for (int i = 0; i < 8; ++i)
        requests.push_back(deployment.send(normalRequest(i)));
    deployment.waitUntil([&] { return !requests.back()->text().empty(); }, "the first token");
    deployment.kill("side-llm-1");
    for (size_t i = 0; i < requests.size(); ++i) {
        deployment.waitUntil([&] { return requests[i]->isDone; }, "the response");
        checkEqual(requests[i]->text(), wordsFor("normal " + std::to_string(i), tokens));
    }
}

namespace {
cluster_spec poolSpec(int slot, uint32_t capacity, const json& policies)
{
    cluster_spec spec;
    spec.slot = slot;
    for (const char* name : { "pool-1", "pool-2", "pool-3" })
        spec.targets.push_back({ .name = name, .service = "rerank", .kind = "reranker", .capacity = capacity, .behaviour = { { "latencyMs", 5 } } });
    spec.pipelines = json::array({ pipelineOf("rank", { "rerank" }) });
    spec.policies = policies;
    return spec;
}
}

Test(straggler, a_hedge_completes_requests_of_a_frozen_target)
{
    cluster deployment(poolSpec(54, 1, json::array({ { { "name", "default" }, { "hedgePercent", 100 } } })));
    for (int i = 0; i < 40; ++i)
        checkEqual(deployment.sendAndWait({ .pipeline = "rank" })->outcomeName(), "answered");
    deployment.switchFakes({ { "targets", { { "pool-1", { { "frozen", true } } } } } });
    // With one slot at each target, concurrent requests cannot all avoid the frozen target.
    std::vector<std::shared_ptr<sent_request>> requests;
    for (int i = 0; i < 12; ++i)
        requests.push_back(deployment.send({ .pipeline = "rank" }));
    for (const auto& request : requests) {
        deployment.waitUntil([&] { return request->isDone; }, "the response");
        checkEqual(request->outcomeName(), "answered");
    }
    cr_assert_geq(deployment.entryMetric("bilberryseam_hedges_won_total"), 1);
    // The cancellation of the losing attempts reaches the side of the frozen target.
    deployment.waitUntil([&] { return deployment.sideStatus("pool-1")["targets"][0]["running"] == 0; }, "the losing attempts to be cancelled");
}

Test(straggler, hedges_stay_within_their_budget)
{
    cluster deployment(poolSpec(55, 8, json::array({ { { "name", "default" }, { "hedgePercent", 0 } } })));
    for (int i = 0; i < 40; ++i)
        checkEqual(deployment.sendAndWait({ .pipeline = "rank" })->outcomeName(), "answered");
    deployment.switchFakes({ { "targets", { { "pool-1", { { "latencyMs", 300 } } }, { "pool-2", { { "latencyMs", 300 } } }, { "pool-3", { { "latencyMs", 300 } } } } } });
    std::vector<std::shared_ptr<sent_request>> requests;
    for (int i = 0; i < 60; ++i)
        requests.push_back(deployment.send({ .pipeline = "rank" }));
    for (const auto& request : requests)
        deployment.waitUntil([&] { return request->isDone; }, "the response");
    // The budget allows an initial burst of ten hedges, and none afterwards.
    cr_assert_leq(deployment.entryMetric("bilberryseam_hedges_total"), 10);
}

Test(straggler, retries_stay_within_their_budget)
{
    cluster_spec spec = engineSpec(56, 2, { { "cutAfterTokens", 1 } });
    spec.entries = 1;
    spec.policies = json::array({ { { "name", "default" }, { "retryPercent", 0 } } });
    cluster deployment(spec);
    std::vector<std::shared_ptr<sent_request>> requests;
    for (int i = 0; i < 120; ++i)
        requests.push_back(deployment.send({ .pipeline = "assistant", .input = { { "prompt", "cut " + std::to_string(i) } } }));
    for (const auto& request : requests) {
        deployment.waitUntil([&] { return request->isDone; }, "the response");
        cr_assert(request->outcomeName() != "answered");
    }
    cr_assert_leq(deployment.entryMetric("bilberryseam_retries_total{reason=\"target_crashed\""), 64);
}
