/// Cold targets behind several gateways: requests in any second, and what happens to the others.
#include "fakes/fake_link.hpp"
#include "support/engine_fleet.hpp"

#include <criterion/criterion.h>
#include <csignal>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
constexpr double coldPerSecond = 4;
/// Bounds of the design page; the gateways have the same defaults.
constexpr double allowedInOneSecond = coldPerSecond * 1.5 + 5;
/// A record is known to all gateways within 2.4 s, and a read takes some time.
constexpr milliseconds recordTime { 2600 };
/// Gateways have no share before they have been listed for 7 s; the directory is stable by then as well.
constexpr milliseconds membershipTime { 7500 };

void configureCold(engine_fleet& fleet, double perSecond = coldPerSecond)
{
    fleet.deployment.configure(4, { deployment_fixture::route("/m/", "streaming", "model", { { "max_attempts", 1 } }) }, { { { "name", "model" }, { "cold_start_s", 5.9 }, { "cold_per_s", perSecond } } });
}

/// Sends sound requests through all gateways in turn.
struct steady_load {
    steady_load(engine_fleet& newFleet, size_t newGatewayCount, milliseconds period)
        : fleet(newFleet)
        , gatewayCount(newGatewayCount)
    {
        sender.startEvery(period, [this] { callers.push_back(fleet.send({ "system", "subject" + std::to_string(callers.size() % 5) }, callers.size() % gatewayCount)); });
    }

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

/// @return The most requests that an engine received in one second between two times.
double mostInOneSecond(const fakes::platform_engine& engine, time_point from, time_point until)
{
    const auto& arrivals = engine.arrivals();
    double most = 0;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
        if (*first < from || *first >= until)
            continue;
        const auto end = std::lower_bound(first, arrivals.end(), std::min(*first + seconds(1), until));
        most = std::max(most, static_cast<double>(end - first));
    }
    return most;
}

size_t countBetween(const fakes::platform_engine& engine, time_point from, time_point until)
{
    return static_cast<size_t>(std::count_if(engine.arrivals().begin(), engine.arrivals().end(), [&](time_point at) { return at >= from && at < until; }));
}
}

Test(gateway_cold_target, a_cold_target_stays_within_the_bound_while_warm_ones_carry_the_load)
{
    constexpr size_t gatewayCount = 4;
    engine_fleet fleet(332, 3, gatewayCount, {}, false);
    configureCold(fleet);
    fleet.deployment.runLoopFor(membershipTime);
    fleet.deployment.changeRecord("m-0", { { "cold_left_ms", 9000 } });
    fleet.deployment.runLoopFor(recordTime);
    const time_point knownAt = monotonicNow();
    steady_load load(fleet, gatewayCount, milliseconds(15));
    fleet.deployment.runLoopFor(milliseconds(6000));
    const time_point coldEnd = monotonicNow();
    fleet.deployment.runLoopFor(milliseconds(6000));
    load.finish();
    const double most = mostInOneSecond(fleet.engines.front(), knownAt, coldEnd);
    cr_assert_leq(most, allowedInOneSecond, "%.0f requests in a second", most);
    cr_assert_eq(load.servedCount(), load.callers.size());
    cr_assert_gt(countBetween(fleet.engines.front(), coldEnd, monotonicNow()), size_t { 0 }, "the target gets no load after its cold time");
    const std::string log = fleet.deployment.logOf(0);
    cr_assert_neq(log.find("A target is cold; its requests are limited."), std::string::npos);
    cr_assert_neq(log.find("A target is warm; its rate rises for some seconds."), std::string::npos);
}

Test(gateway_cold_target, cold_targets_are_used_within_the_bound_when_all_are_cold)
{
    constexpr size_t gatewayCount = 4;
    engine_fleet fleet(333, 2, gatewayCount, {}, false);
    configureCold(fleet);
    fleet.deployment.runLoopFor(membershipTime);
    for (const char* id : { "m-0", "m-1" })
        fleet.deployment.changeRecord(id, { { "cold_left_ms", 20000 } });
    fleet.deployment.runLoopFor(recordTime);
    const time_point knownAt = monotonicNow();
    steady_load load(fleet, gatewayCount, milliseconds(20));
    fleet.deployment.runLoopFor(milliseconds(8000));
    const time_point end = monotonicNow();
    load.finish();
    for (const auto& engine : fleet.engines) {
        const double most = mostInOneSecond(engine, knownAt, end);
        cr_assert_leq(most, allowedInOneSecond, "%.0f requests in a second", most);
        cr_assert_geq(static_cast<double>(countBetween(engine, knownAt, end)), coldPerSecond * 8 / 2, "the cold rate is not used");
    }
    const auto refused = std::find_if(load.callers.begin(), load.callers.end(), [](const auto& item) { return item->head.status == 503; });
    cr_assert(refused != load.callers.end());
    cr_assert_neq((*refused)->header("Retry-After"), "");
    cr_assert_neq(fleet.deployment.metricsOf(0).find("cold_waits_total"), std::string::npos);
}

Test(gateway_cold_target, a_gateway_that_is_cut_off_from_the_store_does_not_add_to_the_sum)
{
    constexpr size_t gatewayCount = 4;
    engine_fleet fleet(334, 2, gatewayCount - 1, {}, false);
    configureCold(fleet);
    const ip_endpoint linkAddress = fleet.deployment.allocateAddress();
    fakes::fake_link link("store", linkAddress, fleet.deployment.storeAddress());
    const ip_endpoint storeAddress = fleet.deployment.storeAddress();
    fleet.deployment.setStoreAddress(linkAddress);
    const size_t cutOff = fleet.deployment.startGateway();
    fleet.deployment.setStoreAddress(storeAddress);
    fleet.deployment.waitUntilReady(cutOff);
    fleet.deployment.runLoopFor(membershipTime);
    for (const char* id : { "m-0", "m-1" })
        fleet.deployment.changeRecord(id, { { "cold_left_ms", 40000 } });
    fleet.deployment.runLoopFor(recordTime);
    const time_point knownAt = monotonicNow();
    steady_load load(fleet, gatewayCount, milliseconds(20));
    link.applySwitches({ { "down", true } });
    // Others join and take over shares, which the gateway does not learn from the store.
    for (int i = 0; i < 2; ++i)
        fleet.deployment.startGateway();
    fleet.deployment.runLoopFor(milliseconds(12000));
    link.applySwitches({ { "down", false } });
    fleet.deployment.runLoopFor(milliseconds(4000));
    const time_point end = monotonicNow();
    load.finish();
    for (const auto& engine : fleet.engines) {
        const double most = mostInOneSecond(engine, knownAt, end);
        cr_assert_leq(most, allowedInOneSecond, "%.0f requests in a second", most);
    }
}

Test(gateway_cold_target, a_target_that_restarts_under_its_identifier_is_cold_by_its_responses_before_its_record_is_known)
{
    constexpr size_t gatewayCount = 3;
    engine_fleet fleet(335, 3, gatewayCount, {}, false);
    configureCold(fleet);
    fleet.deployment.runLoopFor(membershipTime);
    auto& engine = fleet.engines.front();
    steady_load load(fleet, gatewayCount, milliseconds(15));
    fleet.deployment.runLoopFor(milliseconds(1000));
    time_point startedAt {};
    engine.restartAs("", [&] {
        startedAt = monotonicNow();
        engine.target().setCold(milliseconds(6000));
    });
    fleet.deployment.runLoopFor(milliseconds(2000));
    // The record that was written at the start is read late; an older one said that the target is warm.
    fleet.deployment.changeRecord("m-0", { { "cold_left_ms", 0 } });
    fleet.deployment.changeRecord("m-0", { { "born", wallNow().time_since_epoch().count() }, { "cold_left_ms", 4800 } });
    fleet.deployment.runLoopFor(milliseconds(4000));
    load.finish();
    cr_assert_neq(startedAt, time_point());
    const double most = mostInOneSecond(engine, startedAt, startedAt + seconds(6));
    cr_assert_leq(most, allowedInOneSecond, "%.0f requests in a second", most);
}

Test(gateway_cold_target, without_a_cold_rate_records_and_responses_limit_nothing)
{
    engine_fleet fleet(336, 1, 1, {}, false);
    configureCold(fleet, 0);
    fleet.deployment.changeRecord("m-0", { { "cold_left_ms", 30000 } });
    fleet.engines.front().target().setCold(seconds(30));
    fleet.deployment.runLoopFor(recordTime);
    std::vector<caller_ptr> callers;
    for (int i = 0; i < 40; ++i)
        callers.push_back(fleet.send({ "system" }));
    fleet.deployment.waitUntil([&] { return std::all_of(callers.begin(), callers.end(), [](const auto& item) { return item->isFinished; }); }, "the responses");
    cr_assert(std::all_of(callers.begin(), callers.end(), [](const auto& item) { return engine_fleet::isServed(*item); }));
    cr_assert_eq(fleet.deployment.logOf(0).find("A target is cold"), std::string::npos);
}

Test(gateway_cold_target, malformed_cold_times_are_logged_once_and_do_not_silence_the_target)
{
    engine_fleet fleet(337, 1, 1, {}, false);
    configureCold(fleet);
    for (const json& value : { json(-1), json("soon"), json(nullptr), json::array() }) {
        fleet.deployment.changeRecord("m-0", { { "cold_left_ms", value } });
        fleet.deployment.runLoopFor(recordTime);
        cr_assert(engine_fleet::isServed(*fleet.sendAndWait({ "system" })), "cold_left_ms %s", value.dump().c_str());
    }
    const std::string text = "The cold time that a target states is not taken as stated.";
    const std::string log = fleet.deployment.logOf(0);
    cr_assert_neq(log.find(text), std::string::npos);
    cr_assert_eq(log.find(text), log.rfind(text));
}
