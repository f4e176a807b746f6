/// Streams that callers take up again after targets of two software versions lost responses, which looks like a restart.
#include "support/versioned_fleet.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::tests;

namespace {
constexpr size_t gatewayCount = 3;
constexpr size_t streamCount = 24;
constexpr milliseconds heartbeatPeriod { 600 };

/// Two targets of each of two versions, whose records are written again and again.
struct losing_fleet {
    explicit losing_fleet(int slot)
        : fleet(slot, gatewayCount)
    {
        const int64_t startedAtMs = (wallNow().time_since_epoch() - seconds(60)).count();
        for (const auto& [id, version] : { std::pair("t-1", "v1"), std::pair("t-2", "v1"), std::pair("t-3", "v2"), std::pair("t-4", "v2") }) {
            fleet.add(id, version);
            fleet.deployment.changeRecord(id, { { "born", startedAtMs } });
        }
        heartbeats.startEvery(heartbeatPeriod, [this] { writeRecords(); });
        fleet.waitUntilReady();
    }

    void writeRecords()
    {
        if (!isWritingRecords)
            return;
        for (auto& engine : fleet.engines) {
            if (engine.isUp() && !silentRecords.contains(engine.target().id()))
                fleet.deployment.changeRecord(engine.target().id(), nlohmann::json::object());
        }
    }

    /// Each gateway loses responses of each target.
    void loseResponses()
    {
        for (auto& engine : fleet.engines)
            engine.behaviour().isLosingResponses = true;
        std::vector<caller_ptr> lost;
        for (size_t i = 0; i < 8 * gatewayCount; ++i)
            lost.push_back(fleet.deployment.send("POST", "/m/lost-" + std::to_string(i), {}, "", i % gatewayCount));
        fleet.deployment.waitUntil([&] { return std::all_of(lost.begin(), lost.end(), [](const auto& item) { return item->isFinished; }); }, "the end of the lost requests");
        for (auto& engine : fleet.engines)
            engine.behaviour().isLosingResponses = false;
    }

    void beginStreams()
    {
        for (size_t i = 0; i < streamCount; ++i) {
            const auto stream = fleet.deployment.send("POST", "/m/" + idOf(i), { { "X-Attempt-Id", idOf(i) } }, "", i % gatewayCount);
            fleet.deployment.waitUntil([&] { return !stream->body.empty() || stream->isFinished; }, "the first event");
            if (const auto versions = versionsIn(stream->body); !versions.empty())
                begunAt[i] = *versions.begin();
            stream->call.reset();
        }
    }

    /// The first target restarts after responses were lost, and streams begin. Its record names the new run after a delay.
    fakes::platform_engine& beginStreamsBesideRestart(const std::string& version, milliseconds recordDelay)
    {
        loseResponses();
        auto& restarted = fleet.engines.front();
        restarted.behaviour().restartDelay = milliseconds(200);
        silentRecords = { restarted.target().id() };
        fleet.deployment.restartEngine(restarted, "model", version, recordDelay);
        fleet.deployment.runLoopFor(milliseconds(2000));
        beginStreams();
        return restarted;
    }

    /// Takes all streams up again at other gateways.
    /// @return How many go on.
    size_t resumeStreams()
    {
        std::vector<caller_ptr> resumed;
        for (size_t i = 0; i < streamCount; ++i)
            resumed.push_back(fleet.deployment.send("POST", "/m/" + idOf(i), { { "Last-Event-Id", "1" }, { "Resumes", idOf(i) } }, "", (i + 1) % gatewayCount));
        fleet.deployment.waitUntil([&] { return std::all_of(resumed.begin(), resumed.end(), [](const auto& item) { return item->isFinished; }); }, "the end of the streams");
        size_t goingOn = 0;
        for (size_t i = 0; i < streamCount; ++i) {
            const auto versions = versionsIn(resumed[i]->body);
            goingOn += versions.empty() ? 0 : 1;
            cr_assert(versions.empty() || versions == std::set { begunAt[i] }, "stream %zu began at %s and went on as: %s", i, begunAt[i].c_str(), resumed[i]->body.c_str());
        }
        return goingOn;
    }

    [[nodiscard]] static std::string idOf(size_t stream) { return "a-" + std::to_string(stream); }

    versioned_fleet fleet;
    timer heartbeats;
    bool isWritingRecords = true;
    std::set<std::string> silentRecords;
    std::map<size_t, std::string> begunAt;
};
}

// Guards against a lost response that makes streams of its target doubtful for good (review/10).
Test(gateway_lost_answers, streams_go_on_after_targets_of_two_versions_lost_responses)
{
    losing_fleet test(480);
    test.loseResponses();
    test.fleet.deployment.runLoopFor(milliseconds(1000));
    test.beginStreams();
    test.fleet.deployment.runLoopFor(milliseconds(1500));
    if (const size_t goingOn = test.resumeStreams(); goingOn < streamCount - 2)
        cr_assert_fail("%zu of %zu streams go on", goingOn, streamCount);
}

// Guards against deciding the doubt when a stream begins, and not when it is taken up.
Test(gateway_lost_answers, streams_that_began_in_doubt_go_on_after_the_next_record)
{
    losing_fleet test(481);
    test.isWritingRecords = false;
    test.loseResponses();
    // A target is avoided for a time after its connections broke.
    test.fleet.deployment.runLoopFor(milliseconds(2000));
    test.beginStreams();
    cr_assert_eq(test.resumeStreams(), 0u, "no record shows that the targets have not restarted");
    test.isWritingRecords = true;
    test.fleet.deployment.runLoopFor(milliseconds(2500));
    if (const size_t goingOn = test.resumeStreams(); goingOn < streamCount - 2)
        cr_assert_fail("%zu of %zu streams go on", goingOn, streamCount);
}

// Guards against taking the record of an earlier run for a proof, and against refusing the streams of the others for it.
Test(gateway_lost_answers, streams_are_not_joined_if_a_target_restarts_beside_lost_responses)
{
    losing_fleet test(482);
    auto& restarted = test.beginStreamsBesideRestart("v2", milliseconds(6000));
    test.fleet.deployment.runLoopFor(milliseconds(1500));
    size_t begunAtRestarted = 0;
    for (const auto& request : restarted.target().requests())
        begunAtRestarted += request.id.starts_with("a-") ? 1 : 0;
    const size_t expected = streamCount - std::min(streamCount, begunAtRestarted + 2);
    if (const size_t goingOn = test.resumeStreams(); goingOn < expected)
        cr_assert_fail("%zu of %zu streams go on, %zu began at the restarted target", goingOn, streamCount, begunAtRestarted);
}

Test(gateway_lost_answers, streams_go_on_if_a_target_restarts_with_the_same_version_beside_lost_responses)
{
    losing_fleet test(483);
    test.beginStreamsBesideRestart("v1", milliseconds(2500));
    test.fleet.deployment.runLoopFor(milliseconds(1000));
    test.silentRecords.clear();
    test.fleet.deployment.runLoopFor(milliseconds(2500));
    if (const size_t goingOn = test.resumeStreams(); goingOn < streamCount - 2)
        cr_assert_fail("%zu of %zu streams go on", goingOn, streamCount);
}
