/// Admission of stage jobs to a pool: predicts when the tasks of a job start.
///
/// Load pattern: a burst exceeds the capacity of a pool. Jobs that cannot start before their deadline would wait until
/// then and be refused anyway; callers that learn this at once can return when the queue has room. Jobs that are late but
/// can still start before their deadline are accepted and run after those that can be in time.
///
/// In order of urgency alone, a burst makes many requests a little late. `predictLateJobs` selects the ones that are late, so
/// that the others are in time. Later arrivals change the order, so `jobsWithoutStart` predicts waiting jobs again.
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
    /// Predicted time until all tasks that wait have started; zero if the job is accepted.
    milliseconds queueTime { 0 };
};

/// A waiting job that cannot start before its deadline.
struct late_job {
    uint64_t jobId = 0;
    job_admission admission;
};

/// Shortest time between two predictions of the waiting jobs of a pool.
constexpr milliseconds repredictionInterval { 100 };

/// Largest wait, and largest spread of waits, that callers are told.
constexpr milliseconds maxReturnTime { 10000 };

/// Bound without an order: assumes that all waiting tasks run before those of the job.
/// @return True if the tasks start before the deadline in any order.
[[nodiscard]] bool hasRoomInAnyOrder(size_t waitingTasks, size_t ownTasks, const pool_capacity& capacity, time_point deadline, time_point now);

/// Predicts which of the waiting jobs can be in time, and sets `queued_task::prediction` of their tasks. If not all can be, jobs
/// are left out until the others can: first those of accounts far above their share, then by boost less the delays for rank
/// and account, lowest first. A protected job is left out after those of its rank that are not protected. Of jobs with the
/// same latest start, the less urgent one is left out first unless its account is within its share and the other's is far
/// above. Has no effect unless `batching_rules::isOrderedByRankAndAccount` is set.
void predictLateJobs(std::span<queued_task> tasks, const pool_capacity& capacity, const batching_rules& rules, time_point now);

/// Predicts the start of a job's tasks from the queue in its order. Tasks whose deadline passes before their start take no
/// time. The prediction is a lower bound: more urgent tasks may arrive later, and memory for results is not considered, so a
/// job that is refused could not have started.
/// @param tasks     All waiting tasks, with those of the job.
/// @param firstOwn  Index of the first task of the job; the tasks from there on belong to it.
[[nodiscard]] job_admission admitJob(std::span<const queued_task> tasks, size_t firstOwn, const pool_capacity& capacity, const batching_rules& rules, time_point now);

/// Predicts waiting jobs again. Jobs that it returns take no time of the pool, so that those behind them are not refused
/// because of them. It costs one sort of the tasks.
/// @return The jobs of which no task has started and whose last task would start at or after the deadline.
[[nodiscard]] std::vector<late_job> jobsWithoutStart(std::span<const queued_task> tasks, const pool_capacity& capacity, const batching_rules& rules, time_point now);

/// @param position  From 0 to 1; differs between the callers that are refused.
/// @return When a caller should return, spread over the time that the queue needs. At most twice `maxReturnTime`.
[[nodiscard]] milliseconds returnTimeOf(const job_admission& refusal, double position);
}
