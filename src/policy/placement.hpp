/// Which target runs a request.
///
/// Load pattern: requests that share the beginning of a prompt come again within seconds. A target that has
/// read it before answers sooner and delays the others less, unless too many gather there. Targets of other
/// failure domains and regions cost bytes and time.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <optional>
#include <span>

namespace bilberryseam::policy {

/// A target as the placement sees it.
struct placement_candidate {
    /// Stable hash of the target's identifier.
    uint64_t hash = 0;
    bool isUsable = true;
    bool isOwnDomain = false;
    bool isOwnRegion = false;
    /// Calls of this process that run or wait there, and how many the target runs at once.
    uint32_t inFlight = 0;
    uint32_t slots = 1;
    /// Prompt tokens of those calls that no event has followed yet.
    uint64_t unreadTokens = 0;
    /// Tokens of the request's prompt that the target has read before, as far as known.
    uint64_t knownTokens = 0;
    /// Factor of at least 1 by which it seems worse than a sound target.
    double penalty = 1;
};

/// What is known of the request.
struct placement_request {
    uint64_t promptTokens = 0;
    /// Hash of the part of the prompt that is shared most widely; zero if there is none.
    uint64_t prefixHash = 0;
};

/// Costs in milliseconds of expected delay.
struct placement_costs {
    double otherDomain = 250;
    double otherRegion = 350;
    /// Reading a thousand tokens.
    double thousandTokens = 20;
    /// A call beside others.
    double inFlight = 4;
    /// Being not the target that all entries choose for a prefix.
    double notPreferred = 60;
};

/// @return The index of the best candidate, or nothing if none is usable.
[[nodiscard]] std::optional<size_t> chooseTarget(std::span<const placement_candidate> candidates, const placement_request& request, const placement_costs& costs);

/// @return The expected delay at a candidate, in milliseconds.
[[nodiscard]] double costOf(const placement_candidate& candidate, const placement_request& request, const placement_costs& costs, bool isPreferred) noexcept;
}
