/// Priority boost by the tokens of a request for each task.
#include "policy/work_value.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::policy;

namespace {
/// @return An average with a mean of 1,000 tokens for each task.
value_average makeAverage()
{
    value_average average;
    for (int i = 0; i < 200; ++i)
        static_cast<void>(recordValue(average, 4000, 4));
    return average;
}
}

Test(work_value, doubling_and_halving_shift_by_the_same_time)
{
    const value_rules rules;
    value_average twice = makeAverage();
    value_average half = makeAverage();
    const auto boost = recordValue(twice, 8000, 4);
    const auto delay = recordValue(half, 2000, 4);
    cr_assert(boost > rules.boostPerDoubling * 9 / 10 && boost <= rules.boostPerDoubling);
    cr_assert(-delay > rules.boostPerDoubling * 9 / 10 && -delay <= rules.boostPerDoubling);
}

Test(work_value, boost_is_limited)
{
    const value_rules rules;
    value_average average = makeAverage();
    cr_assert(recordValue(average, 1e12, 1) == rules.maxBoost);
    cr_assert(recordValue(average, 1, 1000) == -rules.maxBoost);
}

Test(work_value, requests_without_tokens_do_not_change_the_mean)
{
    value_average average = makeAverage();
    const double before = average.meanLog2;
    cr_assert(recordValue(average, 0, 4) == milliseconds(0));
    cr_assert(recordValue(average, 100, 0) == milliseconds(0));
    cr_assert_eq(average.meanLog2, before);
}

Test(work_value, mean_follows_the_load)
{
    value_average average = makeAverage();
    for (int i = 0; i < 1000; ++i)
        static_cast<void>(recordValue(average, 64000, 4));
    const auto boost = recordValue(average, 64000, 4);
    cr_assert(boost < milliseconds(50) && boost > milliseconds(-50));
}
