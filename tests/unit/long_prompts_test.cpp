/// Cost of a prompt at a target: pauses of the streams there and the first event of the request.
#include "policy/long_prompts.hpp"

#include <cmath>
#include <criterion/criterion.h>
#include <limits>

using namespace bilberryseam::policy;

namespace {
constexpr uint64_t longPrompt = 17020;
constexpr uint64_t sharedTokens = 13300;
constexpr uint64_t shortPrompt = 1460;
constexpr double usualPaceUs = 20'000;

const prompt_request longRequest { longPrompt, 1500, 500, 4 };
const prompt_request shortRequest { shortPrompt, 1700, 500, 4 };

placement_candidate engineOf(uint64_t hash, double slowness, double streams)
{
    placement_candidate candidate;
    candidate.hash = hash;
    candidate.slots = 64;
    candidate.load = { streams, 0, 0, usualPaceUs * slowness, 1000, streams };
    return candidate;
}

/// @return Engines of usual speed, with a slow one in the first place.
std::vector<placement_candidate> enginesWithSlowOne(double streamsOfSlowOne)
{
    std::vector<placement_candidate> engines { engineOf(1, 1.8, streamsOfSlowOne) };
    for (uint64_t hash = 2; hash <= 8; ++hash)
        engines.push_back(engineOf(hash, 1, 6));
    return engines;
}

std::vector<placement_candidate> withCosts(std::vector<placement_candidate> engines, const placement_request& placement, const prompt_request& request)
{
    setPromptCosts(engines, forecastPrompt(engines, placement, request, {}));
    return engines;
}
}

// Guards against a long prompt at a slow engine, where it makes all streams late.
Test(long_prompts, long_prompt_costs_most_at_a_slow_engine_with_streams)
{
    const auto engines = withCosts(enginesWithSlowOne(6), {}, longRequest);
    for (size_t i = 1; i < engines.size(); ++i)
        cr_assert_gt(engines[0].promptMilliseconds, engines[i].promptMilliseconds + 400);
}

// Guards against slow engines that are excluded although no stream there can become late.
Test(long_prompts, long_prompt_costs_little_at_a_slow_engine_without_streams)
{
    const auto engines = withCosts(enginesWithSlowOne(0), {}, longRequest);
    cr_assert_eq(engines[0].promptMilliseconds, 0);
}

// A prompt whose shared part is cached is read in one chunk and harms nobody.
Test(long_prompts, cached_long_prompt_costs_nothing)
{
    auto engines = enginesWithSlowOne(6);
    for (auto& engine : engines)
        engine.cachedTokens = sharedTokens;
    engines = withCosts(engines, { sharedTokens, 7 }, longRequest);
    for (const auto& engine : engines)
        cr_assert_eq(engine.promptMilliseconds, 0);
}

// Guards against a hot prefix whose first target is taken for one that has to read it, and against a new one that is taken for
// cached there.
Test(long_prompts, first_target_of_a_prefix_has_it_if_it_was_seen_lately)
{
    auto engines = enginesWithSlowOne(6);
    const placement_request placement { sharedTokens, 7 };
    const size_t preferred = *preferredTarget(engines, placement.prefixHash);
    cr_assert_eq(forecastPrompt(engines, placement, longRequest, {})[preferred].uncachedTokens, longPrompt);
    engines[(preferred + 1) % engines.size()].cachedTokens = sharedTokens;
    cr_assert_eq(forecastPrompt(engines, placement, longRequest, {})[preferred].uncachedTokens, longPrompt - sharedTokens);
    engines[preferred].isCold = true;
    cr_assert_eq(forecastPrompt(engines, placement, longRequest, {})[preferred].uncachedTokens, longPrompt);
}

// Several prompts that are read one after the other prolong an event as much as one long prompt.
Test(long_prompts, prompts_ahead_count_for_the_pause)
{
    auto engines = enginesWithSlowOne(6);
    const double alone = forecastPrompt(engines, {}, shortRequest, {})[0].longestPause;
    engines[0].load.prefillTokens = 15000;
    cr_assert_gt(forecastPrompt(engines, {}, shortRequest, {})[0].longestPause, alone * 3);
}

// Streams that are late already cannot be lost again, so long prompts meet at few engines.
Test(long_prompts, second_long_prompt_costs_the_streams_less_than_the_first)
{
    auto engines = enginesWithSlowOne(6);
    const double first = forecastPrompt(engines, {}, longRequest, {})[0].pauseCost;
    engines[0].load.prefillTokens = longPrompt;
    cr_assert_lt(forecastPrompt(engines, {}, longRequest, {})[0].pauseCost, first / 10);
}

// Guards against a short prompt behind so many tokens that its first event is late.
Test(long_prompts, first_event_beyond_its_objective_costs_the_request)
{
    auto engines = enginesWithSlowOne(0);
    engines[1].load.prefillTokens = 100'000;
    engines = withCosts(engines, {}, shortRequest);
    cr_assert_eq(engines[1].promptMilliseconds, prompt_costs().missedObjective);
    cr_assert_eq(engines[2].promptMilliseconds, 0);
}

Test(long_prompts, route_without_objectives_has_no_cost)
{
    auto engines = enginesWithSlowOne(6);
    engines[1].load.prefillTokens = 100'000;
    engines = withCosts(engines, {}, { longPrompt, {}, 0, 4 });
    for (const auto& engine : engines)
        cr_assert_eq(engine.promptMilliseconds, 0);
}

// Once the time to the first event is over, no target is better than another for it.
Test(long_prompts, objective_that_has_passed_costs_the_same_everywhere)
{
    auto engines = enginesWithSlowOne(0);
    engines[1].load.prefillTokens = 100'000;
    for (const auto& forecast : forecastPrompt(engines, {}, { shortPrompt, -5, 0, 4 }, {}))
        cr_assert_eq(forecast.lateCost, prompt_costs().missedObjective);
}

// Guards against a wrong speed that excludes a target or distorts those of the others.
Test(long_prompts, missing_or_wrong_speed_counts_as_the_usual_one)
{
    auto engines = enginesWithSlowOne(6);
    engines[0].load.paceUs = usualPaceUs;
    const double expected = forecastPrompt(engines, {}, longRequest, {})[0].firstEvent;
    for (const double wrong : { 0.0, -1.0, std::nan(""), std::numeric_limits<double>::infinity(), 1e12 }) {
        engines[0].load.paceUs = wrong;
        const auto forecasts = forecastPrompt(engines, {}, longRequest, {});
        cr_assert(std::abs(forecasts[0].firstEvent - expected) < 1e-6, "pace %f", wrong);
        cr_assert(std::abs(forecasts[1].firstEvent - expected) < 1e-6, "pace %f", wrong);
    }
}

Test(long_prompts, unusable_targets_do_not_count)
{
    auto engines = enginesWithSlowOne(6);
    for (size_t i = 1; i < engines.size(); ++i)
        engines[i].isUsable = false;
    engines = withCosts(engines, {}, longRequest);
    for (const auto& engine : engines)
        cr_assert_eq(engine.promptMilliseconds, 0);
    for (auto& engine : engines)
        engine.isUsable = false;
    setPromptCosts(engines, forecastPrompt(engines, {}, longRequest, {}));
}

// The choice by load takes the cost into account, for prefixes and for the least loaded target.
Test(long_prompts, choice_by_load_avoids_the_streams_of_a_slow_engine)
{
    for (uint64_t request = 0; request < 50; ++request) {
        for (const placement_request& placement : { placement_request {}, placement_request { sharedTokens, request + 1 } }) {
            const auto choice = chooseByLoad(withCosts(enginesWithSlowOne(6), placement, longRequest), placement, { request }, {});
            cr_assert_neq(choice->index, 0u, "request %zu", static_cast<size_t>(request));
        }
    }
}

// Guards against a pace that says how many prompts a target reads and not how fast it is.
Test(long_prompts, pace_beside_prompts_is_that_of_the_steps)
{
    using namespace bilberryseam;
    event_pace pace;
    event_pace plain;
    time_point now(microseconds(1'000'000'000));
    for (int i = 0; i < 200; ++i) {
        const microseconds gap(i % 5 == 4 ? 340'000 : 20'000);
        now += gap;
        recordGapBesidePrompts(pace, gap, now);
        recordGap(plain, gap, now);
    }
    cr_assert_gt(meanOf(plain), 60'000u);
    cr_assert_lt(meanOf(pace), 26'000u);
    // A target that becomes slower is noticed.
    for (int i = 0; i < 200; ++i) {
        now += microseconds(40'000);
        recordGapBesidePrompts(pace, microseconds(40'000), now);
    }
    cr_assert_gt(meanOf(pace), 33'000u);
}

// Guards against a sum without the streams of others, or with the own ones twice.
Test(long_prompts, streams_of_all_gateways_are_counted_once)
{
    using namespace bilberryseam;
    const time_point now(microseconds(1'000'000'000));
    load_figures own { 5, 4, 0, 0, 0, 0, 3 };
    load_figures other { 5, 7, 0, 0, 0, 0, 6 };
    collected_load collected;
    applyReport(collected, 1, { 1, now, 1, { own } });
    applyReport(collected, 2, { 1, now, 1, { other } });
    load_view view;
    applySummary(view, sumOfReports(collected, now), std::vector { own });
    cr_assert_eq(loadNow(view, own, now).runningStreams, 9);
    // Figures that are too old leave the own view.
    cr_assert_eq(loadNow(view, own, now + maxLoadAge + milliseconds(1)).runningStreams, 3);
    // A stream is a request in progress.
    cr_assert_eq(bounded({ 5, 7, 0, 0, 0, 0, 4'000'000'000 }).runningStreams, 7u);
}
