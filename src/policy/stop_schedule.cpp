#include "policy/stop_schedule.hpp"

#include <algorithm>

namespace bilberryseam::policy {

namespace {
    constexpr milliseconds longestListening { 2300 };
    constexpr milliseconds longestAccepting { 3000 };

    /// With a short grace, requests that are accepted last still have time to run.
    constexpr int listeningPercent = 30;
    constexpr int acceptingPercent = 40;

    /// Time for the last responses, and from the end of the process until it would be killed.
    constexpr milliseconds servingMargin { 400 };
    constexpr milliseconds runningMargin { 150 };
}

stop_schedule stopScheduleFor(milliseconds grace) noexcept
{
    return { std::min(longestListening, grace * listeningPercent / 100), std::min(longestAccepting, grace * acceptingPercent / 100), grace - servingMargin, grace - runningMargin };
}
}
