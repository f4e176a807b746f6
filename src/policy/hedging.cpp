#include "policy/hedging.hpp"

#include <algorithm>
#include <vector>

namespace bilberryseam::policy {

namespace {
    constexpr double hedgeQuantile = 0.95;
    constexpr double maxMedians = 3;
}

void recordLatency(latency_window& window, double seconds) noexcept
{
    window.seconds[window.count++ % latencySamples] = seconds;
}

std::optional<double> latencyQuantile(const latency_window& window, double quantile)
{
    const size_t samples = std::min(window.count, latencySamples);
    if (samples < minLatencySamples)
        return std::nullopt;
    std::vector<double> sorted(window.seconds.begin(), window.seconds.begin() + static_cast<ptrdiff_t>(samples));
    const auto rank = sorted.begin() + static_cast<ptrdiff_t>(quantile * static_cast<double>(samples - 1));
    std::nth_element(sorted.begin(), rank, sorted.end());
    return *rank;
}

std::optional<milliseconds> hedgeDelay(const latency_window& window)
{
    const auto median = latencyQuantile(window, 0.5);
    const auto tail = latencyQuantile(window, hedgeQuantile);
    if (!median || !tail)
        return std::nullopt;
    const double seconds = std::min(*tail, maxMedians * *median);
    return std::max(minHedgeDelay, milliseconds(static_cast<int64_t>(1000 * seconds)));
}
}
