/// Pauses that targets ask for.
#include "policy/pause.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::policy;

namespace {
const time_point start { seconds(1000) };
}

Test(target_pause, the_end_of_a_pause_is_the_later_one)
{
    target_pause pause;
    cr_assert(!isPaused(pause, start));
    cr_assert(applyPause(pause, seconds(3), start) == pause_change::Begun);
    cr_assert(applyPause(pause, seconds(1), start + seconds(1)) == pause_change::None);
    cr_assert(isPaused(pause, start + milliseconds(2999)));
    cr_assert(applyPause(pause, seconds(3), start + seconds(1)) == pause_change::Lengthened);
    cr_assert(pause.since == start);
    cr_assert(isPaused(pause, start + milliseconds(3999)));
    cr_assert(!isPaused(pause, start + seconds(4)));
    cr_assert(applyPause(pause, seconds(0), start + seconds(5)) == pause_change::None);
}
