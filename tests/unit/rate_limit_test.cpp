/// Shares of the limits that targets state: the sum over all processes, changes, and responses that overtake each other.
#include "policy/rate_limit.hpp"

#include <criterion/criterion.h>
#include <deque>
#include <numeric>
#include <random>

using namespace bilberryseam;
using namespace bilberryseam::policy;

namespace {
constexpr time_point start { seconds(1000) };
constexpr milliseconds step { 10 };
constexpr seconds window { 4 };

/// Processes that always have work for one limited target, each with its own view of how many there are.
struct shared_target {
    struct process {
        rate_limit limit;
        size_t rank = 0;
        size_t known = 1;
        time_point entriesChangedAt {};
    };

    shared_target(size_t count, double newLimit)
        : limit(newLimit)
    {
        for (size_t rank = 0; rank < count; ++rank)
            processes.push_back({ {}, rank, count, start - seconds(100) });
        for (auto& process : processes)
            tell(process);
    }

    void tell(process& process) const { applyStatedLimit(process.limit, limit, now, now); }

    void advance()
    {
        now += step;
        for (auto& process : processes) {
            setShare(process.limit, shareOf(process.rank, process.known, now - process.entriesChangedAt > seconds(5), false), now);
            if (!canSend(process.limit, now))
                continue;
            recordSend(process.limit, now);
            sends.push_back(now);
            ++total;
            tell(process);
        }
        while (!sends.empty() && sends.front() <= now - window)
            sends.pop_front();
    }

    [[nodiscard]] double allowed() const { return 1.5 * limit * asSeconds(window) + 5; }

    double limit;
    time_point now = start;
    std::vector<process> processes;
    std::deque<time_point> sends;
    size_t total = 0;
};
}

Test(rate_limit, the_sum_over_all_processes_stays_within_the_limit_in_each_window)
{
    for (const double limit : { 0.2, 0.5, 1.0, 3.0, 20.0 }) {
        for (const size_t count : { 1u, 2u, 4u, 30u }) {
            shared_target target(count, limit);
            for (milliseconds elapsed { 0 }; elapsed < seconds(60); elapsed += step) {
                target.advance();
                cr_assert_leq(static_cast<double>(target.sends.size()), target.allowed(), "limit %.1f, %zu processes", limit, count);
            }
            // The limit is used, not only kept.
            cr_assert_geq(static_cast<double>(target.total), 0.7 * limit * 60 - static_cast<double>(limitSharers), "limit %.1f, %zu processes: %zu requests", limit, count, target.total);
        }
    }
}

Test(rate_limit, processes_that_restart_or_join_do_not_add_to_the_sum)
{
    for (uint32_t seed = 1; seed <= 300; ++seed) {
        std::mt19937 random(seed);
        const double limits[] { 0.2, 1, 4, 15 };
        shared_target target(1 + random() % 6, limits[random() % 4]);
        for (milliseconds elapsed { 0 }; elapsed < seconds(40); elapsed += step) {
            target.advance();
            cr_assert_leq(static_cast<double>(target.sends.size()), target.allowed(), "seed %u", seed);
            if (elapsed.count() % 3000 != 0)
                continue;
            if (random() % 2 == 0) {
                // A restarted process knows the others, but nothing of the limit until it is told.
                auto& restarted = target.processes[random() % target.processes.size()];
                restarted.limit = {};
                restarted.entriesChangedAt = target.now;
                target.tell(restarted);
            } else if (target.processes.size() < 6) {
                // A new process knows the others at once; they learn of it within four seconds.
                target.processes.push_back({ {}, target.processes.size(), target.processes.size() + 1, target.now });
                target.tell(target.processes.back());
                for (auto& process : target.processes) {
                    process.known = target.processes.size();
                    process.entriesChangedAt = target.now;
                }
            }
        }
    }
}

Test(rate_limit, the_newest_word_of_the_target_holds)
{
    rate_limit limit;
    cr_assert(canSend(limit, start));
    cr_assert(applyStatedLimit(limit, 2.0, start, start + milliseconds(100)));
    cr_assert_not(canSend(limit, start + milliseconds(100)));
    cr_assert_not(applyStatedLimit(limit, std::nullopt, start + milliseconds(50), start + milliseconds(110)), "a response to an earlier request lifted the limit");
    cr_assert(applyStatedLimit(limit, 4.0, start + milliseconds(120), start + milliseconds(150)));
    cr_assert_eq(*limit.perSecond, 4.0);
    cr_assert_not(applyStatedLimit(limit, 4.0, start + milliseconds(160), start + milliseconds(170)));
    cr_assert(applyStatedLimit(limit, std::nullopt, start + milliseconds(200), start + milliseconds(210)));
    cr_assert(applyStatedLimit(limit, 4.0, start + milliseconds(220), start + milliseconds(230)), "the limit is back");
}

Test(rate_limit, extreme_limits_are_bounded)
{
    rate_limit limit;
    applyStatedLimit(limit, 0.0, start, start);
    cr_assert_eq(*limit.perSecond, minLimit);
    setShare(limit, 0.25, start);
    cr_assert_not(canSend(limit, start + seconds(39)));
    cr_assert(canSend(limit, start + seconds(41)), "the target gets no request in which it could lift its limit");
    applyStatedLimit(limit, 1e300, start, start + seconds(50));
    cr_assert_eq(*limit.perSecond, maxLimit);
}

Test(rate_limit, the_rate_rises_gradually_after_a_limit_is_lifted)
{
    rate_limit limit;
    applyStatedLimit(limit, 1.0, start, start);
    setShare(limit, 0.25, start);
    cr_assert(applyStatedLimit(limit, std::nullopt, start + seconds(1), start + seconds(1)));
    size_t inFirstSecond = 0;
    time_point now = start + seconds(1);
    for (; now < start + seconds(2); now += step) {
        if (canSend(limit, now)) {
            recordSend(limit, now);
            ++inFirstSecond;
        }
    }
    cr_assert_leq(inFirstSecond, 2u);
    removeLifted(limit, now);
    cr_assert(limit.perSecond.has_value());
    removeLifted(limit, start + seconds(1) + limitRampTime);
    cr_assert_not(limit.perSecond.has_value());
}

Test(rate_limit, a_pool_owner_has_most_of_the_limit)
{
    double sum = 0;
    for (size_t rank = 0; rank < 30; ++rank)
        sum += shareOf(rank, 30, true, true);
    cr_assert_float_eq(sum, 1, 1e-9);
    cr_assert_float_eq(shareOf(0, 30, true, true), poolOwnerShare, 1e-9);
}
