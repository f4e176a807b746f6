/// Routing: which target a call goes to.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string_view>

namespace bilberryseam::policy {

/// A target that the call may go to. The name must outlive the candidate.
struct routing_candidate {
    std::string_view name;
    /// Stable hash of the name.
    uint64_t hash = 0;
    bool isInOwnRegion = true;
    /// The link is up, and the target is neither draining nor down and was not tried before.
    bool isEligible = true;
    /// Expected wait in the side's last report, in seconds.
    double reportedWaitSeconds = 0;
    /// Calls of this process that have not ended there.
    uint32_t inFlight = 0;
    /// Calls of all entries in the side's last report.
    uint32_t reportedLoad = 0;
    uint32_t capacity = 1;
    /// Recent mean run time of calls there, in seconds; zero if unknown.
    double meanRunSeconds = 0;
    /// Price of one GiB from here to the target's region.
    double pricePerGib = 0;
};

/// Weights of time and price.
struct routing_weights {
    /// Score of one second of expected time.
    double attainment = 1;
    /// Score of one unit of price.
    double cost = 1;
};

/// Properties of the call that affect its routing.
struct routing_request {
    /// Bytes that will travel to the target and back.
    double bytes = 0;
    /// Hash of the shared prompt prefix; zero if there is none.
    uint64_t prefixHash = 0;
    /// Mean run time of this stage, in seconds.
    double meanRunSeconds = 0;
    /// Slack of the deadline at this stage; the call leaves its region only to gain more time than this.
    double slackSeconds = 0;
};

/// Baseline: round robin among eligible targets of the own region, else of all regions.
/// @param turn  Counter that the caller keeps between calls.
[[nodiscard]] std::optional<size_t> chooseRoundRobin(std::span<const routing_candidate> candidates, uint64_t& turn);

/// Chooses the target of a call that may run only once: duplicates of a key reach the same target while it is eligible.
[[nodiscard]] std::optional<size_t> chooseByKey(std::span<const routing_candidate> candidates, uint64_t keyHash);

/// Chooses the target with the lowest weighted sum of expected time and price over all regions; breaks ties at random.
/// A request with a shared prefix goes to the prefix's affinity target while the load of that target is bounded.
[[nodiscard]] std::optional<size_t> chooseByCost(std::span<const routing_candidate> candidates, const routing_request& request, const routing_weights& weights, std::mt19937_64& random);
}
