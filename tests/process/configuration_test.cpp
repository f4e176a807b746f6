/// All daemons reach the same configuration when the log or daemons fail and when operators publish conflicting or
/// invalid notes. Sides send engines no outdated orders.
#include "support/check.hpp"
#include "support/cluster.hpp"
#include "support/notes.hpp"

#include <criterion/criterion.h>
#include <csignal>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
cluster_spec fleetSpec(int slot)
{
    cluster_spec spec;
    spec.slot = slot;
    spec.entries = 2;
    for (const char* name : { "llm-1", "llm-2", "llm-3" })
        spec.targets.push_back({ .name = name, .service = "generate", .kind = "engine", .behaviour = { { "tokenMs", 10 } } });
    spec.pipelines = json::array({ pipelineOf("assistant", { "generate" }, 50) });
    return spec;
}

std::vector<std::string> operatorAddresses(const cluster& deployment)
{
    return { deployment.entryOperator(0), deployment.entryOperator(1), deployment.sideOperator("llm-1"), deployment.sideOperator("llm-2"), deployment.sideOperator("llm-3") };
}

uint64_t offsetOf(cluster& deployment, const std::string& address)
{
    const json status = deployment.get(address, "/status");
    return status.is_object() ? status["configurationOffset"].get<uint64_t>() : 0;
}

void waitForOffset(cluster& deployment, uint64_t offset)
{
    for (const std::string& address : operatorAddresses(deployment))
        deployment.waitUntil([&] { return offsetOf(deployment, address) == offset; }, "the offset at all daemons");
}

json verdictOf(cluster& deployment, const std::string& note, int entry = 0)
{
    return deployment.get(deployment.entryOperator(entry), "/verdict?note=" + note);
}
}

Test(configuration, peers_forward_a_note_while_the_log_is_down)
{
    cluster deployment(fleetSpec(70));
    waitForOffset(deployment, 1);
    for (const char* process : { "entry-1", "side-llm-1", "side-llm-2", "side-llm-3" })
        deployment.signal(process, SIGSTOP);
    deployment.appendNote(weightNoteJson("second", 0, 2));
    deployment.waitUntil([&] { return offsetOf(deployment, deployment.entryOperator(0)) == 2; }, "the note at one daemon");
    deployment.switchFakes({ { "log", { { "down", true } } } });
    for (const char* process : { "entry-1", "side-llm-1", "side-llm-2", "side-llm-3" })
        deployment.signal(process, SIGCONT);
    waitForOffset(deployment, 2);
}

Test(configuration, a_daemon_frozen_during_several_notes_catches_up)
{
    cluster deployment(fleetSpec(71));
    deployment.signal("side-llm-2", SIGSTOP);
    for (uint64_t i = 0; i < 5; ++i)
        deployment.appendNote(weightNoteJson("n" + std::to_string(i), i, static_cast<double>(i) + 2));
    deployment.waitUntil([&] { return offsetOf(deployment, deployment.entryOperator(0)) == 6; }, "the notes");
    deployment.signal("side-llm-2", SIGCONT);
    waitForOffset(deployment, 6);
}

Test(configuration, a_daemon_restarted_while_the_log_is_down_starts_from_a_peer)
{
    cluster deployment(fleetSpec(72));
    deployment.appendNote(weightNoteJson("second", 0, 2));
    waitForOffset(deployment, 2);
    deployment.switchFakes({ { "log", { { "down", true } } } });
    deployment.kill("side-llm-1");
    deployment.start("side-llm-1");
    deployment.waitForTargets();
    waitForOffset(deployment, 2);
    checkEqual(deployment.sendAndWait({ .pipeline = "assistant" })->outcomeName(), "answered");
}

Test(configuration, all_daemons_restarted_after_the_log_was_trimmed_start_from_a_snapshot)
{
    cluster_spec spec = fleetSpec(73);
    spec.platform = { { "snapshotEveryNotes", 2 } };
    cluster deployment(spec);
    for (uint64_t i = 0; i < 4; ++i)
        deployment.appendNote(weightNoteJson("n" + std::to_string(i), i, static_cast<double>(i) + 2));
    waitForOffset(deployment, 5);
    deployment.waitUntil([&] { return deployment.entryMetric("bilberryseam_configuration_snapshot_offset") >= 4 || deployment.entryMetric("bilberryseam_configuration_snapshot_offset", 1) >= 4; }, "a snapshot");
    const auto snapshotOffset = static_cast<uint64_t>(std::max(deployment.entryMetric("bilberryseam_configuration_snapshot_offset"), deployment.entryMetric("bilberryseam_configuration_snapshot_offset", 1)));
    deployment.switchFakes({ { "log", { { "trim", { { "topic", "configuration" }, { "offset", snapshotOffset } } } } } });
    const std::vector<std::string> processes { "entry-0", "entry-1", "side-llm-1", "side-llm-2", "side-llm-3" };
    for (const std::string& process : processes)
        deployment.kill(process);
    for (const std::string& process : processes)
        deployment.start(process);
    deployment.waitForTargets();
    waitForOffset(deployment, 5);
    checkEqual(deployment.sendAndWait({ .pipeline = "assistant" })->outcomeName(), "answered");
}

Test(configuration, one_of_ten_conflicting_notes_is_accepted_everywhere)
{
    cluster deployment(fleetSpec(74));
    waitForOffset(deployment, 1);
    for (int i = 0; i < 10; ++i)
        deployment.post(deployment.entryOperator(i % 2), "/publish", weightNoteJson("op" + std::to_string(i), 0, i + 2));
    for (int i = 0; i < 10; ++i)
        deployment.post(deployment.entryOperator(i % 2), "/publish", { { "schema", 1 }, { "note", "own" + std::to_string(i) }, { "added", { { "accounts", { { { "name", "account-" + std::to_string(i) } } } } } } });
    waitForOffset(deployment, 21);
    int acceptedCount = 0;
    for (int i = 0; i < 10; ++i) {
        const json verdict = verdictOf(deployment, "op" + std::to_string(i));
        cr_assert(verdict == verdictOf(deployment, "op" + std::to_string(i), 1));
        acceptedCount += verdict["verdict"] == "accepted" ? 1 : 0;
        checkEqual(verdictOf(deployment, "own" + std::to_string(i))["verdict"], "accepted");
    }
    cr_assert_eq(acceptedCount, 1);
    const json state = deployment.get(deployment.entryOperator(0), "/configuration");
    cr_assert(state == deployment.get(deployment.entryOperator(1), "/configuration"));
}

Test(configuration, a_lost_append_response_is_resolved_by_publishing_again)
{
    cluster deployment(fleetSpec(75));
    waitForOffset(deployment, 1);
    deployment.switchFakes({ { "log", { { "lostAppendAnswers", 1 } } } });
    const json note = weightNoteJson("second", 0, 2);
    checkEqual(deployment.post(deployment.entryOperator(0), "/publish", note)["append"], "unknown");
    deployment.post(deployment.entryOperator(0), "/publish", note);
    waitForOffset(deployment, 3);
    checkEqual(verdictOf(deployment, "second")["verdict"], "accepted");
    cr_assert_eq(verdictOf(deployment, "second")["offset"], 1);
}

Test(configuration, corrupt_notes_are_skipped_and_a_newer_schema_raises_an_alarm)
{
    cluster deployment(fleetSpec(76));
    deployment.appendNote("not a note");
    deployment.appendNote(weightNoteJson("good", 0, 2));
    waitForOffset(deployment, 3);
    json newerNote = weightNoteJson("newer", 2, 3);
    newerNote["schema"] = 2;
    deployment.appendNote(newerNote);
    deployment.appendNote(weightNoteJson("after", 2, 4));
    for (const std::string& address : operatorAddresses(deployment))
        deployment.waitUntil([&] { return !deployment.get(address, "/status")["alarm"].get<std::string>().empty(); }, "the alarm");
    waitForOffset(deployment, 3);
    checkEqual(verdictOf(deployment, "after")["verdict"], "none");
    checkEqual(deployment.sendAndWait({ .pipeline = "assistant" })->outcomeName(), "answered");
}

Test(configuration, requests_in_progress_finish_under_the_configuration_they_started_with)
{
    cluster deployment(fleetSpec(77));
    const auto request = deployment.send({ .pipeline = "assistant", .isStreamed = true });
    deployment.waitUntil([&] { return !request->text().empty(); }, "the first token");
    deployment.appendNote({ { "schema", 1 }, { "note", "gone" }, { "withdrawn", { { "pipelines", { { { "name", "assistant" }, { "basedOn", 0 } } } }, { "accounts", { { { "name", "acme" }, { "basedOn", 0 } } } } } } });
    waitForOffset(deployment, 2);
    checkEqual(deployment.sendAndWait({ .pipeline = "assistant" })->reason(), "unknown_pipeline");
    deployment.waitUntil([&] { return request->isDone; }, "the response");
    checkEqual(request->text(), wordsFor("hello", 50));
}

namespace {
json modelNote(const std::string& note, const char* section, const std::string& version, uint64_t basedOn)
{
    json model { { "name", "m" }, { "service", "generate" }, { "version", version } };
    if (std::string(section) == "changed")
        model["basedOn"] = basedOn;
    return { { "schema", 1 }, { "note", note }, { section, { { "models", { model } } } } };
}

void waitForVersion(cluster& deployment, const std::string& target, const std::string& version)
{
    deployment.waitUntil([&] { return deployment.targetCounts(target)["models"].value("m", "") == version; }, "the model version");
}
}

Test(orders_to_engines, are_sent_again_until_the_engine_reports_the_desired_model)
{
    cluster deployment(fleetSpec(78));
    deployment.switchFakes({ { "targets", { { "llm-1", { { "forgottenOrders", 2 } } }, { "llm-2", { { "lostOrderAnswers", 1 } } }, { "llm-3", { { "checksFencing", true } } } } } });
    deployment.appendNote(modelNote("load", "added", "v1", 0));
    for (const char* target : { "llm-1", "llm-2", "llm-3" })
        waitForVersion(deployment, target, "v1");
    deployment.appendNote(modelNote("upgrade", "changed", "v2", 1));
    for (const char* target : { "llm-1", "llm-2", "llm-3" })
        waitForVersion(deployment, target, "v2");
    deployment.appendNote({ { "schema", 1 }, { "note", "unload" }, { "withdrawn", { { "models", { { { "name", "m" }, { "basedOn", 2 } } } } } } });
    for (const char* target : { "llm-1", "llm-2", "llm-3" })
        waitForVersion(deployment, target, "");
    for (const char* target : { "llm-1", "llm-2", "llm-3" }) {
        const json counts = deployment.targetCounts(target);
        cr_assert_geq(counts["orders"].size(), 3u);
        for (const json& order : counts["orders"])
            cr_assert(order["old"] == false, "an order carried an outdated fencing token");
    }
}

Test(orders_to_engines, a_side_that_was_frozen_sends_no_outdated_order)
{
    cluster deployment(fleetSpec(79));
    deployment.appendNote(modelNote("load", "added", "v1", 0));
    waitForVersion(deployment, "llm-1", "v1");
    deployment.signal("side-llm-1", SIGSTOP);
    deployment.appendNote(modelNote("upgrade", "changed", "v2", 1));
    waitForVersion(deployment, "llm-2", "v2");
    // Another side has taken over the engine and loaded the newer version; this engine does not check fencing tokens.
    const json target = deployment.firstNote()["added"]["targets"][0];
    deployment.post(target["address"], "/v1/orders", { { "action", "load" }, { "name", "m" }, { "version", "v2" }, { "fence", 3 } });
    deployment.runFor(milliseconds(2000));
    // The resumed side receives the newer note late: its peers are frozen and the log is slow.
    deployment.signal("entry-0", SIGSTOP);
    deployment.signal("entry-1", SIGSTOP);
    deployment.switchFakes({ { "log", { { "delayMs", 1500 } } } });
    deployment.signal("side-llm-1", SIGCONT);
    deployment.runFor(milliseconds(2000));
    deployment.signal("entry-0", SIGCONT);
    deployment.signal("entry-1", SIGCONT);
    waitForOffset(deployment, 3);
    deployment.runFor(milliseconds(1000));
    const json counts = deployment.targetCounts("llm-1");
    cr_assert_geq(counts["orders"].size(), 2u);
    for (const json& order : counts["orders"])
        cr_assert(order["old"] == false, "the frozen side sent an outdated order");
    checkEqual(deployment.targetCounts("llm-1")["models"]["m"], "v2");
}
