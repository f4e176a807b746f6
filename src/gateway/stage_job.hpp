/// The tasks of one stage of a request.
#pragma once

#include "base/time.hpp"
#include "deployment/deployment.hpp"
#include "platform/batch_call.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bilberryseam::gateway {

/// Outcome of a task.
struct task_outcome {
    /// Handle of the result; empty if there is none.
    std::string handle;
    platform::task_failure failure = platform::task_failure::None;
    /// Predicted time until the pool has room for the job, if it refused it as overloaded.
    milliseconds wait { 0 };
};

/// All tasks of one stage of a request, which a pool runs.
struct stage_job {
    std::string requestId;
    std::string service;
    uint32_t stage = 0;
    uint32_t taskCount = 0;
    std::string taskKey;
    std::vector<std::string> inputs;
    double resultBytes = 0;
    time_point latestStart {};
    time_point deadline {};
    uint32_t rank = 0;
    /// Latency objective of the request; zero if not given.
    milliseconds objective { 0 };
    /// Prompt tokens, plus the output tokens weighted by their price.
    uint64_t weightedTokens = 0;
    /// Failure domain in which the results must be produced; empty if any will do.
    std::string requiredDomain;
    /// Failure domain in which the results should be produced; empty if any will do.
    std::string preferredDomain;
    /// Regions that were permitted when the request was accepted; for a job of another entry, those that the entry permitted when it
    /// sent the job.
    deployment::permitted_regions permittedRegions;
    /// Names of the route and the client account, whose regions in the newest configuration apply as well; may be empty.
    std::string route;
    std::string account;
    /// Cached by `regionsNow`: the permitted regions under this configuration.
    deployment::configuration_ptr regionsConfiguration;
    deployment::permitted_regions regionsNow;
    /// Called once for each task, never from inside the call that adds the job, and not after the job was cancelled.
    std::function<void(uint32_t task, const task_outcome&)> onTaskFinished;

    /// At least one task was sent to a target.
    bool isStarted = false;
    /// Another entry may still run the job, so it is not refused here.
    bool mayRunElsewhere = false;
    /// The results are no longer needed.
    bool isCancelled = false;
    /// Tasks that have finished, so that none is reported twice.
    std::vector<bool> finishedTasks;

    /// @return Whether the result of a task is still needed.
    [[nodiscard]] bool isNeeded(uint32_t task) const { return !isCancelled && task < taskCount && !finishedTasks[task]; }

    /// Reports the outcome of a task.
    /// @return False if the job was cancelled or the outcome was reported before; the result is then unused.
    bool finishTask(uint32_t task, const task_outcome& outcome)
    {
        if (!isNeeded(task))
            return false;
        finishedTasks[task] = true;
        if (const auto callback = onTaskFinished)
            callback(task, outcome);
        return true;
    }
};

using job_ptr = std::shared_ptr<stage_job>;
}
