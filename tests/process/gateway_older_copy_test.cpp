/// Keys that were taken away beside a store that returns from an older copy, at gateways that run on and that start.
#include "support/deployment_fixture.hpp"

#include <criterion/criterion.h>
#include <csignal>
#include <optional>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
const json routes { deployment_fixture::route("/p/", "idempotent", "pages") };

json accountsWith(const json& keys)
{
    return { { { "name", "acme" }, { "api_keys", keys } } };
}

unsigned statusWith(deployment_fixture& deployment, const std::string& key, size_t gateway)
{
    return deployment.sendAndWait("GET", "/p/1", { { "X-Api-Key", key } }, "", gateway)->head.status;
}

/// Two gateways at a configuration without `key-2`, which the version before had.
struct older_copy_test {
    explicit older_copy_test(int slot)
        : deployment(slot)
    {
        deployment.addTarget("t-1", "pages");
        deployment.configure(3, routes, json::array(), accountsWith({ "key-1", "key-2" }));
        for (const size_t gateway : { deployment.startGateway(), deployment.startGateway() })
            deployment.waitUntilReady(gateway);
        deployment.configure(4, routes, json::array(), accountsWith({ "key-1" }));
        for (const size_t gateway : { 0, 1 })
            deployment.waitUntil([&] { return statusWith(deployment, "key-2", gateway) == 401; }, "the newer configuration");
    }

    void kill(size_t gateway)
    {
        deployment.signal(gateway, SIGKILL);
        deployment.waitUntil([&] { return deployment.hasExited(gateway); }, "the end of the gateway");
    }

    deployment_fixture deployment;
};
}

// Guards against a key that was taken away and works again at a gateway that starts beside an older copy (review/8).
Test(gateway_older_copy, a_gateway_that_starts_serves_no_key_that_the_others_know_to_be_removed)
{
    older_copy_test test(495);
    auto& deployment = test.deployment;
    test.kill(0);
    deployment.store().restoreOlderCopy("keyed.op", 1);
    deployment.restartGateway(0);
    deployment.waitUntil(
        [&] {
            cr_assert_neq(statusWith(deployment, "key-2", 0), 200);
            return statusWith(deployment, "key-1", 0) == 200;
        },
        "the key that is left");
    cr_assert_eq(statusWith(deployment, "key-2", 0), 401);
}

// Guards against a wait without end for another entry that is listed but does not respond.
Test(gateway_older_copy, a_gateway_that_starts_beside_a_frozen_one_serves_what_the_store_has)
{
    older_copy_test test(496);
    auto& deployment = test.deployment;
    test.kill(0);
    deployment.signal(1, SIGSTOP);
    deployment.restartGateway(0);
    deployment.waitUntilReady(0);
    cr_assert_eq(statusWith(deployment, "key-1", 0), 200);
    cr_assert_eq(statusWith(deployment, "key-2", 0), 401);
    deployment.signal(1, SIGCONT);
}

namespace {
/// Time within which no key that was taken away is served.
constexpr milliseconds revocation { 3000 };
/// Time from the return of the store until the operator has written its configuration again.
constexpr milliseconds writtenAgainAfter { 1900 };

/// A gateway, and a store that returns from a copy that was made before `key-2` was taken away, which the gateway has not read.
struct lost_removal_test {
    explicit lost_removal_test(int slot, milliseconds revocationTime = revocation)
        : deployment(slot)
    {
        deployment.store().setEra(1);
        deployment.addTarget("t-1", "pages");
        deployment.configure(3, routes, json::array(), accountsWith({ "key-1", "key-2" }));
        deployment.startGateway({ { "revocationMs", revocationTime.count() } });
        deployment.waitUntilReady();
        // Longer than records take to come back, so that the gateway marks the era as complete.
        deployment.runLoopFor(milliseconds(4500));
        cr_assert_eq(statusWith(deployment, "key-2", 0), 200);
        deployment.store().keepCopy();
        deployment.store().setFaults({ .isDown = true });
        // A read that the store holds would be answered with the change.
        deployment.runLoopFor(milliseconds(1500));
        removeKey();
        removedAt = monotonicNow();
    }

    void removeKey() { deployment.configure(4, routes, json::array(), accountsWith({ "key-1" })); }

    void comeBack()
    {
        deployment.store().returnFromCopy();
        deployment.store().setFaults({});
        returnedAt = monotonicNow();
        writtenAgain.startOnce(writtenAgainAfter, [this] { removeKey(); });
    }

    /// Sends requests with both keys until the one that is left was served for a second.
    void checkKeys()
    {
        std::optional<time_point> servedSince;
        while (!servedSince || monotonicNow() < *servedSince + seconds(1)) {
            const time_point sentAt = monotonicNow();
            const unsigned status = statusWith(deployment, "key-2", 0);
            cr_assert(status != 200 || sentAt < removedAt + revocation, "the key was served %lld ms after it was taken away", static_cast<long long>(asMilliseconds(sentAt - removedAt)));
            if (!servedSince && statusWith(deployment, "key-1", 0) == 200)
                servedSince = monotonicNow();
            cr_assert(servedSince || monotonicNow() < returnedAt + longestRefusal, "the key that is left is refused");
            deployment.runLoopFor(milliseconds(50));
        }
    }

    /// Records are back by then, and were read.
    static constexpr milliseconds longestRefusal { 3300 };

    deployment_fixture deployment;
    time_point removedAt {};
    time_point returnedAt {};
    timer writtenAgain;
};
}

// Guards against a key that was taken away and works again until the operator has written its configuration again (review/14).
Test(gateway_older_copy, a_gateway_that_ran_on_serves_no_key_whose_removal_the_copy_lacks)
{
    lost_removal_test test(530);
    test.deployment.runLoopFor(milliseconds(2600));
    test.comeBack();
    test.checkKeys();
}

Test(gateway_older_copy, it_serves_none_after_two_returns_from_the_same_copy)
{
    lost_removal_test test(531);
    test.deployment.runLoopFor(milliseconds(1500));
    test.comeBack();
    test.deployment.runLoopFor(milliseconds(500));
    test.deployment.store().setFaults({ .isDown = true });
    test.writtenAgain.stop();
    test.deployment.runLoopFor(milliseconds(600));
    test.comeBack();
    test.checkKeys();
}

// Guards against the first configuration that a gateway reads, which may be older than the one in force.
Test(gateway_older_copy, a_gateway_that_starts_serves_no_key_whose_removal_the_copy_lacks)
{
    lost_removal_test test(532);
    test.deployment.signal(0, SIGKILL);
    test.deployment.waitUntil([&] { return test.deployment.hasExited(0); }, "the end of the gateway");
    test.deployment.runLoopFor(milliseconds(2300));
    test.comeBack();
    test.deployment.restartGateway(0);
    test.checkKeys();
}

// Guards against refusing keys for longer than the doubt lasts.
Test(gateway_older_copy, keys_are_served_beside_a_return_if_they_were_confirmed_shortly_before)
{
    lost_removal_test test(533, milliseconds(8000));
    test.deployment.runLoopFor(milliseconds(500));
    test.comeBack();
    for (int i = 0; i < 60; ++i) {
        cr_assert_eq(statusWith(test.deployment, "key-1", 0), 200);
        test.deployment.runLoopFor(milliseconds(50));
    }
}

Test(gateway_older_copy, a_gateway_that_starts_beside_a_sound_store_serves_keys_at_once)
{
    lost_removal_test test(534);
    test.deployment.store().setFaults({});
    test.deployment.signal(0, SIGKILL);
    test.deployment.waitUntil([&] { return test.deployment.hasExited(0); }, "the end of the gateway");
    test.deployment.restartGateway(0);
    const time_point startedAt = monotonicNow();
    test.deployment.waitUntilReady();
    cr_assert_lt(asMilliseconds(monotonicNow() - startedAt), 1500);
    cr_assert_eq(statusWith(test.deployment, "key-1", 0), 200);
}

namespace {
/// A gateway that starts beside an older copy takes what it reads for complete after this time.
constexpr milliseconds recoveryTime { 2300 };

/// A gateway at a configuration without keys, and a store that keeps a copy of the same state.
struct no_keys_test {
    explicit no_keys_test(int slot)
        : deployment(slot)
    {
        deployment.store().setEra(1);
        deployment.addTarget("t-1", "pages");
        deployment.configure(3, routes);
        deployment.startGateway({ { "revocationMs", revocation.count() } });
        deployment.waitUntilReady();
        // Longer than records take to come back, so that the gateway marks the era as complete.
        deployment.runLoopFor(milliseconds(4500));
        deployment.store().keepCopy();
        deployment.store().setFaults({ .isDown = true });
    }

    /// Checks that the gateway serves and is ready so soon after a moment that the store has not recovered.
    void checkReadiness(time_point since)
    {
        deployment.waitUntil([&] { return deployment.sendAndWait("GET", "/p/1")->head.status == 200; }, "a request that is served");
        deployment.waitUntilReady();
        cr_assert_lt(asMilliseconds(monotonicNow() - since), recoveryTime.count());
    }

    deployment_fixture deployment;
};
}

// Guards against a gateway that waits for a proof about keys where there are none.
Test(gateway_older_copy, a_gateway_without_keys_that_starts_is_ready_before_the_store_has_recovered)
{
    no_keys_test test(550);
    test.deployment.signal(0, SIGKILL);
    test.deployment.waitUntil([&] { return test.deployment.hasExited(0); }, "the end of the gateway");
    test.deployment.store().returnFromCopy();
    test.deployment.store().setFaults({});
    const time_point startedAt = monotonicNow();
    test.deployment.restartGateway(0);
    test.checkReadiness(startedAt);
}

Test(gateway_older_copy, a_gateway_without_keys_that_ran_on_is_ready_before_the_store_has_recovered)
{
    no_keys_test test(551);
    test.deployment.waitUntil([&] { return !test.deployment.isReady(); }, "the end of readiness");
    test.deployment.store().returnFromCopy();
    test.deployment.store().setFaults({});
    test.checkReadiness(monotonicNow());
}

// Guards against readiness at which keys are refused.
Test(gateway_older_copy, a_gateway_with_keys_that_starts_is_ready_once_the_store_has_recovered)
{
    lost_removal_test test(552);
    test.deployment.signal(0, SIGKILL);
    test.deployment.waitUntil([&] { return test.deployment.hasExited(0); }, "the end of the gateway");
    test.deployment.runLoopFor(milliseconds(2300));
    test.comeBack();
    const time_point startedAt = monotonicNow();
    test.deployment.restartGateway(0);
    test.deployment.waitUntilReady();
    cr_assert_geq(asMilliseconds(monotonicNow() - startedAt), recoveryTime.count());
    cr_assert_eq(statusWith(test.deployment, "key-1", 0), 200);
    cr_assert_eq(statusWith(test.deployment, "key-2", 0), 401);
}
