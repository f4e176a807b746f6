/// Pauses: times during which a target wants no requests of this process, and the return of requests afterwards.
///
/// Load pattern: many entries have more work for a target than it takes, and are told to pause at the same moment. Each
/// returns at a time of its own with one request. While the target serves, the number of requests that may be unanswered
/// there doubles, until it is no longer bounded.
#pragma once

#include "base/time.hpp"

#include <cstdint>

namespace bilberryseam::policy {

/// The present or last pause of one target.
struct target_pause {
    time_point since {};
    time_point until {};
    /// Requests that may be unanswered at the target after the pause; zero if they are not bounded.
    uint32_t maxUnanswered = 0;
    /// Requests sent after the pause that are unanswered.
    uint32_t unanswered = 0;
    /// Time at which `maxUnanswered` last changed.
    time_point changedAt {};
};

/// Requests that may be unanswered from which on their number is not bounded any more.
constexpr uint32_t unboundedReturn = 32;

/// A target that does not refuse for this long gets more requests, although it has not responded yet.
constexpr seconds returnStepTime { 1 };

/// Time between the returns of two entries to the same target.
constexpr milliseconds returnSpacing { 20 };

/// How the target responded to a request that was sent after the pause.
enum class trial_outcome {
    Served,
    Refused,
    /// The request ended without a response.
    Unknown,
};

/// How a refusal changes a pause.
enum class pause_change {
    None,
    Begun,
    Lengthened,
};

[[nodiscard]] bool isPaused(const target_pause& pause, time_point now) noexcept;

/// @return Whether a request may be sent now.
[[nodiscard]] bool mayReturn(const target_pause& pause, time_point now) noexcept;

/// Records a request that is being sent.
/// @return Whether it is one of those whose number is bounded; its end must be reported with `endTrial`.
[[nodiscard]] bool beginTrial(target_pause& pause) noexcept;

/// @param since  Start of the pause after which the request was sent. The outcome of one that was sent before a newer pause does
///               not count.
void endTrial(target_pause& pause, time_point since, trial_outcome outcome, time_point now) noexcept;

/// @param entries   Entries that may send requests to the target.
/// @param position  A number from 0 to 1 that differs between entries.
/// @return Time by which an entry returns later than the target asks.
[[nodiscard]] milliseconds returnDelay(unsigned entries, double position) noexcept;

/// Applies a refusal that asks for a pause. The end of a pause never moves forward.
pause_change applyPause(target_pause& pause, milliseconds length, time_point now) noexcept;
}
