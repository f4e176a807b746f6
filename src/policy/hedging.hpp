/// Hedging: when to start a second attempt in parallel to an unusually slow one.
#pragma once

#include "base/time.hpp"

#include <array>
#include <cstddef>
#include <optional>

namespace bilberryseam::policy {

/// Capacity of a latency window, in samples.
constexpr size_t latencySamples = 128;

/// Fewest samples from which a hedge delay is computed.
constexpr size_t minLatencySamples = 16;

/// Shortest hedge delay; with a shorter one, network jitter would cause hedges.
constexpr milliseconds minHedgeDelay { 10 };

/// Ring buffer of the latest latencies of one service.
struct latency_window {
    std::array<double, latencySamples> seconds {};
    size_t count = 0;
};

void recordLatency(latency_window& window, double seconds) noexcept;

/// @param quantile  From 0 to 1.
/// @return That quantile in seconds; empty with too few samples.
[[nodiscard]] std::optional<double> latencyQuantile(const latency_window& window, double quantile);

/// @return How long to wait before a second attempt; empty with too few samples.
///
/// The 95th percentile, but at most three medians: one slow replica must not raise the delay after which its
/// own calls are hedged.
[[nodiscard]] std::optional<milliseconds> hedgeDelay(const latency_window& window);
}
