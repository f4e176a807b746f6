/// Forecast of first events and pauses at an engine that prefills long prompts.
#include "policy/engine_forecast.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam::policy;

namespace {
constexpr double longPrompt = 17000;
constexpr double shortPrompt = 1460;
constexpr double gapObjective = 500;

bool isNear(double value, double expected) { return value > expected * 0.999 && value < expected * 1.001; }
}

// Guards against a short prompt that is placed behind a long one although another engine has nothing to prefill.
Test(engine_forecast, prefill_ahead_delays_the_first_event)
{
    const engine_speed speed;
    const auto idle = forecast({}, speed, shortPrompt);
    const auto behind = forecast({ longPrompt, 0 }, speed, shortPrompt);
    cr_assert(isNear(idle.firstEvent, shortPrompt / 50 + 50));
    cr_assert(isNear(behind.firstEvent - idle.firstEvent, longPrompt / 50));
}

// Guards against engines of 0.6 times the usual speed that get as much as the others.
Test(engine_forecast, slow_engine_takes_longer_in_proportion)
{
    const auto usual = forecast({ longPrompt, 3 }, {}, shortPrompt);
    const auto slow = forecast({ longPrompt, 3 }, { .slowness = 1 / 0.6 }, shortPrompt);
    cr_assert(isNear(slow.firstEvent, usual.firstEvent / 0.6));
}

Test(engine_forecast, pause_is_limited_by_the_chunks_of_one_event)
{
    const engine_speed speed { .eventTokens = 4 };
    cr_assert(isNear(forecast({}, speed, 53200).longestPause, 4 * maxChunkTokens / 50));
    cr_assert(isNear(forecast({}, speed, shortPrompt).longestPause, shortPrompt / 50));
}

// Guards against a long prompt at a slow engine, where each of its chunks makes all running streams late.
Test(engine_forecast, long_prompt_costs_the_streams_of_a_slow_engine)
{
    const engine_speed usual { .eventTokens = 4 };
    const engine_speed slow { .eventTokens = 4, .slowness = 1 / 0.6 };
    const engine_work work { 0, 8 };
    cr_assert(pauseCost(work, forecast(work, usual, longPrompt), gapObjective) == 0);
    const double cost = pauseCost(work, forecast(work, slow, longPrompt), gapObjective);
    cr_assert(isNear(cost, 8 * (4 * maxChunkTokens / 50 / 0.6 - gapObjective)));
    cr_assert(pauseCost({ 0, 0 }, forecast({}, slow, longPrompt), gapObjective) == 0);
}

// A prefix that is cached at the target need not be prefilled, so the prompt is not long there.
Test(engine_forecast, cached_prompt_costs_nothing)
{
    const engine_speed slow { .slowness = 3 };
    const engine_work work { 0, 20 };
    cr_assert(pauseCost(work, forecast(work, slow, 300), gapObjective) == 0);
}

Test(engine_forecast, stream_without_an_objective_for_pauses_costs_nothing)
{
    const engine_work work { 0, 20 };
    cr_assert(pauseCost(work, forecast(work, { .slowness = 10 }, longPrompt), 0) == 0);
}
