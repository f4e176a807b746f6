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
struct waiting_piece {
    /// Names the stage of the request that it belongs to; such pieces are best kept together.
    uint64_t group = 0;
    /// Another piece of its group was sent before.
    bool isBegun = false;
    /// Latest start with which its request can still be answered within its objective.
    time_point latestStart {};
    time_point since {};
    double resultBytes = 0;
    /// Rank of its request; 0 is the most urgent.
    uint32_t rank = 0;
    /// How much earlier it goes than its latest start says.
    milliseconds lead { 0 };
    /// Failure domain in which the result is needed, if it is too large to move; may be empty.
    std::string_view boundTo;
    /// Failure domain where most of its inputs are; may be empty.
    std::string_view preferred;
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
struct piece_batch {
    size_t target = 0;
    std::vector<size_t> pieces;
};

struct batching_rules {
    size_t batch = 1;
    /// How long a piece waits for a target of the failure domain that it prefers.
    milliseconds patience { 60 };
    /// How long a piece waits for a target of the failure domain that it is bound to.
    milliseconds bulkyPatience { 400 };
    /// How much earlier a piece goes for each step of rank.
    milliseconds rankLead { 100 };
};

/// @return Calls to send now; no target and no piece is in two of them.
[[nodiscard]] std::vector<piece_batch> planBatches(std::span<const waiting_piece> pieces, std::span<const pool_target> targets, const batching_rules& rules, time_point now);
}
