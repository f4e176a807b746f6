/// Gateways that start after the store has returned from an older copy, while others know a newer configuration.
#include "support/deployment_fixture.hpp"

#include <criterion/criterion.h>
#include <csignal>

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
