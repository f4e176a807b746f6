#include "policy/pause.hpp"

namespace bilberryseam::policy {

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
        pause.since = now;
    pause.until = end;
    return isNew ? pause_change::Begun : pause_change::Lengthened;
}
}
