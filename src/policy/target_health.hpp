/// Target health, derived from call results: failing, unresponsive and slow targets get less work.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <optional>

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
    /// Last time at which no connection could be established; not set after a call has succeeded.
    std::optional<time_point> unreachableAt;
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

/// @return True if connections have failed since a time, and no call has succeeded after them: a call that the target has not
/// responded to since then is presumably lost, although its connection may never end.
[[nodiscard]] bool isUnreachableSince(const target_health& health, time_point since) noexcept;

/// @return Factor of at least 1 by which the target appears worse than a healthy one.
[[nodiscard]] double penaltyOf(const target_health& health) noexcept;
}
