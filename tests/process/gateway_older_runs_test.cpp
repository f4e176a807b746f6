/// Streams beside a store that returns from a copy with the record of a target's former run, which had another software version.
#include "support/versioned_fleet.hpp"

#include <criterion/criterion.h>
#include <csignal>
#include <map>

using namespace bilberryseam;
using namespace bilberryseam::tests;

namespace {
constexpr size_t parallelStreams = 24;
constexpr milliseconds heartbeatPeriod { 1000 };
constexpr milliseconds away { 1000 };
/// The platform's pages: records of targets are back within about two seconds of the store's return.
constexpr milliseconds writtenAgainAfter { 1900 };
/// Time from the last return until a target crashes, before all records are back.
constexpr milliseconds crashAfter { 1000 };

/// Five targets, one of which starts again under its identifier with other versions, and a store that keeps a copy.
struct restarting_fleet {
    explicit restarting_fleet(int slot)
        : fleet(slot)
        , deployment(fleet.deployment)
    {
        deployment.store().setEra(1);
        deployment.configure(4, { deployment_fixture::route("/m/", "streaming", "model", { { "resumable", true }, { "timeout_ms", 20000 } }) });
        for (const auto& [id, version] : { std::pair { "stays-0", "v1" }, std::pair { "stays-1", "v1" }, std::pair { "restarts", "v1" }, std::pair { "newer-0", "v2" }, std::pair { "newer-1", "v2" } }) {
            auto& engine = fleet.add(id, version);
            engine.behaviour().eventCount = 40;
            engine.behaviour().eventPeriod = milliseconds(200);
            engine.behaviour().restartDelay = milliseconds(300);
            engines[id] = &engine;
            deployment.changeRecord(id, { { "born", wallNow().time_since_epoch().count() - 60000 } });
        }
        heartbeat.startEvery(heartbeatPeriod, [this] {
            for (const auto& id : listedIds)
                deployment.changeRecord(id, nlohmann::json::object());
        });
        fleet.waitUntilReady();
        // The gateway has run for longer than records take to come back.
        deployment.runLoopFor(milliseconds(4000));
    }

    /// Starts the target again with another version, and waits until the gateway knows its record.
    void restartAs(const std::string& version)
    {
        listedIds.erase("restarts");
        deployment.restartEngine(*engines.at("restarts"), "model", version, milliseconds(50));
        deployment.runLoopFor(milliseconds(2500));
        listedIds.insert("restarts");
    }

    [[nodiscard]] caller_ptr sendNext()
    {
        const std::string number = std::to_string(sentCount++);
        return deployment.send("POST", "/m/" + number, { { "X-Attempt-Id", "a-" + number }, { "X-Deadline-Ms", "20000" } });
    }

    void beginStreams(size_t count = parallelStreams)
    {
        for (size_t i = 0; i < count; ++i) {
            streams.push_back(sendNext());
            deployment.runLoopFor(milliseconds(20));
        }
    }

    /// Sends a stream again while the gateway does not listen yet or refuses it, until one begins.
    void beginFirstStream()
    {
        caller_ptr first;
        while (!first || first->isFinished) {
            // Only a stream that was not run is sent again.
            const bool isRefused = !first || first->outcome == http1::call_outcome::NotSent || (first->outcome == http1::call_outcome::Complete && first->head.status == 503);
            cr_assert(isRefused, "the first stream ended with status %u", first->head.status);
            deployment.runLoopFor(milliseconds(20));
            first = sendNext();
            deployment.waitUntil([&] { return first->isFinished || !first->body.empty(); }, "the first event of a stream");
        }
        streams.push_back(first);
    }

    /// Has the store return from its copy while the gateway starts, and begins streams as soon as the gateway serves one.
    void beginStreamsBesideReturn()
    {
        deployment.store().keepCopy();
        restartAs("v2");
        leave();
        deployment.signal(0, SIGKILL);
        deployment.waitUntil([&] { return deployment.hasExited(0); }, "the end of the gateway");
        comeBack();
        deployment.restartGateway(0);
        beginFirstStream();
        beginStreams();
        checkRestartIsMissing();
    }

    /// Checks that the store still has only the former run of the target that restarted, so that the time was not too long.
    void checkRestartIsMissing() const { cr_assert(!listedIds.contains("restarts"), "the record was written again before"); }

    void leave()
    {
        writtenAgain.stop();
        deployment.store().setFaults({ .isDown = true });
        written = deployment.store().newest("keyed.servers", "restarts");
        listedIds = {};
        deployment.runLoopFor(away);
    }

    void comeBack()
    {
        deployment.store().returnFromCopy();
        deployment.store().setFaults({});
        listedIds = { "stays-0", "stays-1", "newer-0", "newer-1" };
        writtenAgain.startOnce(writtenAgainAfter, [this] {
            deployment.store().put("keyed.servers", "restarts", written);
            listedIds.insert("restarts");
        });
    }

    void crash(const std::string& id)
    {
        cr_assert_gt(engines.at(id)->target().requests().size(), 0, "no stream began at the target");
        engines.at(id)->behaviour().restartDelay = milliseconds(60000);
        engines.at(id)->crash();
        listedIds.erase(id);
    }

    /// Waits for the end of all streams and checks that none has events of two versions.
    /// @return How many are whole, by version.
    std::map<std::string, size_t> finish()
    {
        std::map<std::string, size_t> whole;
        for (const auto& stream : streams) {
            deployment.waitUntil([&] { return stream->isFinished; }, "the end of a stream");
            const auto versions = versionsIn(stream->body);
            cr_assert_leq(versions.size(), 1u, "a stream has events of two versions");
            whole[versions.empty() ? "" : *versions.begin()] += stream->outcome == http1::call_outcome::Complete && stream->head.status == 200;
        }
        return whole;
    }

    versioned_fleet fleet;
    deployment_fixture& deployment;
    std::map<std::string, fakes::platform_engine*> engines;
    /// Targets that renew their records.
    std::set<std::string> listedIds { "stays-0", "stays-1", "restarts", "newer-0", "newer-1" };
    std::string written;
    std::vector<caller_ptr> streams;
    size_t sentCount = 0;
    timer heartbeat;
    timer writtenAgain;
};

size_t countOf(const std::map<std::string, size_t>& whole, const std::string& version)
{
    const auto position = whole.find(version);
    return position == whole.end() ? 0 : position->second;
}
}

// Guards against a record of an older copy that replaces the later run of a target, which the gateway knows (review/13).
Test(gateway_older_runs, streams_do_not_go_on_at_a_target_whose_former_version_an_older_copy_names)
{
    restarting_fleet test(524);
    test.deployment.store().keepCopy();
    test.restartAs("v2");
    test.beginStreams();
    test.leave();
    test.comeBack();
    test.deployment.runLoopFor(crashAfter);
    test.crash("stays-0");
    test.crash("stays-1");
    const auto whole = test.finish();
    cr_assert_gt(countOf(whole, "v2"), 0, "streams of the other version end as usual");
}

Test(gateway_older_runs, streams_do_not_go_on_at_it_after_two_returns_from_the_same_copy)
{
    restarting_fleet test(525);
    test.deployment.store().keepCopy();
    test.restartAs("v2");
    test.beginStreams();
    test.leave();
    test.comeBack();
    test.deployment.runLoopFor(milliseconds(300));
    test.leave();
    test.comeBack();
    test.deployment.runLoopFor(crashAfter);
    test.crash("stays-0");
    test.crash("stays-1");
    test.finish();
}

Test(gateway_older_runs, streams_do_not_go_on_at_it_after_three_starts)
{
    restarting_fleet test(526);
    test.restartAs("v2");
    test.deployment.store().keepCopy();
    // Versions have no order: the latest start has the first one.
    test.restartAs("v1");
    test.beginStreams();
    test.leave();
    test.comeBack();
    test.deployment.runLoopFor(crashAfter);
    test.crash("newer-0");
    test.crash("newer-1");
    test.finish();
}

// Guards against the first records that a gateway reads, which may be of runs that have ended (review/13).
Test(gateway_older_runs, streams_that_begin_at_a_gateway_that_starts_beside_an_older_copy_are_not_joined)
{
    restarting_fleet test(527);
    test.beginStreamsBesideReturn();
    test.deployment.runLoopFor(milliseconds(200));
    test.checkRestartIsMissing();
    test.crash("stays-0");
    test.crash("stays-1");
    test.finish();
}

// Guards against refusing streams whose target is what its record says, once that is certain.
Test(gateway_older_runs, streams_that_begin_beside_an_older_copy_go_on_once_records_are_back)
{
    restarting_fleet test(528);
    test.beginStreamsBesideReturn();
    // The records are back, and each target has renewed its own.
    test.deployment.runLoopFor(writtenAgainAfter + milliseconds(3000));
    test.crash("newer-0");
    const auto whole = test.finish();
    size_t began = 0;
    for (const auto& stream : test.streams)
        began += versionsIn(stream->body) == std::set<std::string> { "v2" };
    cr_assert_gt(began, 0);
    cr_assert_geq(2 * countOf(whole, "v2"), began, "%zu of %zu streams of the version are whole", countOf(whole, "v2"), began);
}

Test(gateway_older_runs, a_target_that_goes_back_to_an_older_version_by_a_later_start_is_believed)
{
    restarting_fleet test(529);
    test.restartAs("v2");
    test.restartAs("v1");
    // The record is renewed, so that the restart counts as the last one.
    test.deployment.runLoopFor(milliseconds(2500));
    test.beginStreams();
    test.deployment.runLoopFor(milliseconds(1500));
    test.crash("stays-0");
    test.crash("stays-1");
    const auto whole = test.finish();
    cr_assert_geq(countOf(whole, "v1"), parallelStreams / 8, "streams of the version go on at the target");
}
