/// Internal state of the call dispatcher.
#pragma once

#include "loop/timer.hpp"
#include "side/call_dispatcher.hpp"

namespace bilberryseam::side {

/// One target with its call queue.
struct call_dispatcher::target_runtime {
    configuration::target target;
    std::shared_ptr<const configuration::service> service;
    policy::call_queue callQueue;
    bool isWithdrawn = false;
    bool isDrainedByOperator = false;
    timer probeTimer;
    /// Runs during the pause that the target asked for, and while calls return.
    timer pauseTimer;
    std::shared_ptr<http1::client_call> probeExchange;
};

/// An accepted call that has not finished.
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
    /// Cancelled or expired while running; it runs to its end so that its response is stored under its key.
    bool isOrphaned = false;
    bool isRunning = false;
    uint32_t outputCount = 0;
    time_point firstOutputAt {};
    /// The call went on for so long after its first output, or ended so, that it cannot have crashed its target.
    bool hasSurvived = false;

    [[nodiscard]] std::vector<uint64_t> segments() const
    {
        std::vector<uint64_t> list;
        for (const auto& item : call.segments)
            list.push_back(item.segment);
        return list;
    }
    std::unique_ptr<target_call> targetCall;
};

namespace detail {
    /// @return The refusal that is sent to an entry for a verdict of the call queue.
    [[nodiscard]] wire::refusal refusalOf(policy::admission_verdict verdict) noexcept;
}
}
