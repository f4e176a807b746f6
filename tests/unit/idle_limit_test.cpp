/// Limits of idle connections while configurations change them.
#include "policy/idle_limit.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::policy;

namespace {
time_point at(int64_t ms)
{
    return time_point(milliseconds(ms));
}

void expectLimit(const idle_limits& limits, int64_t nowMs, int64_t expectedMs)
{
    cr_assert_eq(longestIdleLimit(limits, at(nowMs)).count(), expectedMs, "at %ld: %ld", nowMs, longestIdleLimit(limits, at(nowMs)).count());
}
}

Test(idle_limit, a_shorter_limit_applies_after_the_former_one_has_passed)
{
    idle_limits limits;
    changeIdleLimit(limits, milliseconds(15000), at(0));
    expectLimit(limits, 1000, 15000);
    changeIdleLimit(limits, milliseconds(2000), at(100000));
    expectLimit(limits, 115000, 15000);
    expectLimit(limits, 115001, 2000);
}

Test(idle_limit, a_longer_limit_applies_at_once)
{
    idle_limits limits;
    changeIdleLimit(limits, milliseconds(2000), at(0));
    changeIdleLimit(limits, milliseconds(15000), at(10));
    expectLimit(limits, 10, 15000);
    cr_assert(limits.former.empty());
}

Test(idle_limit, each_former_limit_is_kept_for_its_own_length)
{
    idle_limits limits;
    changeIdleLimit(limits, milliseconds(15000), at(0));
    changeIdleLimit(limits, milliseconds(2000), at(100000));
    changeIdleLimit(limits, milliseconds(10000), at(100500));
    changeIdleLimit(limits, milliseconds(2000), at(114000));
    expectLimit(limits, 115000, 15000);
    expectLimit(limits, 115001, 10000);
    expectLimit(limits, 124000, 10000);
    expectLimit(limits, 124001, 2000);
}

Test(idle_limit, many_changes_keep_few_limits)
{
    idle_limits limits;
    for (int i = 0; i < 10000; ++i)
        changeIdleLimit(limits, milliseconds(i % 2 ? 15000 : 2000 + i % 7), at(i * 500));
    cr_assert(limits.former.size() <= 2, "%zu limits", limits.former.size());
}
