/// Pool ownership: which entry schedules the tasks of a pool for all entries.
///
/// Load pattern: in a large deployment most entries are small, and together they outweigh the few large ones, although each
/// of them is too small for the work of a pool. An owner that has no processor time left delays the requests of all entries.
/// Only entries of at least `minOwnerShare` of the largest weight are preferred.
///
/// Load pattern: several entries each have a few tasks for the same pool. If each sent its own calls, the calls would
/// be small and compete for the same targets. A single owner sends full calls and tracks which targets are idle.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace bilberryseam::policy {

/// An entry that may own pools.
struct owner_candidate {
    /// Stable hash of the entry's name.
    uint64_t hash = 0;
    /// Relative capacity, such as the entry's processor share; positive.
    double weight = 1;
};

/// Entries with less than this share of the largest weight rank behind all others.
constexpr double minOwnerShare = 0.5;

/// How long jobs wait at most for an owner whose connection was lost and whose process may be late only.
constexpr milliseconds ownerReturnTime { 900 };

/// When a job of an owner that may return also runs elsewhere. A second run takes capacity from other jobs, so it begins
/// only when waiting longer would make the job late; one that is late anyway waits for the whole time.
/// @param lostAt       When the connection was lost.
/// @param latestStart  When the job must start to be in time.
[[nodiscard]] time_point secondRunAt(time_point lostAt, time_point latestStart) noexcept;

/// Place of one candidate in the ranking for a pool.
struct owner_place {
    bool isSmall = false;
    double score = 0;
    uint64_t hash = 0;
};

/// @param largestWeight  Largest weight of all candidates.
[[nodiscard]] owner_place placeOf(const owner_candidate& candidate, uint64_t pool, double largestWeight) noexcept;

/// @return Whether the first candidate is preferred. A ranking by this order is the one of `rankOwners`, so that it can be kept
/// up to date without computing the places of all candidates again.
[[nodiscard]] bool ranksBefore(const owner_place& left, const owner_place& right) noexcept;

/// @param pool  Stable hash of the pool's name.
/// @return The indexes of the candidates, preferred owner first; equal in all processes with the same candidates.
[[nodiscard]] std::vector<size_t> rankOwners(std::span<const owner_candidate> candidates, uint64_t pool);
}
