/// Calls that may not be repeated, under every failure that could repeat them.
#include "support/check.hpp"
#include "support/cluster.hpp"

#include <criterion/criterion.h>
#include <csignal>
#include <set>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
cluster_spec bookingDesk(int slot, json behaviour = json::object())
{
    cluster_spec spec;
    spec.slot = slot;
    spec.entries = 2;
    for (const char* name : { "book-1", "book-2" })
        spec.targets.push_back({ .name = name, .service = "book", .kind = "plain", .behaviour = behaviour, .isRepeatable = false });
    spec.pipelines = json::array({ pipelineOf("booking", { "book" }) });
    spec.accounts = json::array({ { { "name", "acme" } }, { { "name", "other" } } });
    return spec;
}

const json seat { { "seat", 12 } };

/// @return How often the calls of all keys ran at all targets.
int runsOf(cluster& running)
{
    return running.targetCounts("book-1")["runs"].get<int>() + running.targetCounts("book-2")["runs"].get<int>();
}

question booking(const std::string& key, int entry = 0)
{
    return { .pipeline = "booking", .input = seat, .key = key, .deadlineMs = 3000, .entry = entry };
}

/// @return The side whose target has the running call.
std::string busyTarget(cluster& running)
{
    std::string busy;
    running.waitUntil(
        [&] {
            for (const char* name : { "book-1", "book-2" }) {
                if (running.targetCounts(name)["runs"] == 1)
                    busy = name;
            }
            return !busy.empty();
        },
        "the call at a target");
    return busy;
}

int claimAppends(cluster& running)
{
    const json streams = running.fakeCounts()["log"]["topics"];
    return streams.contains("claims") ? streams["claims"]["end"].get<int>() : 0;
}
}

Test(at_most_once, a_repeat_gets_the_first_answer)
{
    cluster running(bookingDesk(20));
    const std::string key = keyNow("a");
    const auto first = running.ask(booking(key));
    const auto second = running.ask(booking(key, 1));
    checkEqual(first->kind(), "answered");
    checkEqual(second->kind(), "answered");
    cr_assert(first->outcome()["output"] == second->outcome()["output"]);
    cr_assert_eq(runsOf(running), 1);
}

Test(at_most_once, two_entries_with_one_key_at_the_same_time)
{
    cluster running(bookingDesk(21, { { "latencyMs", 200 } }));
    const std::string key = keyNow("b");
    const auto first = running.send(booking(key, 0));
    const auto second = running.send(booking(key, 1));
    running.waitUntil([&] { return first->isDone && second->isDone; }, "both answers");
    checkEqual(first->kind(), "answered");
    checkEqual(second->kind(), "answered");
    cr_assert_eq(runsOf(running), 1);
}

Test(at_most_once, side_killed_before_its_claim_is_in_the_log)
{
    cluster running(bookingDesk(22));
    running.switchFakes({ { "log", { { "delayMs", 400 } } } });
    const auto sent = running.send(booking(keyNow("c")));
    running.runFor(milliseconds(100));
    running.kill("side-book-1");
    running.kill("side-book-2");
    running.waitUntil([&] { return sent->isDone; }, "an answer");
    checkEqual(sent->kind(), "unknown");
    cr_assert_eq(runsOf(running), 0);
}

Test(at_most_once, side_killed_while_the_target_acts)
{
    cluster running(bookingDesk(23, { { "latencyMs", 600 } }));
    const std::string key = keyNow("d");
    const auto sent = running.send(booking(key));
    const std::string busy = busyTarget(running);
    running.kill("side-" + busy);
    running.waitUntil([&] { return sent->isDone; }, "an answer");
    checkEqual(sent->kind(), "unknown");
    running.start("side-" + busy);
    running.waitForTargets();
    for (int entry : { 0, 1 })
        checkEqual(running.ask(booking(key, entry))->kind(), "unknown");
    cr_assert_eq(runsOf(running), 1);
}

Test(at_most_once, side_killed_after_the_answer)
{
    cluster running(bookingDesk(24));
    const std::string key = keyNow("e");
    checkEqual(running.ask(booking(key))->kind(), "answered");
    running.waitUntil([&] { return claimAppends(running) == 2; }, "the answer in the log");
    const std::string busy = busyTarget(running);
    running.kill("side-" + busy);
    running.start("side-" + busy);
    running.waitForTargets();
    checkEqual(running.ask(booking(key, 1))->kind(), "answered");
    cr_assert_eq(runsOf(running), 1);
}

Test(at_most_once, the_target_acts_and_its_answer_is_lost)
{
    cluster running(bookingDesk(25, { { "lostAnswers", 1 } }));
    const std::string key = keyNow("f");
    checkEqual(running.ask(booking(key))->kind(), "unknown");
    checkEqual(running.ask(booking(key, 1))->kind(), "unknown");
    cr_assert_eq(runsOf(running), 1);
}

Test(at_most_once, the_answer_to_an_append_is_lost)
{
    cluster running(bookingDesk(26));
    running.switchFakes({ { "log", { { "lostAppendAnswers", 1 } } } });
    checkEqual(running.ask(booking(keyNow("g")))->kind(), "answered");
    cr_assert_eq(runsOf(running), 1);
}

Test(at_most_once, the_log_is_slow)
{
    cluster running(bookingDesk(27));
    running.switchFakes({ { "log", { { "delayMs", 300 } } } });
    checkEqual(running.ask(booking(keyNow("h")))->kind(), "answered");
    cr_assert_eq(runsOf(running), 1);
}

Test(at_most_once, the_log_is_down_and_back)
{
    cluster running(bookingDesk(28));
    running.switchFakes({ { "log", { { "down", true } } } });
    const std::string key = keyNow("i");
    const auto refused = running.ask(booking(key));
    checkEqual(refused->kind(), "not_run");
    checkEqual(refused->reason(), "log_unavailable");
    cr_assert_eq(refused->reply.status, 503u);
    cr_assert_eq(runsOf(running), 0);
    running.switchFakes({ { "log", { { "down", false } } } });
    running.waitUntil([&] { return running.ask(booking(key))->kind() == "answered"; }, "the log to count as available");
    cr_assert_eq(runsOf(running), 1);
}

Test(at_most_once, a_side_frozen_between_claim_and_start)
{
    cluster running(bookingDesk(29));
    running.switchFakes({ { "log", { { "delayMs", 300 } } } });
    const std::string key = keyNow("j");
    const int before = claimAppends(running);
    const auto sent = running.send(booking(key));
    running.waitUntil([&] { return claimAppends(running) > before; }, "the claim in the log");
    running.signal("side-book-1", SIGSTOP);
    running.signal("side-book-2", SIGSTOP);
    running.waitUntil([&] { return sent->isDone; }, "an answer");
    checkEqual(sent->kind(), "unknown");
    running.signal("side-book-1", SIGCONT);
    running.signal("side-book-2", SIGCONT);
    running.switchFakes({ { "log", { { "delayMs", 0 } } } });
    running.waitForTargets();
    running.waitUntil([&] { return running.ask(booking(key, 1))->kind() == "answered"; }, "the frozen claim to be released");
    cr_assert_eq(runsOf(running), 1);
}

Test(at_most_once, the_log_forgets_claims_within_the_window)
{
    cluster running(bookingDesk(30));
    const std::string key = std::to_string(wallNow().time_since_epoch().count() - 60000) + "-k";
    checkEqual(running.ask(booking(key))->kind(), "answered");
    running.waitUntil([&] { return claimAppends(running) == 2; }, "the answer in the log");
    running.switchFakes({ { "log", { { "trim", { { "topic", "claims" }, { "offset", 2 } } } } } });
    for (const char* side : { "side-book-1", "side-book-2" }) {
        running.kill(side);
        running.start(side);
    }
    running.waitForTargets();
    const auto repeat = running.ask(booking(key));
    checkEqual(repeat->kind(), "unknown");
    cr_assert_eq(runsOf(running), 1);
}

Test(at_most_once, keys_of_two_accounts_do_not_collide)
{
    cluster running(bookingDesk(31));
    question asked = booking(keyNow("l"));
    checkEqual(running.ask(asked)->kind(), "answered");
    asked.account = "other";
    checkEqual(running.ask(asked)->kind(), "answered");
    cr_assert_eq(runsOf(running), 2);
}

Test(at_most_once, a_key_used_for_another_question_is_refused)
{
    cluster running(bookingDesk(32));
    question asked = booking(keyNow("m"));
    checkEqual(running.ask(asked)->kind(), "answered");
    asked.input = { { "seat", 13 } };
    const auto refused = running.ask(asked);
    checkEqual(refused->kind(), "not_run");
    checkEqual(refused->reason(), "key_reused");
    cr_assert_eq(runsOf(running), 1);
}

Test(at_most_once, a_target_that_is_down_frees_the_key)
{
    cluster running(bookingDesk(33, { { "restartMs", 60000 } }));
    running.switchFakes({ { "targets", { { "book-1", { { "die", true } } } } } });
    for (int i = 0; i < 6; ++i)
        checkEqual(running.ask(booking(keyNow("n" + std::to_string(i))))->kind(), "answered");
    cr_assert_eq(running.targetCounts("book-2")["runs"], 6);
}

Test(at_most_once, an_expired_key_is_refused_as_unknown)
{
    cluster running(bookingDesk(34));
    const auto refused = running.ask(booking("1000-old"));
    checkEqual(refused->kind(), "unknown");
    checkEqual(refused->reason(), "key_expired");
    cr_assert_eq(runsOf(running), 0);
}

Test(at_most_once, a_side_that_drains_after_its_claim_frees_the_key)
{
    cluster running(bookingDesk(35));
    running.switchFakes({ { "log", { { "delayMs", 300 } } } });
    std::vector<std::shared_ptr<sent_request>> sent;
    for (int i = 0; i < 4; ++i) {
        question asked = booking(keyNow("o" + std::to_string(i)));
        asked.deadlineMs = 11000;
        sent.push_back(running.send(asked));
    }
    running.runFor(milliseconds(100));
    running.post(running.sideOperator("book-1"), "/drain", json::object());
    for (const auto& one : sent) {
        running.waitUntil([&] { return one->isDone; }, "an answer");
        checkEqual(one->kind(), "answered");
    }
    cr_assert_eq(running.targetCounts("book-1")["runs"], 0);
    cr_assert_eq(running.targetCounts("book-2")["runs"], 4);
}
