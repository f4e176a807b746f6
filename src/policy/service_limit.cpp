#include "policy/service_limit.hpp"

#include <algorithm>

namespace bilberryseam::policy {

void recordRefusal(service_limit& limit, const service_state& state, time_point now) noexcept
{
    const bool isExpired = limit.maxPerTarget == 0 || now - limit.refusedAt > serviceLimitLifetime;
    const bool isOverloaded = state.pausing > overloadShare * (state.pausing + state.available);
    if (!isOverloaded || state.available == 0 || (!isExpired && now - limit.refusedAt < sameOverload))
        return;
    const double present = static_cast<double>(state.unanswered) / state.available;
    limit.maxPerTarget = std::max(1.0, isExpired ? present : std::min(limit.maxPerTarget, present));
    limit.refusedAt = now;
}

void recordServed(service_limit& limit, uint32_t available) noexcept
{
    if (limit.maxPerTarget > 0 && available > 0)
        limit.maxPerTarget += 1 / (limit.maxPerTarget * available * roundsPerStep);
}

bool isFull(const service_limit& limit, const service_state& state, time_point now) noexcept
{
    return limit.maxPerTarget > 0 && state.available > 0 && now - limit.refusedAt <= serviceLimitLifetime && state.unanswered >= limit.maxPerTarget * state.available;
}
}
