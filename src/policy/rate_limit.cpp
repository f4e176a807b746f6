#include "policy/rate_limit.hpp"

#include <cmath>

namespace bilberryseam::policy {

namespace {
    constexpr milliseconds longestWait { 60000 };

    double tokensAt(const rate_limit& limit, time_point now) noexcept
    {
        const auto rate = ownRate(limit, now);
        return rate ? std::min(1.0, limit.tokens + asSeconds(now - limit.refilledAt) * *rate) : 1;
    }

    void refill(rate_limit& limit, time_point now) noexcept
    {
        limit.tokens = tokensAt(limit, now);
        limit.refilledAt = now;
    }
}

std::optional<double> ownRate(const rate_limit& limit, time_point now) noexcept
{
    if (!limit.perSecond)
        return std::nullopt;
    if (!limit.liftedAt)
        return *limit.perSecond * limit.share;
    return std::max(*limit.perSecond * limit.share, minRampRate) * std::exp2(asSeconds(now - *limit.liftedAt));
}

bool applyStatedLimit(rate_limit& limit, std::optional<double> stated, time_point sentAt, time_point now) noexcept
{
    if (!stated) {
        const bool isLifted = limit.perSecond && !limit.liftedAt && sentAt > limit.statedAt;
        if (isLifted) {
            refill(limit, now);
            limit.liftedAt = now;
        }
        return isLifted;
    }
    const double perSecond = std::clamp(*stated, minLimit, maxLimit);
    const bool isNew = !limit.perSecond;
    const bool isChanged = isNew || limit.liftedAt || *limit.perSecond != perSecond;
    refill(limit, now);
    limit.perSecond = perSecond;
    limit.liftedAt.reset();
    limit.statedAt = now;
    if (isNew)
        limit.tokens = 0;
    return isChanged;
}

void setShare(rate_limit& limit, double share, time_point now) noexcept
{
    if (limit.share == share)
        return;
    refill(limit, now);
    limit.share = share;
}

bool canSend(const rate_limit& limit, time_point now) noexcept
{
    return !limit.perSecond || tokensAt(limit, now) >= 1;
}

void recordSend(rate_limit& limit, time_point now) noexcept
{
    if (!limit.perSecond)
        return;
    refill(limit, now);
    limit.tokens = std::max(0.0, limit.tokens - 1);
}

void removeLifted(rate_limit& limit, time_point now) noexcept
{
    if (limit.liftedAt && now - *limit.liftedAt >= limitRampTime)
        limit = {};
}

double shareOf(size_t rank, size_t processes, bool isStable, bool isPool) noexcept
{
    if (rank >= limitSharers)
        return 0;
    if (isPool)
        return rank == 0 ? poolOwnerShare : (1 - poolOwnerShare) / static_cast<double>(limitSharers - 1);
    return 1.0 / static_cast<double>(isStable ? std::clamp<size_t>(processes, 1, limitSharers) : limitSharers);
}

milliseconds expectedWait(size_t waiting, double rate) noexcept
{
    const double waitSeconds = rate > 0 ? static_cast<double>(waiting + 1) / rate : asSeconds(longestWait);
    return milliseconds(static_cast<int64_t>(1000 * std::min(waitSeconds, asSeconds(longestWait))));
}
}
