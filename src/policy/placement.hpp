/// Which target runs a request.
///
/// Load pattern: requests that share the beginning of a prompt come again within seconds, through any entry. If
/// all entries send them to one target, wherever it is, the beginning is read once; bytes to another region
/// cost less than reading it again. A target that has too much to read is left alone.
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
    bool isInOwnDomain = false;
    bool isInOwnRegion = false;
    /// Calls of this process that run or wait there, and how many the target runs at once.
    uint32_t inFlight = 0;
    uint32_t slots = 1;
    /// Prompt tokens of those calls that no event has followed yet.
    uint64_t queuedPrefillTokens = 0;
    /// Tokens of the request's prompt that the target has read before, as far as known.
    uint64_t cachedTokens = 0;
    /// Bytes of the request's inputs that lie in other failure domains.
    double remoteInputBytes = 0;
    /// Factor of at least 1 by which it seems worse than a sound target.
    double penalty = 1;
};

/// What is known of the request.
struct placement_request {
    /// Tokens of the parts that other requests share.
    uint64_t sharedTokens = 0;
    /// Hash of those parts; zero if there are none.
    uint64_t prefixHash = 0;
};

/// Costs in milliseconds of delay, or what is worth as much.
struct placement_costs {
    double otherDomain = 20;
    double otherRegion = 150;
    /// Waiting until a thousand tokens of others are read, of which this process knows its own.
    double thousandQueuedTokens = 40;
    /// Reading a thousand shared tokens once more.
    double thousandUncachedTokens = 100;
    /// Fetching a megabyte of inputs from another failure domain.
    double remoteInputMegabyte = 39;
    /// A call beside others.
    double inFlight = 4;
    /// A call where all places are taken, by the calls of this process alone.
    double inFlightWhenFull = 40;
    /// A target that seems twice as bad as a sound one.
    double penalty = 200;
};

/// @return The index of the best candidate, or nothing if none is usable.
[[nodiscard]] std::optional<size_t> chooseTarget(std::span<const placement_candidate> candidates, const placement_request& request, const placement_costs& costs);

/// @return The expected delay at a candidate, in milliseconds.
[[nodiscard]] double costOf(const placement_candidate& candidate, const placement_request& request, const placement_costs& costs) noexcept;

/// @return The usable candidate that all processes prefer for the shared parts, by rendezvous hashing.
[[nodiscard]] std::optional<size_t> preferredTarget(std::span<const placement_candidate> candidates, uint64_t prefixHash);
}
