/// Requests that are worth more for each piece go earlier.
#include "policy/work_value.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::policy;

namespace {
/// A scale on which 1,000 tokens for a piece are the mean.
value_scale settled()
{
    value_scale scale;
    for (int i = 0; i < 200; ++i)
        static_cast<void>(noteValue(scale, 4000, 4));
    return scale;
}
}

Test(work_value, a_doubling_is_worth_its_lead_either_way)
{
    const value_rules rules;
    value_scale twice = settled();
    value_scale half = settled();
    const auto lead = noteValue(twice, 8000, 4);
    const auto lag = noteValue(half, 2000, 4);
    cr_assert(lead > rules.leadOfDoubling * 9 / 10 && lead <= rules.leadOfDoubling);
    cr_assert(-lag > rules.leadOfDoubling * 9 / 10 && -lag <= rules.leadOfDoubling);
}

Test(work_value, leads_are_bounded)
{
    const value_rules rules;
    value_scale scale = settled();
    cr_assert(noteValue(scale, 1e12, 1) == rules.longestLead);
    cr_assert(noteValue(scale, 1, 1000) == -rules.longestLead);
}

Test(work_value, requests_without_tokens_leave_the_scale_alone)
{
    value_scale scale = settled();
    const double before = scale.meanLog;
    cr_assert(noteValue(scale, 0, 4) == milliseconds(0));
    cr_assert(noteValue(scale, 100, 0) == milliseconds(0));
    cr_assert_eq(scale.meanLog, before);
}

Test(work_value, the_scale_follows_the_load)
{
    value_scale scale = settled();
    for (int i = 0; i < 1000; ++i)
        static_cast<void>(noteValue(scale, 64000, 4));
    const auto lead = noteValue(scale, 64000, 4);
    cr_assert(lead < milliseconds(50) && lead > milliseconds(-50));
}
