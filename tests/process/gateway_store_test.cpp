/// The store is unreachable, refuses reads or has lost its history.
#include "support/deployment_fixture.hpp"

#include <criterion/criterion.h>
#include <csignal>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
const json accounts { { { "name", "acme" }, { "api_keys", { "key-1" } } } };
const json routes { deployment_fixture::route("/p/", "idempotent", "pages"), deployment_fixture::route("/open/", "idempotent", "pages", { { "public", true } }) };
}

Test(gateway_store, keys_are_refused_before_a_missed_removal_must_be_in_force)
{
    deployment_fixture deployment(191);
    deployment.addTarget("t-1", "pages");
    deployment.configure(3, routes, json::array(), accounts);
    deployment.startGateway({ { "revocationMs", 2500 } });
    deployment.waitUntilReady();
    cr_assert_eq(deployment.sendAndWait("GET", "/p/1", { { "X-Api-Key", "key-1" } })->head.status, 200);
    deployment.store().setFaults({ false, true, 0 });
    deployment.waitUntil([&] { return !deployment.isReady(); }, "the end of readiness");
    cr_assert_eq(deployment.sendAndWait("GET", "/p/1", { { "X-Api-Key", "key-1" } })->head.status, 503);
    cr_assert_eq(deployment.sendAndWait("GET", "/p/1", { { "X-Api-Key", "unknown" } })->head.status, 503, "an unknown key may be new");
    cr_assert_eq(deployment.sendAndWait("GET", "/new/1")->head.status, 503, "an unknown route may be new");
    cr_assert_eq(deployment.sendAndWait("GET", "/open/1")->head.status, 200);
    deployment.store().setFaults({});
    deployment.waitUntilReady();
    cr_assert_eq(deployment.sendAndWait("GET", "/p/1", { { "X-Api-Key", "key-1" } })->head.status, 200);
    const std::string log = deployment.logOf(0);
    cr_assert_neq(log.find("The store is unreachable; the last known state stays in use."), std::string::npos);
    cr_assert_neq(log.find("The store is reachable again."), std::string::npos);
}

Test(gateway_store, a_gateway_that_was_suspended_refuses_keys_that_may_be_revoked)
{
    deployment_fixture deployment(159);
    auto& target = deployment.addTarget("t-1", "pages");
    deployment.configure(3, routes, json::array(), accounts);
    const size_t gateway = deployment.startGateway({ { "revocationMs", 1500 } });
    deployment.waitUntilReady();
    cr_assert_eq(deployment.sendAndWait("GET", "/p/1", { { "X-Api-Key", "key-1" } })->head.status, 200);
    const size_t before = target.requests().size();
    // The read that the store holds completes; the next one gets no response.
    deployment.store().setFaults({ .isUnresponsive = true });
    deployment.runLoopFor(milliseconds(1000));
    deployment.signal(gateway, SIGSTOP);
    deployment.configure(4, routes, json::array(), json::array({ { { "name", "acme" }, { "api_keys", { "key-2" } } } }));
    deployment.runLoopFor(milliseconds(2500));
    const auto pendingCall = deployment.send("GET", "/p/2", { { "X-Api-Key", "key-1" } });
    deployment.runLoopFor(milliseconds(50));
    deployment.signal(gateway, SIGCONT);
    deployment.waitUntil([&] { return pendingCall->isFinished; }, "a response after the suspension");
    cr_assert_eq(pendingCall->head.status, 503);
    cr_assert_eq(target.requests().size(), before, "the key was revoked before the request was sent");
    deployment.store().setFaults({});
    deployment.waitUntil([&] { return deployment.sendAndWait("GET", "/p/3", { { "X-Api-Key", "key-2" } })->head.status == 200; }, "the newer key");
}

Test(gateway_store, a_gateway_that_was_paused_sends_nothing_to_a_target_that_left_meanwhile)
{
    constexpr int pendingRequests = 8;
    deployment_fixture deployment(194);
    auto& leaving = deployment.addTarget("t-1", "pages");
    auto& other = deployment.addTarget("t-2", "pages");
    deployment.configure(3, routes);
    const size_t gateway = deployment.startGateway();
    deployment.waitUntilReady();
    deployment.signal(gateway, SIGSTOP);
    deployment.listTarget(leaving, "pages", "draining");
    deployment.runLoopFor(milliseconds(2700));
    std::vector<caller_ptr> callers;
    for (int i = 0; i < pendingRequests; ++i)
        callers.push_back(deployment.send("GET", "/p/" + std::to_string(i)));
    deployment.runLoopFor(milliseconds(50));
    deployment.signal(gateway, SIGCONT);
    deployment.waitUntil([&] { return std::all_of(callers.begin(), callers.end(), [](const auto& item) { return item->isFinished; }); }, "the responses after the pause");
    cr_assert_eq(leaving.requests().size(), 0u);
    cr_assert_eq(other.requests().size(), static_cast<size_t>(pendingRequests));
}

Test(gateway_store, targets_that_expire_during_an_outage_are_kept_until_the_store_returns)
{
    deployment_fixture deployment(192);
    auto& target = deployment.addTarget("t-1", "pages");
    auto& expiredTarget = deployment.addTarget("t-2", "pages");
    deployment.configure(3, routes);
    deployment.startGateway();
    deployment.waitUntilReady();
    deployment.store().setFaults({ true, false, 0 });
    deployment.waitUntil([&] { return deployment.logOf(0).find("The store is unreachable; the last known state stays in use.") != std::string::npos; }, "the outage");
    deployment.store().put("keyed.servers", "t-1", "");
    deployment.store().put("keyed.servers", "t-2", "");
    cr_assert_eq(deployment.sendAndWait("GET", "/p/1")->head.status, 200);
    deployment.store().setFaults({});
    deployment.waitUntil([&] { return deployment.logOf(0).find("The store is reachable again.") != std::string::npos; }, "the return of the store");
    cr_assert_eq(deployment.sendAndWait("GET", "/p/1")->head.status, 200);
    deployment.listTarget(target, "pages");
    deployment.waitUntil([&] { return deployment.logOf(0).find("\"lapsed\"") != std::string::npos; }, "the removal of the target that was not listed again");
    const size_t before = expiredTarget.requests().size();
    for (int i = 0; i < 6; ++i)
        cr_assert_eq(deployment.sendAndWait("GET", "/p/1")->body, "t-1");
    cr_assert_eq(expiredTarget.requests().size(), before);
}

Test(gateway_store, the_gateway_recovers_from_refused_reads_and_a_deleted_history)
{
    deployment_fixture deployment(193);
    deployment.addTarget("t-1", "pages");
    deployment.configure(3, routes);
    deployment.startGateway();
    deployment.waitUntilReady();
    deployment.store().setFaults({ false, false, 429 });
    deployment.waitUntil([&] { return deployment.logOf(0).find("status 429") != std::string::npos; }, "the refused read");
    deployment.store().truncateHistory("keyed.servers");
    deployment.store().truncateHistory("keyed.op");
    deployment.unlistTarget("t-1");
    deployment.addTarget("t-3", "pages");
    deployment.store().setFaults({});
    deployment.waitUntil([&] { return deployment.sendAndWait("GET", "/p/1")->body == "t-3"; }, "the new target");
}
