/// Merging of load reports, and placement by the load of all gateways.
#include "base/hash.hpp"
#include "policy/placement.hpp"
#include "policy/target_load.hpp"

#include <criterion/criterion.h>
#include <limits>

using namespace bilberryseam;
using namespace bilberryseam::policy;

namespace {
constexpr time_point start { seconds(1000) };

received_load reportAt(time_point takenAt, std::vector<load_figures> items, uint64_t sequence = 1) { return { sequence, takenAt, 1, std::move(items) }; }
}

// Guards against gateways that count their own requests twice.
Test(target_load, own_report_is_subtracted_and_own_current_figures_are_added)
{
    collected_load collected;
    const std::vector<load_figures> own { { 7, 3, 900, 0, 10000, 4 } };
    applyReport(collected, 1, reportAt(start, own));
    applyReport(collected, 2, reportAt(start, { { 7, 5, 100, 50, 30000, 4 } }));
    load_view view;
    applySummary(view, sumOfReports(collected, start), own);
    cr_assert_eq(view.gateways, 1u);
    const target_load load = loadNow(view, { 7, 1, 0, 0, 0, 0 }, start);
    cr_assert_eq(load.requests, 6);
    cr_assert_eq(load.prefillTokens, 100);
    cr_assert_eq(load.contextTokens, 50);
    cr_assert_float_eq(load.paceUs, 30000, 1);
}

// Guards against a contradictory sum: the own view is the lower bound.
Test(target_load, sum_smaller_than_the_own_report_counts_as_the_own_view)
{
    load_view view;
    applySummary(view, reportAt(start, { { 7, 1, 10, 0, 0, 0 } }), std::vector<load_figures> { { 7, 4, 500, 80, 9000, 3 } });
    const target_load load = loadNow(view, { 7, 4, 500, 80, 9000, 3 }, start);
    cr_assert_eq(load.requests, 4);
    cr_assert_eq(load.prefillTokens, 500);
    cr_assert_eq(load.contextTokens, 80);
}

Test(target_load, tokens_of_others_decrease_with_the_age_and_old_figures_are_not_used)
{
    load_view view;
    applySummary(view, reportAt(start, { { 7, 2, 17000, 0, 0, 0 } }), {});
    cr_assert_eq(loadNow(view, { 7 }, start + milliseconds(100)).prefillTokens, 17000 - 100 * prefillTokensPerMillisecond);
    cr_assert_eq(loadNow(view, { 7 }, start + milliseconds(1900)).prefillTokens, 0);
    cr_assert(isUsable(view, start + maxLoadAge));
    cr_assert(!isUsable(view, start + maxLoadAge + milliseconds(1)));
    cr_assert_eq(loadNow(view, { 7 }, start + maxLoadAge + milliseconds(1)).requests, 0);
}

// Guards against the load of a gateway that has stopped or froze.
Test(target_load, silent_gateways_and_collectors_are_dropped)
{
    collected_load collected;
    applyReport(collected, 1, reportAt(start, { { 7, 3 } }));
    applyReport(collected, 2, reportAt(start + seconds(1), { { 7, 5 } }));
    applySum(collected, 9, reportAt(start, { { 7, 11 } }));
    const auto sumAt = [&](time_point now) {
        dropOldLoad(collected, now);
        const auto sum = sumOfAll(collected, sumOfReports(collected, now), now);
        return sum.items.empty() ? 0 : sum.items.front().requests;
    };
    cr_assert_eq(sumAt(start + milliseconds(1500)), 19u);
    cr_assert_eq(sumAt(start + milliseconds(2100)), 5u);
    cr_assert_eq(sumAt(start + milliseconds(3100)), 0u);
}

Test(target_load, overtaken_report_is_ignored)
{
    collected_load collected;
    applyReport(collected, 1, reportAt(start, { { 7, 3 } }, 5));
    applyReport(collected, 1, reportAt(start, { { 7, 9 } }, 4));
    cr_assert_eq(sumOfReports(collected, start).items.front().requests, 3u);
}

// Guards against overflow and against one faulty gateway that makes a target look lost.
Test(target_load, huge_figures_are_bounded)
{
    constexpr uint32_t huge = std::numeric_limits<uint32_t>::max();
    const load_figures figures = bounded({ 7, huge, std::numeric_limits<uint64_t>::max(), std::numeric_limits<uint64_t>::max(), huge, huge });
    cr_assert_eq(figures.requests, maxLoadRequests);
    cr_assert_eq(figures.prefillTokens, maxLoadTokens);
    cr_assert_eq(figures.contextTokens, maxLoadTokens);
    cr_assert_eq(figures.paceUs, maxLoadPaceUs);
    cr_assert_eq(figures.paceSamples, maxLoadSamples);
    std::vector<placement_candidate> candidates(2);
    candidates[0].hash = 1;
    candidates[1].hash = 2;
    candidates[1].isUsable = false;
    candidates[0].load = { double(figures.requests), double(figures.prefillTokens), 0, double(figures.paceUs), double(figures.paceSamples) };
    cr_assert_eq(chooseByLoad(candidates, {}, {}, {})->index, 0u, "the only usable target must be chosen");
}

// Guards against reports of a target that started again.
Test(target_load, figures_of_another_incarnation_do_not_count)
{
    load_view view;
    applySummary(view, reportAt(start, { { 7, 20 } }), {});
    cr_assert_eq(loadNow(view, { 8, 1 }, start).requests, 1);
}

Test(target_load, prefix_stays_at_its_first_target_until_that_is_behind)
{
    constexpr uint64_t prefix = 42;
    std::vector<placement_candidate> candidates(46);
    for (size_t i = 0; i < candidates.size(); ++i) {
        candidates[i].hash = i * 7919 + 1;
        candidates[i].slots = 64;
        candidates[i].isInOwnDomain = candidates[i].isInOwnRegion = true;
        candidates[i].load.requests = 5;
    }
    const placement_request request { 13300, prefix };
    const size_t first = *preferredTarget(candidates, prefix);
    for (uint64_t tie = 0; tie < 50; ++tie)
        cr_assert_eq(chooseByLoad(candidates, request, { tie }, {})->index, first);
    candidates[first].load.prefillTokens = 60000;
    std::vector<placement_candidate> others = candidates;
    others[first].isUsable = false;
    const size_t second = *preferredTarget(others, prefix);
    for (uint64_t tie = 0; tie < 50; ++tie)
        cr_assert_eq(chooseByLoad(candidates, request, { tie }, {})->index, second);
}

Test(target_load, pace_is_the_mean_of_the_last_seconds)
{
    event_pace pace;
    for (int i = 0; i < 10; ++i)
        recordGap(pace, milliseconds(30), start);
    cr_assert_eq(meanOf(pace), 30000u);
    cr_assert_eq(samplesOf(pace, start), 10u);
    cr_assert_eq(samplesOf(pace, start + seconds(60)), 0u);
    recordGap(pace, seconds(100), start);
    cr_assert_leq(meanOf(pace), 300000u, "a stream that stood still must not make its target slow");
}

namespace {
constexpr size_t trendTargets = 40;

/// Records sums with a period of 250 ms, starting with the given one.
/// @param requestsAt  Called with the number of the sum and of the target.
template <typename RequestsAt>
void recordSums(load_trend& trend, size_t first, size_t count, double sendsPerSecond, RequestsAt requestsAt)
{
    std::vector<uint64_t> targets;
    for (size_t i = 0; i < trendTargets; ++i)
        targets.push_back(i + 1);
    for (size_t k = first; k < first + count; ++k) {
        std::vector<load_figures> sum;
        for (size_t i = 0; i < trendTargets; ++i)
            sum.push_back({ targets[i], static_cast<uint32_t>(requestsAt(k, i)) });
        recordSum(trend, sum, 25, targets, sendsPerSecond, start + k * loadReportPeriod);
    }
}
}

// Guards against sums that one faulty gateway or collector states, and against sums that are not used again afterwards.
Test(target_load, sums_that_change_faster_than_requests_can_are_not_consistent)
{
    const auto steady = [](size_t sum, size_t target) { return 5 + (sum + target) % 2; };
    const auto random = [](size_t sum, size_t target) { return hashOfPair(sum + 1, target + 1) % 40; };
    load_trend trend;
    recordSums(trend, 0, 1, 100, steady);
    cr_assert(!isConsistent(trend), "a single sum shows nothing");
    recordSums(trend, 1, 39, 100, steady);
    cr_assert(isConsistent(trend));
    recordSums(trend, 40, 12, 100, random);
    cr_assert(!isConsistent(trend));
    recordSums(trend, 52, 80, 100, steady);
    cr_assert(isConsistent(trend));
    load_trend randomOnly;
    for (size_t i = 0; i < 40; ++i) {
        recordSums(randomOnly, i, 1, 100, random);
        cr_assert(!isConsistent(randomOnly) || i < 3, "sum %zu", i);
    }
}

// Guards against a number of gateways that changes in each sum, which would hide that the sums are random.
Test(target_load, sums_of_ever_other_gateways_are_not_consistent)
{
    const std::vector<uint64_t> targets { 1, 2 };
    load_trend trend;
    for (uint32_t i = 0; i < 40; ++i)
        recordSum(trend, std::vector<load_figures> { { 1, (i % 2) * 30 }, { 2, (1 - i % 2) * 30 } }, 10 + i % 3, targets, 1, start + i * loadReportPeriod);
    cr_assert(!isConsistent(trend));
}

// Guards against sums that are not trusted when callers start or stop at once, or when half of the targets are lost.
Test(target_load, bursts_and_losses_are_consistent)
{
    load_trend trend;
    recordSums(trend, 0, 200, 10, [](size_t sum, size_t target) {
        if (sum >= 120 && target % 2 == 0)
            return size_t(0);
        return sum < 20 ? size_t(0) : sum < 60 ? size_t(20)
            : sum < 100                        ? size_t(2)
                                               : size_t(6);
    });
    cr_assert(isConsistent(trend));
}

// Guards against a missing gateway count, huge numbers of requests and targets that are gone.
Test(target_load, usual_requests_are_bounded_and_follow_the_list)
{
    load_trend trend;
    cr_assert_eq(usualRequestsOf(trend, 1), 0);
    recordSums(trend, 0, 400, 100, [](size_t, size_t target) { return target == 0 ? std::numeric_limits<uint32_t>::max() : target; });
    cr_assert_leq(usualRequestsOf(trend, 1), maxLoadRequests);
    cr_assert(usualRequestsOf(trend, 40) > usualRequestsOf(trend, 2));
    recordSum(trend, {}, 25, std::vector<uint64_t> { 7 }, 100, start + seconds(200));
    cr_assert_eq(usualRequestsOf(trend, 1), 0);
    cr_assert_eq(trend.targets.size(), 1u);
}

// Guards against a prefix that looks popular after a single request.
Test(target_load, share_of_a_prefix_is_a_cautious_estimate)
{
    recent_sends sends;
    cr_assert_eq(prefixShareOf(sends, 3, start), 0);
    recordSend(sends, 3, start);
    cr_assert_eq(prefixShareOf(sends, 3, start), 0);
    for (int i = 0; i < 1000; ++i)
        recordSend(sends, i % 2 == 0 ? 3 : 100 + i, start);
    const double share = prefixShareOf(sends, 3, start);
    cr_assert(share > 0.4 && share < 0.5, "%.2f", share);
}
