/// Cost of a prompt at a target: what the streams there lose by its prefill, and what the request loses itself.
///
/// Load pattern: prompts of 17,000 tokens share engines with prompts of 1,500. While an engine reads a long prompt, each event of
/// its streams waits for several chunks; at an engine that needs 1.6 times the usual time, this is longer than callers accept.
/// Engines that read several prompts one after the other have the same effect.
#pragma once

#include "policy/engine_forecast.hpp"
#include "policy/placement.hpp"

#include <optional>
#include <span>
#include <vector>

namespace bilberryseam::policy {

/// Properties of the request and of its service that affect what its prompt costs.
struct prompt_request {
    /// Tokens of the whole prompt.
    uint64_t promptTokens = 0;
    /// Time left to the objective for the first event, in milliseconds; empty if there is none.
    std::optional<double> firstEventObjective;
    /// Longest pause between two events with which the streams of the service meet their objective, in milliseconds; zero if
    /// there is none.
    double gapObjective = 0;
    /// Tokens in one event of a stream of the service.
    double eventTokens = 1;
};

struct prompt_costs {
    /// A request that misses an objective, in milliseconds of delay. In the replay, 200 left more requests out of their
    /// objectives, and 800 made no clear difference.
    double missedObjective = 400;
    /// Shares of an objective between which a forecast value changes from presumably met to presumably missed. Forecasts are too
    /// low rather than too high: prompts that other gateways have just sent are not in the figures, and engines need up to 2.5
    /// times the usual time for a moment. In the replay, 0.8 and 1.2 left more requests out of their objectives.
    double presumablyMet = 0.7;
    double presumablyMissed = 1.0;
    /// Time of an engine of usual speed for a token of each of its streams, in milliseconds.
    double step = 5.5;
};

/// What a request would experience and cause at a target.
struct prompt_forecast {
    /// Prompt tokens that the target presumably has to read.
    double uncachedTokens = 0;
    /// Time to the first event of the request, in milliseconds.
    double firstEvent = 0;
    /// Longest pause in the streams at the target while it reads this prompt and those ahead of it, in milliseconds.
    double longestPause = 0;
    /// Loss of the streams at the target, and of the request, in milliseconds of delay.
    double pauseCost = 0;
    double lateCost = 0;
};

/// @return One forecast for each candidate, by its load. A missing or implausible pace counts as the usual one.
[[nodiscard]] std::vector<prompt_forecast> forecastPrompt(std::span<const placement_candidate> candidates, const placement_request& placement, const prompt_request& request, const prompt_costs& costs);

/// Sets `promptMilliseconds` of each candidate to what the prompt costs there more than at the usable candidate at which it costs
/// least.
void setPromptCosts(std::span<placement_candidate> candidates, std::span<const prompt_forecast> forecasts) noexcept;
}
