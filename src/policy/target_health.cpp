#include "policy/target_health.hpp"

#include <algorithm>

namespace bilberryseam::policy {

namespace {
    /// Weight of the newest sample in the exponential means.
    constexpr double newestWeight = 0.3;

    /// The block time doubles with each consecutive failure, within these limits.
    constexpr milliseconds minBlock { 250 };
    constexpr milliseconds maxBlock { 4000 };
    constexpr milliseconds unreachableBlock { 1000 };
    constexpr milliseconds fullBlock { 60 };

    /// Consecutive failures after which a target is blocked.
    constexpr uint32_t blockThreshold = 2;

    /// Extra cost of a failed call, in calls.
    constexpr double failureCost = 4;

    void blend(double& value, double sample) noexcept
    {
        value += newestWeight * (sample - value);
    }
}

void recordSuccess(target_health& health, double slowness, time_point now) noexcept
{
    blend(health.slowness, slowness);
    blend(health.failureRate, 0);
    health.consecutiveFailures = 0;
    health.unreachableAt.reset();
    health.blockedUntil = {};
    health.changedAt = now;
}

void recordFailure(target_health& health, call_failure failure, time_point now) noexcept
{
    health.changedAt = now;
    if (failure == call_failure::Full) {
        health.blockedUntil = std::max(health.blockedUntil, now + fullBlock);
        return;
    }
    blend(health.failureRate, 1);
    ++health.consecutiveFailures;
    if (failure == call_failure::Unreachable) {
        health.unreachableAt = now;
        health.blockedUntil = now + unreachableBlock * std::min(health.consecutiveFailures, 4u);
    } else if (health.consecutiveFailures >= blockThreshold)
        health.blockedUntil = now + std::min(maxBlock, minBlock * (1 << std::min(health.consecutiveFailures - blockThreshold, 4u)));
}

void recordSilence(target_health& health, time_point now) noexcept
{
    blend(health.failureRate, 1);
    health.changedAt = now;
}

bool isUsable(const target_health& health, time_point now) noexcept
{
    return now >= health.blockedUntil;
}

bool isUnreachableSince(const target_health& health, time_point since) noexcept
{
    return health.unreachableAt && *health.unreachableAt > since;
}

double penaltyOf(const target_health& health) noexcept
{
    return std::max(1.0, health.slowness) * (1 + failureCost * health.failureRate);
}
}
