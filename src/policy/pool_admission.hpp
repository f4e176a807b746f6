/// Admission of stage jobs to a pool: predicts when the tasks of a job start.
///
/// Load pattern: a burst exceeds the capacity of a pool. Jobs that cannot start before their deadline would wait until
/// then and be refused anyway; callers that learn this at once can return when the queue has room. Jobs that are late but
/// can still start before their deadline are accepted and run after those that can be in time.
#pragma once

#include "base/time.hpp"
#include "policy/batching.hpp"

#include <span>
#include <vector>

namespace bilberryseam::policy {

/// What the prediction knows of a pool.
struct pool_capacity {
    /// For each slot of each usable target, the time at which it is free.
    std::vector<time_point> freeAt;
    size_t batchSize = 1;
    milliseconds callOverhead { 0 };
    double taskMilliseconds = 0;
};

/// Whether a pool accepts a job.
struct job_admission {
    bool isAccepted = true;
    /// Predicted start of the last task of the job.
    time_point startsAt {};
    /// Predicted time until the queue has room for such a job; zero if it is accepted.
    milliseconds wait { 0 };
};

/// Bound without an order: assumes that all waiting tasks run before those of the job.
/// @return True if the tasks start before the deadline in any order.
[[nodiscard]] bool hasRoomInAnyOrder(size_t waitingTasks, size_t ownTasks, const pool_capacity& capacity, time_point deadline, time_point now);

/// Predicts the start of a job's tasks from the queue in its order. Tasks whose deadline passes before their start take no
/// time. The prediction is a lower bound: more urgent tasks may arrive later, and memory for results is not considered, so a
/// job that is refused could not have started.
/// @param tasks     All waiting tasks, with those of the job.
/// @param firstOwn  Index of the first task of the job; the tasks from there on belong to it.
[[nodiscard]] job_admission admitJob(std::span<const queued_task> tasks, size_t firstOwn, const pool_capacity& capacity, const batching_rules& rules, time_point now);
}
