/// Forecast of what a request experiences at an engine, and of what it does to the requests that run there.
///
/// Load pattern: prompts of 17,000 tokens share engines with prompts of 1,500. An engine prefills a prompt in chunks between the
/// tokens of its running streams, so a long prompt delays the first events of the requests behind it and stretches the pauses
/// of the streams beside it. With the cost of these pauses, long prompts go to engines with few streams, and short ones to
/// engines with little prefill ahead; which engines these are follows the mix of requests.
#pragma once

namespace bilberryseam::policy {

/// Most prompt tokens that an engine prefills between two tokens of its running streams.
constexpr double maxChunkTokens = 4096;

/// Properties of an engine.
struct engine_speed {
    /// Prompt tokens that an engine of usual speed prefills per millisecond.
    double prefillTokensPerMillisecond = 50;
    /// Tokens in one event of a stream.
    double eventTokens = 4;
    /// Time that this engine needs in relation to the usual one.
    double slowness = 1;
    /// Time from the end of the prefill to the first event, in milliseconds.
    double firstEventDelay = 50;
};

/// Work at an engine, summed over all gateways.
struct engine_work {
    /// Uncached prompt tokens of requests that have not begun to respond.
    double prefillTokens = 0;
    /// Streams that have begun.
    double runningStreams = 0;
};

struct engine_forecast {
    /// Time to the first event of the request, in milliseconds.
    double firstEvent = 0;
    /// Longest pause that the request causes in the streams that run at the engine, in milliseconds.
    double longestPause = 0;
};

/// @param uncachedTokens  Prompt tokens of the request that the engine has to prefill.
[[nodiscard]] engine_forecast forecast(const engine_work& work, const engine_speed& speed, double uncachedTokens) noexcept;

/// @param gapObjective  Longest pause between two events with which a stream meets its objective, in milliseconds; zero if
///                      there is none.
/// @return What the request costs the streams at the engine: the pause beyond their objective for each of them, in
/// milliseconds.
[[nodiscard]] double pauseCost(const engine_work& work, const engine_forecast& forecast, double gapObjective) noexcept;
}
