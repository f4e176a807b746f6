#include "policy/long_prompts.hpp"

#include <algorithm>
#include <cmath>

namespace bilberryseam::policy {

namespace {
    /// The pace of a target counts half if it has this many samples; with few of them it is chance.
    constexpr double doubtfulPaceSamples = 10;
    /// The speeds of engines of one service differ by less than this; a larger difference comes from a few long gaps.
    constexpr double minSlowness = 0.5;
    constexpr double maxSlowness = 3;

    /// @return False for a pace that is missing, negative, not a number or longer than gateways report.
    [[nodiscard]] bool hasPace(const target_load& load) noexcept
    {
        return load.paceUs > 0 && load.paceUs <= static_cast<double>(longestGap.count()) && std::isfinite(load.paceSamples) && load.paceSamples > 0;
    }

    [[nodiscard]] double trustIn(const target_load& load) noexcept { return load.paceSamples / (load.paceSamples + doubtfulPaceSamples); }

    [[nodiscard]] double meanPaceOf(std::span<const placement_candidate> candidates) noexcept
    {
        double total = 0;
        double weight = 0;
        for (const auto& candidate : candidates) {
            if (!candidate.isUsable || !hasPace(candidate.load))
                continue;
            total += candidate.load.paceUs * trustIn(candidate.load);
            weight += trustIn(candidate.load);
        }
        return weight > 0 ? total / weight : 0;
    }

    [[nodiscard]] double slownessOf(const target_load& load, double meanPace) noexcept
    {
        if (meanPace <= 0 || !hasPace(load))
            return 1;
        return std::clamp(1 + trustIn(load) * (load.paceUs / meanPace - 1), minSlowness, maxSlowness);
    }

    /// @return Loss by a forecast time, from zero to that of a missed objective.
    [[nodiscard]] double lossBy(double time, double objective, const prompt_costs& costs) noexcept
    {
        const double low = objective * costs.presumablyMet;
        const double high = objective * costs.presumablyMissed;
        return costs.missedObjective * std::clamp((time - low) / (high - low), 0.0, 1.0);
    }
}

std::vector<prompt_forecast> forecastPrompt(std::span<const placement_candidate> candidates, const placement_request& placement, const prompt_request& request, const prompt_costs& costs)
{
    const double meanPace = meanPaceOf(candidates);
    // A prefix that this process has seen lately is also at the first target of its ranking, where other processes send it.
    const bool isPrefixKnown = std::any_of(candidates.begin(), candidates.end(), [&](const auto& candidate) { return candidate.cachedTokens >= placement.sharedTokens; });
    const auto preferredIndex = isPrefixKnown && placement.prefixHash != 0 ? preferredTarget(candidates, placement.prefixHash) : std::nullopt;
    std::vector<prompt_forecast> forecasts;
    forecasts.reserve(candidates.size());
    for (size_t i = 0; i < candidates.size(); ++i) {
        const placement_candidate& candidate = candidates[i];
        prompt_forecast& result = forecasts.emplace_back();
        if (!candidate.isUsable)
            continue;
        const uint64_t cachedTokens = preferredIndex == i && !candidate.isCold ? placement.sharedTokens : candidate.cachedTokens;
        result.uncachedTokens = static_cast<double>(request.promptTokens - std::min({ request.promptTokens, placement.sharedTokens, cachedTokens }));
        engine_speed speed;
        speed.eventTokens = request.eventTokens;
        speed.slowness = slownessOf(candidate.load, meanPace);
        const engine_work work { candidate.load.prefillTokens, candidate.load.runningStreams };
        result.firstEvent = forecast(work, speed, result.uncachedTokens).firstEvent;
        const double steps = speed.eventTokens * costs.step * speed.slowness;
        result.longestPause = forecast({}, speed, work.prefillTokens + result.uncachedTokens).longestPause + steps;
        if (request.gapObjective > 0) {
            // Streams that the prompts ahead make late anyway are not lost a second time.
            const double pauseBefore = forecast({}, speed, work.prefillTokens).longestPause + steps;
            result.pauseCost = work.runningStreams * (lossBy(result.longestPause, request.gapObjective, costs) - lossBy(pauseBefore, request.gapObjective, costs));
        }
        if (request.firstEventObjective)
            result.lateCost = *request.firstEventObjective > 0 ? lossBy(result.firstEvent, *request.firstEventObjective, costs) : costs.missedObjective;
    }
    return forecasts;
}

void setPromptCosts(std::span<placement_candidate> candidates, std::span<const prompt_forecast> forecasts) noexcept
{
    const auto costOf = [](const prompt_forecast& forecast) { return forecast.pauseCost + forecast.lateCost; };
    std::optional<double> least;
    for (size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].isUsable)
            least = std::min(least.value_or(costOf(forecasts[i])), costOf(forecasts[i]));
    }
    for (size_t i = 0; i < candidates.size(); ++i)
        candidates[i].promptMilliseconds = candidates[i].isUsable ? costOf(forecasts[i]) - *least : 0;
}
}
