/// Streams and their software versions beside a store that returns from a copy made before a second version joined.
#include "support/killed_fleet.hpp"

#include <algorithm>

using namespace bilberryseam;
using namespace bilberryseam::tests;

namespace {
constexpr uint64_t firstEra = 1;
constexpr size_t drillStreamCount = 12;
/// The platform's pages: records of targets are back within about two seconds of the store's return.
constexpr milliseconds writtenAgainAfter { 1900 };
constexpr milliseconds heartbeatPeriod { 1000 };
/// A caller must not be kept from its stream for longer than records take to come back, and to be read.
constexpr double longestRetryAfterSeconds = 2.6;

struct drill {
    int slot = 0;
    /// Version of the targets in the copy, and of those that join after it was made.
    std::string former = "v1";
    std::string joining = "v2";
    milliseconds away { 1000 };
    bool isKilledAfterReturn = false;
    bool isStoreSound = false;
};

/// Gateways and a store that returns from an older copy.
struct drill_test {
    explicit drill_test(const drill& wanted)
        : settings(wanted)
        , test(wanted.slot, wanted.former, firstEra)
        , deployment(test.fleet.deployment)
        , startedAtMs(wallNow().time_since_epoch().count())
    {
        stateStarts({ "t-1", "t-2" }, startedAtMs - 60000);
        // The gateways have run for longer than records take to come back.
        deployment.runLoopFor(milliseconds(3000));
        deployment.store().keepCopy();
        heartbeat.startEvery(heartbeatPeriod, [this] {
            for (const auto& id : listedIds)
                deployment.changeRecord(id, nlohmann::json::object());
        });
    }

    void stateStarts(const std::vector<std::string>& ids, int64_t atMs)
    {
        for (const auto& id : ids)
            deployment.changeRecord(id, { { "born", atMs } });
        deployment.runLoopFor(milliseconds(1500));
    }

    void release()
    {
        test.fleet.release(settings.joining, 2);
        stateStarts(joinedIds(), startedAtMs);
        listedIds.insert(listedIds.end(), { joinedIds()[0], joinedIds()[1] });
    }

    void begin(size_t first, size_t count)
    {
        for (size_t i = first; i < first + count; ++i)
            test.fleet.begin(killed_fleet::idOf(i), i % gatewayCount)->call.reset();
        deployment.runLoopFor(milliseconds(500));
    }

    [[nodiscard]] std::vector<std::string> joinedIds() const { return { "new-" + settings.joining + "-0", "new-" + settings.joining + "-1" }; }

    /// All gateways are killed and start again while the store returns.
    void play(bool hasJoined)
    {
        if (settings.isStoreSound) {
            test.killGateways();
            test.restartGateways();
            return;
        }
        std::map<std::string, std::string> records;
        for (const auto& id : hasJoined ? joinedIds() : std::vector<std::string>())
            records[id] = deployment.store().newest("keyed.servers", id);
        deployment.store().setFaults({ .isDown = true });
        const auto wereListed = std::exchange(listedIds, {});
        if (!settings.isKilledAfterReturn) {
            test.killGateways();
            for (size_t gateway = 0; gateway < gatewayCount; ++gateway)
                deployment.restartGateway(gateway);
        }
        deployment.runLoopFor(settings.away);
        deployment.store().returnFromCopy();
        deployment.store().setFaults({});
        listedIds = { "t-1", "t-2" };
        rewrite.startOnce(writtenAgainAfter, [this, records, wereListed] {
            for (const auto& [id, record] : records)
                deployment.store().put("keyed.servers", id, record);
            listedIds = wereListed;
        });
        if (settings.isKilledAfterReturn) {
            test.killGateways();
            deployment.runLoopFor(writtenAgainAfter + milliseconds(100));
            for (size_t gateway = 0; gateway < gatewayCount; ++gateway)
                deployment.restartGateway(gateway);
        }
        for (size_t gateway = 0; gateway < gatewayCount; ++gateway)
            deployment.waitUntilReady(gateway);
    }

    /// Takes each stream up again as callers do: at another gateway each time, after the time that the one before stated.
    /// @return How many went on.
    size_t resume(size_t first, size_t count)
    {
        std::vector<size_t> refused;
        for (size_t i = first; i < first + count; ++i)
            refused.push_back(i);
        for (size_t attempt = 0; attempt < 3 && !refused.empty(); ++attempt) {
            double retryAfterSeconds = 0;
            std::erase_if(refused, [&](size_t stream) {
                const auto resumed = test.fleet.resume(killed_fleet::idOf(stream), (stream + attempt + 1) % gatewayCount);
                const std::string retryAfter = resumed->header("Retry-After");
                retryAfterSeconds = std::max(retryAfterSeconds, retryAfter.empty() ? 0 : std::stod(retryAfter));
                return resumed->head.status == 200;
            });
            cr_assert_leq(retryAfterSeconds, longestRetryAfterSeconds);
            deployment.runLoopFor(milliseconds(static_cast<int64_t>(retryAfterSeconds * 1000)));
        }
        test.expectOneVersionOfEach();
        return count - refused.size();
    }

    drill settings;
    killed_fleet test;
    deployment_fixture& deployment;
    int64_t startedAtMs;
    /// Targets that renew their records.
    std::vector<std::string> listedIds { "t-1", "t-2" };
    timer heartbeat;
    timer rewrite;
};

/// Streams that begin at two versions before the return must not be joined, and those that begin after it must go on.
void runRelease(const drill& settings)
{
    drill_test test(settings);
    test.release();
    test.begin(0, drillStreamCount);
    test.play(true);
    const size_t goingOn = test.resume(0, drillStreamCount);
    if (settings.isStoreSound)
        cr_assert_eq(goingOn, drillStreamCount);
    test.deployment.runLoopFor(writtenAgainAfter + milliseconds(1500));
    test.begin(drillStreamCount, drillStreamCount);
    cr_assert_eq(test.resume(drillStreamCount, drillStreamCount), drillStreamCount, "streams that begin after the return go on");
}
}

// Guards against concluding from an older copy that a stream of unknown origin began at the only version in it (review/12).
Test(gateway_older_versions, streams_stay_at_their_version_if_all_gateways_start_beside_an_older_copy)
{
    runRelease({ .slot = 510 });
}

Test(gateway_older_versions, streams_stay_at_their_version_if_the_store_is_away_for_longer)
{
    runRelease({ .slot = 511, .away = milliseconds(3500) });
}

Test(gateway_older_versions, streams_stay_at_their_version_if_gateways_start_once_records_are_written_again)
{
    runRelease({ .slot = 512, .isKilledAfterReturn = true });
}

Test(gateway_older_versions, streams_stay_at_their_version_if_the_copy_has_the_one_with_the_greater_name)
{
    runRelease({ .slot = 513, .former = "v2", .joining = "v1" });
}

// Guards against refusing streams of unknown origin although nothing was lost, or for longer than that is in doubt.
Test(gateway_older_versions, streams_go_on_if_all_gateways_start_beside_a_sound_store)
{
    runRelease({ .slot = 514, .isStoreSound = true });
}

Test(gateway_older_versions, streams_go_on_once_records_are_back_if_no_second_version_joined)
{
    drill_test test({ .slot = 515 });
    test.begin(0, drillStreamCount);
    test.play(false);
    cr_assert_eq(test.resume(0, drillStreamCount), drillStreamCount);
}
