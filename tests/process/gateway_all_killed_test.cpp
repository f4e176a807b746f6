/// Streams that callers take up again after all gateways were killed and started again, beside a release.
#include "support/killed_fleet.hpp"

using namespace bilberryseam;
using namespace bilberryseam::tests;

// Guards against refusing each stream for which no gateway knows the version that began it.
Test(gateway_all_killed, streams_go_on_at_their_version_while_both_serve)
{
    killed_fleet test(395);
    test.beginStreams();
    test.fleet.release("v2", 2);
    test.killGateways();
    test.restartGateways();
    test.expectWholeStreams();
}

Test(gateway_all_killed, streams_that_began_beside_a_second_version_go_on_at_theirs)
{
    killed_fleet test(396);
    test.fleet.release("v2", 2);
    test.beginStreams();
    test.fleet.deployment.runLoopFor(milliseconds(400));
    test.killGateways();
    test.restartGateways();
    for (size_t i = 0; i < streamCount; ++i) {
        const auto resumed = test.fleet.resume(killed_fleet::idOf(i), (i + 1) % gatewayCount);
        const bool isWhole = isWholeStreamOf(*resumed, "v1") || isWholeStreamOf(*resumed, "v2");
        cr_assert(isWhole, "stream %zu, status %u: %s", i, resumed->head.status, resumed->body.c_str());
    }
    cr_assert_eq(test.resumeAtOneVersion(streamCount), streamCount);
}

// Guards against continuing a stream at another version because its own is not in service any more.
Test(gateway_all_killed, streams_of_a_version_that_drains_are_refused)
{
    killed_fleet test(397);
    test.beginStreams();
    test.fleet.release("v2", 2);
    test.retireOldVersion(false);
    test.killGateways();
    test.restartGateways();
    test.expectRefusals();
}

Test(gateway_all_killed, streams_of_a_version_that_is_gone_are_refused)
{
    killed_fleet test(398);
    test.beginStreams();
    test.fleet.release("v2", 2);
    test.killGateways();
    test.retireOldVersion(true);
    test.restartGateways();
    test.expectRefusals();
}

Test(gateway_all_killed, streams_are_refused_if_no_gateway_saw_the_version_that_serves_now)
{
    killed_fleet test(399);
    test.beginStreams();
    test.fleet.deployment.runLoopFor(milliseconds(500));
    test.killGateways();
    test.retireOldVersion(true);
    test.fleet.release("v2", 2);
    test.restartGateways();
    test.expectRefusals();
}

Test(gateway_all_killed, streams_go_on_if_no_gateway_saw_the_second_version)
{
    killed_fleet test(400);
    test.beginStreams();
    test.fleet.deployment.runLoopFor(milliseconds(500));
    test.killGateways();
    test.fleet.release("v2", 2);
    test.restartGateways();
    test.expectWholeStreams();
}

Test(gateway_all_killed, streams_go_on_while_one_version_serves)
{
    killed_fleet test(401);
    test.beginStreams();
    test.killGateways();
    test.restartGateways();
    test.expectWholeStreams();
}

// Guards against origins that are kept only by gateways which were lost for good and are still listed.
Test(gateway_all_killed, streams_go_on_although_gateways_that_were_lost_are_still_listed)
{
    versioned_fleet fleet(402, 2);
    fleet.add("t-1", "v1");
    fleet.add("t-2", "v1");
    for (int i = 0; i < 24; ++i) {
        const nlohmann::json record { { "peerListen", fleet.deployment.allocateAddress().toString() }, { "weight", 1 }, { "startedAtMs", i }, { "failureDomain", "north-1" } };
        fleet.deployment.store().put("keyed.entries", "lost-" + std::to_string(i), record.dump());
    }
    fleet.waitUntilReady();
    fleet.release("v2", 2);
    std::vector<std::string> versions;
    for (size_t i = 0; i < 12; ++i) {
        const auto stream = fleet.begin("a-" + std::to_string(i), 0);
        versions.push_back(*versionsIn(stream->body).begin());
        stream->call.reset();
    }
    fleet.deployment.runLoopFor(milliseconds(500));
    for (size_t i = 0; i < versions.size(); ++i) {
        const auto resumed = fleet.resume("a-" + std::to_string(i), 1);
        cr_assert(isWholeStreamOf(*resumed, versions[i]), "stream %zu, status %u: %s", i, resumed->head.status, resumed->body.c_str());
    }
}

namespace {
constexpr size_t outageStreamCount = 24;

struct outage {
    int slot = 0;
    std::set<std::string> topics;
    bool isSecondVersionGone = false;
    bool areKilledTwice = false;
    bool expectsContinuation = false;
};

/// A second version joins while topics of the store are down and streams begin; then all gateways are killed and started again.
void runOutage(const outage& outage)
{
    killed_fleet test(outage.slot);
    const int64_t startedAtMs = wallNow().time_since_epoch().count();
    const auto stateStarts = [&](const std::vector<std::string>& ids, int64_t atMs) {
        for (const auto& id : ids)
            test.fleet.deployment.changeRecord(id, { { "born", atMs } });
        test.fleet.deployment.runLoopFor(milliseconds(1500));
    };
    stateStarts({ "t-1", "t-2" }, startedAtMs);
    // Targets renew their records as long as they run.
    std::set<std::string> renewing { "t-1", "t-2" };
    timer heartbeat;
    heartbeat.startEvery(milliseconds(1000), [&] {
        for (const auto& id : renewing)
            test.fleet.deployment.changeRecord(id, nlohmann::json::object());
    });
    // The record of the versions is written with the first stream.
    test.fleet.begin("first")->call.reset();
    test.fleet.deployment.runLoopFor(milliseconds(300));
    test.setRefusedTopics(outage.topics);
    test.fleet.release("v2", 2);
    stateStarts({ "new-v2-0", "new-v2-1" }, startedAtMs + 1000);
    renewing.insert({ "new-v2-0", "new-v2-1" });
    const auto beginAll = [&](size_t first, size_t count) {
        for (size_t i = first; i < first + count; ++i)
            test.fleet.begin(killed_fleet::idOf(i), i % gatewayCount)->call.reset();
    };
    beginAll(0, outage.areKilledTwice ? outageStreamCount / 2 : outageStreamCount);
    if (outage.areKilledTwice) {
        test.killGateways();
        test.restartGateways();
        beginAll(outageStreamCount / 2, outageStreamCount / 2);
    }
    test.killGateways();
    if (outage.isSecondVersionGone) {
        renewing = { "t-1", "t-2" };
        for (const std::string id : { "new-v2-0", "new-v2-1" })
            test.fleet.deployment.unlistTarget(id);
    }
    test.restartGateways();
    test.setRefusedTopics({});
    test.fleet.deployment.runLoopFor(milliseconds(300));
    const size_t goingOn = test.resumeAtOneVersion(outageStreamCount);
    if (outage.expectsContinuation)
        cr_assert_geq(goingOn, outageStreamCount / 2, "%zu of %zu streams go on", goingOn, outageStreamCount);
}
}

// Guards against concluding from a record that could not be renewed that all streams began at the version it names (review/7).
Test(gateway_all_killed, streams_stay_at_their_version_although_it_could_not_be_recorded)
{
    runOutage({ 470, { "keyed.versions", "stream-origins" }, false, false, true });
}

Test(gateway_all_killed, streams_stay_at_their_version_although_only_the_versions_could_not_be_recorded)
{
    runOutage({ 471, { "keyed.versions" }, false, false, true });
}

Test(gateway_all_killed, streams_stay_at_their_version_although_only_the_origins_could_not_be_recorded)
{
    runOutage({ 472, { "stream-origins" } });
}

Test(gateway_all_killed, streams_stay_at_their_version_although_an_unrecorded_one_is_gone)
{
    runOutage({ 473, { "keyed.versions", "stream-origins" }, true, false, true });
}

Test(gateway_all_killed, streams_stay_at_their_version_although_gateways_are_killed_twice_while_it_cannot_be_recorded)
{
    runOutage({ 474, { "keyed.versions", "stream-origins" }, false, true });
}
