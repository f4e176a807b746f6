#include "policy/service_limit.hpp"

#include <algorithm>

namespace bilberryseam::policy {

void recordRefusal(service_limit& limit, const service_state& state, time_point now) noexcept
{
    const bool isExpired = limit.maxUnanswered == 0 || now - limit.refusedAt > serviceLimitLifetime;
    const bool isOverloaded = state.pausing > overloadShare * (state.pausing + state.available);
    if (!isOverloaded || (!isExpired && now - limit.refusedAt < sameOverload))
        return;
    const double present = isExpired ? state.unanswered : std::min<double>(limit.maxUnanswered, state.unanswered);
    limit.maxUnanswered = std::max({ 1.0, static_cast<double>(state.available), present });
    limit.refusedAt = now;
}

void recordServed(service_limit& limit) noexcept
{
    if (limit.maxUnanswered > 0)
        limit.maxUnanswered += 1 / (limit.maxUnanswered * roundsPerStep);
}

bool isFull(const service_limit& limit, double unanswered, time_point now) noexcept
{
    return limit.maxUnanswered > 0 && now - limit.refusedAt <= serviceLimitLifetime && unanswered >= limit.maxUnanswered;
}
}
