/// Whether nothing speaks against sending work to a target, apart from regions and evacuations.
#pragma once

#include "gateway/target_registry.hpp"
#include "policy/eligibility.hpp"

namespace bilberryseam::tests {

[[nodiscard]] inline bool mayGetWork(const gateway::target_state& target, time_point now) noexcept
{
    policy::target_conditions conditions;
    conditions.isReplaced = target.isReplaced;
    conditions.isLeaving = target.isRemoved || target.isLeaving || target.listed.isDraining;
    conditions.pause = &target.pause;
    conditions.health = &target.health;
    conditions.limit = &target.limit;
    conditions.coldStart = &target.coldStart;
    return policy::reasonAgainst(conditions, now) == policy::ineligibility::None;
}
}
