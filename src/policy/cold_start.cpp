#include "policy/cold_start.hpp"

#include <algorithm>

namespace bilberryseam::policy {

namespace {
    /// @return Number of processes that may have a share: each can send one request at once in addition to its rate.
    size_t sharersWithin(const cold_bounds& bounds) noexcept
    {
        return static_cast<size_t>(std::clamp(bounds.slack, 1.0, static_cast<double>(limitSharers)));
    }

    time_point boundedEnd(milliseconds left, time_point now) noexcept
    {
        return now + std::clamp(left, milliseconds(0), maxColdTime);
    }
}

cold_share coldShareOf(double perSecond, const cold_bounds& bounds, const cold_membership& membership, time_point now) noexcept
{
    if (!(perSecond > 0))
        return {};
    const size_t sharers = sharersWithin(bounds);
    const double allowed = perSecond * bounds.overage + bounds.slack - static_cast<double>(sharers);
    cold_share share { std::clamp(std::min(perSecond, allowed), minLimit, maxLimit), 0, membership.directoryReadAt + coldLease };
    const bool isKnownToAll = membership.listedAt && now - *membership.listedAt >= coldLease;
    if (!isKnownToAll || membership.rank >= sharers)
        return share;
    const size_t processes = std::min(membership.processes, sharers);
    if (sharers == limitSharers)
        share.share = shareOf(membership.rank, processes, membership.isStable, membership.isPool);
    else
        share.share = 1.0 / static_cast<double>(membership.isStable ? std::max<size_t>(processes, 1) : sharers);
    return share;
}

void applyColdRecord(cold_start& cold, milliseconds left, bool isSuccessor, time_point now) noexcept
{
    const time_point end = boundedEnd(left, now);
    if (end > cold.until || (isSuccessor && !cold.respondedAt))
        cold.until = end;
}

void applyColdResponse(cold_start& cold, milliseconds left, time_point sentAt, time_point now) noexcept
{
    const time_point end = boundedEnd(left, now);
    const bool isNewer = !cold.respondedAt || sentAt > *cold.respondedAt;
    if (end <= cold.until && !isNewer)
        return;
    cold.until = end;
    cold.respondedAt = now;
}

cold_change updateCold(cold_start& cold, const cold_share& share, time_point now) noexcept
{
    const bool wasCold = isCold(cold);
    const bool isNowCold = share.perSecond > 0 && now < cold.until;
    cold.shareUntil = share.validUntil;
    if (isNowCold) {
        applyStatedLimit(cold.limit, share.perSecond, now, now);
        setShare(cold.limit, share.share, now);
        if (!wasCold)
            cold.limit.tokens = 0;
    } else {
        applyStatedLimit(cold.limit, std::nullopt, now, now);
        removeLifted(cold.limit, now);
    }
    if (isCold(cold) == wasCold)
        return cold_change::None;
    return wasCold ? cold_change::TurnedWarm : cold_change::TurnedCold;
}

bool isCold(const cold_start& cold) noexcept
{
    return cold.limit.perSecond && !cold.limit.liftedAt;
}

bool isActive(const cold_start& cold, time_point now) noexcept
{
    return cold.limit.perSecond || now < cold.until;
}

bool canSend(const cold_start& cold, time_point now) noexcept
{
    return canSend(cold.limit, now) && (!isCold(cold) || now < cold.shareUntil);
}

void recordSend(cold_start& cold, time_point now) noexcept
{
    recordSend(cold.limit, now);
}

std::optional<double> ownRate(const cold_start& cold, time_point now) noexcept
{
    if (isCold(cold) && now >= cold.shareUntil)
        return 0;
    return ownRate(cold.limit, now);
}
}
