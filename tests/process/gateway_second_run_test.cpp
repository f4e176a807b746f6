/// Second runs that fail after they have delivered a part of the response, while the first target would have gone on.
#include "support/scripted_target.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
using exchange_ptr = std::shared_ptr<http1::exchange>;

constexpr std::string_view threeEvents = "id: 1\ndata: text 1\n\nid: 2\ndata: text 2\n\nid: 3\ndata: text 3\n\n";

/// Longer than the gateway waits for a byte before it treats a target as silent.
constexpr milliseconds silence { 2000 };

std::string lastEventIdOf(const http1::exchange& exchange)
{
    return std::string(http1::findHeader(exchange.head().headers, "Last-Event-Id").value_or(""));
}

/// Two targets. The first run sends event 1, is silent, and then goes on with the events 2 and 3; the third run sends event 3.
struct second_run {
    explicit second_run(int slot, const json& bounds = json::object())
        : deployment(slot)
    {
        for (const char* id : { "t-1", "t-2" }) {
            auto& target = deployment.addTarget(id, "model");
            target.setRequestHandler([this, &target](const exchange_ptr& exchange) { handle(target, exchange); });
        }
        deployment.configure(3, { resumableRoute({ { "timeout_ms", 15000 } }) });
        deployment.startGateway(bounds);
        deployment.waitUntilReady();
    }

    void handle(fakes::platform_target& target, const exchange_ptr& exchange)
    {
        targetIds.push_back(target.id());
        lastEventIds.push_back(lastEventIdOf(*exchange));
        exchange->startChunked(200, target.responseHeaders(*exchange));
        if (lastEventIds.size() == 1) {
            exchange->writeChunk(event(1));
            timers.emplace_back().startOnce(silence, [exchange] {
                if (exchange->isFinished())
                    return;
                exchange->writeChunk(event(2) + event(3));
                exchange->finishChunked();
            });
        } else if (lastEventIds.size() == 2)
            onSecondRun(exchange);
        else {
            exchange->writeChunk(event(3));
            exchange->finishChunked();
        }
    }

    void checkWhole()
    {
        const caller_ptr stream = deployment.sendAndWait("POST", "/m/1", { { "X-Deadline-Ms", "15000" } });
        cr_assert_eq(stream->body, std::string(threeEvents), "the caller received: %s", stream->body.c_str());
        cr_assert_eq(stream->outcome, http1::call_outcome::Complete);
    }

    /// Checks that the third run continued the second one at the target of the first.
    void checkReturned() const
    {
        cr_assert(targetIds.size() == 3, "%zu runs", targetIds.size());
        cr_assert_eq(targetIds[0], targetIds[2]);
        cr_assert_neq(targetIds[0], targetIds[1]);
        cr_assert_eq(lastEventIds[2], "2");
    }

    deployment_fixture deployment;
    std::function<void(const exchange_ptr&)> onSecondRun;
    std::vector<std::string> targetIds;
    std::vector<std::string> lastEventIds;
    std::deque<timer> timers;
};
}

Test(gateway_second_run, a_stream_whose_second_run_breaks_off_goes_on_at_the_first_target)
{
    second_run runs(260);
    runs.onSecondRun = [&](const exchange_ptr& exchange) {
        exchange->writeChunk(event(2));
        runs.timers.emplace_back().startOnce(milliseconds(100), [exchange] { exchange->abort(); });
    };
    runs.checkWhole();
    runs.checkReturned();
}

Test(gateway_second_run, a_stream_whose_second_run_breaks_off_waits_for_the_retry_budget)
{
    // One retry at once; the next one is earned within two seconds.
    second_run runs(261, { { "retryRatio", 0 }, { "retrySlack", 7 }, { "retryWindowSeconds", 1 } });
    runs.onSecondRun = [&](const exchange_ptr& exchange) {
        exchange->writeChunk(event(2));
        runs.timers.emplace_back().startOnce(milliseconds(100), [exchange] { exchange->abort(); });
    };
    runs.checkWhole();
    runs.checkReturned();
}

Test(gateway_second_run, a_stream_whose_second_run_falls_silent_goes_on_at_the_first_target)
{
    second_run runs(262);
    exchange_ptr held;
    runs.onSecondRun = [&held](const exchange_ptr& exchange) {
        held = exchange;
        exchange->writeChunk(event(2));
    };
    runs.checkWhole();
    runs.checkReturned();
}

Test(gateway_second_run, a_second_run_with_a_gap_does_not_end_the_first_run)
{
    second_run runs(263);
    exchange_ptr held;
    runs.onSecondRun = [&held](const exchange_ptr& exchange) {
        held = exchange;
        exchange->writeChunk(event(2) + event(4));
    };
    runs.checkWhole();
    cr_assert_eq(runs.targetIds.size(), 2u);
}

Test(gateway_second_run, a_large_plain_response_that_breaks_off_does_not_end_the_first_run)
{
    deployment_fixture deployment(264);
    std::deque<timer> timers;
    size_t received = 0;
    for (const char* id : { "t-1", "t-2" }) {
        auto& target = deployment.addTarget(id, "pages");
        target.setRequestHandler([&](const exchange_ptr& exchange) {
            if (++received == 1) {
                timers.emplace_back().startOnce(silence, [&target, exchange] { exchange->respond(200, target.responseHeaders(*exchange), "whole"); });
                return;
            }
            exchange->startChunked(200, target.responseHeaders(*exchange));
            exchange->writeChunk(std::string(300 * 1024, 'x'));
            timers.emplace_back().startOnce(milliseconds(200), [exchange] { exchange->abort(); });
        });
    }
    deployment.configure(3, { deployment.route("/p/", "idempotent", "pages", { { "target_latency_ms", 300 }, { "timeout_ms", 15000 } }) });
    deployment.startGateway();
    deployment.waitUntilReady();
    const auto response = deployment.sendAndWait("GET", "/p/1", { { "X-Deadline-Ms", "15000" } });
    cr_assert_eq(response->outcome, http1::call_outcome::Complete);
    cr_assert_eq(response->body, "whole");
    cr_assert_eq(received, 2u);
}

Test(gateway_second_run, a_target_that_was_full_for_a_moment_is_asked_again_while_the_first_is_silent)
{
    deployment_fixture deployment(269);
    std::vector<exchange_ptr> held;
    size_t received = 0;
    for (const char* id : { "t-1", "t-2" }) {
        auto& target = deployment.addTarget(id, "pages");
        target.setRequestHandler([&](const exchange_ptr& exchange) {
            if (++received == 1)
                held.push_back(exchange);
            else if (received == 2)
                exchange->respond(503, { { "X-Not-Executed", "1" } }, {});
            else
                exchange->respond(200, target.responseHeaders(*exchange), "whole");
        });
    }
    deployment.configure(3, { deployment.route("/p/", "idempotent", "pages", { { "target_latency_ms", 300 }, { "timeout_ms", 15000 } }) });
    deployment.startGateway();
    deployment.waitUntilReady();
    const auto response = deployment.sendAndWait("GET", "/p/1", { { "X-Deadline-Ms", "15000" } });
    cr_assert_eq(response->head.status, 200u, "status %u", response->head.status);
    cr_assert_eq(response->body, "whole");
    cr_assert_eq(received, 3u);
}
