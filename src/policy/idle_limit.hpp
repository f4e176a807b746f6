/// How long idle connections stay open while the limit for them changes.
#pragma once

#include "base/time.hpp"

#include <vector>

namespace bilberryseam::policy {

/// A longer limit that was in force before.
struct former_idle_limit {
    milliseconds limit {};
    time_point endedAt {};
};

/// The limit in force, and former ones that clients may still rely on.
struct idle_limits {
    milliseconds current {};
    /// From the longest to the shortest, which is also their order in time.
    std::vector<former_idle_limit> former;
};

/// Puts another limit in force.
void changeIdleLimit(idle_limits& limits, milliseconds limit, time_point now);

/// @return The limit to apply. A client may reuse a connection that became idle under a former limit, so the longest one that
/// was in force within its own length applies.
[[nodiscard]] milliseconds longestIdleLimit(const idle_limits& limits, time_point now) noexcept;
}
