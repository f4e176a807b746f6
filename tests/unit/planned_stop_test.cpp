/// Phases of a planned stop.
#include "policy/planned_stop.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::policy;

namespace {
constexpr milliseconds acceptTime { 2000 };

stop_phase phaseAt(int64_t elapsedMs, int64_t limitMs)
{
    return stopPhase(milliseconds(elapsedMs), acceptTime, milliseconds(limitMs));
}
}

Test(planned_stop, connections_are_accepted_for_the_accept_time)
{
    cr_assert(phaseAt(2000, 60000) == stop_phase::Accepting);
    cr_assert(phaseAt(2001, 60000) == stop_phase::Finishing);
    cr_assert(phaseAt(60000, 60000) == stop_phase::Finishing);
    cr_assert(phaseAt(60001, 60000) == stop_phase::Overdue);
}

Test(planned_stop, a_short_stop_leaves_half_of_its_time_to_open_requests)
{
    cr_assert(phaseAt(500, 1000) == stop_phase::Accepting);
    cr_assert(phaseAt(501, 1000) == stop_phase::Finishing);
    cr_assert(phaseAt(1001, 1000) == stop_phase::Overdue);
    cr_assert(phaseAt(1, 0) == stop_phase::Overdue);
}
