/// Cold targets: the requests of all processes together in any second, while directories change and processes are cut off.
#include "policy/cold_start.hpp"

#include "policy/placement.hpp"

#include <criterion/criterion.h>
#include <deque>
#include <random>
#include <set>

using namespace bilberryseam;
using namespace bilberryseam::policy;

namespace {
constexpr time_point start { seconds(1000) };
constexpr milliseconds step { 10 };
constexpr seconds window { 1 };
constexpr milliseconds directoryPeriod { 4000 };
constexpr milliseconds stableTime { 5000 };
constexpr size_t domainCount = 6;

/// Processes that always have work for one cold target, each with its own view of the directory.
class cold_target {
public:
    struct process {
        size_t id = 0;
        cold_start cold;
        std::set<size_t> known;
        std::optional<time_point> listedAt;
        time_point readAt {};
        time_point nextReadAt {};
        time_point changedAt {};
        bool isCutOff = false;
        bool isRunning = true;
        size_t rank = 0;
    };

    cold_target(size_t count, double newPerSecond, uint32_t seed)
        : perSecond(newPerSecond)
        , random(seed)
    {
        for (size_t id = 0; id < count; ++id) {
            processes.push_back({ .id = id, .listedAt = now - seconds(100) });
            directory.insert(id);
        }
        for (auto& process : processes)
            read(process);
        for (auto& process : processes)
            process.changedAt = now - seconds(100);
        std::vector<size_t> shuffled(count + maxJoined);
        for (size_t id = 0; id < shuffled.size(); ++id)
            shuffled[id] = id;
        std::shuffle(shuffled.begin(), shuffled.end(), random);
        order = shuffled;
    }

    void turnCold(milliseconds left)
    {
        for (auto& process : processes) {
            process.cold = {};
            applyColdRecord(process.cold, left, true, now);
        }
    }

    void read(process& process)
    {
        process.readAt = now;
        process.nextReadAt = now + milliseconds(random() % static_cast<uint32_t>(directoryPeriod.count()));
        if (process.known == directory)
            return;
        process.known = directory;
        process.changedAt = now;
        process.rank = 0;
    }

    [[nodiscard]] size_t rankOf(const process& process) const
    {
        const auto position = [this](size_t id) { return order[id]; };
        return static_cast<size_t>(std::count_if(process.known.begin(), process.known.end(), [&](size_t id) { return id != process.id && position(id) < position(process.id); }));
    }

    void advance()
    {
        now += step;
        for (auto& process : processes) {
            if (!process.isRunning)
                continue;
            if (!process.isCutOff && now >= process.nextReadAt) {
                read(process);
                process.rank = rankOf(process);
            }
            const cold_membership membership { process.rank, process.known.size(), now - process.changedAt > stableTime, false, process.listedAt, process.readAt };
            updateCold(process.cold, coldShareOf(perSecond, bounds, membership, now), now);
            if (!isCold(process.cold) || !canSend(process.cold, now))
                continue;
            recordSend(process.cold, now);
            sends.push_back(now);
            ++total;
        }
        while (!sends.empty() && sends.front() <= now - window)
            sends.pop_front();
    }

    void rankAll()
    {
        for (auto& process : processes)
            process.rank = rankOf(process);
    }

    /// Stops a process as planned: it withdraws its record.
    void stop(process& process)
    {
        process.isRunning = false;
        process.listedAt.reset();
        directory.erase(process.id);
    }

    void restart(process& process)
    {
        process.isRunning = true;
        process.isCutOff = false;
        process.cold.limit = {};
        process.listedAt = now;
        directory.insert(process.id);
        read(process);
        process.changedAt = now;
        process.rank = rankOf(process);
    }

    void join()
    {
        if (joined >= maxJoined)
            return;
        ++joined;
        process added { .id = processes.size() };
        applyColdRecord(added.cold, std::chrono::duration_cast<milliseconds>(processes.front().cold.until - now), true, now);
        processes.push_back(added);
        restart(processes.back());
    }

    void check(uint32_t seed) const
    {
        const double allowed = perSecond * bounds.overage + bounds.slack;
        cr_assert_leq(static_cast<double>(sends.size()), allowed, "%zu requests in a second, allowed %.1f, seed %u", sends.size(), allowed, seed);
    }

    static constexpr size_t maxJoined = 40;
    double perSecond;
    cold_bounds bounds;
    std::mt19937 random;
    time_point now = start;
    std::deque<process> processes;
    std::set<size_t> directory;
    std::vector<size_t> order;
    std::deque<time_point> sends;
    size_t total = 0;
    size_t joined = 0;
};

constexpr uint32_t seedsFor(size_t count) noexcept { return count > 100 ? 4 : 60; }
}

Test(cold_start, the_sum_over_all_gateways_stays_within_the_bound_and_the_rate_is_used)
{
    for (const size_t count : { 1u, 2u, 3u, 4u, 25u, 300u }) {
        for (const double perSecond : { 0.3, 5.9, 8.0, 40.0 }) {
            cold_target target(count, perSecond, 1);
            target.rankAll();
            target.turnCold(seconds(30));
            for (milliseconds elapsed { 0 }; elapsed < seconds(20); elapsed += step) {
                target.advance();
                target.check(1);
            }
            cr_assert_geq(static_cast<double>(target.total), 0.8 * perSecond * 20 - static_cast<double>(limitSharers), "%zu processes, %.1f a second: %zu requests", count, perSecond, target.total);
        }
    }
}

Test(cold_start, a_changing_directory_does_not_add_to_the_sum)
{
    for (const size_t count : { 25u, 300u }) {
        for (uint32_t seed = 1; seed <= seedsFor(count); ++seed) {
            cold_target target(count, seed % 2 == 0 ? 5.9 : 8.0, seed);
            target.rankAll();
            target.turnCold(seconds(60));
            for (milliseconds elapsed { 0 }; elapsed < seconds(40); elapsed += step) {
                target.advance();
                target.check(seed);
                if (elapsed.count() % 1500 != 0)
                    continue;
                auto& process = target.processes[target.random() % target.processes.size()];
                if (target.random() % 2 == 0)
                    target.join();
                else if (process.isRunning)
                    target.stop(process);
                else
                    target.restart(process);
            }
        }
    }
}

Test(cold_start, failure_domains_that_are_cut_off_stop_and_return_at_once_do_not_add_to_the_sum)
{
    for (const size_t count : { 25u, 300u }) {
        for (uint32_t seed = 1; seed <= seedsFor(count); ++seed) {
            cold_target target(count, 5.9, seed);
            target.rankAll();
            target.turnCold(seconds(60));
            const auto cutAt = milliseconds(target.random() % 400 * 10);
            const auto stopAt = milliseconds(target.random() % 400 * 10);
            const auto returnAt = stopAt + milliseconds(target.random() % 1500 * 10);
            const auto joinedAt = milliseconds(target.random() % 1500 * 10);
            for (milliseconds elapsed { 0 }; elapsed < seconds(35); elapsed += step) {
                for (auto& process : target.processes) {
                    const size_t domain = process.id % domainCount;
                    // The first domain loses the store, the second stops as planned and returns.
                    if (elapsed == cutAt && domain == 0)
                        process.isCutOff = true;
                    if (elapsed == stopAt && domain == 1)
                        target.stop(process);
                    if (elapsed == returnAt && domain == 1)
                        target.restart(process);
                    if (elapsed == seconds(25) && domain == 0)
                        process.isCutOff = false;
                }
                // A domain that is new comes up at once.
                for (size_t i = 0; elapsed == joinedAt && i < count / domainCount; ++i)
                    target.join();
                target.advance();
                target.check(seed);
            }
        }
    }
}

Test(cold_start, starts_in_series_do_not_add_to_the_sum)
{
    for (const size_t count : { 25u, 300u }) {
        for (uint32_t seed = 1; seed <= seedsFor(count); ++seed) {
            cold_target target(count, 8.0, seed);
            target.rankAll();
            for (milliseconds elapsed { 0 }; elapsed < seconds(20); elapsed += step) {
                if (elapsed.count() % 1700 == 0)
                    target.turnCold(milliseconds(1500 + target.random() % 3000));
                target.advance();
                target.check(seed);
            }
        }
    }
}

Test(cold_start, all_targets_cold_at_once_are_each_within_the_bound_and_the_sum_serves_the_load)
{
    constexpr size_t targetCount = 46;
    size_t total = 0;
    for (uint32_t seed = 1; seed <= targetCount; ++seed) {
        cold_target target(25, 5.9, seed);
        target.rankAll();
        target.turnCold(seconds(20));
        for (milliseconds elapsed { 0 }; elapsed < seconds(10); elapsed += step) {
            target.advance();
            target.check(seed);
        }
        total += target.total;
    }
    // The deployments receive up to 150 requests per second.
    cr_assert_geq(total, size_t { 150 * 10 });
}

Test(cold_start, an_old_record_does_not_make_a_target_warm)
{
    cold_start cold;
    applyColdResponse(cold, seconds(8), start, start + milliseconds(5));
    applyColdRecord(cold, milliseconds(0), true, start + seconds(1));
    cr_assert_eq(cold.until, start + milliseconds(8005));
    applyColdRecord(cold, seconds(20), true, start + seconds(2));
    cr_assert_eq(cold.until, start + seconds(22), "a longer time in a record was ignored");
    // The target itself ends its cold time; a response to a request that was sent before it was known does not.
    applyColdResponse(cold, milliseconds(0), start - seconds(1), start + seconds(3));
    cr_assert_eq(cold.until, start + seconds(22));
    applyColdResponse(cold, milliseconds(0), start + seconds(3), start + seconds(4));
    cr_assert_leq(cold.until, start + seconds(4));
}

Test(cold_start, a_newer_record_ends_the_cold_time_of_an_older_one)
{
    cold_start cold;
    applyColdRecord(cold, seconds(30), true, start);
    applyColdRecord(cold, seconds(2), false, start + seconds(1));
    cr_assert_eq(cold.until, start + seconds(30));
    applyColdRecord(cold, seconds(2), true, start + seconds(2));
    cr_assert_eq(cold.until, start + seconds(4));
}

Test(cold_start, a_huge_cold_time_does_not_slow_a_target_down_for_good)
{
    cold_start cold;
    applyColdRecord(cold, milliseconds::max(), true, start);
    cr_assert_leq(cold.until, start + maxColdTime);
    applyColdRecord(cold, milliseconds::min(), true, start + seconds(1));
    cr_assert_leq(cold.until, start + seconds(1));
}

Test(cold_start, the_rate_rises_over_some_seconds_after_the_cold_time)
{
    cold_start cold;
    const cold_share share { 4, 0.25, start + seconds(100) };
    applyColdRecord(cold, seconds(3), true, start);
    cr_assert_eq(updateCold(cold, share, start), cold_change::TurnedCold);
    cr_assert_not(canSend(cold, start), "the bucket does not start empty");
    cr_assert_eq(updateCold(cold, {}, start + seconds(3)), cold_change::TurnedWarm);
    cr_assert_float_eq(*ownRate(cold, start + seconds(4)), 2, 1e-9);
    cr_assert(isActive(cold, start + seconds(4)));
    cr_assert_eq(updateCold(cold, {}, start + seconds(3) + limitRampTime), cold_change::None);
    cr_assert_not(ownRate(cold, start + seconds(8)).has_value());
    cr_assert(canSend(cold, start + seconds(8)));
}

Test(cold_start, a_share_ends_with_its_lease_without_an_update)
{
    cold_start cold;
    applyColdRecord(cold, seconds(30), true, start);
    const cold_membership membership { 0, 4, true, false, start - seconds(100), start };
    updateCold(cold, coldShareOf(40, {}, membership, start), start);
    cr_assert(canSend(cold, start + seconds(1)));
    cr_assert_not(canSend(cold, start + coldLease), "a process that was frozen sends by an old share");
}

Test(cold_start, nothing_is_limited_without_a_cold_rate)
{
    cold_start cold;
    applyColdRecord(cold, seconds(30), true, start);
    cr_assert_eq(updateCold(cold, coldShareOf(0, {}, { 9, 300, false, false, std::nullopt, {} }, start), start), cold_change::None);
    cr_assert(canSend(cold, start));
    cr_assert_not(ownRate(cold, start).has_value());
}

Test(cold_start, small_bounds_reduce_the_sharers_and_the_rate)
{
    const cold_bounds bounds { 1, 2 };
    double sum = 0;
    size_t sharers = 0;
    for (size_t rank = 0; rank < 25; ++rank) {
        const auto share = coldShareOf(6, bounds, { rank, 25, true, false, start - seconds(100), start }, start);
        sum += share.share * share.perSecond;
        sharers += share.share > 0 ? 1 : 0;
    }
    cr_assert_leq(sum + static_cast<double>(sharers), 6 * bounds.overage + bounds.slack);
}

Test(cold_start, warm_targets_are_preferred_until_they_are_full)
{
    std::vector<placement_candidate> candidates(2);
    for (auto& candidate : candidates)
        candidate.slots = 64;
    candidates[0] = { .hash = 1, .isInOwnDomain = true, .isInOwnRegion = true, .slots = 64, .isCold = true };
    candidates[1] = { .hash = 2, .inFlight = 63, .slots = 64 };
    cr_assert_eq(*chooseTarget(candidates, {}, {}), size_t { 1 });
    candidates[1].inFlight = 64;
    cr_assert_eq(*chooseTarget(candidates, {}, {}), size_t { 0 });
}
