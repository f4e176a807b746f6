/// Which waiting pieces go to which target of a pool, and when.
///
/// Load pattern: a pool's target works on one call at a time, and a call has a high price of its own,
/// so that a full call costs little more than one piece. In a burst, pieces must go out in full calls
/// to targets that are idle, those first whose requests can still be answered in time.
///
/// Results take memory until their request has all of them and has used them. If many requests had a part
/// of their results each, all memory would be taken and none could go on. So a request's pieces are begun
/// only if all of them will find memory, and pieces of a request that was begun go first.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace bilberryseam::policy {

/// A piece that waits for a target.
struct queued_task {
    /// Names the stage of the request that it belongs to; such pieces are best kept together.
    uint64_t jobId = 0;
    /// Another piece of its group was sent before.
    bool isJobStarted = false;
    /// Latest start with which its request can still be answered within its objective.
    time_point latestStart {};
    time_point queuedAt {};
    double resultBytes = 0;
    /// Rank of its request; 0 is the most urgent.
    uint32_t rank = 0;
    /// How much earlier it goes than its latest start says.
    milliseconds boost { 0 };
    /// Failure domain in which the result is needed, if it is too large to move; may be empty.
    std::string_view requiredDomain;
    /// Failure domain where most of its inputs are; may be empty.
    std::string_view preferredDomain;
};

/// A target of the pool.
struct pool_target {
    std::string_view failureDomain;
    /// It has no call, is listed and not blocked.
    bool isIdle = false;
    double freeBytes = 0;
    double totalBytes = 0;
    /// Factor of at least 1 by which it seems worse than a sound target.
    double penalty = 1;
};

/// Pieces that go to a target in one call.
struct task_batch {
    size_t target = 0;
    std::vector<size_t> tasks;
};

struct batching_rules {
    size_t batchSize = 1;
    /// How long a piece waits for a target of the failure domain that it prefers.
    milliseconds preferredDomainWait { 60 };
    /// How long a piece waits for a target of the failure domain that it is bound to.
    milliseconds requiredDomainWait { 400 };
    /// How much earlier a piece goes for each step of rank.
    milliseconds delayPerRank { 100 };
};

/// @return Calls to send now; no target and no piece is in two of them.
[[nodiscard]] std::vector<task_batch> planBatches(std::span<const queued_task> tasks, std::span<const pool_target> targets, const batching_rules& rules, time_point now);
}
