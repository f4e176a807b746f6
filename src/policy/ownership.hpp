/// Which entry works on a pool for all entries.
///
/// Load pattern: several entries each have a few pieces for the same pool. If each sends calls of its own,
/// calls are small and meet each other at the targets. One owner sends full calls and knows who is idle.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace bilberryseam::policy {

/// An entry that may own pools.
struct owner_candidate {
    /// Stable hash of its name.
    uint64_t hash = 0;
    /// Its share of the work, such as its processor share; positive.
    double weight = 1;
};

/// @param pool  Stable hash of the pool's name.
/// @return The indexes of the candidates, the one that should own the pool first; equal in all processes that know the same candidates.
[[nodiscard]] std::vector<size_t> rankOwners(std::span<const owner_candidate> candidates, uint64_t pool);
}
