/// Targets that ask for a pause: what is logged, and what happens when their records or processes change meanwhile.
#include "support/deployment_fixture.hpp"

#include <algorithm>
#include <criterion/criterion.h>
#include <csignal>

using namespace bilberryseam;
using namespace bilberryseam::tests;

namespace {
size_t countOf(const std::string& text, std::string_view part)
{
    size_t count = 0;
    for (size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size()))
        ++count;
    return count;
}

/// A target that refuses all requests and asks for a pause, and optionally another one that serves.
struct pausing_target {
    explicit pausing_target(int slot, const std::string& retryAfter, bool hasOther = true)
        : deployment(slot)
        , first(deployment.addTarget("t-1", "pages"))
    {
        if (hasOther)
            deployment.addTarget("t-2", "pages");
        deployment.configure(3, { deployment.route("/p/", "idempotent", "pages") });
        refuse({ { "X-Not-Executed", "1" }, { "Retry-After", retryAfter } });
    }

    void start(size_t gateways = 1)
    {
        for (size_t i = 0; i < gateways; ++i)
            deployment.waitUntilReady(deployment.startGateway());
    }

    void refuse(http1::header_list fields)
    {
        first.setRequestHandler([fields](std::shared_ptr<http1::exchange> exchange) { exchange->respond(503, fields, ""); });
    }

    /// Sends requests to a gateway until it has sent one to the first target.
    void sendUntilRefused(size_t gateway = 0)
    {
        const size_t before = first.requests().size();
        for (int i = 0; i < 40 && first.requests().size() == before; ++i)
            deployment.sendAndWait("GET", "/p/" + std::to_string(i), {}, "", gateway);
        cr_assert_gt(first.requests().size(), before);
    }

    /// @return How many of further requests reach the first target.
    size_t countAtFirst(int requests, size_t gateway = 0)
    {
        const size_t before = first.requests().size();
        for (int i = 0; i < requests; ++i)
            deployment.sendAndWait("GET", "/p/after-" + std::to_string(i), {}, "", gateway);
        return first.requests().size() - before;
    }

    [[nodiscard]] bool hasLogged(std::string_view text, size_t gateway = 0) const { return deployment.logOf(gateway).find(text) != std::string::npos; }

    /// Waits for a line that may have been written a moment before it reaches the file.
    void waitUntilLogged(std::string_view text)
    {
        deployment.waitUntil([&] { return hasLogged(text); }, std::string(text).c_str());
    }

    deployment_fixture deployment;
    fakes::platform_target& first;
};
}

Test(gateway_pause, the_log_shows_why_a_request_is_refused_and_how_the_pause_goes_on)
{
    pausing_target target(275, "2", false);
    target.start();
    target.sendUntilRefused();
    target.deployment.sendAndWait("GET", "/p/refused");
    target.waitUntilLogged("\"retry_after\":\"2\",\"not_executed\":\"true\"");
    target.waitUntilLogged("A target asks for a pause");
    target.waitUntilLogged("\"unavailable\":\"t-1:paused:");
    target.deployment.unlistTarget("t-1");
    target.waitUntilLogged("\"change\":\"removed\"");
    target.waitUntilLogged("The pause of a target ended.");
}

Test(gateway_pause, a_pause_that_is_not_kept_as_stated_is_logged_with_the_reason)
{
    pausing_target target(276, "soon");
    target.start();
    target.sendUntilRefused();
    target.waitUntilLogged("\"value\":\"soon\",\"reason\":\"no_number\"");
}

Test(gateway_pause, a_target_whose_record_goes_and_returns_gets_no_requests_before_the_end_of_its_pause)
{
    pausing_target target(277, "300");
    target.start();
    target.sendUntilRefused();
    target.deployment.unlistTarget("t-1");
    target.waitUntilLogged("\"change\":\"removed\"");
    target.deployment.listTarget(target.first, "pages");
    const auto timesListed = [&] { return countOf(target.deployment.logOf(0), "\"target\":\"t-1\",\"change\":\"listed\""); };
    target.deployment.waitUntil([&] { return timesListed() == 2; }, "the record is back");
    cr_assert_eq(target.countAtFirst(20), 0u);
}

Test(gateway_pause, a_refusal_that_does_not_say_that_the_request_did_not_run_asks_for_a_pause_too)
{
    pausing_target target(278, "300", false);
    target.refuse({ { "Retry-After", "300" } });
    target.start();
    target.sendUntilRefused();
    target.deployment.runLoopFor(milliseconds(700));
    cr_assert_eq(target.countAtFirst(4), 0u);
}

Test(gateway_pause, requests_return_a_few_at_a_time_after_a_pause)
{
    pausing_target target(279, "1", false);
    target.start();
    target.sendUntilRefused();
    target.waitUntilLogged("The pause of a target ended.");
    std::vector<std::shared_ptr<http1::exchange>> held;
    target.first.setRequestHandler([&](std::shared_ptr<http1::exchange> exchange) { held.push_back(std::move(exchange)); });
    const size_t before = target.first.requests().size();
    std::vector<caller_ptr> callers;
    for (int i = 0; i < 12; ++i)
        callers.push_back(target.deployment.send("GET", "/p/return-" + std::to_string(i)));
    target.deployment.waitUntil([&] { return !held.empty(); }, "a request has arrived");
    target.deployment.runLoopFor(milliseconds(400));
    cr_assert_geq(target.first.requests().size() - before, 1u);
    cr_assert_leq(target.first.requests().size() - before, 4u);
    target.first.setRequestHandler({});
    for (const auto& exchange : std::exchange(held, {}))
        exchange->respond(200, target.first.responseHeaders(*exchange), "");
    target.deployment.waitUntil([&] { return std::all_of(callers.begin(), callers.end(), [](const auto& caller) { return caller->isFinished; }); }, "all requests have ended");
    cr_assert_eq(target.deployment.sendAndWait("GET", "/p/later")->head.status, 200);
}

Test(gateway_pause, callers_that_are_refused_in_a_pause_are_asked_to_return_at_different_times)
{
    pausing_target target(280, "20", false);
    target.start();
    target.sendUntilRefused();
    double shortest = 1e9;
    double longest = 0;
    for (int i = 0; i < 20; ++i) {
        const double wait = std::stod(target.deployment.sendAndWait("GET", "/p/spread")->header("Retry-After"));
        shortest = std::min(shortest, wait);
        longest = std::max(longest, wait);
    }
    cr_assert_geq(longest - shortest, 1.0);
}

Test(gateway_pause, a_request_whose_time_ends_before_the_pause_is_refused_at_once)
{
    pausing_target target(281, "1.2", false);
    target.start();
    target.sendUntilRefused();
    target.deployment.sendAndWait("GET", "/p/short", { { "X-Attempt-Id", "short" }, { "X-Deadline-Ms", "400" } });
    target.waitUntilLogged("\"request\":\"short\",\"outcome\":");
    cr_assert(target.hasLogged("\"request\":\"short\",\"outcome\":\"refused\",\"reason\":\"targets_paused\""));
}

Test(gateway_pause, an_outage_of_the_store_and_a_freeze_of_the_gateway_do_not_end_a_pause)
{
    pausing_target target(282, "300");
    target.start(2);
    target.sendUntilRefused(0);
    target.deployment.store().setFaults({ true, false, 0 });
    target.deployment.signal(0, SIGSTOP);
    target.deployment.runLoopFor(milliseconds(1000));
    target.deployment.signal(0, SIGCONT);
    target.waitUntilLogged("The process was frozen");
    cr_assert_eq(target.countAtFirst(10, 0), 0u);
    target.sendUntilRefused(1);
    cr_assert_eq(target.countAtFirst(10, 1), 0u);
    target.deployment.store().setFaults({});
    target.waitUntilLogged("The store is reachable again.");
    cr_assert_eq(target.countAtFirst(10, 0), 0u);
}

Test(gateway_pause, a_leaving_target_gets_no_requests_after_its_pause)
{
    pausing_target target(283, "1");
    target.refuse({ { "X-Not-Executed", "1" }, { "Retry-After", "0.5" }, { "Server-Leaving", "1" }, { "Server-Limit", "5" } });
    target.start(2);
    for (const size_t gateway : { 0, 1 }) {
        target.sendUntilRefused(gateway);
        target.deployment.waitUntil([&] { return target.hasLogged("The pause of a target ended.", gateway); }, "the pause has ended");
        cr_assert_eq(target.countAtFirst(10, gateway), 0u);
    }
}

Test(gateway_pause, a_target_that_states_a_limit_and_asks_for_a_pause_keeps_both)
{
    pausing_target target(284, "3", false);
    target.refuse({ { "X-Not-Executed", "1" }, { "Retry-After", "3" }, { "Server-Limit", "4" } });
    target.start(2);
    for (const size_t gateway : { 0, 1 }) {
        target.sendUntilRefused(gateway);
        cr_assert_eq(target.countAtFirst(10, gateway), 0u);
    }
    target.first.setRequestHandler([&](std::shared_ptr<http1::exchange> exchange) {
        auto headers = target.first.responseHeaders(*exchange);
        headers.emplace_back("Server-Limit", "4");
        exchange->respond(200, headers, "");
    });
    for (const size_t gateway : { 0, 1 })
        target.deployment.waitUntil([&] { return target.deployment.sendAndWait("GET", "/p/back", {}, "", gateway)->head.status == 200; }, "the target serves again");
    cr_assert(target.hasLogged("A target states how many requests a second it takes."));
}
