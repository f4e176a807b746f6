/// Runs the default main loop until something has happened.
#pragma once

#include "loop/timer.hpp"

#include <criterion/criterion.h>
#include <functional>

namespace bilberryseam::tests {

/// Runs the loop for a while, for what must not happen.
inline void runFor(milliseconds time)
{
    bool isElapsed = false;
    timer elapsedTimer;
    elapsedTimer.startOnce(time, [&] { isElapsed = true; });
    while (!isElapsed)
        g_main_context_iteration(nullptr, TRUE);
}

/// Runs the loop until the condition holds.
/// @param patience  The test fails after this.
inline void runUntil(const std::function<bool()>& condition, milliseconds timeout, const char* description)
{
    const time_point deadline = monotonicNow() + timeout;
    timer pollTimer;
    pollTimer.startEvery(milliseconds(5), [] {});
    while (!condition()) {
        cr_assert(monotonicNow() < deadline, "waited in vain for %s", description);
        g_main_context_iteration(nullptr, TRUE);
    }
}
}
