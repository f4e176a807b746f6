/// How much earlier a piece goes because its request is worth more for each piece.
///
/// Load pattern: in a burst, or while targets are gone, a pool cannot make all pieces in time. In order of latest
/// start alone, each request is a little late. The requests that bring the most tokens for a piece go earlier, so
/// that more of the work that engines are there for is done in time; the others go when the burst is over.
#pragma once

#include "base/time.hpp"

#include <cstdint>

namespace bilberryseam::policy {

/// What the requests of a pool are worth, in the mean of those seen last.
struct value_average {
    /// Mean of the logarithm, base 2, of tokens for each piece.
    double meanLog2 = 0;
    /// Requests in the mean, up to `value_rules::memory`.
    uint32_t samples = 0;
};

struct value_rules {
    /// How much earlier a piece goes if its request is worth twice the mean.
    milliseconds boostPerDoubling { 800 };
    /// Longest lead or lag; no request waits much longer for others than this.
    milliseconds maxBoost { 2400 };
    /// Requests over which the mean is taken.
    uint32_t maxSamples = 100;
};

/// Takes a request into the scale.
/// @param tokens  Tokens that it asks to read and make; zero if it is not about tokens.
/// @param pieces  Pieces that the pool makes for it.
/// @return The lead of its pieces; negative if they go later than those of others.
[[nodiscard]] milliseconds recordValue(value_average& average, double tokens, uint32_t tasks, const value_rules& rules = {});
}
