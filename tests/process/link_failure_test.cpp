/// Links that are cut or become unresponsive in the middle of a response.
#include "support/check.hpp"
#include "support/cluster.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
constexpr uint32_t tokens = 10;

cluster_spec linkedEngine(int slot)
{
    cluster_spec spec;
    spec.slot = slot;
    spec.targets = { { .name = "llm-1", .service = "generate", .kind = "engine", .behaviour = { { "tokenMs", 15 } }, .isBehindFakeLink = true } };
    spec.pipelines = json::array({ pipelineOf("assistant", { "generate" }, tokens) });
    return spec;
}

/// Sends one request during a link fault; its response must be complete and without duplicates, and it must run once.
void checkCompleteResponse(cluster& cluster, const json& fault, int round)
{
    const int runsBefore = cluster.targetCounts("llm-1")["runs"];
    cluster.switchFakes({ { "links", { { "llm-1", fault } } } });
    const std::string prompt = "question " + std::to_string(round);
    const auto response = cluster.sendAndWait({ .pipeline = "assistant", .input = { { "prompt", prompt } }, .isStreamed = true });
    checkEqual(response->outcomeName(), "answered");
    checkEqual(response->text(), wordsFor(prompt, tokens));
    cr_assert_eq(cluster.targetCounts("llm-1")["runs"].get<int>(), runsBefore + 1, "round %d ran more than once", round);
}
}

Test(link_failure, a_cut_at_any_frame_loses_nothing)
{
    cluster cluster(linkedEngine(10));
    for (int block = 1; block <= static_cast<int>(tokens) + 4; ++block)
        checkCompleteResponse(cluster, { { "cutAfterBlocks", block } }, block);
    cr_assert_geq(cluster.fakeCounts()["links"]["llm-1"]["cuts"].get<int>(), 10);
}

Test(link_failure, an_unresponsive_link_at_any_frame_loses_nothing)
{
    cluster cluster(linkedEngine(11));
    for (int block = 1; block <= static_cast<int>(tokens); block += 2)
        checkCompleteResponse(cluster, { { "silentAfterBlocks", block } }, block);
    cr_assert_geq(cluster.entryMetric("bilberryseam_link_detached_total{reason=\"silent\"}"), 4);
}

Test(link_failure, cuts_do_not_mix_the_responses_of_concurrent_streams)
{
    cluster cluster(linkedEngine(12));
    std::vector<std::shared_ptr<sent_request>> requests;
    for (int i = 0; i < 8; ++i)
        requests.push_back(cluster.send({ .pipeline = "assistant", .input = { { "prompt", "crossed " + std::to_string(i) } }, .isStreamed = true }));
    for (int cut = 0; cut < 3; ++cut) {
        cluster.switchFakes({ { "links", { { "llm-1", { { "cutAfterBlocks", 2 } } } } } });
        cluster.runFor(bilberryseam::milliseconds(60));
    }
    for (size_t i = 0; i < requests.size(); ++i) {
        cluster.waitUntil([&] { return requests[i]->isDone; }, "the response");
        checkEqual(requests[i]->text(), wordsFor("crossed " + std::to_string(i), tokens));
    }
    cr_assert_eq(cluster.targetCounts("llm-1")["runs"], 8);
}
