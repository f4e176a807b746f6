/// Merging of load reports, and placement by the load of all gateways.
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
