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
struct waiting_call {
    identifier attempt;
    /// When the call is no longer worth starting.
    time_point deadline;
    /// Larger goes first; equal priorities in order of arrival.
    uint8_t priority = 0;
    /// Runs with nothing beside it.
    bool isAlone = false;
};

/// The gate before one target.
struct gate {
    uint32_t capacity = 1;
    uint32_t maxQueue = 64;
    uint32_t running = 0;
    bool isLeaving = false;
    bool isDown = false;
    bool isAloneRunning = false;
    std::deque<waiting_call> queue;
    /// Exponentially weighted mean of how long calls run; zero before the first.
    double meanRunSeconds = 0;
};

enum class gate_verdict {
    Accept,
    Leaving,
    Down,
    QueueFull,
    /// The call could not start before its deadline.
    Hopeless,
};

/// @return How long a call that arrives now is expected to wait, in seconds.
[[nodiscard]] double expectedWaitSeconds(const gate& gate) noexcept;

/// @return What `admit` would say; changes nothing.
[[nodiscard]] gate_verdict checkAdmission(const gate& gate, const waiting_call& call, time_point now);

/// Queues a call or says why not.
[[nodiscard]] gate_verdict admit(gate& gate, const waiting_call& call, time_point now);

/// What may start now, and what waited too long.
struct gate_step {
    std::vector<waiting_call> expired;
    std::vector<waiting_call> started;
};

/// Takes from the queue whatever may start now; counts it as running.
[[nodiscard]] gate_step startCalls(gate& gate, time_point now);

/// Removes a waiting call.
/// @return False if it does not wait here.
[[nodiscard]] bool withdraw(gate& gate, identifier attempt);

/// A running call ended.
/// @param ranSeconds  How long it ran; nothing if that says nothing about the target's speed.
void finishCall(gate& gate, bool wasAlone, std::optional<double> ranSeconds) noexcept;
}
