/// Batch planning for a pool: assigns queued tasks to idle targets.
///
/// Load pattern: a target of a pool runs one batch call at a time, and a call has a high fixed cost, so a full
/// call costs little more than a call with one task. In a burst, tasks must go to idle targets in full calls,
/// those first whose requests can still meet their objective.
///
/// Results occupy memory until their request has received and used all of them. If many requests held some of
/// their results each, memory would be exhausted and no request could finish (a deadlock). Therefore a job is
/// started only if there is memory for all its results, and tasks of started jobs go first.
#pragma once

#include "base/time.hpp"
#include "policy/account_share.hpp"
#include "policy/work_value.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bilberryseam::policy {

/// Whether a task can start early enough for the objective of its request, given the tasks that wait with it.
enum class start_prediction {
    Unknown,
    InTime,
    Late,
};

/// A task that waits for a target.
struct queued_task {
    /// Identifies the stage job that the task belongs to; tasks of one job are kept together if possible.
    uint64_t jobId = 0;
    /// Another task of the job was sent before.
    bool isJobStarted = false;
    /// Latest start at which the request can still meet its latency objective.
    time_point latestStart {};
    time_point queuedAt {};
    double resultBytes = 0;
    /// Priority rank of the request; 0 is the most urgent.
    uint32_t rank = 0;
    /// Priority boost: time by which the task moves ahead of its latest start.
    milliseconds boost { 0 };
    /// Failure domain where the result must be produced because it is too large to move; may be empty.
    std::string_view requiredDomain;
    /// Failure domain that holds most of the inputs; may be empty.
    std::string_view preferredDomain;
    /// The regions in which the task may run, sorted; null if it may run anywhere. The lists must outlive the planning.
    const std::vector<std::string>* permittedRegions = nullptr;
    /// The task is not sent from this time on.
    time_point deadline = time_point::max();
    /// Standing of the request's account; `WithinShare` while the pool is not overloaded.
    share_standing standing = share_standing::WithinShare;
    /// Tasks of the same rank that are queued from this time on do not go before it: by then, later tasks of its rank had been
    /// sent before it for half of its request's objective.
    time_point protectedFrom = time_point::max();
    /// Set by `predictLateJobs`; used only with `batching_rules::isOrderedByRankAndAccount`.
    start_prediction prediction = start_prediction::Unknown;
};

/// A target of the pool, as the planner sees it.
struct pool_target {
    std::string_view failureDomain;
    /// The target is listed and not blocked, and may get a call now.
    bool isIdle = false;
    double freeBytes = 0;
    double totalBytes = 0;
    /// Factor of at least 1 by which the target appears worse than a healthy one.
    double penalty = 1;
    /// Empty if it is not known.
    std::string_view region;
    /// Factor of at least 1 by which a call ends later than at an idle target. It orders idle targets, and does not make them
    /// unhealthy: a target that has just ended a call still states it.
    double busyFactor = 1;
};

/// Tasks that go to a target in one call.
struct task_batch {
    size_t target = 0;
    std::vector<size_t> tasks;
};

/// Delay for each rank in the order by rank and account. The boost by value reaches 2,400 ms; with 100 ms for each rank, a
/// replay of two bursts served a less urgent rank earlier than a more urgent one.
constexpr milliseconds orderedDelayPerRank { 400 };

struct batching_rules {
    /// Most tasks in one call.
    size_t batchSize = 1;
    /// How long a task waits for a target in its preferred failure domain.
    milliseconds preferredDomainWait { 60 };
    /// How long a task waits for a target in its required failure domain.
    milliseconds requiredDomainWait { 400 };
    /// Delay of a task for each step of its priority rank.
    milliseconds delayPerRank { 100 };
    /// Delay of a task whose account is above its share.
    milliseconds delayAboveShare { 400 };
    /// Largest boost by the value of a request.
    milliseconds maxBoost { value_rules().maxBoost };
    /// Orders tasks also by account, as `orderTasks` describes.
    bool isOrderedByRankAndAccount = false;
};

/// Orders tasks by start. Tasks of started jobs go first, so that their results do not occupy memory for long.
///
/// By default, tasks that can still meet their objective follow by latest start, with a delay for each rank and the boost.
///
/// With `isOrderedByRankAndAccount`, tasks that can still meet their objective go before late ones, and in each of these
/// groups, those of accounts far above their share go last. Tasks that are predicted to be late count as late; those that are
/// predicted to be in time go by latest start, since another order could make some of them late. Without a prediction and
/// among late tasks, the order is by latest start with a delay for each rank and the boost:
/// - Of tasks with the same latest start, those of a more urgent rank go first.
/// - Of tasks of equal value, those of accounts above their share go later.
/// - A protected task has at least the boost with which it stays ahead of tasks of its rank and objective that are queued
///   after its protection begins.
[[nodiscard]] std::vector<size_t> orderTasks(std::span<const queued_task> tasks, const batching_rules& rules, time_point now);

/// @return The waiting tasks before which a task of the same rank was sent that had been queued later.
[[nodiscard]] std::vector<size_t> overtakenTasks(std::span<const queued_task> tasks, std::span<const task_batch> batches);

/// @return The calls to send now; no target and no task occurs in two of them.
[[nodiscard]] std::vector<task_batch> planBatches(std::span<const queued_task> tasks, std::span<const pool_target> targets, const batching_rules& rules, time_point now);
}
