/// What a side decides about calls for one target: accept or refuse, when to start, what to report.
#pragma once

#include "base/identifier.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace bilberryseam::policy {

/// A call that waits for its turn.
struct queued_call {
    identifier attempt;
    /// When the call is no longer worth starting.
    time_point deadline;
    /// Larger goes first; equal priorities in order of arrival.
    uint8_t priority = 0;
    /// Runs with nothing beside it.
    bool isIsolated = false;
};

/// The gate before one target.
struct call_queue {
    uint32_t capacity = 1;
    uint32_t maxWaiting = 64;
    uint32_t running = 0;
    bool isDraining = false;
    bool isDown = false;
    bool isIsolatedRunning = false;
    std::deque<queued_call> waiting;
    /// Exponentially weighted mean of how long calls run; zero before the first.
    double meanRunSeconds = 0;
};

enum class admission_verdict {
    Accept,
    Draining,
    Down,
    QueueFull,
    /// The call could not start before its deadline.
    Infeasible,
};

/// @return How long a call that arrives now is expected to wait, in seconds.
[[nodiscard]] double expectedWaitSeconds(const call_queue& queue) noexcept;

/// @return What `admit` would say; changes nothing.
[[nodiscard]] admission_verdict checkAdmission(const call_queue& queue, const queued_call& call, time_point now);

/// Queues a call or says why not.
[[nodiscard]] admission_verdict admit(call_queue& queue, const queued_call& call, time_point now);

/// What may start now, and what waited too long.
struct dispatch_result {
    std::vector<queued_call> expired;
    std::vector<queued_call> started;
};

/// Takes from the queue whatever may start now; counts it as running.
[[nodiscard]] dispatch_result startCalls(call_queue& queue, time_point now);

/// Removes a waiting call.
/// @return False if it does not wait here.
[[nodiscard]] bool removeCall(call_queue& queue, identifier attempt);

/// A running call ended.
/// @param ranSeconds  How long it ran; nothing if that says nothing about the target's speed.
void finishCall(call_queue& queue, bool wasIsolated, std::optional<double> runSeconds) noexcept;
}
