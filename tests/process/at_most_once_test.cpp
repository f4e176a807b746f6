/// Calls of services that are not retryable run at most once per idempotency key, whichever of the sides, the targets or
/// the log fails.
#include "support/check.hpp"
#include "support/cluster.hpp"

#include <criterion/criterion.h>
#include <csignal>
#include <set>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
cluster_spec bookingSpec(int slot, json behaviour = json::object())
{
    cluster_spec spec;
    spec.slot = slot;
    spec.entries = 2;
    for (const char* name : { "book-1", "book-2" })
        spec.targets.push_back({ .name = name, .service = "book", .kind = "plain", .behaviour = behaviour, .isRetryable = false });
    spec.pipelines = json::array({ pipelineOf("booking", { "book" }) });
    spec.accounts = json::array({ { { "name", "acme" } }, { { "name", "other" } } });
    return spec;
}

const json bookingInput { { "seat", 12 } };

/// @return The number of runs at both targets, over all keys.
int totalRuns(cluster& deployment)
{
    return deployment.targetCounts("book-1")["runs"].get<int>() + deployment.targetCounts("book-2")["runs"].get<int>();
}

request_spec booking(const std::string& key, int entry = 0)
{
    return { .pipeline = "booking", .input = bookingInput, .key = key, .deadlineMs = 3000, .entry = entry };
}

/// @return The target that has run the call or is running it.
std::string runningTarget(cluster& deployment)
{
    std::string target;
    deployment.waitUntil(
        [&] {
            for (const char* name : { "book-1", "book-2" }) {
                if (deployment.targetCounts(name)["runs"] == 1)
                    target = name;
            }
            return !target.empty();
        },
        "the call to reach a target");
    return target;
}

int claimRecordCount(cluster& deployment)
{
    const json streams = deployment.fakeCounts()["log"]["topics"];
    return streams.contains("claims") ? streams["claims"]["end"].get<int>() : 0;
}
}

Test(at_most_once, a_duplicate_request_gets_the_stored_response)
{
    cluster deployment(bookingSpec(20));
    const std::string key = newIdempotencyKey("a");
    const auto firstRequest = deployment.sendAndWait(booking(key));
    const auto secondRequest = deployment.sendAndWait(booking(key, 1));
    checkEqual(firstRequest->outcomeName(), "answered");
    checkEqual(secondRequest->outcomeName(), "answered");
    cr_assert(firstRequest->outcome()["output"] == secondRequest->outcome()["output"]);
    cr_assert_eq(totalRuns(deployment), 1);
}

Test(at_most_once, concurrent_requests_with_one_key_through_two_entries_run_once)
{
    cluster deployment(bookingSpec(21, { { "latencyMs", 200 } }));
    const std::string key = newIdempotencyKey("b");
    const auto firstRequest = deployment.send(booking(key, 0));
    const auto secondRequest = deployment.send(booking(key, 1));
    deployment.waitUntil([&] { return firstRequest->isDone && secondRequest->isDone; }, "both responses");
    checkEqual(firstRequest->outcomeName(), "answered");
    checkEqual(secondRequest->outcomeName(), "answered");
    cr_assert_eq(totalRuns(deployment), 1);
}

Test(at_most_once, a_side_killed_before_its_claim_is_in_the_log_runs_nothing)
{
    cluster deployment(bookingSpec(22));
    deployment.switchFakes({ { "log", { { "delayMs", 400 } } } });
    const auto request = deployment.send(booking(newIdempotencyKey("c")));
    deployment.runFor(milliseconds(100));
    deployment.kill("side-book-1");
    deployment.kill("side-book-2");
    deployment.waitUntil([&] { return request->isDone; }, "the response");
    checkEqual(request->outcomeName(), "unknown");
    cr_assert_eq(totalRuns(deployment), 0);
}

Test(at_most_once, a_side_killed_while_the_target_runs_the_call_leaves_the_outcome_unknown)
{
    cluster deployment(bookingSpec(23, { { "latencyMs", 600 } }));
    const std::string key = newIdempotencyKey("d");
    const auto request = deployment.send(booking(key));
    const std::string target = runningTarget(deployment);
    deployment.kill("side-" + target);
    deployment.waitUntil([&] { return request->isDone; }, "the response");
    checkEqual(request->outcomeName(), "unknown");
    deployment.start("side-" + target);
    deployment.waitForTargets();
    for (int entry : { 0, 1 })
        checkEqual(deployment.sendAndWait(booking(key, entry))->outcomeName(), "unknown");
    cr_assert_eq(totalRuns(deployment), 1);
}

Test(at_most_once, a_stored_response_survives_the_kill_of_its_side)
{
    cluster deployment(bookingSpec(24));
    const std::string key = newIdempotencyKey("e");
    checkEqual(deployment.sendAndWait(booking(key))->outcomeName(), "answered");
    deployment.waitUntil([&] { return claimRecordCount(deployment) == 2; }, "the response in the log");
    const std::string target = runningTarget(deployment);
    deployment.kill("side-" + target);
    deployment.start("side-" + target);
    deployment.waitForTargets();
    checkEqual(deployment.sendAndWait(booking(key, 1))->outcomeName(), "answered");
    cr_assert_eq(totalRuns(deployment), 1);
}

Test(at_most_once, a_lost_response_of_the_target_leaves_the_outcome_unknown)
{
    cluster deployment(bookingSpec(25, { { "lostAnswers", 1 } }));
    const std::string key = newIdempotencyKey("f");
    checkEqual(deployment.sendAndWait(booking(key))->outcomeName(), "unknown");
    checkEqual(deployment.sendAndWait(booking(key, 1))->outcomeName(), "unknown");
    cr_assert_eq(totalRuns(deployment), 1);
}

Test(at_most_once, a_lost_response_to_an_append_does_not_fail_the_call)
{
    cluster deployment(bookingSpec(26));
    deployment.switchFakes({ { "log", { { "lostAppendAnswers", 1 } } } });
    checkEqual(deployment.sendAndWait(booking(newIdempotencyKey("g")))->outcomeName(), "answered");
    cr_assert_eq(totalRuns(deployment), 1);
}

Test(at_most_once, a_slow_log_only_delays_the_call)
{
    cluster deployment(bookingSpec(27));
    deployment.switchFakes({ { "log", { { "delayMs", 300 } } } });
    checkEqual(deployment.sendAndWait(booking(newIdempotencyKey("h")))->outcomeName(), "answered");
    cr_assert_eq(totalRuns(deployment), 1);
}

Test(at_most_once, a_call_is_refused_while_the_log_is_down_and_runs_once_it_is_back)
{
    cluster deployment(bookingSpec(28));
    deployment.switchFakes({ { "log", { { "down", true } } } });
    const std::string key = newIdempotencyKey("i");
    const auto request = deployment.sendAndWait(booking(key));
    checkEqual(request->outcomeName(), "not_run");
    checkEqual(request->reason(), "log_unavailable");
    cr_assert_eq(request->reply.status, 503u);
    cr_assert_eq(totalRuns(deployment), 0);
    deployment.switchFakes({ { "log", { { "down", false } } } });
    deployment.waitUntil([&] { return deployment.sendAndWait(booking(key))->outcomeName() == "answered"; }, "the log to be available again");
    cr_assert_eq(totalRuns(deployment), 1);
}

Test(at_most_once, a_side_frozen_between_claim_and_start_does_not_run_the_call_late)
{
    cluster deployment(bookingSpec(29));
    deployment.switchFakes({ { "log", { { "delayMs", 300 } } } });
    const std::string key = newIdempotencyKey("j");
    const int recordsBefore = claimRecordCount(deployment);
    const auto request = deployment.send(booking(key));
    deployment.waitUntil([&] { return claimRecordCount(deployment) > recordsBefore; }, "the claim in the log");
    deployment.signal("side-book-1", SIGSTOP);
    deployment.signal("side-book-2", SIGSTOP);
    deployment.waitUntil([&] { return request->isDone; }, "the response");
    checkEqual(request->outcomeName(), "unknown");
    deployment.signal("side-book-1", SIGCONT);
    deployment.signal("side-book-2", SIGCONT);
    deployment.switchFakes({ { "log", { { "delayMs", 0 } } } });
    deployment.waitForTargets();
    deployment.waitUntil([&] { return deployment.sendAndWait(booking(key, 1))->outcomeName() == "answered"; }, "the claim of the frozen side to be released");
    cr_assert_eq(totalRuns(deployment), 1);
}

Test(at_most_once, claims_deleted_within_the_window_leave_the_outcome_unknown)
{
    cluster deployment(bookingSpec(30));
    const std::string key = std::to_string(wallNow().time_since_epoch().count() - 60000) + "-k";
    checkEqual(deployment.sendAndWait(booking(key))->outcomeName(), "answered");
    deployment.waitUntil([&] { return claimRecordCount(deployment) == 2; }, "the response in the log");
    deployment.switchFakes({ { "log", { { "trim", { { "topic", "claims" }, { "offset", 2 } } } } } });
    for (const char* side : { "side-book-1", "side-book-2" }) {
        deployment.kill(side);
        deployment.start(side);
    }
    deployment.waitForTargets();
    const auto duplicate = deployment.sendAndWait(booking(key));
    checkEqual(duplicate->outcomeName(), "unknown");
    cr_assert_eq(totalRuns(deployment), 1);
}

Test(at_most_once, keys_of_two_accounts_do_not_collide)
{
    cluster deployment(bookingSpec(31));
    request_spec bookingRequest = booking(newIdempotencyKey("l"));
    checkEqual(deployment.sendAndWait(bookingRequest)->outcomeName(), "answered");
    bookingRequest.account = "other";
    checkEqual(deployment.sendAndWait(bookingRequest)->outcomeName(), "answered");
    cr_assert_eq(totalRuns(deployment), 2);
}

Test(at_most_once, a_key_reused_with_another_input_is_refused)
{
    cluster deployment(bookingSpec(32));
    request_spec bookingRequest = booking(newIdempotencyKey("m"));
    checkEqual(deployment.sendAndWait(bookingRequest)->outcomeName(), "answered");
    bookingRequest.input = { { "seat", 13 } };
    const auto request = deployment.sendAndWait(bookingRequest);
    checkEqual(request->outcomeName(), "not_run");
    checkEqual(request->reason(), "key_reused");
    cr_assert_eq(totalRuns(deployment), 1);
}

Test(at_most_once, a_target_that_is_down_releases_the_key)
{
    cluster deployment(bookingSpec(33, { { "restartMs", 60000 } }));
    deployment.switchFakes({ { "targets", { { "book-1", { { "die", true } } } } } });
    for (int i = 0; i < 6; ++i)
        checkEqual(deployment.sendAndWait(booking(newIdempotencyKey("n" + std::to_string(i))))->outcomeName(), "answered");
    cr_assert_eq(deployment.targetCounts("book-2")["runs"], 6);
}

Test(at_most_once, an_expired_key_is_refused_as_unknown)
{
    cluster deployment(bookingSpec(34));
    const auto request = deployment.sendAndWait(booking("1000-old"));
    checkEqual(request->outcomeName(), "unknown");
    checkEqual(request->reason(), "key_expired");
    cr_assert_eq(totalRuns(deployment), 0);
}

Test(at_most_once, a_side_that_drains_after_its_claim_releases_the_key)
{
    cluster deployment(bookingSpec(35));
    deployment.switchFakes({ { "log", { { "delayMs", 300 } } } });
    std::vector<std::shared_ptr<sent_request>> requests;
    for (int i = 0; i < 4; ++i) {
        request_spec bookingRequest = booking(newIdempotencyKey("o" + std::to_string(i)));
        bookingRequest.deadlineMs = 11000;
        requests.push_back(deployment.send(bookingRequest));
    }
    deployment.runFor(milliseconds(100));
    deployment.post(deployment.sideOperator("book-1"), "/drain", json::object());
    for (const auto& request : requests) {
        deployment.waitUntil([&] { return request->isDone; }, "the response");
        checkEqual(request->outcomeName(), "answered");
    }
    cr_assert_eq(deployment.targetCounts("book-1")["runs"], 0);
    cr_assert_eq(deployment.targetCounts("book-2")["runs"], 4);
}
