/// Planned stops cut nothing off; leaving targets get no new work.
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

/// How soon a leaving target must get no new work.
constexpr milliseconds leavingBound { 2000 };

cluster_spec twoEngines(int slot)
{
    cluster_spec spec;
    spec.slot = slot;
    spec.entries = 2;
    for (const char* name : { "llm-1", "llm-2" })
        spec.targets.push_back({ .name = name, .service = "generate", .kind = "engine", .behaviour = { { "tokenMs", 30 } } });
    spec.pipelines = json::array({ pipelineOf("assistant", { "generate" }, tokens), pipelineOf("short", { "generate" }, 1) });
    return spec;
}

std::vector<std::shared_ptr<sent_request>> openStreams(cluster& running, int count, int entry = 0)
{
    std::vector<std::shared_ptr<sent_request>> sent;
    for (int i = 0; i < count; ++i)
        sent.push_back(running.send({ .pipeline = "assistant", .input = { { "prompt", "stream " + std::to_string(i) } }, .isStreamed = true, .entry = entry }));
    for (const auto& one : sent)
        running.waitUntil([&] { return !one->text().empty(); }, "the first token");
    return sent;
}

void checkWhole(cluster& running, const std::vector<std::shared_ptr<sent_request>>& sent)
{
    for (size_t i = 0; i < sent.size(); ++i) {
        running.waitUntil([&] { return sent[i]->isDone; }, "an answer");
        checkEqual(sent[i]->kind(), "answered");
        checkEqual(sent[i]->text(), wordsFor("stream " + std::to_string(i), tokens));
    }
}

/// After the bound, no call may reach the target any more, through any entry.
void checkNoNewWork(cluster& running, const std::string& target)
{
    running.runFor(leavingBound);
    const int before = running.targetCounts(target)["runs"];
    for (int i = 0; i < 20; ++i)
        checkEqual(running.ask({ .pipeline = "short", .entry = i % 2 })->kind(), "answered");
    cr_assert_eq(running.targetCounts(target)["runs"].get<int>(), before);
}
}

Test(stopping, a_planned_stop_of_an_entry_cuts_off_nothing)
{
    cluster running(twoEngines(40));
    const auto sent = openStreams(running, 4);
    running.signal("entry-0", SIGTERM);
    running.waitUntil([&] { return running.get(running.entryOperator(), "/readyz")["ready"] == false; }, "the entry to say that it is leaving");
    checkEqual(running.ask({ .pipeline = "short" })->kind(), "answered");
    checkWhole(running, sent);
    running.waitUntil([&] { return running.hasExited("entry-0"); }, "the entry to end");
}

Test(stopping, a_planned_stop_of_a_side_cuts_off_nothing)
{
    cluster running(twoEngines(41));
    const auto sent = openStreams(running, 4);
    running.signal("side-llm-1", SIGTERM);
    checkNoNewWork(running, "llm-1");
    checkWhole(running, sent);
    running.waitUntil([&] { return running.hasExited("side-llm-1"); }, "the side to end");
    cr_assert_eq(running.targetCounts("llm-1")["cancelled"], 0);
}

Test(stopping, an_instance_that_the_list_calls_leaving_gets_no_new_work)
{
    cluster running(twoEngines(42));
    const auto sent = openStreams(running, 2);
    running.switchFakes({ { "log", { { "put", { { "topic", platform::instanceTopic }, { "key", "llm-1" }, { "value", R"({"state":"leaving"})" } } } } } });
    checkNoNewWork(running, "llm-1");
    checkWhole(running, sent);
}

Test(stopping, an_operator_drains_a_target_and_takes_it_back)
{
    cluster running(twoEngines(43));
    const auto sent = openStreams(running, 2);
    running.post(running.sideOperator("llm-1"), "/drain", { { "target", "llm-1" } });
    checkNoNewWork(running, "llm-1");
    checkWhole(running, sent);
    running.post(running.sideOperator("llm-1"), "/undrain", { { "target", "llm-1" } });
    running.waitForTargets();
}

Test(stopping, a_withdrawn_target_drains)
{
    cluster running(twoEngines(44));
    const auto sent = openStreams(running, 4);
    running.appendNote({ { "schema", 1 }, { "note", "second" }, { "withdrawn", { { "targets", { { { "name", "llm-1" }, { "basedOn", 0 } } } } } } });
    checkNoNewWork(running, "llm-1");
    checkWhole(running, sent);
    cr_assert_eq(running.targetCounts("llm-1")["cancelled"], 0);
}

Test(stopping, a_killed_entry_harms_no_other_request)
{
    cluster running(twoEngines(45));
    const auto lost = openStreams(running, 2, 0);
    const auto kept = openStreams(running, 2, 1);
    running.kill("entry-0");
    checkWhole(running, kept);
    running.start("entry-0");
    running.waitForTargets();
    checkEqual(running.ask({ .pipeline = "short", .input = { { "prompt", "new" } }, .isStreamed = true })->text(), wordsFor("new", 1));
    cr_assert_eq(running.entryMetric("bilberryseam_protocol_violations_total", 0), 0);
}
