/// Requests that crash targets; stragglers and failing stages.
#include "support/check.hpp"
#include "support/cluster.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
constexpr uint32_t tokens = 20;

cluster_spec engines(int slot, int count, const json& behaviour)
{
    cluster_spec spec;
    spec.slot = slot;
    spec.entries = 2;
    for (int i = 1; i <= count; ++i)
        spec.targets.push_back({ .name = "llm-" + std::to_string(i), .service = "generate", .kind = "engine", .capacity = 16, .behaviour = behaviour });
    spec.pipelines = json::array({ pipelineOf("assistant", { "generate" }, tokens) });
    return spec;
}

int deaths(cluster& running)
{
    int sum = 0;
    const json all = running.fakeCounts();
    for (const auto& [name, counts] : all["targets"].items())
        sum += counts["deaths"].get<int>();
    return sum;
}

question innocent(int number)
{
    return { .pipeline = "assistant", .input = { { "prompt", "innocent " + std::to_string(number) } }, .isStreamed = true, .entry = number % 2 };
}

question guilty(int entry)
{
    return { .pipeline = "assistant", .input = { { "prompt", "poison pill" } }, .entry = entry };
}
}

Test(crash, a_request_that_kills_targets_is_refused_everywhere_and_harms_nobody)
{
    cluster running(engines(50, 4, { { "tokenMs", 20 }, { "poison", "poison pill" }, { "restartMs", 300 } }));
    std::vector<std::shared_ptr<sent_request>> sent;
    for (int i = 0; i < 40; ++i)
        sent.push_back(running.send(innocent(i)));
    running.runFor(milliseconds(150));
    // Its caller sends it again and again, through either entry.
    for (int i = 0; i < 6; ++i) {
        const auto refused = running.ask(guilty(i % 2));
        checkEqual(refused->kind(), i == 0 ? "failed" : refused->kind());
        cr_assert(refused->kind() != "answered");
        checkEqual(refused->reason(), "quarantined");
    }
    for (size_t i = 0; i < sent.size(); ++i) {
        running.waitUntil([&] { return sent[i]->isDone; }, "an innocent answer");
        checkEqual(sent[i]->reason(), "");
        checkEqual(sent[i]->kind(), "answered");
        checkEqual(sent[i]->text(), wordsFor("innocent " + std::to_string(i), tokens));
    }
    cr_assert_geq(deaths(running), 1);
    cr_assert_leq(deaths(running), 3);
}

Test(crash, a_guilty_request_sent_through_all_entries_at_once_kills_at_most_three)
{
    cluster running(engines(51, 5, { { "poison", "poison pill" }, { "restartMs", 300 } }));
    std::vector<std::shared_ptr<sent_request>> sent { running.send(guilty(0)), running.send(guilty(1)) };
    for (const auto& one : sent) {
        running.waitUntil([&] { return one->isDone; }, "an answer");
        checkEqual(one->reason(), "quarantined");
    }
    for (int i = 0; i < 4; ++i)
        checkEqual(running.ask(guilty(i % 2))->reason(), "quarantined");
    cr_assert_geq(deaths(running), 1);
    cr_assert_leq(deaths(running), 3);
}

Test(crash, a_trace_with_one_guilty_request_in_two_hundred)
{
    constexpr int requests = 400;
    constexpr int everyNth = 200;
    cluster running(engines(57, 4, { { "tokenMs", 5 }, { "poison", "poison pill" }, { "restartMs", 300 } }));
    std::vector<std::shared_ptr<sent_request>> innocents;
    std::vector<std::shared_ptr<sent_request>> guilties;
    for (int i = 0; i < requests; ++i) {
        if (i % everyNth == everyNth / 2) {
            // Its caller sends it through both entries, one after the other.
            for (int entry : { 0, 1 }) {
                question asked = guilty(entry);
                asked.input = { { "prompt", "poison pill " + std::to_string(i) } };
                guilties.push_back(running.send(asked));
                running.runFor(milliseconds(20));
            }
            continue;
        }
        innocents.push_back(running.send(innocent(i)));
        running.runFor(milliseconds(5));
    }
    for (const auto& one : innocents) {
        running.waitUntil([&] { return one->isDone; }, "an innocent answer");
        checkEqual(one->reason(), "");
        checkEqual(one->kind(), "answered");
    }
    for (const auto& one : guilties) {
        running.waitUntil([&] { return one->isDone; }, "a guilty answer");
        checkEqual(one->reason(), "quarantined");
    }
    cr_assert_geq(deaths(running), 2);
    cr_assert_leq(deaths(running), 3 * requests / everyNth);
}

Test(crash, a_stream_that_its_target_cuts_is_resumed_elsewhere)
{
    cluster running(engines(52, 2, { { "tokenMs", 5 } }));
    running.switchFakes({ { "targets", { { "llm-1", { { "cutAfterTokens", 7 } } }, { "llm-2", { { "cutAfterTokens", 9 } } } } } });
    const auto sent = running.send(innocent(1));
    running.waitUntil([&] { return !sent->text().empty(); }, "the first token");
    running.switchFakes({ { "targets", { { "llm-1", { { "cutAfterTokens", 0 } } }, { "llm-2", { { "cutAfterTokens", 0 } } } } } });
    running.waitUntil([&] { return sent->isDone; }, "an answer");
    checkEqual(sent->text(), wordsFor("innocent 1", tokens));
}

Test(crash, a_side_that_dies_with_its_calls_loses_no_answer)
{
    cluster running(engines(53, 2, { { "tokenMs", 20 } }));
    std::vector<std::shared_ptr<sent_request>> sent;
    for (int i = 0; i < 8; ++i)
        sent.push_back(running.send(innocent(i)));
    running.waitUntil([&] { return !sent.back()->text().empty(); }, "the first token");
    running.kill("side-llm-1");
    for (size_t i = 0; i < sent.size(); ++i) {
        running.waitUntil([&] { return sent[i]->isDone; }, "an answer");
        checkEqual(sent[i]->text(), wordsFor("innocent " + std::to_string(i), tokens));
    }
}

namespace {
cluster_spec pools(int slot, uint32_t capacity, const json& policies)
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

Test(straggler, a_hedge_answers_for_a_frozen_target)
{
    cluster running(pools(54, 1, json::array({ { { "name", "default" }, { "hedgePercent", 100 } } })));
    for (int i = 0; i < 40; ++i)
        checkEqual(running.ask({ .pipeline = "rank" })->kind(), "answered");
    running.switchFakes({ { "targets", { { "pool-1", { { "frozen", true } } } } } });
    // With one place at each target, requests sent together cannot all avoid the frozen one.
    std::vector<std::shared_ptr<sent_request>> sent;
    for (int i = 0; i < 12; ++i)
        sent.push_back(running.send({ .pipeline = "rank" }));
    for (const auto& one : sent) {
        running.waitUntil([&] { return one->isDone; }, "an answer");
        checkEqual(one->kind(), "answered");
    }
    cr_assert_geq(running.entryMetric("bilberryseam_hedges_won_total"), 1);
    // The losers were cancelled down to the target's gate.
    running.waitUntil([&] { return running.sideStatus("pool-1")["targets"][0]["running"] == 0; }, "the losers to be cancelled");
}

Test(straggler, hedges_stay_within_their_budget)
{
    cluster running(pools(55, 8, json::array({ { { "name", "default" }, { "hedgePercent", 0 } } })));
    for (int i = 0; i < 40; ++i)
        checkEqual(running.ask({ .pipeline = "rank" })->kind(), "answered");
    running.switchFakes({ { "targets", { { "pool-1", { { "latencyMs", 300 } } }, { "pool-2", { { "latencyMs", 300 } } }, { "pool-3", { { "latencyMs", 300 } } } } } });
    std::vector<std::shared_ptr<sent_request>> sent;
    for (int i = 0; i < 60; ++i)
        sent.push_back(running.send({ .pipeline = "rank" }));
    for (const auto& one : sent)
        running.waitUntil([&] { return one->isDone; }, "an answer");
    // The first burst of ten, and none after it.
    cr_assert_leq(running.entryMetric("bilberryseam_hedges_total"), 10);
}

Test(straggler, retries_stay_within_their_budget)
{
    cluster_spec spec = engines(56, 2, { { "cutAfterTokens", 1 } });
    spec.entries = 1;
    spec.policies = json::array({ { { "name", "default" }, { "retryPercent", 0 } } });
    cluster running(spec);
    std::vector<std::shared_ptr<sent_request>> sent;
    for (int i = 0; i < 120; ++i)
        sent.push_back(running.send({ .pipeline = "assistant", .input = { { "prompt", "cut " + std::to_string(i) } } }));
    for (const auto& one : sent) {
        running.waitUntil([&] { return one->isDone; }, "an answer");
        cr_assert(one->kind() != "answered");
    }
    cr_assert_leq(running.entryMetric("bilberryseam_retries_total{reason=\"target_crashed\""), 64);
}
