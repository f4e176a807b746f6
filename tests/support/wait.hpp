/// Running the default main loop for a time or until a condition holds.
#pragma once

#include "loop/timer.hpp"

#include <criterion/criterion.h>
#include <functional>

namespace bilberryseam::tests {

/// Runs the loop for a time, to check that something does not happen.
inline void runFor(milliseconds time)
{
    bool isElapsed = false;
    timer elapsedTimer;
    elapsedTimer.startOnce(time, [&] { isElapsed = true; });
    while (!isElapsed)
        g_main_context_iteration(nullptr, TRUE);
}

/// Runs the loop until the condition holds.
/// @param timeout      The test fails after this time.
/// @param description  Completes the failure message "timed out waiting for".
inline void runUntil(const std::function<bool()>& condition, milliseconds timeout, const char* description)
{
    const time_point deadline = monotonicNow() + timeout;
    timer pollTimer;
    pollTimer.startEvery(milliseconds(5), [] {});
    while (!condition()) {
        cr_assert(monotonicNow() < deadline, "timed out waiting for %s", description);
        g_main_context_iteration(nullptr, TRUE);
    }
}
}
