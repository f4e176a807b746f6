/// When a process that stops ends its acceptance of requests, and when it may exit.
#pragma once

#include "base/time.hpp"

namespace bilberryseam::policy {

/// What a stopping process does next.
enum class stop_phase {
    /// New connections and requests are accepted, so that the load balancer can remove the process first.
    Accepting,
    /// No new connections; the open requests go on.
    Finishing,
    /// The time for the stop is over: the open requests are ended.
    Overdue,
};

/// @param elapsed     Time since the stop began.
/// @param acceptTime  Time for which a stopping process accepts connections, if the whole stop lasts longer than twice that.
/// @param limit       Time after which open requests are ended.
[[nodiscard]] stop_phase stopPhase(milliseconds elapsed, milliseconds acceptTime, milliseconds limit) noexcept;
}
