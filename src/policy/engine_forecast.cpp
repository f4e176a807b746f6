#include "policy/engine_forecast.hpp"

#include <algorithm>

namespace bilberryseam::policy {

engine_forecast forecast(const engine_work& work, const engine_speed& speed, double uncachedTokens) noexcept
{
    const double millisecondsPerToken = speed.slowness / speed.prefillTokensPerMillisecond;
    const double ownPrefill = uncachedTokens * millisecondsPerToken;
    engine_forecast result;
    result.firstEvent = work.prefillTokens * millisecondsPerToken + ownPrefill + speed.firstEventDelay * speed.slowness;
    // Each token of an event waits for one chunk at the most, and all of them for no more than the whole prefill.
    result.longestPause = std::min(ownPrefill, speed.eventTokens * std::min(uncachedTokens, maxChunkTokens) * millisecondsPerToken);
    return result;
}

double pauseCost(const engine_work& work, const engine_forecast& forecast, double gapObjective) noexcept
{
    if (gapObjective <= 0)
        return 0;
    return work.runningStreams * std::max(0.0, forecast.longestPause - gapObjective);
}
}
