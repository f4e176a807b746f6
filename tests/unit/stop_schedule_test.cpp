/// The steps of a planned stop keep their order and leave time for requests, whatever the grace is.
#include "policy/stop_schedule.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::policy;

Test(stop_schedule, a_short_grace_leaves_time_between_the_last_accepted_request_and_the_last_response)
{
    for (const milliseconds grace : { milliseconds(1000), milliseconds(2000), milliseconds(4500), milliseconds(8000), milliseconds(60000) }) {
        const stop_schedule schedule = stopScheduleFor(grace);
        cr_assert_gt(schedule.listening.count(), 0);
        cr_assert_lt(schedule.listening.count(), schedule.accepting.count());
        cr_assert_geq((schedule.serving - schedule.accepting).count(), grace.count() / 5);
        cr_assert_lt(schedule.serving.count(), schedule.running.count());
        cr_assert_lt(schedule.running.count(), grace.count());
    }
}

Test(stop_schedule, a_long_grace_is_left_to_the_open_requests)
{
    const stop_schedule schedule = stopScheduleFor(milliseconds(60000));
    cr_assert_eq(schedule.listening.count(), 2300);
    cr_assert_eq(schedule.accepting.count(), 3000);
    cr_assert_eq(schedule.serving.count(), 59600);
}
