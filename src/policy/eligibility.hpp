/// Whether a request or task may use a target now, and the reason if it may not.
///
/// Load pattern: requests that may not leave their region, and failure domains that an operator empties while requests
/// arrive. Placement, batch planning, retries and second runs apply the same rules, and logs give the same reasons.
#pragma once

#include "policy/cold_start.hpp"
#include "policy/pause.hpp"
#include "policy/rate_limit.hpp"
#include "policy/target_health.hpp"

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
    bool isOtherVersion = false;
    bool isTried = false;
};

/// @return The first reason for which a request may not use the target now, or `None`.
[[nodiscard]] ineligibility reasonAgainst(const target_conditions& conditions, time_point now) noexcept;

/// @return The stable name of a reason, used in logs.
[[nodiscard]] std::string_view nameOf(ineligibility reason) noexcept;
}
