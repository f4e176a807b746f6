/// Priority boost of tasks by the value of their request: its tokens for each task.
///
/// Load pattern: in a burst, or while targets are unavailable, a pool cannot run all tasks in time. In order of latest
/// start alone, every request is a little late. Requests with more tokens for each task go earlier, so that more of
/// the tokens that engines process are served in time; the others run after the burst.
#pragma once

#include "base/time.hpp"

#include <cstdint>

namespace bilberryseam::policy {

/// Running mean of the value of a pool's latest requests.
struct value_average {
    /// Mean of the base-2 logarithm of tokens for each task.
    double meanLog2 = 0;
    /// Requests in the mean, up to `value_rules::maxSamples`.
    uint32_t samples = 0;
};

struct value_rules {
    /// Boost of a request with twice the mean value.
    milliseconds boostPerDoubling { 800 };
    /// Largest boost or delay; limits how much longer a request waits for others.
    milliseconds maxBoost { 2400 };
    /// Requests over which the mean is computed.
    uint32_t maxSamples = 100;
};

/// Adds a request to the mean.
/// @param tokens  Tokens of its prompt and its requested output; zero if it has none.
/// @param tasks   Tasks that the pool runs for it.
/// @return The boost of its tasks; negative for a value below the mean.
[[nodiscard]] milliseconds recordValue(value_average& average, double tokens, uint32_t tasks, const value_rules& rules = {});
}
