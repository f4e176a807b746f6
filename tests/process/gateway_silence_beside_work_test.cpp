/// Silent targets while the other targets of the service get no work, beside a configuration, SIGHUP, SIGTERM and a freeze.
#include "support/scripted_target.hpp"

#include <criterion/criterion.h>
#include <csignal>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
using exchange_ptr = std::shared_ptr<http1::exchange>;

constexpr milliseconds silence { 3500 };
constexpr milliseconds betweenSteps { 1000 };

json routes(int timeoutMs)
{
    const json changes { { "timeout_ms", timeoutMs }, { "gap_aim_ms", 100 }, { "target_latency_ms", 300 } };
    json page = deployment_fixture::route("/p/", "idempotent", "model", changes);
    json order = deployment_fixture::route("/o/", "non_idempotent", "model", changes);
    return json::array({ resumableRoute(changes), page, order });
}

/// Checks that requests at a silent target are served whatever the other target responds, beside planned work.
/// @param otherVersion  Software version of the other target.
void checkBesideWork(int slot, const std::function<void(fakes::platform_target&, const exchange_ptr&)>& respondAtOther, const std::string& otherVersion = "v1")
{
    deployment_fixture deployment(slot);
    auto& silent = deployment.addTarget("t-1", "model");
    auto& other = deployment.addTarget("t-2", "model", "north-1", otherVersion);
    std::deque<timer> timers;
    silent.setRequestHandler([&](const exchange_ptr& exchange) {
        if (http1::pathOf(exchange->head().target).starts_with("/m/")) {
            exchange->startChunked(200, silent.responseHeaders(*exchange));
            exchange->writeChunk(event(1));
            timers.emplace_back().startOnce(silence, [exchange] {
                exchange->writeChunk(event(2));
                exchange->finishChunked();
            });
        } else
            timers.emplace_back().startOnce(silence, [&, exchange] { exchange->respond(200, silent.responseHeaders(*exchange), "whole"); });
    });
    other.setRequestHandler([&](const exchange_ptr& exchange) { respondAtOther(other, exchange); });
    deployment.configure(3, routes(12000));
    deployment.startGateway({ { "stopSeconds", 8 } });
    deployment.waitUntilReady();
    std::vector<caller_ptr> callers;
    for (const char* path : { "/m/1", "/p/1", "/o/1" })
        callers.push_back(deployment.send(http1::pathOf(path).starts_with("/p/") ? "GET" : "POST", path, { { "X-Deadline-Ms", "12000" } }));
    deployment.waitUntil([&] { return silent.requests().size() == callers.size(); }, "the requests at the silent target");
    deployment.configure(4, routes(10000));
    deployment.runLoopFor(betweenSteps);
    deployment.signal(0, SIGSTOP);
    deployment.runLoopFor(betweenSteps);
    deployment.store().setFaults({ .delay = milliseconds(300) });
    deployment.signal(0, SIGCONT);
    deployment.signal(0, SIGHUP);
    deployment.runLoopFor(betweenSteps);
    deployment.configure(5, routes(12000));
    deployment.signal(0, SIGTERM);
    deployment.waitUntil([&] { return std::all_of(callers.begin(), callers.end(), [](const auto& caller) { return caller->isFinished; }); }, "the responses");
    for (const auto& caller : callers) {
        cr_assert_eq(caller->outcome, http1::call_outcome::Complete);
        cr_assert_eq(caller->head.status, 200u, "status %u", caller->head.status);
    }
    cr_assert_eq(callers[0]->body, event(1) + event(2));
}

/// Responds that the request was not executed.
void refuse(const exchange_ptr& exchange, http1::header_list headers = {})
{
    headers.emplace_back("X-Not-Executed", "1");
    exchange->respond(503, std::move(headers), {});
}
}

Test(gateway_silence_beside_work, requests_at_a_silent_target_are_served_if_the_other_is_full)
{
    checkBesideWork(270, [](auto&, const exchange_ptr& exchange) { refuse(exchange); });
}

Test(gateway_silence_beside_work, requests_at_a_silent_target_are_served_if_the_other_is_leaving)
{
    checkBesideWork(271, [](auto&, const exchange_ptr& exchange) { refuse(exchange, { { "Server-Leaving", "1" } }); });
}

Test(gateway_silence_beside_work, requests_at_a_silent_target_are_served_if_the_other_asks_for_a_pause)
{
    checkBesideWork(272, [](auto&, const exchange_ptr& exchange) { refuse(exchange, { { "Retry-After", "20" } }); });
}

Test(gateway_silence_beside_work, requests_at_a_silent_target_are_served_if_the_other_is_limited)
{
    checkBesideWork(273, [](auto&, const exchange_ptr& exchange) { refuse(exchange, { { "Server-Limit", "0.1" } }); });
}

Test(gateway_silence_beside_work, streams_at_a_silent_target_are_served_if_the_other_has_another_version)
{
    checkBesideWork(
        274, [](auto&, const exchange_ptr& exchange) { refuse(exchange); }, "v2");
}
