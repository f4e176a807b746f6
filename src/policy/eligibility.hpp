/// Whether a request or task may use a target now, and the reason if it may not.
///
/// Load pattern: requests that may not leave their region, and failure domains that an operator empties while requests
/// arrive. Placement, batch planning, retries and second runs apply the same rules, and logs give the same reasons.
#pragma once

#include "policy/cold_start.hpp"
#include "policy/pause.hpp"
#include "policy/rate_limit.hpp"
#include "policy/target_health.hpp"

#include <cstdint>
#include <string_view>

namespace bilberryseam::policy {

/// Why a request may not use a target, in the order in which the reasons are checked.
enum class ineligibility {
    None,
    /// The target is in no region that the request's route and account permit.
    OutsideRegions,
    /// The failure domain of the target is evacuated.
    Evacuated,
    /// Another target responds at its address.
    Replaced,
    Leaving,
    Paused,
    /// Calls to the target failed a moment ago.
    Blocked,
    /// After a pause, the number of unanswered requests is bounded.
    Returning,
    /// The target's stated limit is used up for now.
    Limited,
    Cold,
    /// The request does not fit into the memory of the target beside those that it holds.
    Memory,
    /// Another software version began the stream.
    OtherVersion,
    /// The request was sent to the target before.
    Tried,
};

/// What decides whether a request may use a target.
struct target_conditions {
    bool isInPermittedRegion = true;
    bool isEvacuated = false;
    bool isReplaced = false;
    bool isLeaving = false;
    /// A null pointer means that nothing is known that speaks against the target.
    const target_pause* pause = nullptr;
    const target_health* health = nullptr;
    const rate_limit* limit = nullptr;
    const cold_start* coldStart = nullptr;
    /// Tokens that the target can hold; zero if that is not known.
    uint64_t memoryTokens = 0;
    /// Tokens of the requests that it holds, waiting ones included.
    uint64_t heldTokens = 0;
    /// Tokens that the request may need.
    uint64_t neededTokens = 0;
    bool isOtherVersion = false;
    bool isTried = false;
};

/// @return The tokens that a target holds: the count of all gateways, or that of this process alone if the former is more than
/// twice the memory, which no target holds. A faulty count must not silence a target.
[[nodiscard]] uint64_t plausibleHeldTokens(uint64_t ofAll, uint64_t ofThisProcess, uint64_t memoryTokens) noexcept;

/// @return Whether a request fits into the memory; true if the memory or the need is not known.
[[nodiscard]] bool fitsMemory(uint64_t memoryTokens, uint64_t heldTokens, uint64_t neededTokens) noexcept;

/// @return The first reason for which a request may not use the target now, or `None`.
[[nodiscard]] ineligibility reasonAgainst(const target_conditions& conditions, time_point now) noexcept;

/// @return The stable name of a reason, used in logs.
[[nodiscard]] std::string_view nameOf(ineligibility reason) noexcept;
}
