/// Changes of the settings file while the gateway runs, with or without a signal.
#include "support/deployment_fixture.hpp"

#include <criterion/criterion.h>
#include <csignal>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
/// @return A second store whose configuration is newer and has one route.
std::unique_ptr<fakes::platform_store> storeWithRoute(const ip_endpoint& listen, const fakes::platform_store& first, const std::string& prefix)
{
    auto store = std::make_unique<fakes::platform_store>(listen);
    json configuration = json::parse(first.newest("keyed.op", "config"));
    configuration["version"] = 9;
    configuration["routes"] = json::array({ deployment_fixture::route(prefix, "idempotent", "pages") });
    store->put("keyed.op", "config", configuration.dump());
    store->put("keyed.servers", "t-1", first.newest("keyed.servers", "t-1"));
    return store;
}

/// Starts a gateway that serves `/p/` and `/s/` from one store.
size_t startServing(deployment_fixture& deployment)
{
    deployment.addTarget("t-1", "pages");
    deployment.configure(3, json::array({ deployment_fixture::route("/p/", "idempotent", "pages"), deployment_fixture::route("/s/", "streaming", "pages") }));
    const size_t gateway = deployment.startGateway();
    deployment.waitUntilReady();
    return gateway;
}
}

Test(gateway_settings, a_changed_store_address_is_used_after_a_signal)
{
    deployment_fixture deployment(155);
    const size_t gateway = startServing(deployment);
    const ip_endpoint newAddress = deployment.allocateAddress();
    const auto second = storeWithRoute(newAddress, deployment.store(), "/moved/");
    deployment.changeSettings(gateway, { { "store", newAddress.toString() } });
    deployment.signal(gateway, SIGHUP);
    deployment.waitUntil([&] { return deployment.sendAndWait("GET", "/moved/1")->head.status == 200; }, "the configuration of the second store");
    cr_assert_neq(deployment.logOf(gateway).find("The settings were reloaded."), std::string::npos);
}

Test(gateway_settings, a_changed_store_address_is_used_without_a_signal)
{
    deployment_fixture deployment(156);
    const size_t gateway = startServing(deployment);
    const ip_endpoint newAddress = deployment.allocateAddress();
    const auto second = storeWithRoute(newAddress, deployment.store(), "/moved/");
    deployment.changeSettings(gateway, { { "store", newAddress.toString() } });
    deployment.waitUntil([&] { return deployment.sendAndWait("GET", "/moved/1")->head.status == 200; }, "the configuration of the second store");
}

Test(gateway_settings, invalid_settings_are_reported_and_change_nothing)
{
    deployment_fixture deployment(157);
    const size_t gateway = startServing(deployment);
    deployment.changeSettings(gateway, { { "bounds", { { "retryRatio", "many" } } } });
    deployment.signal(gateway, SIGHUP);
    deployment.waitUntil([&] { return deployment.logOf(gateway).find("retryRatio") != std::string::npos; }, "a log line that names the field");
    deployment.writeSettings(gateway, "{ \"name\":");
    deployment.signal(gateway, SIGHUP);
    deployment.waitUntil([&] { return deployment.logOf(gateway).rfind("The changed settings file is invalid") > deployment.logOf(gateway).find("The changed settings file is invalid"); }, "a log line on the broken file");
    cr_assert_eq(deployment.sendAndWait("GET", "/p/1")->head.status, 200);
    cr_assert(!deployment.hasExited(gateway));
}

Test(gateway_settings, a_reload_interrupts_no_request)
{
    deployment_fixture deployment(158);
    const size_t gateway = startServing(deployment);
    std::shared_ptr<http1::exchange> openExchange;
    auto& target = deployment.addTarget("t-2", "pages");
    target.setRequestHandler([&](std::shared_ptr<http1::exchange> exchange) {
        exchange->startChunked(200, target.responseHeaders(*exchange));
        exchange->writeChunk("id: 1\ndata: first\n\n");
        openExchange = std::move(exchange);
    });
    deployment.unlistTarget("t-1");
    deployment.waitUntil([&] { return deployment.logOf(gateway).find("t-2") != std::string::npos; }, "the second target");
    std::vector<caller_ptr> callers;
    deployment.waitUntil(
        [&] {
            if (!openExchange && (callers.empty() || callers.back()->isFinished))
                callers.push_back(deployment.send("GET", "/s/1"));
            return openExchange && callers.back()->hasHead;
        },
        "a stream from the second target");
    for (const char* ratio : { "0.1", "0.3", "0.2" }) {
        deployment.changeSettings(gateway, { { "bounds", { { "retryRatio", json::parse(ratio) } } } });
        deployment.signal(gateway, SIGHUP);
        deployment.runLoopFor(milliseconds(50));
    }
    openExchange->writeChunk("id: 2\ndata: last\n\n");
    openExchange->finishChunked();
    deployment.waitUntil([&] { return callers.back()->isFinished; }, "the end of the stream");
    cr_assert(callers.back()->outcome == http1::call_outcome::Complete);
    cr_assert_neq(callers.back()->body.find("last"), std::string::npos);
}
