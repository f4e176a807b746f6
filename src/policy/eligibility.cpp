#include "policy/eligibility.hpp"

#include <algorithm>

namespace bilberryseam::policy {

uint64_t plausibleHeldTokens(uint64_t ofAll, uint64_t ofThisProcess, uint64_t memoryTokens) noexcept
{
    return ofAll / 2 > memoryTokens ? ofThisProcess : std::max(ofAll, ofThisProcess);
}

bool fitsMemory(uint64_t memoryTokens, uint64_t heldTokens, uint64_t neededTokens) noexcept
{
    if (memoryTokens == 0 || neededTokens == 0)
        return true;
    return neededTokens <= memoryTokens && heldTokens <= memoryTokens - neededTokens;
}

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
    if (!fitsMemory(conditions.memoryTokens, conditions.heldTokens, conditions.neededTokens))
        return ineligibility::Memory;
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
    case ineligibility::Memory:
        return "memory";
    case ineligibility::OtherVersion:
        return "other_version";
    case ineligibility::Tried:
        return "tried";
    }
    return "";
}
}
