/// Late runs of the main loop are recorded and reported at a limited rate.
#include "policy/loop_delay.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::policy;

namespace {
constexpr milliseconds period { 25 };

time_point at(int64_t elapsedMs)
{
    return time_point(seconds(1000) + milliseconds(elapsedMs));
}
}

Test(loop_delay, only_a_run_beyond_the_tolerable_delay_is_late)
{
    loop_delays delays;
    cr_assert_eq(recordRun(delays, period, at(0)).count(), 0);
    cr_assert_eq(recordRun(delays, period, at(125)).count(), 0);
    cr_assert_not(takeReport(delays, at(125)));
    cr_assert_eq(asMilliseconds(recordRun(delays, period, at(251))), 101);
    const auto report = takeReport(delays, at(251));
    cr_assert(report);
    cr_assert_eq(report->count, 1u);
    cr_assert_eq(asMilliseconds(report->longest), 101);
}

Test(loop_delay, late_runs_between_two_reports_are_reported_together)
{
    loop_delays delays;
    cr_assert_eq(recordRun(delays, period, at(0)).count(), 0);
    cr_assert_gt(recordRun(delays, period, at(200)).count(), 0);
    cr_assert(takeReport(delays, at(200)));
    cr_assert_gt(recordRun(delays, period, at(700)).count(), 0);
    cr_assert_not(takeReport(delays, at(700)));
    cr_assert_gt(recordRun(delays, period, at(900)).count(), 0);
    cr_assert_not(takeReport(delays, at(1199)));
    const auto report = takeReport(delays, at(1200));
    cr_assert(report);
    cr_assert_eq(report->count, 2u);
    cr_assert_eq(asMilliseconds(report->longest), 475);
    cr_assert_not(takeReport(delays, at(5000)));
}
