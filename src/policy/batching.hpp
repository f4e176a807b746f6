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

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace bilberryseam::policy {

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
    /// The task is not sent from this time on.
    time_point deadline = time_point::max();
    /// Standing of the request's account; `WithinShare` while the pool is not overloaded.
    share_standing standing = share_standing::WithinShare;
    /// Later tasks of its rank have been sent before it for more than half of its request's objective.
    bool isOvertakenTooLong = false;
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
};

/// Tasks that go to a target in one call.
struct task_batch {
    size_t target = 0;
    std::vector<size_t> tasks;
};

struct batching_rules {
    /// Most tasks in one call.
    size_t batchSize = 1;
    /// How long a task waits for a target in its preferred failure domain.
    milliseconds preferredDomainWait { 60 };
    /// How long a task waits for a target in its required failure domain.
    milliseconds requiredDomainWait { 400 };
    /// Delay of a task for each step of its priority rank.
    milliseconds delayPerRank { 100 };
    /// Orders tasks by rank, account and boost, in this order of precedence, as `orderTasks` describes.
    bool isOrderedByRankAndAccount = false;
    /// A job that was overtaken for too long and is late, or whose account is far above its share, goes before the others.
    bool isOvertakenJobDue = false;
};

/// Share of a pool's tasks that is kept for jobs that would otherwise starve: those that were overtaken for too long and
/// are late, or whose account is far above its share.
struct overtaken_reserve {
    /// Tasks that such jobs may still send.
    double credit = 0;
};

/// Records calls that are sent. Credit is collected only while jobs wait that need it.
void recordBatches(overtaken_reserve& reserve, std::span<const queued_task> tasks, std::span<const task_batch> batches, time_point now);

/// @return True if a job that was overtaken for too long should be started.
[[nodiscard]] bool isReserveDue(const overtaken_reserve& reserve) noexcept;

/// @return True if only the reserve, or an idle target, can start the task.
[[nodiscard]] bool needsReserve(const queued_task& task, time_point now) noexcept;

/// Orders tasks by start. Tasks of started jobs go first, so that their results do not occupy memory for long.
///
/// By default, tasks that can still meet their objective follow by latest start, with a delay for each rank and the boost.
///
/// With `isOrderedByRankAndAccount`, tasks that can still meet their objective go before late ones, and in each of these
/// groups, those of accounts far above their share go last. In the resulting groups:
/// - A task of a more urgent rank is never after one of a less urgent rank whose latest start is the same or later.
/// - Within a rank, tasks that were overtaken for too long go first, in order of arrival. Then tasks of accounts within
///   their share go before those above it, then by latest start less the boost.
[[nodiscard]] std::vector<size_t> orderTasks(std::span<const queued_task> tasks, const batching_rules& rules, time_point now);

/// @return The waiting tasks before which a task of the same rank was sent that had been queued later.
[[nodiscard]] std::vector<size_t> overtakenTasks(std::span<const queued_task> tasks, std::span<const task_batch> batches);

/// @return The calls to send now; no target and no task occurs in two of them.
[[nodiscard]] std::vector<task_batch> planBatches(std::span<const queued_task> tasks, std::span<const pool_target> targets, const batching_rules& rules, time_point now);
}
