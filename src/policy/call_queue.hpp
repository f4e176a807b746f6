/// Queue and admission control in front of one target: accepts or refuses calls and selects those to start.
#pragma once

#include "base/identifier.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace bilberryseam::policy {

/// A call that waits to start.
struct queued_call {
    identifier attempt;
    /// Time after which the call is not started any more.
    time_point deadline;
    /// Larger values start first; equal ones in order of arrival.
    uint8_t priority = 0;
    /// The call runs with no other call at its target.
    bool isIsolated = false;
};

/// Queue and capacity of one target.
struct call_queue {
    uint32_t capacity = 1;
    uint32_t maxWaiting = 64;
    uint32_t running = 0;
    bool isDraining = false;
    bool isDown = false;
    bool isIsolatedRunning = false;
    /// End of the newest pause that the target asked for; no call starts before.
    std::optional<time_point> pausedUntil;
    std::deque<queued_call> waiting;
    /// Exponentially weighted mean run time of calls; zero before the first.
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

/// @return The expected wait of a call that arrives now, in seconds.
[[nodiscard]] double expectedWaitSeconds(const call_queue& queue, time_point now) noexcept;

/// @return The verdict of `admit`, without queueing the call.
[[nodiscard]] admission_verdict checkAdmission(const call_queue& queue, const queued_call& call, time_point now);

/// Queues the call if it is accepted.
[[nodiscard]] admission_verdict admit(call_queue& queue, const queued_call& call, time_point now);

/// Calls that left the queue.
struct dispatch_result {
    /// Their deadline has passed.
    std::vector<queued_call> expired;
    /// They start now.
    std::vector<queued_call> started;
};

/// Removes expired calls and those that may start now from the queue; counts the latter as running.
[[nodiscard]] dispatch_result startCalls(call_queue& queue, time_point now);

/// After a pause, one call runs at a time, and twice as many after each such step, up to the capacity.
constexpr milliseconds returnStep { 500 };

/// @return The calls that may run at a time; zero in a pause.
[[nodiscard]] uint32_t callLimit(const call_queue& queue, time_point now) noexcept;

/// Starts no call before `until`. A pause that already lasts longer stays.
/// @return The waiting calls whose deadlines pass before the end of the pause; they are removed.
[[nodiscard]] std::vector<queued_call> pauseCalls(call_queue& queue, time_point until);

/// Removes a waiting call.
/// @return False if the call is not in the queue.
[[nodiscard]] bool removeCall(call_queue& queue, identifier attempt);

/// Records the end of a running call.
/// @param runSeconds  Its run time; empty if it is not representative of the target's speed.
void finishCall(call_queue& queue, bool wasIsolated, std::optional<double> runSeconds) noexcept;
}
