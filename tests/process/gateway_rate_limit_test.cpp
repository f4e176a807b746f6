/// Targets that state how many requests a second they take from all gateways together.
#include "support/engine_fleet.hpp"

#include <criterion/criterion.h>
#include <csignal>

using namespace bilberryseam;
using namespace bilberryseam::tests;

namespace {
constexpr seconds window { 4 };

/// Requests that a target with a limit may get in the window.
double allowedIn(double limit)
{
    return 1.5 * limit * asSeconds(window) + 5;
}

/// Sends sound requests through all gateways for a time.
struct steady_load {
    steady_load(engine_fleet& newFleet, size_t newGatewayCount, milliseconds period)
        : fleet(newFleet)
        , gatewayCount(newGatewayCount)
    {
        sender.startEvery(period, [this] { send(); });
    }

    void send() { callers.push_back(fleet.send({ "system", "subject" + std::to_string(callers.size() % 5) }, callers.size() % gatewayCount)); }

    void finish()
    {
        sender.stop();
        fleet.deployment.waitUntil([this] { return std::all_of(callers.begin(), callers.end(), [](const auto& item) { return item->isFinished; }); }, "all responses");
    }

    [[nodiscard]] size_t servedCount() const
    {
        return static_cast<size_t>(std::count_if(callers.begin(), callers.end(), [](const auto& item) { return engine_fleet::isServed(*item); }));
    }

    engine_fleet& fleet;
    size_t gatewayCount;
    std::vector<caller_ptr> callers;
    timer sender;
};

/// Checks that an engine gets no more than its limit allows in any window that begins after a time.
void checkLimit(const fakes::platform_engine& engine, double limit, time_point from)
{
    const auto& arrivals = engine.arrivals();
    for (size_t first = 0; first < arrivals.size(); ++first) {
        if (arrivals[first] < from)
            continue;
        const auto end = std::upper_bound(arrivals.begin(), arrivals.end(), arrivals[first] + window);
        const auto count = static_cast<double>(end - arrivals.begin()) - static_cast<double>(first);
        cr_assert_leq(count, allowedIn(limit), "%.0f requests in 4 s at a target with a limit of %.1f a second", count, limit);
    }
}
}

Test(gateway_rate_limit, the_sum_over_all_gateways_stays_within_the_limit_and_other_targets_carry_the_load)
{
    constexpr size_t gatewayCount = 4;
    engine_fleet fleet(128, 4, gatewayCount, {}, false);
    steady_load load(fleet, gatewayCount, milliseconds(15));
    fleet.deployment.runLoopFor(milliseconds(500));
    auto& limited = fleet.engines.front();
    limited.behaviour().statedLimit = "1";
    const time_point limitedAt = monotonicNow();
    fleet.deployment.runLoopFor(milliseconds(10000));
    load.finish();
    checkLimit(limited, 1, limitedAt + seconds(2));
    cr_assert_eq(load.servedCount(), load.callers.size());
    cr_assert(std::any_of(limited.arrivals().begin(), limited.arrivals().end(), [&](time_point at) { return at > limitedAt + seconds(2); }), "the target gets no requests at all");
}

Test(gateway_rate_limit, a_gateway_that_is_killed_and_starts_again_does_not_add_to_the_sum)
{
    constexpr size_t gatewayCount = 3;
    engine_fleet fleet(129, 3, gatewayCount, {}, false);
    auto& limited = fleet.engines.front();
    limited.behaviour().statedLimit = "0.5";
    const time_point limitedAt = monotonicNow();
    steady_load load(fleet, gatewayCount, milliseconds(15));
    for (size_t gateway = 0; gateway < gatewayCount; ++gateway) {
        fleet.deployment.runLoopFor(milliseconds(1500));
        fleet.deployment.signal(gateway, SIGKILL);
        fleet.deployment.waitUntil([&] { return fleet.deployment.hasExited(gateway); }, "the end of a gateway");
        fleet.deployment.restartGateway(gateway);
    }
    fleet.deployment.runLoopFor(milliseconds(3000));
    load.finish();
    // A gateway that has just started is told by the first response; each start costs at most the requests until then.
    checkLimit(limited, 0.5 + gatewayCount * 0.5, limitedAt + seconds(2));
}

Test(gateway_rate_limit, requests_beyond_the_limits_of_all_targets_are_refused_at_once)
{
    engine_fleet fleet(130, 2, 1, {}, false);
    for (auto& engine : fleet.engines)
        engine.behaviour().statedLimit = "1";
    for (int i = 0; i < 4; ++i)
        fleet.sendAndWait({ "system" });
    // Each target has told the gateway by now.
    std::vector<caller_ptr> callers;
    for (int i = 0; i < 30; ++i)
        callers.push_back(fleet.send({ "system" }));
    fleet.deployment.waitUntil([&] { return std::count_if(callers.begin(), callers.end(), [](const auto& item) { return item->isFinished; }) >= 25; }, "the refusals");
    const auto refused = std::find_if(callers.begin(), callers.end(), [](const auto& item) { return item->head.status == 503; });
    cr_assert(refused != callers.end());
    cr_assert_gt(std::stod((*refused)->header("Retry-After")), 0.2);
    cr_assert_neq(fleet.deployment.logOf(0).find("rate_limited"), std::string::npos);
}

Test(gateway_rate_limit, a_request_waits_for_an_unlimited_target_that_is_full_for_a_moment)
{
    deployment_fixture deployment(59);
    auto& limited = deployment.addTarget("t-1", "pages");
    auto& unlimited = deployment.addTarget("t-2", "pages");
    limited.setRequestHandler([&](std::shared_ptr<http1::exchange> exchange) {
        auto headers = limited.responseHeaders(*exchange);
        headers.emplace_back("Server-Limit", "0.2");
        exchange->respond(200, std::move(headers), "t-1");
    });
    deployment.configure(3, { deployment_fixture::route("/p/", "idempotent", "pages") });
    deployment.startGateway();
    deployment.waitUntilReady();
    deployment.waitUntil([&] { return deployment.sendAndWait("GET", "/p/1")->body == "t-1"; }, "the first response with a limit");
    bool isFull = true;
    unlimited.setRequestHandler([&](std::shared_ptr<http1::exchange> exchange) {
        if (std::exchange(isFull, false))
            exchange->respond(503, { { "X-Not-Executed", "1" } }, {});
        else
            exchange->respond(200, unlimited.responseHeaders(*exchange), "t-2");
    });
    cr_assert_eq(deployment.sendAndWait("GET", "/p/2")->body, "t-2");
}

Test(gateway_rate_limit, a_limit_that_is_no_number_changes_nothing)
{
    engine_fleet fleet(131, 1, 1, {}, false);
    for (const char* stated : { "nan", "-1", "many", "1, 2", "inf", "1e300", "" }) {
        fleet.engines.front().behaviour().statedLimit = stated;
        for (int i = 0; i < 3; ++i)
            cr_assert(engine_fleet::isServed(*fleet.sendAndWait({ "system" })), "limit '%s'", stated);
    }
    cr_assert_neq(fleet.deployment.logOf(0).find("The limit that a target states is no positive number and is ignored."), std::string::npos);
}

Test(gateway_rate_limit, a_target_with_a_limit_of_zero_can_lift_it)
{
    engine_fleet fleet(132, 1, 1, {}, false);
    fleet.engines.front().behaviour().statedLimit = "0";
    cr_assert(engine_fleet::isServed(*fleet.sendAndWait({ "system" })));
    cr_assert_eq(fleet.sendAndWait({ "system" })->head.status, 503);
    fleet.engines.front().behaviour().statedLimit.reset();
    fleet.deployment.waitUntil([&] { return engine_fleet::isServed(*fleet.sendAndWait({ "system" })); }, "the first request after the limit");
    fleet.deployment.runLoopFor(milliseconds(4500));
    for (int i = 0; i < 10; ++i)
        cr_assert(engine_fleet::isServed(*fleet.sendAndWait({ "system" })));
}

Test(gateway_rate_limit, batch_calls_to_a_limited_target_count_as_requests)
{
    constexpr size_t gatewayCount = 2;
    engine_fleet fleet(133, 2, gatewayCount, {});
    std::vector<time_point> batchCalls;
    fleet.encoder->setBatchCallHandler([&](std::shared_ptr<http1::exchange> exchange) {
        batchCalls.push_back(monotonicNow());
        fleet.encoder->respondToBatchCall(*exchange, { { "Server-Limit", "1" } });
    });
    timer sender;
    size_t sent = 0;
    std::vector<caller_ptr> callers;
    sender.startEvery(milliseconds(40), [&] { callers.push_back(fleet.send({ "system" }, sent++ % gatewayCount, { { "X-Pieces", "1" }, { "X-Piece-Key", "k" } })); });
    fleet.deployment.runLoopFor(milliseconds(8000));
    sender.stop();
    const time_point from = batchCalls.front() + seconds(1);
    const auto late = std::count_if(batchCalls.begin(), batchCalls.end(), [from](time_point at) { return at > from && at <= from + window; });
    cr_assert_leq(static_cast<double>(late), allowedIn(1), "%zu batch calls in 4 s", static_cast<size_t>(late));
}
