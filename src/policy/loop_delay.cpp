#include "policy/loop_delay.hpp"

#include <algorithm>
#include <utility>

namespace bilberryseam::policy {

microseconds recordRun(loop_delays& delays, milliseconds period, time_point now) noexcept
{
    const time_point lastRunAt = std::exchange(delays.lastRunAt, now);
    const microseconds delay = now - lastRunAt - period;
    if (lastRunAt == time_point() || delay <= tolerableLoopDelay)
        return {};
    ++delays.count;
    delays.longest = std::max(delays.longest, delay);
    return delay;
}

std::optional<loop_delay_report> takeReport(loop_delays& delays, time_point now) noexcept
{
    const bool isDue = delays.lastReportAt == time_point() || now - delays.lastReportAt >= loopDelayReportPeriod;
    if (delays.count == 0 || !isDue)
        return std::nullopt;
    delays.lastReportAt = now;
    return loop_delay_report { std::exchange(delays.count, 0U), std::exchange(delays.longest, microseconds()) };
}
}
