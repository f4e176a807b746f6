/// Configuration in force everywhere, under failures of the log, of daemons and of operators.
#include "support/check.hpp"
#include "support/cluster.hpp"
#include "support/notes.hpp"

#include <criterion/criterion.h>
#include <csignal>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
cluster_spec fleet(int slot)
{
    cluster_spec spec;
    spec.slot = slot;
    spec.entries = 2;
    for (const char* name : { "llm-1", "llm-2", "llm-3" })
        spec.targets.push_back({ .name = name, .service = "generate", .kind = "engine", .behaviour = { { "tokenMs", 10 } } });
    spec.pipelines = json::array({ pipelineOf("assistant", { "generate" }, 50) });
    return spec;
}

std::vector<std::string> operatorPorts(const cluster& running)
{
    return { running.entryOperator(0), running.entryOperator(1), running.sideOperator("llm-1"), running.sideOperator("llm-2"), running.sideOperator("llm-3") };
}

uint64_t offsetOf(cluster& running, const std::string& port)
{
    const json status = running.get(port, "/status");
    return status.is_object() ? status["configurationOffset"].get<uint64_t>() : 0;
}

void waitForOffset(cluster& running, uint64_t offset)
{
    for (const std::string& port : operatorPorts(running))
        running.waitUntil([&] { return offsetOf(running, port) == offset; }, "the offset at all daemons");
}

json verdictOf(cluster& running, const std::string& note, int entry = 0)
{
    return running.get(running.entryOperator(entry), "/verdict?note=" + note);
}
}

Test(configuration, peers_carry_a_note_through_an_outage_of_the_log)
{
    cluster running(fleet(70));
    waitForOffset(running, 1);
    for (const char* frozen : { "entry-1", "side-llm-1", "side-llm-2", "side-llm-3" })
        running.signal(frozen, SIGSTOP);
    running.appendNote(weightNoteJson("second", 0, 2));
    running.waitUntil([&] { return offsetOf(running, running.entryOperator(0)) == 2; }, "the note at one daemon");
    running.switchFakes({ { "log", { { "down", true } } } });
    for (const char* thawed : { "entry-1", "side-llm-1", "side-llm-2", "side-llm-3" })
        running.signal(thawed, SIGCONT);
    waitForOffset(running, 2);
}

Test(configuration, a_daemon_frozen_through_several_notes_catches_up)
{
    cluster running(fleet(71));
    running.signal("side-llm-2", SIGSTOP);
    for (uint64_t i = 0; i < 5; ++i)
        running.appendNote(weightNoteJson("n" + std::to_string(i), i, static_cast<double>(i) + 2));
    running.waitUntil([&] { return offsetOf(running, running.entryOperator(0)) == 6; }, "the notes");
    running.signal("side-llm-2", SIGCONT);
    waitForOffset(running, 6);
}

Test(configuration, a_daemon_restarted_while_the_log_is_down_starts_from_a_peer)
{
    cluster running(fleet(72));
    running.appendNote(weightNoteJson("second", 0, 2));
    waitForOffset(running, 2);
    running.switchFakes({ { "log", { { "down", true } } } });
    running.kill("side-llm-1");
    running.start("side-llm-1");
    running.waitForTargets();
    waitForOffset(running, 2);
    checkEqual(running.ask({ .pipeline = "assistant" })->kind(), "answered");
}

Test(configuration, a_fleet_restarted_after_the_log_forgot_its_inputs_starts_from_a_snapshot)
{
    cluster_spec spec = fleet(73);
    spec.platform = { { "snapshotEveryNotes", 2 } };
    cluster running(spec);
    for (uint64_t i = 0; i < 4; ++i)
        running.appendNote(weightNoteJson("n" + std::to_string(i), i, static_cast<double>(i) + 2));
    waitForOffset(running, 5);
    running.waitUntil([&] { return running.entryMetric("bilberryseam_configuration_snapshot_offset") >= 4 || running.entryMetric("bilberryseam_configuration_snapshot_offset", 1) >= 4; }, "a snapshot");
    const auto snapshotOffset = static_cast<uint64_t>(std::max(running.entryMetric("bilberryseam_configuration_snapshot_offset"), running.entryMetric("bilberryseam_configuration_snapshot_offset", 1)));
    running.switchFakes({ { "log", { { "trim", { { "topic", "configuration" }, { "offset", snapshotOffset } } } } } });
    const std::vector<std::string> all { "entry-0", "entry-1", "side-llm-1", "side-llm-2", "side-llm-3" };
    for (const std::string& process : all)
        running.kill(process);
    for (const std::string& process : all)
        running.start(process);
    running.waitForTargets();
    waitForOffset(running, 5);
    checkEqual(running.ask({ .pipeline = "assistant" })->kind(), "answered");
}

Test(configuration, ten_operators_racing_have_one_winner_that_all_agree_on)
{
    cluster running(fleet(74));
    waitForOffset(running, 1);
    for (int i = 0; i < 10; ++i)
        running.post(running.entryOperator(i % 2), "/publish", weightNoteJson("op" + std::to_string(i), 0, i + 2));
    for (int i = 0; i < 10; ++i)
        running.post(running.entryOperator(i % 2), "/publish", { { "schema", 1 }, { "note", "own" + std::to_string(i) }, { "added", { { "accounts", { { { "name", "account-" + std::to_string(i) } } } } } } });
    waitForOffset(running, 21);
    int accepted = 0;
    for (int i = 0; i < 10; ++i) {
        const json verdict = verdictOf(running, "op" + std::to_string(i));
        cr_assert(verdict == verdictOf(running, "op" + std::to_string(i), 1));
        accepted += verdict["verdict"] == "accepted" ? 1 : 0;
        checkEqual(verdictOf(running, "own" + std::to_string(i))["verdict"], "accepted");
    }
    cr_assert_eq(accepted, 1);
    const json state = running.get(running.entryOperator(0), "/configuration");
    cr_assert(state == running.get(running.entryOperator(1), "/configuration"));
}

Test(configuration, a_lost_append_answer_is_resolved_by_publishing_again)
{
    cluster running(fleet(75));
    waitForOffset(running, 1);
    running.switchFakes({ { "log", { { "lostAppendAnswers", 1 } } } });
    const json note = weightNoteJson("second", 0, 2);
    checkEqual(running.post(running.entryOperator(0), "/publish", note)["append"], "unknown");
    running.post(running.entryOperator(0), "/publish", note);
    waitForOffset(running, 3);
    checkEqual(verdictOf(running, "second")["verdict"], "accepted");
    cr_assert_eq(verdictOf(running, "second")["offset"], 1);
}

Test(configuration, corrupt_notes_are_passed_and_a_newer_schema_stops_with_an_alarm)
{
    cluster running(fleet(76));
    running.appendNote("not a note");
    running.appendNote(weightNoteJson("good", 0, 2));
    waitForOffset(running, 3);
    json newer = weightNoteJson("newer", 2, 3);
    newer["schema"] = 2;
    running.appendNote(newer);
    running.appendNote(weightNoteJson("after", 2, 4));
    for (const std::string& port : operatorPorts(running))
        running.waitUntil([&] { return !running.get(port, "/status")["alarm"].get<std::string>().empty(); }, "the alarm");
    waitForOffset(running, 3);
    checkEqual(verdictOf(running, "after")["verdict"], "none");
    checkEqual(running.ask({ .pipeline = "assistant" })->kind(), "answered");
}

Test(configuration, requests_in_progress_finish_under_the_configuration_they_began_with)
{
    cluster running(fleet(77));
    const auto sent = running.send({ .pipeline = "assistant", .isStreamed = true });
    running.waitUntil([&] { return !sent->text().empty(); }, "the first token");
    running.appendNote({ { "schema", 1 }, { "note", "gone" }, { "withdrawn", { { "pipelines", { { { "name", "assistant" }, { "basedOn", 0 } } } }, { "accounts", { { { "name", "acme" }, { "basedOn", 0 } } } } } } });
    waitForOffset(running, 2);
    checkEqual(running.ask({ .pipeline = "assistant" })->reason(), "unknown_pipeline");
    running.waitUntil([&] { return sent->isDone; }, "an answer");
    checkEqual(sent->text(), wordsFor("hello", 50));
}

namespace {
json modelNote(const std::string& note, const char* section, const std::string& version, uint64_t basedOn)
{
    json model { { "name", "m" }, { "service", "generate" }, { "version", version } };
    if (std::string(section) == "changed")
        model["basedOn"] = basedOn;
    return { { "schema", 1 }, { "note", note }, { section, { { "models", { model } } } } };
}

void waitForVersion(cluster& running, const std::string& target, const std::string& version)
{
    running.waitUntil([&] { return running.targetCounts(target)["models"].value("m", "") == version; }, "the model version");
}
}

Test(orders_to_engines, are_repeated_until_the_engine_agrees)
{
    cluster running(fleet(78));
    running.switchFakes({ { "targets", { { "llm-1", { { "forgottenOrders", 2 } } }, { "llm-2", { { "lostOrderAnswers", 1 } } }, { "llm-3", { { "checksFencing", true } } } } } });
    running.appendNote(modelNote("load", "added", "v1", 0));
    for (const char* target : { "llm-1", "llm-2", "llm-3" })
        waitForVersion(running, target, "v1");
    running.appendNote(modelNote("upgrade", "changed", "v2", 1));
    for (const char* target : { "llm-1", "llm-2", "llm-3" })
        waitForVersion(running, target, "v2");
    running.appendNote({ { "schema", 1 }, { "note", "unload" }, { "withdrawn", { { "models", { { { "name", "m" }, { "basedOn", 2 } } } } } } });
    for (const char* target : { "llm-1", "llm-2", "llm-3" })
        waitForVersion(running, target, "");
    for (const char* target : { "llm-1", "llm-2", "llm-3" }) {
        const json counts = running.targetCounts(target);
        cr_assert_geq(counts["orders"].size(), 3u);
        for (const json& order : counts["orders"])
            cr_assert(order["old"] == false, "an order came with an old fencing number");
    }
}

Test(orders_to_engines, a_side_that_was_frozen_gives_no_old_order)
{
    cluster running(fleet(79));
    running.appendNote(modelNote("load", "added", "v1", 0));
    waitForVersion(running, "llm-1", "v1");
    running.signal("side-llm-1", SIGSTOP);
    running.appendNote(modelNote("upgrade", "changed", "v2", 1));
    waitForVersion(running, "llm-2", "v2");
    // Another side has taken the engine over and obeyed the newer note; this engine checks no fences.
    const json llm = running.firstNote()["added"]["targets"][0];
    running.post(llm["address"], "/v1/orders", { { "action", "load" }, { "name", "m" }, { "version", "v2" }, { "fence", 3 } });
    running.runFor(milliseconds(2000));
    // The newer note reaches the thawed side late: its peers are frozen and the log is slow.
    running.signal("entry-0", SIGSTOP);
    running.signal("entry-1", SIGSTOP);
    running.switchFakes({ { "log", { { "delayMs", 1500 } } } });
    running.signal("side-llm-1", SIGCONT);
    running.runFor(milliseconds(2000));
    running.signal("entry-0", SIGCONT);
    running.signal("entry-1", SIGCONT);
    waitForOffset(running, 3);
    running.runFor(milliseconds(1000));
    const json counts = running.targetCounts("llm-1");
    cr_assert_geq(counts["orders"].size(), 2u);
    for (const json& order : counts["orders"])
        cr_assert(order["old"] == false, "the frozen side gave an old order");
    checkEqual(running.targetCounts("llm-1")["models"]["m"], "v2");
}
