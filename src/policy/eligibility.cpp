#include "policy/eligibility.hpp"

namespace bilberryseam::policy {

ineligibility reasonAgainst(const target_conditions& conditions, time_point now) noexcept
{
    if (!conditions.isInPermittedRegion)
        return ineligibility::OutsideRegions;
    if (conditions.isEvacuated)
        return ineligibility::Evacuated;
    if (conditions.isReplaced)
        return ineligibility::Replaced;
    if (conditions.isLeaving)
        return ineligibility::Leaving;
    if (conditions.pause && isPaused(*conditions.pause, now))
        return ineligibility::Paused;
    if (conditions.health && !isUsable(*conditions.health, now))
        return ineligibility::Blocked;
    if (conditions.pause && !mayReturn(*conditions.pause, now))
        return ineligibility::Returning;
    if (conditions.limit && !canSend(*conditions.limit, now))
        return ineligibility::Limited;
    if (conditions.coldStart && !canSend(*conditions.coldStart, now))
        return ineligibility::Cold;
    if (conditions.isOtherVersion)
        return ineligibility::OtherVersion;
    return conditions.isTried ? ineligibility::Tried : ineligibility::None;
}

std::string_view nameOf(ineligibility reason) noexcept
{
    switch (reason) {
    case ineligibility::None:
        return "";
    case ineligibility::OutsideRegions:
        return "outside_regions";
    case ineligibility::Evacuated:
        return "evacuated";
    case ineligibility::Replaced:
        return "replaced";
    case ineligibility::Leaving:
        return "leaving";
    case ineligibility::Paused:
        return "paused";
    case ineligibility::Blocked:
        return "blocked";
    case ineligibility::Returning:
        return "returning";
    case ineligibility::Limited:
        return "limited";
    case ineligibility::Cold:
        return "cold";
    case ineligibility::OtherVersion:
        return "other_version";
    case ineligibility::Tried:
        return "tried";
    }
    return "";
}
}
