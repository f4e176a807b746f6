/// Placement: which target runs a request.
///
/// Load pattern: requests that share a prompt prefix arrive within seconds of each other, through any entry. If all
/// entries send them to the same target, in any region, its prefill runs once; sending bytes to another region
/// costs less than a second prefill. A target with too many queued prefill tokens is avoided.
#pragma once

#include "base/time.hpp"
#include "policy/target_load.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace bilberryseam::policy {

/// A target that may run the request.
struct placement_candidate {
    /// Stable hash of the target's identifier.
    uint64_t hash = 0;
    bool isUsable = true;
    bool isInOwnDomain = false;
    bool isInOwnRegion = false;
    /// Calls of this process that run or wait there.
    uint32_t inFlight = 0;
    /// Calls that the target runs at once.
    uint32_t slots = 1;
    /// Prompt tokens of those calls that have not sent an event yet.
    uint64_t queuedPrefillTokens = 0;
    /// Tokens of the request's prompt prefix that are presumably cached at the target.
    uint64_t cachedTokens = 0;
    /// Bytes of the request's inputs that are in other failure domains.
    double remoteInputBytes = 0;
    /// No other target has its software version, so a stream that begins there can hardly be continued.
    bool isOnlyOfVersion = false;
    /// The target is cold: it works more slowly for some seconds, and has no prefix cached.
    bool isCold = false;
    /// Factor of at least 1 by which the target appears worse than a healthy one.
    double penalty = 1;
    /// What the request's prompt costs there, in milliseconds of delay (policy/long_prompts.hpp); only `chooseByLoad` uses it.
    double promptMilliseconds = 0;
    /// Requests and tokens of all gateways; only `chooseByLoad` uses it.
    target_load load;
};

/// Properties of the request that affect its placement.
struct placement_request {
    /// Tokens of the prompt segments that other requests may share.
    uint64_t sharedTokens = 0;
    /// Hash of those segments; zero if there are none.
    uint64_t prefixHash = 0;
};

/// Costs in milliseconds of delay, or their equivalent.
struct placement_costs {
    double otherDomain = 20;
    double otherRegion = 150;
    /// Waiting for the prefill of a thousand queued tokens; only those of this process are counted.
    double thousandQueuedTokens = 40;
    /// Prefill of a thousand shared tokens that are not cached.
    double thousandUncachedTokens = 100;
    /// Fetching a megabyte of inputs from another failure domain.
    double remoteInputMegabyte = 39;
    /// A stream at a target whose software version no other target has.
    double onlyOfVersion = 60;
    /// A cold target. It exceeds the cost of a warm one in another region at which calls of this process occupy all slots but
    /// one (150 + 63 x 4), so that warm targets are preferred until they are full.
    double cold = 450;
    /// Each other call in flight.
    double inFlight = 4;
    /// Each other call in flight if calls of this process alone occupy all slots.
    double inFlightWhenFull = 40;
    /// A target that appears twice as bad as a healthy one.
    double penalty = 200;
};

/// @return The index of the usable candidate with the lowest cost; empty if none is usable.
[[nodiscard]] std::optional<size_t> chooseTarget(std::span<const placement_candidate> candidates, const placement_request& request, const placement_costs& costs);

/// @return The expected delay at a candidate, in milliseconds.
[[nodiscard]] double costOf(const placement_candidate& candidate, const placement_request& request, const placement_costs& costs) noexcept;

/// The parts of the expected delay at a candidate, in milliseconds.
struct cost_terms {
    /// Calls and prompt tokens there, with the penalty for failures.
    double load = 0;
    /// Shared prompt tokens that are not cached there.
    double uncachedPrefix = 0;
    double remoteInputs = 0;
    double cold = 0;
    double onlyOfVersion = 0;
    /// What the prompt costs the streams there and the request itself.
    double prompt = 0;
    double distance = 0;

    [[nodiscard]] double sum() const noexcept { return load + uncachedPrefix + remoteInputs + cold + onlyOfVersion + prompt + distance; }
};

/// @return The parts whose sum is `costOf`.
[[nodiscard]] cost_terms costTermsOf(const placement_candidate& candidate, const placement_request& request, const placement_costs& costs) noexcept;

/// @return The usable candidate with the highest rendezvous hash for the prefix; equal in all processes.
[[nodiscard]] std::optional<size_t> preferredTarget(std::span<const placement_candidate> candidates, uint64_t prefixHash);

/// Properties of a request and of the figures by which `chooseByLoad` decides.
struct load_placement_request {
    /// Hash of the gateway's name and the request. It breaks near ties, so that many gateways that decide by the same figures
    /// do not all choose the same target.
    uint64_t tieHash = 0;
    /// Estimate of the requests that the other gateways have sent to the service since the figures were taken.
    double unseenSends = 0;
    /// Age of the figures.
    microseconds figureAge { 0 };
    /// Share of the sends to the service that have the prefix of the request, from 0 to 1.
    double prefixShare = 0;
    /// Prefixes move by the mean load of half a minute (`target_load::usualRequests`), not by the load now.
    bool isByTrend = false;
};

/// Costs in milliseconds of delay.
struct load_costs {
    /// Delay by each other request at a target that runs all of them at once: its share of the steps, and of the chunks of
    /// its prefill between them.
    double otherRequest = 60;
    /// Delay by each request that waits for a slot; a target completes about 2.5 requests a second.
    double waitingRequest = 400;
    /// Prompt tokens that a sent request has to have read on the average; for sends that no figure contains yet.
    double typicalUncachedTokens = 3000;
    double otherDomain = 3;
    /// Two crossings of 8 ms, and the price of the bytes.
    double otherRegion = 30;
    double remoteInputMegabyte = 39;
    double onlyOfVersion = 60;
    /// A target that is cold.
    double cold = 450;
    /// A target that appears twice as bad as a healthy one.
    double penalty = 200;
    /// A prefix whose prefill takes less than this is not kept on few targets; by trend, it moves first from a busy target.
    double minPrefixMilliseconds = 40;
    /// Costs that differ by less than this are near ties.
    double nearTie = 20;
    /// Mean requests of the last seconds, relative to the mean target, from which a target gets no prefix of which requests are
    /// a large part of a target's load. For other prefixes, the bound is higher by up to the range.
    double usualBound = 1.25;
    double usualRange = 0.8;
    /// The same for prefixes whose prefill takes less than `minPrefixMilliseconds`: they move first.
    double shortUsualBound = 1.05;
    /// Load of a prefix, relative to the mean target, from which the bound is the lowest.
    double popularLoad = 0.55;
    /// Further targets of a prefix for each unit of its load.
    double targetsPerLoad = 1;
    /// Delay behind the mean target for which a target keeps a prefix; 0.8 to 1.2 times of it, by request.
    double longestDelay = 950;
};

/// A target chosen by the load of all gateways.
struct load_choice {
    size_t index = 0;
    /// Tokens of the prompt that are presumably cached there.
    uint64_t cachedTokens = 0;
    /// Expected delay by the load there, and of the mean target of the service.
    double loadMilliseconds = 0;
    double meanMilliseconds = 0;
    /// The target is the first, or a further one, in the ranking for the request's prefix.
    bool isForPrefix = false;
};

/// A shared prefix goes to the first targets of its ranking, as many as its own load needs, that are not busier than the mean
/// target by more than a bound; other requests go to the targets with the least load.
/// @return Empty if no candidate is usable.
[[nodiscard]] std::optional<load_choice> chooseByLoad(std::span<const placement_candidate> candidates, const placement_request& request, const load_placement_request& load, const load_costs& costs);

/// The parts of the expected delay of the usable candidates by which `chooseByLoad` decides, for display.
/// @return For each candidate; all zero for one that is not usable.
[[nodiscard]] std::vector<cost_terms> loadTermsOf(std::span<const placement_candidate> candidates, const placement_request& request, const load_placement_request& load, const load_costs& costs);
}
