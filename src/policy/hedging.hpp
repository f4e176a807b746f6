/// When a second attempt is started beside one that takes unusually long.
#pragma once

#include "base/time.hpp"

#include <array>
#include <cstddef>
#include <optional>

namespace bilberryseam::policy {

/// Samples that a latency window holds.
constexpr size_t latencySamples = 128;

/// Samples before a hedge delay is learned.
constexpr size_t minLatencySamples = 16;

/// Shortest hedge delay; below it, noise of the network would cause hedges.
constexpr milliseconds minHedgeDelay { 10 };

/// The latest latencies of one service.
struct latency_window {
    std::array<double, latencySamples> seconds {};
    size_t count = 0;
};

void recordLatency(latency_window& window, double seconds) noexcept;

/// @param quantile  From 0 to 1.
/// @return That quantile in seconds; nothing before enough samples were seen.
[[nodiscard]] std::optional<double> latencyQuantile(const latency_window& window, double quantile);

/// @return How long to wait before a second attempt; nothing before enough was learned.
///
/// The 95th percentile, but at most three medians: one straggling replica must not teach
/// patience with itself.
[[nodiscard]] std::optional<milliseconds> hedgeDelay(const latency_window& window);
}
