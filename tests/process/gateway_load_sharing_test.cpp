/// Gateways that exchange the load of targets.
#include "base/hash.hpp"
#include "fakes/platform_engine.hpp"
#include "policy/ownership.hpp"
#include "support/deployment_fixture.hpp"

#include <algorithm>
#include <criterion/criterion.h>
#include <csignal>
#include <list>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
constexpr size_t gatewayCount = 3;

/// Three gateways of one region in front of engines that take long for each request.
class sharing_fleet {
public:
    sharing_fleet(int slot, size_t engineCount, const json& services = json::array())
        : deployment(slot)
    {
        fakes::engine_behaviour behaviour;
        behaviour.eventCount = 4000;
        behaviour.eventPeriod = milliseconds(20);
        for (size_t i = 0; i < engineCount; ++i)
            engines.emplace_back(deployment.addTarget("m-" + std::to_string(i), "model"), behaviour);
        deployment.configure(3, { deployment_fixture::route("/m/", "streaming", "model", { { "timeout_ms", 20000 } }) }, services);
        for (size_t i = 0; i < gatewayCount; ++i)
            deployment.startGateway(json::object(), { { "loadSharing", true } });
        for (size_t i = 0; i < gatewayCount; ++i)
            deployment.waitUntilReady(i);
        deployment.waitUntil([this] {
            for (size_t i = 0; i < gatewayCount; ++i) {
                if (countedAt(i) != gatewayCount)
                    return false;
            }
            return true;
        },
            "the load of all gateways at each gateway");
    }

    /// @return Number of gateways whose load a gateway knows.
    [[nodiscard]] size_t countedAt(size_t gateway)
    {
        const std::string text = deployment.metricsOf(gateway);
        const std::string name = "\nbilberryseam_load_entries_counted ";
        const size_t position = text.find(name);
        return position == std::string::npos ? 0 : static_cast<size_t>(std::stod(text.substr(position + name.size())));
    }

    caller_ptr send(size_t gateway, const std::string& promptTokens = "400")
    {
        ++m_sent;
        return deployment.send("POST", "/m/" + std::to_string(m_sent), { { "X-Model", "m" }, { "X-Token-Counts", promptTokens + ",400" }, { "X-Prompt-Prefix", "own" + std::to_string(m_sent) + ":" + promptTokens }, { "X-Deadline-Ms", "15000" } }, "question", gateway);
    }

    /// @return Gateways in the order in which they should collect.
    [[nodiscard]] static std::vector<size_t> collectors()
    {
        std::vector<policy::owner_candidate> candidates;
        for (size_t i = 0; i < gatewayCount; ++i)
            candidates.push_back({ hashOf("gateway-" + std::to_string(i)), 1 });
        return policy::rankOwners(candidates, hashOf("load-collectors:north"));
    }

    [[nodiscard]] size_t busiest() const
    {
        size_t most = 0;
        for (const auto& engine : engines)
            most = std::max(most, engine.arrivals().size());
        return most;
    }

    deployment_fixture deployment;
    std::list<fakes::platform_engine> engines;

private:
    size_t m_sent = 0;
};
}

// Guards against gateways that count only their own requests: each would send its first request to any engine.
Test(gateway_load_sharing, requests_of_all_gateways_are_spread_over_the_engines)
{
    sharing_fleet fleet(270, 6);
    std::vector<caller_ptr> callers;
    for (size_t i = 0; i < 12; ++i) {
        callers.push_back(fleet.send(i % gatewayCount));
        fleet.deployment.runLoopFor(milliseconds(500));
    }
    // The mean is two; 1.4 times the mean is below three.
    cr_assert_leq(fleet.busiest(), 2u);
}

// Guards against gateways that go on with the own view, or with the load of a dead entry, after their collector has died.
Test(gateway_load_sharing, second_collector_takes_over_from_one_that_dies)
{
    sharing_fleet fleet(271, 4);
    const auto collectors = sharing_fleet::collectors();
    fleet.deployment.signal(collectors[0], SIGKILL);
    fleet.deployment.waitUntil([&] { return fleet.countedAt(collectors[1]) == gatewayCount - 1 && fleet.countedAt(collectors[2]) == gatewayCount - 1; }, "the load of the remaining gateways");
    fleet.deployment.restartGateway(collectors[0]);
    fleet.deployment.waitUntilReady(collectors[0]);
    fleet.deployment.waitUntil([&] { return fleet.countedAt(collectors[2]) == gatewayCount; }, "the load of the restarted gateway");
}

// Guards against a frozen collector, whose connections stay up: reports to it have no effect.
Test(gateway_load_sharing, second_collector_takes_over_from_one_that_freezes)
{
    sharing_fleet fleet(272, 4);
    const auto collectors = sharing_fleet::collectors();
    fleet.deployment.signal(collectors[0], SIGSTOP);
    fleet.deployment.waitUntil([&] { return fleet.countedAt(collectors[1]) == gatewayCount - 1 && fleet.countedAt(collectors[2]) == gatewayCount - 1; }, "the load of the gateways that run");
    const auto first = fleet.send(collectors[1]);
    fleet.deployment.runLoopFor(milliseconds(1000));
    const auto second = fleet.send(collectors[2]);
    fleet.deployment.runLoopFor(milliseconds(300));
    cr_assert_eq(fleet.busiest(), 1u);
    fleet.deployment.signal(collectors[0], SIGCONT);
    fleet.deployment.waitUntil([&] { return fleet.countedAt(collectors[2]) == gatewayCount; }, "the load of the gateway that runs again");
}

// Guards against engines that crash because the requests of all gateways together exceed their memory.
Test(gateway_load_sharing, requests_of_all_gateways_do_not_exceed_the_memory_of_the_engines)
{
    // Each request may need 800 tokens, so that an engine holds two.
    sharing_fleet fleet(274, 2, { { { "name", "model" }, { "engine", { { "slots", 64 }, { "kv_capacity_tokens", 2000 } } } } });
    std::vector<caller_ptr> callers;
    for (size_t i = 0; i < 5; ++i) {
        callers.push_back(fleet.send(i % gatewayCount));
        fleet.deployment.runLoopFor(milliseconds(700));
    }
    fleet.deployment.runLoopFor(milliseconds(2000));
    cr_assert_eq(fleet.busiest(), 2u);
    cr_assert(callers[4]->isFinished);
    cr_assert_eq(callers[4]->head.status, 503);
    const auto tooLarge = fleet.send(0, "1601");
    fleet.deployment.runLoopFor(milliseconds(500));
    cr_assert(tooLarge->isFinished, "a request that fits nowhere must be refused at once");
    cr_assert_eq(tooLarge->head.status, 503);
    cr_assert_neq(fleet.deployment.metricsOf(0).find("reason=\"prompt_too_large\""), std::string::npos);
}

// Guards against an exchange that is not asked for.
Test(gateway_load_sharing, gateways_exchange_nothing_unless_the_setting_enables_it)
{
    deployment_fixture deployment(273);
    deployment.addTarget("t-1", "model");
    deployment.configure(3, { deployment_fixture::route("/m/", "idempotent", "model") });
    deployment.startGateway();
    deployment.startGateway();
    deployment.waitUntilReady(0);
    deployment.waitUntilReady(1);
    cr_assert_eq(deployment.sendAndWait("POST", "/m/1")->head.status, 200);
    deployment.runLoopFor(milliseconds(1200));
    for (size_t i = 0; i < 2; ++i) {
        cr_assert_eq(deployment.metricsOf(i).find("bilberryseam_load_"), std::string::npos);
        cr_assert_eq(deployment.metricsOf(i).find("load_report"), std::string::npos);
    }
}
