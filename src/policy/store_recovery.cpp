#include "policy/store_recovery.hpp"

#include <algorithm>

namespace bilberryseam::policy {

bool observeEra(store_recovery& recovery, uint64_t era, time_point now) noexcept
{
    if (era <= recovery.era)
        return false;
    recovery = { era, now, false, now + recordRewriteTime };
    return true;
}

void observeMark(store_recovery& recovery, uint64_t markedEra, time_point readAt) noexcept
{
    if (markedEra != recovery.era)
        return;
    recovery.isComplete = true;
    recovery.completeFrom = std::min(recovery.completeFrom, readAt);
}

bool observeTargetRead(store_recovery& recovery, time_point freshAsOf) noexcept
{
    if (!isRecovering(recovery) || !isReadComplete(recovery, freshAsOf))
        return false;
    recovery.isComplete = true;
    return true;
}

bool isRecovering(const store_recovery& recovery) noexcept
{
    return recovery.era != 0 && !recovery.isComplete;
}

bool isReadComplete(const store_recovery& recovery, time_point freshAsOf) noexcept
{
    return freshAsOf >= recovery.completeFrom;
}

milliseconds rewriteTimeLeft(const store_recovery& recovery, time_point now) noexcept
{
    if (!isRecovering(recovery))
        return milliseconds(0);
    return std::max(milliseconds(0), std::chrono::ceil<milliseconds>(recovery.eraSeenAt + recordRewriteTime - now));
}
}
