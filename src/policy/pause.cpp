#include "policy/pause.hpp"

#include <algorithm>

namespace bilberryseam::policy {

namespace {
    /// @return The bound now, or zero if there is none any more.
    uint32_t boundAt(const target_pause& pause, time_point now) noexcept
    {
        if (pause.maxUnanswered == 0)
            return 0;
        const auto steps = std::clamp<int64_t>((now - pause.changedAt) / returnStepTime, 0, unboundedReturn);
        const uint64_t bound = static_cast<uint64_t>(pause.maxUnanswered) << steps;
        return bound < unboundedReturn ? static_cast<uint32_t>(bound) : 0;
    }
}

bool isPaused(const target_pause& pause, time_point now) noexcept
{
    return now < pause.until;
}

pause_change applyPause(target_pause& pause, milliseconds length, time_point now) noexcept
{
    const time_point end = now + length;
    if (end <= now || end <= pause.until)
        return pause_change::None;
    const bool isNew = !isPaused(pause, now);
    if (isNew)
        pause = { .since = now };
    pause.until = end;
    pause.maxUnanswered = 1;
    pause.changedAt = end;
    return isNew ? pause_change::Begun : pause_change::Lengthened;
}

bool mayReturn(const target_pause& pause, time_point now) noexcept
{
    if (isPaused(pause, now))
        return false;
    const uint32_t bound = boundAt(pause, now);
    return bound == 0 || pause.unanswered < bound;
}

bool beginTrial(target_pause& pause) noexcept
{
    if (pause.maxUnanswered == 0)
        return false;
    ++pause.unanswered;
    return true;
}

void endTrial(target_pause& pause, time_point since, trial_outcome outcome, time_point now) noexcept
{
    if (since != pause.since || pause.unanswered == 0)
        return;
    --pause.unanswered;
    if (outcome == trial_outcome::Unknown || isPaused(pause, now))
        return;
    const uint32_t bound = boundAt(pause, now);
    const uint32_t doubled = bound * 2 < unboundedReturn ? bound * 2 : 0;
    pause.maxUnanswered = outcome == trial_outcome::Refused ? 1 : doubled;
    pause.changedAt = now;
}

milliseconds returnDelay(unsigned entries, double position) noexcept
{
    return milliseconds(static_cast<int64_t>(asSeconds(returnSpacing) * 1000 * entries * std::clamp(position, 0.0, 1.0)));
}
}
