/// Detects that the main loop runs late; timers then expire before the sockets are read.
#pragma once

#include "base/time.hpp"

#include <optional>

namespace bilberryseam::policy {

/// A periodic timer counts as late beyond this delay.
constexpr milliseconds tolerableLoopDelay { 100 };

/// Shortest time between two reports, so that a busy process does not fill its log.
constexpr milliseconds loopDelayReportPeriod { 1000 };

/// Late runs of the loop since the last report.
struct loop_delays {
    time_point lastRunAt {};
    time_point lastReportAt {};
    unsigned count = 0;
    microseconds longest {};
};

/// Late runs to be logged.
struct loop_delay_report {
    unsigned count = 0;
    microseconds longest {};
};

/// Records a run of a periodic timer.
/// @param period  Period of the timer.
/// @return The delay of this run if the loop is late; otherwise zero.
[[nodiscard]] microseconds recordRun(loop_delays& delays, milliseconds period, time_point now) noexcept;

/// @return The late runs since the last report, if there are any and a report is due.
[[nodiscard]] std::optional<loop_delay_report> takeReport(loop_delays& delays, time_point now) noexcept;
}
