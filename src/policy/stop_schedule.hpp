/// The steps of a planned stop, by the time until the process is killed.
#pragma once

#include "base/time.hpp"

namespace bilberryseam::policy {

/// Times since the termination signal at which the steps of a stop end, in this order.
struct stop_schedule {
    /// New connections are accepted, until the load balancer has noticed the stop.
    milliseconds listening {};
    /// New requests are accepted.
    milliseconds accepting {};
    /// Open requests run; then each gets its last response.
    milliseconds serving {};
    /// The process runs, even if responses are not delivered.
    milliseconds running {};
};

/// @param grace  Time from the termination signal until the process is killed.
[[nodiscard]] stop_schedule stopScheduleFor(milliseconds grace) noexcept;
}
