/// Replays of long prompts beside short ones: 25 gateways choose among 46 engines of three speeds by figures 300 ms old.
#include "support/long_prompt_replay.hpp"

#include <criterion/criterion.h>
#include <limits>

using namespace bilberryseam;
using namespace bilberryseam::tests;

namespace {
using kind_rates = std::array<double, promptKinds>;

/// Bounds of the design page.
constexpr double minShareOfShortAlone = 0.9;
constexpr double maxLossOfLong = 0.03;

constexpr unsigned seeds = 3;

/// More prefixes than engines keep in their caches, so most long prompts are read whole.
constexpr size_t rarePrefixes = 4000;

bool isInBurst(double seconds) { return seconds >= 10 && seconds < 18; }

prompt_replay_result replayOf(prompt_replay_options options, prompt_way way)
{
    options.way = way;
    return replayPrompts(options);
}

/// Checks both bounds on mixed load, with each seed.
void expectBothKindsAreServed(prompt_replay_options options)
{
    for (options.seed = 1; options.seed <= seeds; ++options.seed) {
        const auto with = replayOf(options, prompt_way::PromptCosts);
        const auto without = replayOf(options, prompt_way::ByLoad);
        auto aloneOptions = options;
        aloneOptions.rates = [&options](double seconds) {
            auto rates = options.rates(seconds);
            rates[Long] = 0;
            return rates;
        };
        const auto alone = replayOf(aloneOptions, prompt_way::PromptCosts);
        const double bound = alone.kinds[Short].share() * minShareOfShortAlone;
        cr_expect_geq(with.kinds[Short].share(), bound, "seed %u: short %.3f, bound %.3f, by load alone %.3f", options.seed, with.kinds[Short].share(), bound, without.kinds[Short].share());
        cr_expect_geq(with.kinds[Long].share(), without.kinds[Long].share() - maxLossOfLong, "seed %u: long %.3f, by load alone %.3f", options.seed, with.kinds[Long].share(), without.kinds[Long].share());
    }
}

/// Checks that no kind is served worse than without the setting, with each seed.
void expectNotWorse(prompt_replay_options options)
{
    for (options.seed = 1; options.seed <= seeds; ++options.seed) {
        const auto with = replayOf(options, prompt_way::PromptCosts);
        const auto without = replayOf(options, prompt_way::ByLoad);
        for (const auto kind : { Long, Short })
            cr_expect_geq(with.kinds[kind].share(), without.kinds[kind].share(), "seed %u, kind %d: %.4f, by load alone %.4f", options.seed, static_cast<int>(kind), with.kinds[kind].share(), without.kinds[kind].share());
    }
}
}

// Guards against long prompts that make all running streams of slow engines late.
Test(long_prompt_replay, burst_of_long_prompts_over_steady_short_ones)
{
    prompt_replay_options options;
    options.rates = [](double seconds) { return kind_rates { isInBurst(seconds) ? 100.0 : 0, 0, 90 }; };
    expectBothKindsAreServed(options);
    options.prefixes[Long] = rarePrefixes;
    expectBothKindsAreServed(options);
}

// Guards against long prompts that get no engine while short ones occupy all of them.
Test(long_prompt_replay, burst_of_short_prompts_over_steady_long_ones)
{
    prompt_replay_options options;
    options.rates = [](double seconds) { return kind_rates { 60, 0, isInBurst(seconds) ? 190.0 : 10 }; };
    expectBothKindsAreServed(options);
    options.prefixes[Long] = rarePrefixes;
    expectBothKindsAreServed(options);
}

// Guards against the longest prompt at an engine where it delays many.
Test(long_prompt_replay, one_prompt_of_53200_tokens)
{
    prompt_replay_options options;
    options.rates = [](double seconds) { return kind_rates { seconds >= 10 && seconds < 10.1 ? 200.0 : 0, 0, 110 }; };
    options.ownTokensOfLong = static_cast<uint64_t>(maxOwnTokens);
    options.prefixes[Long] = rarePrefixes;
    options.maxLong = 1;
    expectBothKindsAreServed(options);
}

// Guards against a cost that changes the choice where no prompt is long.
Test(long_prompt_replay, all_short_is_not_worse)
{
    prompt_replay_options options;
    options.rates = [](double) { return kind_rates { 0, 0, 150 }; };
    expectNotWorse(options);
}

// Guards against a hot prefix that leaves the engines that have it.
Test(long_prompt_replay, cached_long_prefix_is_not_worse)
{
    prompt_replay_options options;
    options.rates = [](double) { return kind_rates { 45, 0, 70 }; };
    options.prefixes[Long] = 1;
    expectNotWorse(options);
}

// Guards against a division of the engines that does not follow their number.
Test(long_prompt_replay, half_of_the_engines_is_lost)
{
    prompt_replay_options options;
    options.rates = [](double) { return kind_rates { 40, 20, 40 }; };
    options.lostAt = 12;
    expectBothKindsAreServed(options);
}

// Guards against gateways that send all long prompts of some hundred milliseconds to the same engine.
Test(long_prompt_replay, steady_mix_at_engines_of_three_speeds)
{
    prompt_replay_options options;
    options.rates = [](double) { return kind_rates { 60, 30, 50 }; };
    expectBothKindsAreServed(options);
    options.prefixes[Long] = rarePrefixes;
    expectBothKindsAreServed(options);
}

// The same at engines of one speed.
Test(long_prompt_replay, steady_mix_at_engines_of_one_speed)
{
    prompt_replay_options options;
    options.rates = [](double) { return kind_rates { 60, 30, 50 }; };
    options.slowness = { 1 };
    options.prefixes[Long] = rarePrefixes;
    expectBothKindsAreServed(options);
}

// Guards against costs by figures that are about to be too old, as those of a collector that froze.
Test(long_prompt_replay, old_figures_keep_the_bounds)
{
    prompt_replay_options options;
    options.rates = [](double) { return kind_rates { 60, 30, 50 }; };
    options.prefixes[Long] = rarePrefixes;
    options.figureAge = milliseconds(1500);
    expectBothKindsAreServed(options);
}

// Guards against speeds that are not known, or wrong: neither kind may lose more than the bounds allow.
Test(long_prompt_replay, missing_and_wrong_speeds_keep_the_bounds)
{
    prompt_replay_options options;
    options.rates = [](double) { return kind_rates { 60, 30, 50 }; };
    options.statedPaceUs = [](size_t) { return 0; };
    expectBothKindsAreServed(options);
    options.statedPaceUs = [](size_t engine) { return engine % 2 == 0 ? 0 : std::numeric_limits<uint32_t>::max(); };
    expectBothKindsAreServed(options);
}
