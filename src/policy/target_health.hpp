/// Target health, derived from call results: failing, unresponsive and slow targets get less work.
#pragma once

#include "base/time.hpp"

#include <cstdint>

namespace bilberryseam::policy {

/// Observed health of one target, from this process's own calls.
struct target_health {
    /// Ratio of measured to expected call time; 1 is as expected.
    double slowness = 1;
    /// Exponentially weighted share of failed calls.
    double failureRate = 0;
    uint32_t consecutiveFailures = 0;
    /// The target gets no work before this time.
    time_point blockedUntil {};
    time_point changedAt {};
};

/// How a call failed.
enum class call_failure {
    /// The connection failed.
    Unreachable,
    /// The response broke off, was malformed, or reported a failure of the target.
    Failed,
    /// The target had no free capacity.
    Full,
};

void recordSuccess(target_health& health, double slowness, time_point now) noexcept;
void recordFailure(target_health& health, call_failure failure, time_point now) noexcept;
/// Records that a call has got no bytes for a while. The target is preferred less but not blocked, since it may go on.
void recordSilence(target_health& health, time_point now) noexcept;

/// @return Whether the target may get work now. A block expires; the next call then serves as the probe.
[[nodiscard]] bool isUsable(const target_health& health, time_point now) noexcept;

/// @return Factor of at least 1 by which the target appears worse than a healthy one.
[[nodiscard]] double penaltyOf(const target_health& health) noexcept;
}
