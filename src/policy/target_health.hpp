/// What the answers of a target tell about it: failing, silent and slow targets get less work.
#pragma once

#include "base/time.hpp"

#include <cstdint>

namespace bilberryseam::policy {

/// Beliefs about one target, from this process's own calls.
struct target_health {
    /// Time that calls take there over the time that they should; 1 is as stated.
    double slowness = 1;
    /// Share of the last calls that failed, weighted towards the newest.
    double failureRate = 0;
    uint32_t consecutiveFailures = 0;
    /// No work goes there before.
    time_point blockedUntil {};
    time_point changedAt {};
};

/// How a call failed.
enum class call_failure {
    /// No connection.
    Unreachable,
    /// It broke off, was malformed, or reported a failure of the target.
    Failed,
    /// The target had no room.
    Full,
};

void recordSuccess(target_health& health, double slowness, time_point now) noexcept;
void recordFailure(target_health& health, call_failure failure, time_point now) noexcept;

/// @return Whether work may go there now. A block ends by time: the next call is the probe.
[[nodiscard]] bool isUsable(const target_health& health, time_point now) noexcept;

/// @return A factor of at least 1 by which the target seems worse than a sound one.
[[nodiscard]] double penaltyOf(const target_health& health) noexcept;
}
