#include "policy/planned_stop.hpp"

#include <algorithm>

namespace bilberryseam::policy {

stop_phase stopPhase(milliseconds elapsed, milliseconds acceptTime, milliseconds limit) noexcept
{
    if (elapsed > limit)
        return stop_phase::Overdue;
    // The last accepted requests need time to finish.
    return elapsed > std::min(acceptTime, limit / 2) ? stop_phase::Finishing : stop_phase::Accepting;
}
}
