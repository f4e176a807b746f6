/// Requests that are worth more for each piece go earlier.
#include "policy/work_value.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::policy;

namespace {
/// A scale on which 1,000 tokens for a piece are the mean.
value_average settled()
{
    value_average scale;
    for (int i = 0; i < 200; ++i)
        static_cast<void>(recordValue(scale, 4000, 4));
    return scale;
}
}

Test(work_value, a_doubling_is_worth_its_lead_either_way)
{
    const value_rules rules;
    value_average twice = settled();
    value_average half = settled();
    const auto lead = recordValue(twice, 8000, 4);
    const auto lag = recordValue(half, 2000, 4);
    cr_assert(lead > rules.boostPerDoubling * 9 / 10 && lead <= rules.boostPerDoubling);
    cr_assert(-lag > rules.boostPerDoubling * 9 / 10 && -lag <= rules.boostPerDoubling);
}

Test(work_value, leads_are_bounded)
{
    const value_rules rules;
    value_average scale = settled();
    cr_assert(recordValue(scale, 1e12, 1) == rules.maxBoost);
    cr_assert(recordValue(scale, 1, 1000) == -rules.maxBoost);
}

Test(work_value, requests_without_tokens_leave_the_scale_alone)
{
    value_average scale = settled();
    const double before = scale.meanLog2;
    cr_assert(recordValue(scale, 0, 4) == milliseconds(0));
    cr_assert(recordValue(scale, 100, 0) == milliseconds(0));
    cr_assert_eq(scale.meanLog2, before);
}

Test(work_value, the_scale_follows_the_load)
{
    value_average scale = settled();
    for (int i = 0; i < 1000; ++i)
        static_cast<void>(recordValue(scale, 64000, 4));
    const auto lead = recordValue(scale, 64000, 4);
    cr_assert(lead < milliseconds(50) && lead > milliseconds(-50));
}
