/// Links that are cut or fall silent in the middle of an answer.
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
    spec.targets = { { .name = "llm-1", .service = "generate", .kind = "engine", .behaviour = { { "tokenMs", 15 } }, .isLinked = true } };
    spec.pipelines = json::array({ pipelineOf("assistant", { "generate" }, tokens) });
    return spec;
}

/// Asks once under a fault of the link; the answer must be whole, single, and run once.
void checkWholeAnswer(cluster& running, const json& fault, int round)
{
    const int before = running.targetCounts("llm-1")["runs"];
    running.switchFakes({ { "links", { { "llm-1", fault } } } });
    const std::string prompt = "question " + std::to_string(round);
    const auto answer = running.ask({ .pipeline = "assistant", .input = { { "prompt", prompt } }, .isStreamed = true });
    checkEqual(answer->kind(), "answered");
    checkEqual(answer->text(), wordsFor(prompt, tokens));
    cr_assert_eq(running.targetCounts("llm-1")["runs"].get<int>(), before + 1, "round %d ran more than once", round);
}
}

Test(link_failure, a_cut_at_any_frame_loses_nothing)
{
    cluster running(linkedEngine(10));
    for (int block = 1; block <= static_cast<int>(tokens) + 4; ++block)
        checkWholeAnswer(running, { { "cutAfterBlocks", block } }, block);
    cr_assert_geq(running.fakeCounts()["links"]["llm-1"]["cuts"].get<int>(), 10);
}

Test(link_failure, silence_at_any_frame_loses_nothing)
{
    cluster running(linkedEngine(11));
    for (int block = 1; block <= static_cast<int>(tokens); block += 2)
        checkWholeAnswer(running, { { "silentAfterBlocks", block } }, block);
    cr_assert_geq(running.entryMetric("bilberryseam_link_detached_total{reason=\"silent\"}"), 4);
}

Test(link_failure, answers_of_many_streams_are_not_crossed_by_cuts)
{
    cluster running(linkedEngine(12));
    std::vector<std::shared_ptr<sent_request>> sent;
    for (int i = 0; i < 8; ++i)
        sent.push_back(running.send({ .pipeline = "assistant", .input = { { "prompt", "crossed " + std::to_string(i) } }, .isStreamed = true }));
    for (int cut = 0; cut < 3; ++cut) {
        running.switchFakes({ { "links", { { "llm-1", { { "cutAfterBlocks", 2 } } } } } });
        running.runFor(bilberryseam::milliseconds(60));
    }
    for (size_t i = 0; i < sent.size(); ++i) {
        running.waitUntil([&] { return sent[i]->isDone; }, "an answer");
        checkEqual(sent[i]->text(), wordsFor("crossed " + std::to_string(i), tokens));
    }
    cr_assert_eq(running.targetCounts("llm-1")["runs"], 8);
}
