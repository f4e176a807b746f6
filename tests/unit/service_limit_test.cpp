/// What a service takes is learned from the requests that its targets turn away.
#include "policy/pause.hpp"
#include "policy/service_limit.hpp"

#include <algorithm>
#include <array>
#include <criterion/criterion.h>
#include <random>
#include <vector>

using namespace bilberryseam;
using namespace bilberryseam::policy;

namespace {
constexpr time_point start { seconds(1000) };

struct overload_result {
    size_t served = 0;
    size_t turnedAway = 0;
    size_t refusedAtOnce = 0;
};

/// Plays four gateways before three targets at nine tenths of their capacity. At one second a target asks all for a pause.
overload_result playPause(bool hasLimit)
{
    constexpr size_t gatewayCount = 4;
    constexpr size_t targetCount = 3;
    constexpr size_t slots = 20;
    constexpr milliseconds runTime { 200 };
    constexpr milliseconds pauseTime { 3000 };
    constexpr double arrivalsPerMs = 0.9 * targetCount * slots / 200.0;
    struct running_request {
        size_t gateway = 0;
        size_t target = 0;
        time_point endsAt {};
    };
    std::array<std::array<target_pause, targetCount>, gatewayCount> pauses {};
    std::array<std::array<uint32_t, targetCount>, gatewayCount> unanswered {};
    std::array<service_limit, gatewayCount> limits {};
    std::vector<running_request> running;
    std::mt19937 random(5);
    std::bernoulli_distribution hasArrival(arrivalsPerMs);
    overload_result result;
    for (milliseconds elapsed { 0 }; elapsed < seconds(12); elapsed += milliseconds(1)) {
        const time_point now = start + elapsed;
        std::erase_if(running, [&](const auto& item) {
            if (item.endsAt > now)
                return false;
            --unanswered[item.gateway][item.target];
            recordServed(limits[item.gateway], targetCount);
            ++result.served;
            return true;
        });
        const auto stateOf = [&](size_t gateway) {
            service_state state;
            for (size_t target = 0; target < targetCount; ++target) {
                if (isPaused(pauses[gateway][target], now)) {
                    ++state.pausing;
                    continue;
                }
                ++state.available;
                state.unanswered += unanswered[gateway][target];
            }
            return state;
        };
        if (elapsed == milliseconds(1000)) {
            for (size_t gateway = 0; gateway < gatewayCount; ++gateway) {
                applyPause(pauses[gateway][0], pauseTime, now);
                recordRefusal(limits[gateway], stateOf(gateway), now);
            }
        }
        if (!hasArrival(random))
            continue;
        const size_t gateway = random() % gatewayCount;
        if (hasLimit && isFull(limits[gateway], stateOf(gateway), now)) {
            ++result.refusedAtOnce;
            continue;
        }
        std::vector<size_t> usable;
        for (size_t target = 0; target < targetCount; ++target) {
            if (!isPaused(pauses[gateway][target], now))
                usable.push_back(target);
        }
        std::sort(usable.begin(), usable.end(), [&](size_t left, size_t right) { return unanswered[gateway][left] < unanswered[gateway][right]; });
        for (const size_t target : usable) {
            const auto load = std::count_if(running.begin(), running.end(), [target](const auto& item) { return item.target == target; });
            if (static_cast<size_t>(load) < slots) {
                ++unanswered[gateway][target];
                running.push_back({ gateway, target, now + runTime });
                break;
            }
            ++result.turnedAway;
            applyPause(pauses[gateway][target], pauseTime, now);
            recordRefusal(limits[gateway], stateOf(gateway), now);
        }
    }
    return result;
}
}

Test(service_limit, the_other_targets_are_not_pushed_over_when_one_asks_for_a_pause)
{
    const overload_result without = playPause(false);
    const overload_result with = playPause(true);
    cr_assert_leq(with.turnedAway * 2, without.turnedAway, "%zu turned away, %zu without the limit; %zu and %zu served", with.turnedAway, without.turnedAway, with.served, without.served);
    cr_assert_geq(with.served, without.served, "%zu served, %zu without the limit", with.served, without.served);
}

Test(service_limit, refusals_of_one_moment_count_once_and_the_limit_rises_while_requests_are_served)
{
    service_limit limit;
    cr_assert_not(isFull(limit, { 0, 3, 1000 }, start));
    recordRefusal(limit, { 2, 1, 10 }, start);
    recordRefusal(limit, { 2, 1, 8 }, start + milliseconds(100));
    cr_assert(isFull(limit, { 2, 1, 10 }, start));
    cr_assert_not(isFull(limit, { 2, 1, 9 }, start), "the second refusal is of the same moment");
    for (double i = 0; i < 11 * roundsPerStep; ++i)
        recordServed(limit, 1);
    cr_assert_not(isFull(limit, { 2, 1, 10 }, start));
    cr_assert(isFull(limit, { 2, 1, 12 }, start));
    cr_assert_not(isFull(limit, { 2, 1, 1000 }, start + serviceLimitLifetime + milliseconds(1)));
}

Test(service_limit, a_few_targets_that_pause_limit_nothing)
{
    service_limit limit;
    recordRefusal(limit, { 1, 2, 0 }, start);
    cr_assert_not(isFull(limit, { 1, 2, 1000 }, start));
}

Test(service_limit, targets_that_return_after_their_pause_bear_as_many_requests_as_the_others)
{
    service_limit limit;
    recordRefusal(limit, { 2, 1, 5 }, start);
    // The last target asks for a pause, too: nothing is learned from it.
    recordRefusal(limit, { 3, 0, 0 }, start + milliseconds(500));
    cr_assert_not(isFull(limit, { 3, 0, 0 }, start + milliseconds(500)), "that all targets pause is not this limit's matter");
    cr_assert_not(isFull(limit, { 0, 3, 14 }, start + seconds(4)));
    cr_assert(isFull(limit, { 0, 3, 15 }, start + seconds(4)));
}

Test(service_limit, each_available_target_still_gets_one_request)
{
    service_limit limit;
    for (int i = 0; i < 20; ++i)
        recordRefusal(limit, { 12, 6, 0 }, start + seconds(i));
    cr_assert_not(isFull(limit, { 12, 6, 5 }, start + seconds(19)));
    cr_assert(isFull(limit, { 12, 6, 6 }, start + seconds(19)));
}
