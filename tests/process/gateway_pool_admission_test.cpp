/// Requests that a saturated pool refuses because their tasks cannot start in time.
#include "base/hash.hpp"
#include "policy/ownership.hpp"
#include "support/deployment_fixture.hpp"

#include <algorithm>
#include <criterion/criterion.h>
#include <csignal>
#include <set>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
/// @return True once each entry is connected to the first owner of the pool.
bool areConnected(const deployment_fixture& deployment, size_t entries)
{
    std::vector<policy::owner_candidate> candidates;
    for (size_t i = 0; i < entries; ++i)
        candidates.push_back({ hashOf("gateway-" + std::to_string(i)), 1 });
    const size_t owner = policy::rankOwners(candidates, hashOf("encode")).front();
    const std::string line = "\"The connection to a pool owner is established.\",\"entry\":\"gateway-" + std::to_string(owner) + "\"";
    for (size_t i = 0; i < entries; ++i) {
        if (i != owner && deployment.logOf(i).find(line) == std::string::npos)
            return false;
    }
    return true;
}

/// A pool whose only target runs one task in 400 ms.
struct saturated_pool {
    deployment_fixture deployment;
    fakes::platform_target& encoder;
    fakes::platform_target& model;
    std::vector<std::shared_ptr<http1::exchange>> heldExchanges;
    std::vector<caller_ptr> callers;

    saturated_pool(int slot, size_t gateways, bool hasAdmission)
        : deployment(slot)
        , encoder(deployment.addTarget("e-1", "encode"))
        , model(deployment.addTarget("t-1", "model"))
    {
        const json stages { { { "service", "encode" }, { "after", json::array() }, { "bytes", 1000 } } };
        const json service { { "name", "encode" }, { "pieces", { { "slots", 1 }, { "queue", 0 }, { "batch", 1 }, { "call_ms", 400 }, { "item_ms", 0 }, { "headroom_mb", 10 }, { "handle_s", 4 } } } };
        deployment.configure(3, { deployment_fixture::route("/m/", "idempotent", "model", { { "stages", stages } }) }, { service });
        for (size_t i = 0; i < gateways; ++i)
            deployment.startGateway();
        for (size_t i = 0; i < gateways; ++i)
            deployment.waitUntilReady(i);
        for (size_t i = 0; hasAdmission && i < gateways; ++i) {
            deployment.changeSettings(i, { { "poolAdmission", true } });
            deployment.signal(i, SIGHUP);
            deployment.waitUntil([&] { return deployment.logOf(i).find("The settings were reloaded.") != std::string::npos; }, "the setting");
        }
        deployment.waitUntil([&] { return areConnected(deployment, gateways); }, "the connections to the owner");
        encoder.setBatchCallHandler([this](std::shared_ptr<http1::exchange> exchange) { heldExchanges.push_back(std::move(exchange)); });
    }

    void send(size_t gateway)
    {
        const http1::header_list headers { { "X-Pieces", "1" }, { "X-Piece-Key", "k" }, { "X-Deadline-Ms", "2500" } };
        callers.push_back(deployment.send("POST", "/m/" + std::to_string(callers.size()), headers, "", gateway));
    }

    [[nodiscard]] size_t finishedCount() const
    {
        return static_cast<size_t>(std::count_if(callers.begin(), callers.end(), [](const auto& item) { return item->isFinished; }));
    }
};
}

Test(gateway_pool_admission, a_request_that_cannot_start_in_time_is_refused_at_once_with_the_wait)
{
    saturated_pool pool(291, 1, true);
    for (int i = 0; i < 10; ++i)
        pool.send(0);
    // One runs, and at most five more can start within the 2,100 ms that the deadline leaves.
    pool.deployment.waitUntil([&] { return pool.finishedCount() >= 4; }, "the refusals");
    pool.deployment.runLoopFor(milliseconds(100));
    cr_assert_eq(pool.heldExchanges.size(), 1u, "the refusals must come before the first call ends");
    cr_assert_eq(pool.finishedCount(), 4u, "those that can start in time must wait");
    std::set<std::string> waits;
    for (const auto& caller : pool.callers) {
        if (!caller->isFinished)
            continue;
        cr_assert_eq(caller->head.status, 503);
        cr_assert_gt(std::stod(caller->header("Retry-After")), 0);
        waits.insert(caller->header("Retry-After"));
    }
    cr_assert_gt(waits.size(), 1u, "the callers would return at the same moment");
    cr_assert(pool.model.requests().empty(), "a refused request must not have run");
    cr_assert_neq(pool.deployment.logOf(0).find(R"("reason":"pool_overloaded")"), std::string::npos);
    cr_assert_neq(pool.deployment.metricsOf(0).find("jobs_refused_total"), std::string::npos);

    pool.encoder.setBatchCallHandler({});
    pool.encoder.respondToBatchCall(*pool.heldExchanges.front());
    pool.deployment.waitUntil([&] { return pool.finishedCount() == 10; }, "the accepted requests");
    cr_assert_eq(std::count_if(pool.callers.begin(), pool.callers.end(), [](const auto& item) { return item->head.status == 200; }), 6);
}

Test(gateway_pool_admission, an_owner_refuses_jobs_of_other_entries)
{
    saturated_pool pool(292, 3, true);
    for (int i = 0; i < 12; ++i)
        pool.send(static_cast<size_t>(i % 3));
    pool.deployment.waitUntil([&] { return pool.finishedCount() >= 5; }, "the refusals");
    cr_assert(pool.model.requests().empty(), "a refused request must not have run");
    const auto refusedEntries = [&] {
        size_t count = 0;
        for (size_t i = 0; i < 3; ++i)
            count += pool.deployment.logOf(i).find(R"("reason":"pool_overloaded")") != std::string::npos ? 1 : 0;
        return count;
    };
    // Log lines are written after the responses.
    pool.deployment.waitUntil([&] { return refusedEntries() >= 2; }, "the refusals at the entries of the requests");
    size_t refusing = 0;
    for (size_t i = 0; i < 3; ++i)
        refusing += pool.deployment.metricsOf(i).find("jobs_refused_total") != std::string::npos ? 1 : 0;
    cr_assert_eq(refusing, 1u, "only the owner knows the queue");
}

Test(gateway_pool_admission, without_the_setting_requests_wait_until_their_deadline)
{
    saturated_pool pool(293, 1, false);
    for (int i = 0; i < 10; ++i)
        pool.send(0);
    pool.deployment.waitUntil([&] { return pool.heldExchanges.size() == 1; }, "the first call");
    pool.deployment.runLoopFor(milliseconds(1000));
    cr_assert_eq(pool.finishedCount(), 0u);
}
