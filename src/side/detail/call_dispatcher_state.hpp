/// State of the call gate, for its own sources only.
#pragma once

#include "loop/timer.hpp"
#include "side/call_dispatcher.hpp"

namespace bilberryseam::side {

/// One target and the gate before it.
struct call_dispatcher::target_runtime {
    configuration::target target;
    std::shared_ptr<const configuration::service> service;
    policy::call_queue callQueue;
    bool isWithdrawn = false;
    bool isDrainedByOperator = false;
    timer probeTimer;
    std::shared_ptr<void> probeExchange;
};

/// A call from its acceptance to its end.
struct call_dispatcher::active_call {
    identifier session;
    wire::start_call call;
    target_runtime* runtime = nullptr;
    time_point acceptedAt;
    time_point startedAt;
    time_point deadline;
    identifier key;
    bool isClaiming = false;
    bool hasKey = false;
    /// Nobody waits for it any more; it runs to its end for the sake of its key.
    bool isOrphaned = false;
    bool isRunning = false;
    uint32_t outputCount = 0;
    std::unique_ptr<target_call> targetCall;
};

namespace detail {
    /// @return The refusal that an entry is told for a gate's verdict.
    [[nodiscard]] wire::refusal refusalOf(policy::admission_verdict verdict) noexcept;
}
}
