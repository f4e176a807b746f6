/// Permitted regions and evacuated failure domains: no request and no task reaches a target that they exclude.
#include "base/hash.hpp"
#include "policy/ownership.hpp"
#include "support/deployment_fixture.hpp"

#include <criterion/criterion.h>
#include <csignal>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
/// Bound from docs/design/placement-and-load.md: after this time, nothing reaches an evacuated failure domain.
constexpr milliseconds evacuationBound { 5000 };
/// A refusal is sent at once if it arrives well before the 1.5 s for which requests otherwise wait for targets.
constexpr milliseconds maxRefusalTime { 500 };
constexpr int sentRequests = 8;

json routeWith(const json& changes)
{
    return deployment_fixture::route("/p/", "idempotent", "pages", changes);
}

json onlyRegion(const std::string& region)
{
    return { { "allowed_regions", { region } } };
}

json stagedRoute(const json& changes = json::object())
{
    json route = deployment_fixture::route("/m/", "idempotent", "model", { { "stages", { { { "service", "encode" }, { "after", json::array() }, { "bytes", 1000 } } } } });
    route.update(changes);
    return route;
}

const json encodePool { { { "name", "encode" }, { "pieces", { { "slots", 1 }, { "queue", 2 }, { "batch", 8 }, { "call_ms", 20 }, { "item_ms", 1 }, { "headroom_mb", 10 }, { "handle_s", 4 } } } } };
const http1::header_list stageHeaders { { "X-Pieces", "2" }, { "X-Piece-Key", "k" } };

/// @return The gateway that owns the pool of a service, of two.
size_t ownerOf(const std::string& service)
{
    const std::vector<policy::owner_candidate> candidates { { hashOf("gateway-0"), 1 }, { hashOf("gateway-1"), 1 } };
    return policy::rankOwners(candidates, hashOf(service)).front();
}

bool hasLogged(const deployment_fixture& deployment, size_t gateway, const std::string& text)
{
    return deployment.logOf(gateway).find(text) != std::string::npos;
}

void evacuate(deployment_fixture& deployment, const std::string& domain)
{
    deployment.store().put("keyed.op", "evacuate/" + domain, "{}");
}

void startTwoGateways(deployment_fixture& deployment)
{
    deployment.startGateway();
    deployment.startGateway();
    deployment.waitUntilReady(0);
    deployment.waitUntilReady(1);
    const size_t owner = ownerOf("encode");
    deployment.waitUntil([&] { return hasLogged(deployment, 1 - owner, "\"The connection to a pool owner is established.\",\"entry\":\"gateway-" + std::to_string(owner) + "\""); }, "the connection between the gateways");
}

void waitUntilKnown(deployment_fixture& deployment, size_t gateway, const std::string& change)
{
    deployment.waitUntil([&] { return hasLogged(deployment, gateway, "\"change\":\"" + change + "\""); }, "the change of an evacuation");
}

void assertRefusedAtOnce(deployment_fixture& deployment, const std::string& target, const std::string& reason, size_t gateway = 0, http1::header_list headers = {})
{
    const time_point sentAt = monotonicNow();
    const auto caller = deployment.sendAndWait("GET", target, std::move(headers), "", gateway);
    cr_assert_eq(caller->head.status, 503);
    cr_assert(!caller->header("Retry-After").empty());
    cr_assert_lt(monotonicNow() - sentAt, maxRefusalTime);
    // Log lines are left out when there are very many, so the reason is read from the metrics.
    const std::string metrics = deployment.metricsOf(gateway);
    cr_assert_neq(metrics.find("outcome=\"refused\",reason=\"" + reason + "\""), std::string::npos, "%s", metrics.c_str());
}
}

// Guards against requests that leave the regions of their route or of their account.
Test(gateway_regions, a_request_reaches_only_targets_in_the_regions_of_its_route_and_its_account)
{
    deployment_fixture deployment(380);
    auto& north = deployment.addTarget("t-north", "pages", "north-1");
    auto& south = deployment.addTarget("t-south", "pages", "south-1");
    auto& unknown = deployment.addTarget("t-unknown", "pages", "elsewhere-1");
    const json accounts { { { "name", "free" }, { "api_keys", { "key-free" } } }, { { "name", "bound" }, { "api_keys", { "key-bound" } }, { "allowed_regions", { "south" } } }, { { "name", "none" }, { "api_keys", { "key-none" } }, { "allowed_regions", { "nowhere" } } } };
    deployment.configure(3, { routeWith({ { "allowed_regions", { "north", "south" } } }), deployment_fixture::route("/n/", "idempotent", "pages", onlyRegion("north")) }, json::array(), accounts);
    deployment.startGateway();
    deployment.waitUntilReady();
    for (int i = 0; i < sentRequests; ++i) {
        cr_assert_eq(deployment.sendAndWait("GET", "/p/1", { { "X-Api-Key", "key-bound" } })->body, "t-south");
        cr_assert_eq(deployment.sendAndWait("GET", "/n/1", { { "X-Api-Key", "key-free" } })->body, "t-north");
        cr_assert_eq(deployment.sendAndWait("GET", "/p/1", { { "X-Api-Key", "key-free" } })->head.status, 200);
    }
    const size_t before = north.requests().size() + south.requests().size();
    assertRefusedAtOnce(deployment, "/n/1", "no_permitted_region", 0, { { "X-Api-Key", "key-bound" } });
    assertRefusedAtOnce(deployment, "/p/1", "no_permitted_region", 0, { { "X-Api-Key", "key-none" } });
    cr_assert_eq(north.requests().size() + south.requests().size(), before);
    cr_assert_eq(unknown.requests().size(), 0u, "the region of the target is unknown");
    cr_assert(hasLogged(deployment, 0, "A configuration permits regions that the settings do not contain"));
}

// Guards against a retry that leaves the permitted regions although the target failed.
Test(gateway_regions, a_retry_stays_in_the_permitted_regions)
{
    deployment_fixture deployment(381);
    auto& north = deployment.addTarget("t-north", "pages", "north-1");
    auto& south = deployment.addTarget("t-south", "pages", "south-1");
    south.setRequestHandler([&south](const std::shared_ptr<http1::exchange>& exchange) { exchange->respond(500, south.responseHeaders(*exchange), "failed"); });
    deployment.configure(3, { routeWith(onlyRegion("south")) });
    deployment.startGateway();
    deployment.waitUntilReady();
    cr_assert_neq(deployment.sendAndWait("GET", "/p/1")->head.status, 200);
    cr_assert_eq(north.requests().size(), 0u);
    cr_assert_geq(south.requests().size(), 1u);
}

// Guards against tasks that the owner of a pool runs outside the regions of the request.
Test(gateway_regions, tasks_that_another_gateway_runs_stay_in_the_permitted_regions)
{
    deployment_fixture deployment(382);
    auto& north = deployment.addTarget("e-north", "encode", "north-1");
    auto& south = deployment.addTarget("e-south", "encode", "south-1");
    deployment.addTarget("m-south", "model", "south-1");
    deployment.configure(3, { stagedRoute(onlyRegion("south")), deployment_fixture::route("/any/", "idempotent", "model", { { "stages", stagedRoute().at("stages") } }) }, encodePool);
    startTwoGateways(deployment);
    for (int i = 0; i < sentRequests; ++i) {
        for (size_t gateway = 0; gateway < 2; ++gateway)
            cr_assert_eq(deployment.sendAndWait("POST", "/m/1", stageHeaders, "", gateway)->head.status, 200);
    }
    cr_assert_eq(north.batchCalls().size(), 0u);
    cr_assert_geq(south.batchCalls().size(), static_cast<size_t>(sentRequests));
    cr_assert_neq(deployment.metricsOf(1 - ownerOf("encode")).find("jobs_sent_total"), std::string::npos, "the owner of the pool ran tasks");
}

// Guards against a configuration that takes effect only for later requests: one waits for its stages meanwhile.
Test(gateway_regions, a_region_that_is_removed_while_a_request_waits_for_its_stages_gets_nothing)
{
    deployment_fixture deployment(383);
    auto& encoder = deployment.addTarget("e-south", "encode", "south-1");
    auto& north = deployment.addTarget("m-north", "model", "north-1");
    auto& south = deployment.addTarget("m-south", "model", "south-1");
    std::vector<std::shared_ptr<http1::exchange>> heldCalls;
    encoder.setBatchCallHandler([&heldCalls](const std::shared_ptr<http1::exchange>& exchange) { heldCalls.push_back(exchange); });
    deployment.configure(3, { stagedRoute({ { "allowed_regions", { "north", "south" } } }) }, encodePool);
    startTwoGateways(deployment);
    std::vector<caller_ptr> callers;
    for (size_t gateway = 0; gateway < 2; ++gateway)
        callers.push_back(deployment.send("POST", "/m/1", stageHeaders, "", gateway));
    deployment.waitUntil([&] { return !heldCalls.empty(); }, "the tasks of a request");
    deployment.configure(4, { stagedRoute(onlyRegion("south")) }, encodePool);
    for (size_t gateway = 0; gateway < 2; ++gateway)
        deployment.waitUntil([&] { return hasLogged(deployment, gateway, "\"A newer configuration came into force.\",\"version\":\"4\""); }, "the newer configuration");
    encoder.setBatchCallHandler({});
    for (const auto& exchange : heldCalls)
        encoder.respondToBatchCall(*exchange);
    deployment.waitUntil([&] { return std::all_of(callers.begin(), callers.end(), [](const auto& item) { return item->isFinished; }); }, "the responses");
    cr_assert_eq(callers[0]->head.status, 200);
    cr_assert_eq(callers[1]->head.status, 200);
    cr_assert_eq(north.requests().size(), 0u);
    cr_assert_eq(south.requests().size(), 2u);
}

// Guards against tasks that wait in the owner's queue and run where a newer configuration forbids it.
Test(gateway_regions, tasks_that_wait_at_the_owner_follow_the_newest_configuration)
{
    deployment_fixture deployment(384);
    auto& north = deployment.addTarget("e-north", "encode", "north-1");
    deployment.addTarget("m-south", "model", "south-1");
    std::vector<std::shared_ptr<http1::exchange>> heldCalls;
    north.setBatchCallHandler([&heldCalls](const std::shared_ptr<http1::exchange>& exchange) { heldCalls.push_back(exchange); });
    deployment.configure(3, { stagedRoute(), deployment_fixture::route("/first/", "idempotent", "model", { { "stages", stagedRoute().at("stages") } }) }, encodePool);
    startTwoGateways(deployment);
    const size_t requester = 1 - ownerOf("encode");
    // Occupies the only target of the pool, so that the tasks of the next request wait.
    const auto first = deployment.send("POST", "/first/1", stageHeaders, "", requester);
    deployment.waitUntil([&] { return !heldCalls.empty(); }, "the tasks of the first request");
    const auto second = deployment.send("POST", "/m/1", stageHeaders, "", requester);
    deployment.runLoopFor(milliseconds(100));
    auto& south = deployment.addTarget("e-south", "encode", "south-1");
    deployment.configure(4, { stagedRoute(onlyRegion("south")), deployment_fixture::route("/first/", "idempotent", "model", { { "stages", stagedRoute().at("stages") } }) }, encodePool);
    const size_t callsBefore = north.batchCalls().size();
    deployment.waitUntil([&] { return second->isFinished; }, "the response to the second request");
    cr_assert(second->head.status == 200 || second->head.status == 503);
    cr_assert_eq(north.batchCalls().size(), callsBefore);
    cr_assert_eq(second->head.status == 200, !south.batchCalls().empty());
    for (const auto& exchange : heldCalls)
        north.respondToBatchCall(*exchange);
    deployment.waitUntil([&] { return first->isFinished; }, "the response to the first request");
}

// Guards against an evacuation that a gateway misses or that leaves work waiting until its deadline.
Test(gateway_regions, an_evacuated_domain_gets_nothing_until_the_evacuation_is_withdrawn)
{
    deployment_fixture deployment(385);
    auto& north = deployment.addTarget("e-north", "encode", "north-1");
    auto& model = deployment.addTarget("m-north", "model", "north-1");
    deployment.addTarget("m-south", "model", "south-1");
    deployment.configure(3, { stagedRoute() }, encodePool);
    startTwoGateways(deployment);
    std::vector<std::shared_ptr<http1::exchange>> heldCalls;
    north.setBatchCallHandler([&heldCalls](const std::shared_ptr<http1::exchange>& exchange) { heldCalls.push_back(exchange); });
    const auto occupying = deployment.send("POST", "/m/1", stageHeaders, "", 0);
    deployment.waitUntil([&] { return !heldCalls.empty(); }, "the tasks of the first request");
    std::vector<caller_ptr> waiting;
    for (size_t gateway = 0; gateway < 2; ++gateway)
        waiting.push_back(deployment.send("POST", "/m/2", stageHeaders, "", gateway));
    deployment.runLoopFor(milliseconds(100));
    const size_t callsBefore = north.batchCalls().size();
    const time_point evacuatedAt = monotonicNow();
    evacuate(deployment, "north-1");
    for (size_t gateway = 0; gateway < 2; ++gateway)
        waitUntilKnown(deployment, gateway, "begun");
    cr_assert_lt(monotonicNow() - evacuatedAt, evacuationBound);
    const size_t modelRequestsBefore = model.requests().size();
    deployment.waitUntil([&] { return std::all_of(waiting.begin(), waiting.end(), [](const auto& item) { return item->isFinished; }); }, "the refusals of the waiting requests");
    cr_assert_lt(monotonicNow() - evacuatedAt, evacuationBound);
    for (const auto& caller : waiting) {
        cr_assert_eq(caller->head.status, 503);
        cr_assert(!caller->header("Retry-After").empty());
    }
    for (size_t gateway = 0; gateway < 2; ++gateway) {
        const auto refused = deployment.sendAndWait("POST", "/m/3", stageHeaders, "", gateway);
        cr_assert_eq(refused->head.status, 503, "the pool has no target elsewhere");
        cr_assert_neq(deployment.metricsOf(gateway).find("outcome=\"refused\",reason=\"evacuated\""), std::string::npos);
        cr_assert_eq(deployment.sendAndWait("POST", "/m/4", {}, "", gateway)->body, "m-south");
    }
    north.setBatchCallHandler({});
    for (const auto& exchange : heldCalls)
        north.respondToBatchCall(*exchange);
    deployment.waitUntil([&] { return occupying->isFinished; }, "the response to the request whose tasks were running");
    cr_assert_eq(occupying->head.status, 200, "what runs in the domain finishes");
    deployment.runLoopFor(milliseconds(300));
    cr_assert_eq(north.batchCalls().size(), callsBefore);
    cr_assert_eq(north.releasedResults().size(), 0u, "results in an evacuated domain expire by themselves");
    cr_assert_eq(model.requests().size(), modelRequestsBefore);
    deployment.store().put("keyed.op", "evacuate/north-1", "");
    for (size_t gateway = 0; gateway < 2; ++gateway) {
        waitUntilKnown(deployment, gateway, "withdrawn");
        cr_assert_eq(deployment.sendAndWait("POST", "/m/5", stageHeaders, "", gateway)->head.status, 200);
    }
}

// Guards against a gateway that wakes with an outdated list of evacuations and sends what it holds.
Test(gateway_regions, a_gateway_that_was_frozen_across_an_evacuation_sends_nothing_there)
{
    deployment_fixture deployment(386);
    auto& encoder = deployment.addTarget("e-north", "encode", "north-1");
    auto& otherEncoder = deployment.addTarget("e-south", "encode", "south-1");
    auto& model = deployment.addTarget("m-north", "model", "north-1");
    auto& otherModel = deployment.addTarget("m-south", "model", "south-1");
    deployment.configure(3, { stagedRoute() }, encodePool);
    startTwoGateways(deployment);
    const size_t owner = ownerOf("encode");
    deployment.signal(owner, SIGSTOP);
    deployment.runLoopFor(milliseconds(300));
    evacuate(deployment, "north-1");
    deployment.runLoopFor(evacuationBound);
    // The time that the bound allows has passed, so from now on nothing may arrive there.
    const size_t before = encoder.batchCalls().size() + model.requests().size();
    std::vector<caller_ptr> callers;
    for (int i = 0; i < sentRequests; ++i) {
        callers.push_back(deployment.send("POST", "/m/1", stageHeaders, "", owner));
        callers.push_back(deployment.send("POST", "/m/2", {}, "", owner));
    }
    deployment.runLoopFor(milliseconds(50));
    deployment.signal(owner, SIGCONT);
    deployment.waitUntil([&] { return std::all_of(callers.begin(), callers.end(), [](const auto& item) { return item->isFinished; }); }, "the responses after the freeze");
    cr_assert_eq(encoder.batchCalls().size() + model.requests().size(), before);
    cr_assert_eq(otherModel.requests().size(), callers.size());
    cr_assert_geq(otherEncoder.batchCalls().size(), 1u);
}

// Guards against a gateway that wakes while the store is slow and trusts its old list before it was read again.
Test(gateway_regions, a_gateway_that_was_frozen_waits_for_a_slow_store)
{
    deployment_fixture deployment(387);
    auto& north = deployment.addTarget("t-north", "pages", "north-1");
    auto& south = deployment.addTarget("t-south", "pages", "south-1");
    deployment.configure(3, { routeWith(json::object()) });
    deployment.startGateway();
    deployment.waitUntilReady();
    deployment.signal(0, SIGSTOP);
    evacuate(deployment, "north-1");
    deployment.runLoopFor(milliseconds(1500));
    deployment.store().setFaults({ .delay = milliseconds(1000) });
    std::vector<caller_ptr> callers;
    for (int i = 0; i < sentRequests; ++i)
        callers.push_back(deployment.send("GET", "/p/" + std::to_string(i)));
    deployment.runLoopFor(milliseconds(50));
    deployment.signal(0, SIGCONT);
    deployment.waitUntil([&] { return std::all_of(callers.begin(), callers.end(), [](const auto& item) { return item->isFinished; }); }, "the responses after the freeze");
    cr_assert_eq(north.requests().size(), 0u);
    cr_assert_eq(south.requests().size(), static_cast<size_t>(sentRequests));
}

// Guards against a gateway that serves after a restart before it knows the evacuations.
Test(gateway_regions, a_gateway_that_restarts_during_an_evacuation_sends_nothing_there)
{
    deployment_fixture deployment(388);
    auto& north = deployment.addTarget("t-north", "pages", "north-1");
    deployment.addTarget("t-south", "pages", "south-1");
    deployment.configure(3, { routeWith(json::object()) });
    deployment.startGateway();
    deployment.startGateway();
    deployment.waitUntilReady(0);
    deployment.waitUntilReady(1);
    evacuate(deployment, "north-1");
    for (size_t gateway = 0; gateway < 2; ++gateway)
        waitUntilKnown(deployment, gateway, "begun");
    const size_t before = north.requests().size();
    deployment.signal(0, SIGKILL);
    deployment.waitUntil([&] { return deployment.hasExited(0); }, "the end of the gateway");
    deployment.store().setFaults({ .delay = milliseconds(300) });
    deployment.restartGateway(0);
    // Requests arrive as soon as the gateway listens, before and after it is ready.
    bool isServed = false;
    deployment.waitUntil(
        [&] {
            const auto caller = deployment.sendAndWait("GET", "/p/1");
            isServed = isServed || caller->head.status == 200;
            return isServed && deployment.isReady(0);
        },
        "the restarted gateway");
    for (int i = 0; i < sentRequests; ++i)
        cr_assert_eq(deployment.sendAndWait("GET", "/p/1", {}, "", static_cast<size_t>(i % 2))->body, "t-south");
    cr_assert_eq(north.requests().size(), before);
}

// Guards against records of one read that are applied out of order, or of which only some are applied.
Test(gateway_regions, evacuate_withdraw_evacuate_in_one_read_leaves_the_domain_evacuated)
{
    deployment_fixture deployment(389);
    auto& north = deployment.addTarget("t-north", "pages", "north-1");
    auto& south = deployment.addTarget("t-south", "pages", "south-1");
    deployment.configure(3, { routeWith(json::object()) });
    deployment.startGateway();
    deployment.startGateway();
    deployment.waitUntilReady(0);
    deployment.waitUntilReady(1);
    // While the store refuses reads, the records gather for the next one.
    deployment.store().setFaults({ .status = 503 });
    for (size_t gateway = 0; gateway < 2; ++gateway)
        deployment.waitUntil([&] { return hasLogged(deployment, gateway, "The store is unreachable; the last known state stays in use."); }, "the outage");
    for (const auto* value : { "{}", "", "{}" })
        deployment.store().put("keyed.op", "evacuate/north-1", value);
    for (const auto* value : { "{}", "" })
        deployment.store().put("keyed.op", "evacuate/south-1", value);
    deployment.store().setFaults({});
    for (size_t gateway = 0; gateway < 2; ++gateway)
        deployment.waitUntil([&] { return hasLogged(deployment, gateway, "\"failure_domain\":\"south-1\",\"change\":\"withdrawn\""); }, "the records");
    const size_t before = north.requests().size();
    for (int i = 0; i < sentRequests; ++i)
        cr_assert_eq(deployment.sendAndWait("GET", "/p/1", {}, "", static_cast<size_t>(i % 2))->body, "t-south");
    cr_assert_eq(north.requests().size(), before);
    // The last known evacuations stay in force while the store is away.
    deployment.store().setFaults({ .isDown = true });
    deployment.runLoopFor(milliseconds(1500));
    cr_assert_eq(deployment.sendAndWait("GET", "/p/1")->body, "t-south");
    deployment.store().setFaults({});
    evacuate(deployment, "south-1");
    deployment.waitUntil([&] { return deployment.sendAndWait("GET", "/p/1")->head.status == 503; }, "the second evacuation");
    assertRefusedAtOnce(deployment, "/p/1", "evacuated");
    static_cast<void>(south);
}

// Guards against an evacuation that ends at once when the store returns from a copy without it, and against one that never ends.
Test(gateway_regions, an_evacuation_that_the_store_lost_stays_in_force_for_five_seconds)
{
    constexpr milliseconds lostLifetime { 5000 };
    // The end is noticed by the next read of the topic, which the bound of the configuration (2.5 s) limits.
    constexpr milliseconds longestRead { 2500 };
    deployment_fixture deployment(390);
    auto& north = deployment.addTarget("t-north", "pages", "north-1");
    deployment.configure(3, { routeWith(json::object()) });
    deployment.startGateway();
    deployment.waitUntilReady();
    evacuate(deployment, "north-1");
    waitUntilKnown(deployment, 0, "begun");
    const size_t before = north.requests().size();
    deployment.store().restoreOlderCopy("keyed.op", 1);
    waitUntilKnown(deployment, 0, "unconfirmed");
    const time_point lostAt = monotonicNow();
    while (monotonicNow() - lostAt < lostLifetime - milliseconds(200)) {
        cr_assert_eq(deployment.sendAndWait("GET", "/p/1")->head.status, 503);
        deployment.runLoopFor(milliseconds(100));
    }
    cr_assert_eq(north.requests().size(), before);
    deployment.waitUntil([&] { return deployment.sendAndWait("GET", "/p/1")->head.status == 200; }, "the end of the lost evacuation");
    cr_assert_lt(monotonicNow() - lostAt, lostLifetime + longestRead + maxRefusalTime);
}

// Guards against a second run beside a silent target that leaves the permitted regions or enters an evacuated domain.
Test(gateway_regions, a_second_run_beside_a_silent_target_stays_where_the_request_may_run)
{
    deployment_fixture deployment(391);
    auto& north = deployment.addTarget("t-north", "pages", "north-1");
    auto& south = deployment.addTarget("t-south", "pages", "south-1");
    const json silentSoon { { "target_latency_ms", 200 } };
    json bound = routeWith(silentSoon);
    bound["allowed_regions"] = { "south" };
    deployment.configure(3, { bound, deployment_fixture::route("/any/", "idempotent", "pages", silentSoon) });
    deployment.startGateway();
    deployment.waitUntilReady();
    south.fallSilent(milliseconds(1500));
    cr_assert_eq(deployment.sendAndWait("GET", "/p/1")->body, "t-south");
    cr_assert_eq(north.requests().size(), 0u, "outside the permitted regions");
    evacuate(deployment, "north-1");
    waitUntilKnown(deployment, 0, "begun");
    south.fallSilent(milliseconds(1500));
    cr_assert_eq(deployment.sendAndWait("GET", "/any/1")->body, "t-south");
    cr_assert_eq(north.requests().size(), 0u, "evacuated");
    cr_assert(hasLogged(deployment, 0, "The target of a request is silent."), "a second run was wanted");
}

// Guards against a malformed list that permits everything, and against one that discards the configuration in force.
Test(gateway_regions, a_configuration_with_a_malformed_list_leaves_the_previous_one_in_force)
{
    deployment_fixture deployment(392);
    auto& north = deployment.addTarget("t-north", "pages", "north-1");
    deployment.addTarget("t-south", "pages", "south-1");
    deployment.configure(3, { routeWith(onlyRegion("south")) });
    deployment.startGateway();
    deployment.waitUntilReady();
    deployment.configure(4, { routeWith({ { "allowed_regions", "north" } }) });
    deployment.waitUntil([&] { return hasLogged(deployment, 0, "A configuration could not be decoded; the previous one stays in force."); }, "the rejected configuration");
    for (int i = 0; i < sentRequests; ++i)
        cr_assert_eq(deployment.sendAndWait("GET", "/p/1")->body, "t-south");
    cr_assert_eq(north.requests().size(), 0u);
    deployment.configure(5, { routeWith({ { "allowed_regions", json::array() } }) });
    deployment.waitUntil([&] { return deployment.sendAndWait("GET", "/p/1")->body == "t-north"; }, "the configuration without a restriction");
}
