/// Pauses that targets ask for with `Retry-After`.
#pragma once

#include "base/time.hpp"

#include <optional>
#include <string_view>

namespace bilberryseam::policy {

/// Pause of a target whose `Retry-After` cannot be read.
constexpr milliseconds defaultPause { 1000 };

/// Shortest pause, since a request that has run a stage would be sent again every few milliseconds.
constexpr milliseconds shortestPause { 100 };

/// Longest pause: no request has a later deadline, so a longer one is the task of a drain.
constexpr milliseconds longestPause { 600000 };

/// A pause that a target asked for.
struct requested_pause {
    milliseconds length { 0 };
    /// False if the stated time is not a number, is negative, or exceeds `longestPause`.
    bool isPlausible = true;
};

/// @param status      HTTP status of the response.
/// @param retryAfter  Its `Retry-After`: seconds, also with a fraction; of several values separated by commas the longest applies.
/// @return The pause; nothing if the response asks for none.
[[nodiscard]] std::optional<requested_pause> readPause(unsigned status, std::string_view retryAfter);
}
