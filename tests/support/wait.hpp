/// Runs the default main loop until something has happened.
#pragma once

#include "loop/timer.hpp"

#include <criterion/criterion.h>
#include <functional>

namespace bilberryseam::tests {

/// Runs the loop for a while, for what must not happen.
inline void runFor(milliseconds time)
{
    bool isOver = false;
    timer clock;
    clock.startOnce(time, [&] { isOver = true; });
    while (!isOver)
        g_main_context_iteration(nullptr, TRUE);
}

/// Runs the loop until the condition holds.
/// @param patience  The test fails after this.
inline void runUntil(const std::function<bool()>& condition, milliseconds patience, const char* what)
{
    const time_point end = monotonicNow() + patience;
    timer wake;
    wake.startEvery(milliseconds(5), [] {});
    while (!condition()) {
        cr_assert(monotonicNow() < end, "waited in vain for %s", what);
        g_main_context_iteration(nullptr, TRUE);
    }
}
}
