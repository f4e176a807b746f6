/// Crashes of targets in a large deployment: a few daemons collect the reports of all, and ask the others before a verdict.
#include "execution/crash_exchange.hpp"
#include "policy/spread.hpp"
#include "policy/suspicion.hpp"

#include <algorithm>
#include <criterion/criterion.h>
#include <deque>
#include <memory>

using namespace bilberryseam;

namespace {
constexpr time_point start { seconds(1000) };
constexpr milliseconds messageDelay { 8 };
constexpr milliseconds tickPeriod { 25 };
constexpr size_t daemonCount = 103;
constexpr size_t collectorCount = 4;
constexpr uint64_t systemSegment = 1;
constexpr uint64_t badSegment = 2;

/// Daemons of which the first ones collect reports. Messages to all spread as in a deployment.
struct fleet {
    fleet()
    {
        for (size_t i = 0; i < daemonCount; ++i) {
            const auto post = [this, i](size_t to, const wire::message& message) {
                if (to != i)
                    underway.push_back({ to, now + messageDelay, message });
            };
            const auto sendToAll = [post, i](const wire::message& message) {
                for (const size_t to : policy::spreadPeers(i, daemonCount))
                    post(to, message);
            };
            const auto sendToCollectors = [post](const wire::message& message) {
                for (size_t to = 0; to < collectorCount; ++to)
                    post(to, message);
            };
            const auto role = [i] { return execution::collection_role { i < collectorCount, true }; };
            daemons.push_back(std::make_unique<execution::crash_exchange>(counters, "daemon-" + std::to_string(i), execution::crash_exchange::callbacks { sendToAll, [](time_point) {}, {}, sendToCollectors, role }));
        }
    }

    /// Lets time pass, with the periodic work of the daemons, and delivers the messages that arrive meanwhile.
    void run(milliseconds duration)
    {
        for (const time_point end = now + duration; now < end;) {
            now += tickPeriod;
            for (auto& daemon : daemons)
                daemon->tick(now);
            while (!underway.empty() && underway.front().arrivesAt <= now) {
                const auto item = underway.front();
                underway.pop_front();
                ++delivered;
                cr_assert(daemons[item.to]->handle(item.message, "peer", now));
            }
        }
    }

    [[nodiscard]] size_t countRefusing(uint64_t segment) const
    {
        const std::vector<uint64_t> request { segment };
        return static_cast<size_t>(std::count_if(daemons.begin(), daemons.end(), [&](const auto& daemon) { return daemon->refusedSegment(request, now).has_value(); }));
    }

    /// Targets end at the same moment, each with one request of each of some daemons.
    void crashWave(size_t targets, size_t reporters)
    {
        for (size_t target = 0; target < targets; ++target) {
            ++nextTarget;
            for (size_t i = 0; i < reporters; ++i) {
                const uint64_t subject = 1000 + nextTarget * daemonCount + i;
                const std::vector<std::vector<uint64_t>> requests { { systemSegment, subject } };
                daemons[(nextTarget + i * 5) % daemonCount]->reportCrash(nextTarget, "target", requests, now);
            }
        }
    }

    struct message_underway {
        size_t to = 0;
        time_point arrivesAt {};
        wire::message message;
    };

    metrics counters;
    time_point now = start;
    std::deque<message_underway> underway;
    size_t delivered = 0;
    uint64_t nextTarget = 0;
    std::vector<std::unique_ptr<execution::crash_exchange>> daemons;
};
}

Test(crash_collection, a_wave_of_crashes_costs_a_message_for_each_report_and_collector)
{
    constexpr size_t targets = 45;
    constexpr size_t reporters = 20;
    fleet group;
    for (int wave = 0; wave < 2; ++wave) {
        group.crashWave(targets, reporters);
        group.run(milliseconds(300));
    }
    cr_assert_leq(group.delivered, 2 * targets * reporters * collectorCount);
    cr_assert_eq(group.countRefusing(systemSegment), 0u);
}

Test(crash_collection, a_survival_that_only_one_daemon_has_seen_prevents_the_verdict)
{
    fleet group;
    for (int wave = 0; wave < 4; ++wave) {
        group.crashWave(2, 3);
        group.run(milliseconds(100));
        group.daemons[77]->recordSurvival(std::vector<uint64_t> { systemSegment }, group.now, group.now);
        group.run(milliseconds(200));
    }
    group.run(milliseconds(1000));
    cr_assert_eq(group.countRefusing(systemSegment), 0u);
}

Test(crash_collection, all_daemons_learn_the_verdict_on_a_segment_although_each_crash_was_seen_by_another)
{
    fleet group;
    for (uint64_t crash = 0; crash < 3; ++crash) {
        const std::vector<std::vector<uint64_t>> requests { { systemSegment, badSegment } };
        group.daemons[20 + 30 * crash]->reportCrash(500 + crash, "target", requests, group.now);
        group.run(milliseconds(100));
        group.daemons[50]->recordSurvival(std::vector<uint64_t> { systemSegment }, group.now, group.now);
    }
    group.run(milliseconds(1000));
    cr_assert_eq(group.countRefusing(badSegment), daemonCount, "%zu daemons refuse it", group.countRefusing(badSegment));
    cr_assert_eq(group.countRefusing(systemSegment), 0u);
    // A response at any daemon ends it for all.
    group.daemons[90]->recordSurvival(std::vector<uint64_t> { badSegment }, group.now, group.now);
    group.run(milliseconds(500));
    cr_assert_eq(group.countRefusing(badSegment), 0u);
}

Test(crash_collection, a_report_that_arrives_again_after_many_others_is_not_new)
{
    policy::crash_evidence evidence;
    const policy::crash_report first { 1, 1, start, { { badSegment, 1 } } };
    cr_assert(policy::addReport(evidence, first));
    for (uint64_t i = 2; i < 2 + policy::maxCrashReports; ++i)
        cr_assert(policy::addReport(evidence, { i, i, start, {} }));
    cr_assert_not(policy::addReport(evidence, first), "peers would pass it on without end");
}

Test(crash_collection, strikes_of_different_peers_add_up_and_one_that_arrives_twice_counts_once)
{
    policy::suspicion_table table;
    constexpr uint64_t fingerprint = 5;
    cr_assert_not(policy::recordStrike(table, fingerprint, 10, start)->isQuarantined);
    cr_assert_not(policy::recordStrike(table, fingerprint, 10, start).has_value());
    cr_assert(policy::recordStrike(table, fingerprint, 11, start)->isQuarantined);
}
