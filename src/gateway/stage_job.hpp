/// The pieces of one stage of a request.
#pragma once

#include "base/time.hpp"
#include "platform/stages.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bilberryseam::gateway {

/// How a piece ended.
struct task_outcome {
    /// Where its result is kept; empty if it has none.
    std::string handle;
    platform::piece_failure failure = platform::piece_failure::None;
};

/// All pieces of one stage, to be made by a pool.
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
    /// Tokens that the request asks to read and make; those to be made count by their price.
    uint64_t weightedTokens = 0;
    /// Failure domains in which the results must, or should, be made; may be empty.
    std::string requiredDomain;
    std::string preferredDomain;
    /// Called once for each piece, never from inside the call that adds the job, and not after the job was dropped.
    std::function<void(uint32_t task, const task_outcome&)> onTaskFinished;

    /// A piece was sent to a target.
    bool isStarted = false;
    /// Nobody needs the results any more.
    bool isCancelled = false;
    /// Pieces that have ended, so that none is reported twice.
    std::vector<bool> finishedTasks;

    /// Reports the end of a piece unless it was reported before.
    /// @return False if nobody wants it.
    bool finishTask(uint32_t task, const task_outcome& outcome)
    {
        if (isCancelled || task >= taskCount || finishedTasks[task])
            return false;
        finishedTasks[task] = true;
        if (const auto callback = onTaskFinished)
            callback(task, outcome);
        return true;
    }
};

using job_ptr = std::shared_ptr<stage_job>;
}
