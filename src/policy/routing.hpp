/// Which target a call goes to.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string_view>

namespace bilberryseam::policy {

/// A target as a router sees it. Views live as long as the call.
struct routing_candidate {
    std::string_view name;
    /// Stable hash of the name.
    uint64_t hash = 0;
    bool isInOwnRegion = true;
    /// The link is up, the target is neither leaving nor down, and was not tried before.
    bool isEligible = true;
    /// Wait that the target's side last reported, in seconds.
    double reportedWaitSeconds = 0;
    /// Calls that this process has sent there and that have not ended.
    uint32_t inFlight = 0;
    /// Calls that the side last reported from all entries.
    uint32_t reportedLoad = 0;
    uint32_t capacity = 1;
    /// Mean time that calls ran there lately, in seconds; zero if not known.
    double meanRunSeconds = 0;
    /// Price of one GiB from here to the target's region.
    double pricePerGib = 0;
};

/// How to weigh time against money.
struct routing_weights {
    /// Worth of a second of expected wait.
    double attainment = 1;
    /// Worth of one unit of price.
    double cost = 1;
};

/// What is known of the call.
struct routing_request {
    /// Bytes that will travel to the target and back.
    double bytes = 0;
    /// Hash of the shared prompt prefix; zero if there is none.
    uint64_t prefixHash = 0;
    /// Mean run time of this stage, in seconds.
    double meanRunSeconds = 0;
    /// Time that the deadline can spare at this stage: a gain below it is not worth leaving the region.
    double slackSeconds = 0;
};

/// Plain baseline: round robin among eligible targets of the own region, else of all regions.
/// @param turn  Counter that the caller keeps.
[[nodiscard]] std::optional<size_t> chooseRoundRobin(std::span<const routing_candidate> candidates, uint64_t& turn);

/// The target of a call that may not be repeated: repeats of a key meet the same target while it is up.
[[nodiscard]] std::optional<size_t> chooseByKey(std::span<const routing_candidate> candidates, uint64_t keyHash);

/// Expected wait plus price of bytes, over all candidates, ties broken at random; prefix affinity with bounded load.
[[nodiscard]] std::optional<size_t> chooseByCost(std::span<const routing_candidate> candidates, const routing_request& request, const routing_weights& weights, std::mt19937_64& random);
}
