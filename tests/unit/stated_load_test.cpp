/// Load that targets state in their responses: decoding, age and use.
#include "platform/ingress.hpp"
#include "policy/stated_load.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;

namespace {
constexpr time_point start { seconds(1000) };

http1::response_head headWith(const std::string& value)
{
    http1::response_head head;
    head.status = http1::statusOk;
    head.headers.emplace_back("X-Replica-Load", value);
    return head;
}
}

// Guards against a missing, malformed, negative or huge figure that orders targets.
Test(stated_load, only_three_or_four_plausible_figures_are_taken)
{
    const auto three = platform::decodeLoad(headWith("3,2,8"));
    cr_assert(three.isValid && three.running == 3 && three.waiting == 2 && three.slots == 8 && three.workPercent == 100);
    const auto four = platform::decodeLoad(headWith(" 3, 0 ,1,160"));
    cr_assert(four.isValid && four.workPercent == 160);
    for (const char* value : { "", ",", "3", "3,2", "3,2,8,100,1", "-1,0,8", "3,2,0", "3,2,8,0", "a,2,8", "3,2,8x", "1e3,2,8", "3;2;8", "3,2,10001", "99999999999999999999,2,8", "3,2,8,", "3,2,8,-5", "nan,2,8" }) {
        const auto load = platform::decodeLoad(headWith(value));
        cr_assert(!load.isValid, "%s", value);
        cr_assert(load.text.has_value(), "%s", value);
    }
    cr_assert(!platform::decodeLoad({}).text);
    auto twice = headWith("3,2,8");
    twice.headers.emplace_back("X-Replica-Load", "1,0,8");
    cr_assert(!platform::decodeLoad(twice).isValid);
    auto misdirected = headWith("3,2,8");
    misdirected.status = http1::statusMisdirected;
    cr_assert(!platform::decodeLoad(misdirected).text, "another target answered");
}

// Guards against statements that are used although the load has changed since, and against one that silences a target.
Test(stated_load, statement_counts_for_less_than_250_ms_and_within_bounds)
{
    const policy::stated_load load { 6, 2, 4, 300, start };
    cr_assert_eq(policy::callsAt(load, 1, start + milliseconds(249)), 8u);
    cr_assert_eq(policy::callsAt(load, 9, start), 9u, "the own calls are there in any case");
    cr_assert_eq(policy::workFactor(load, start), 3);
    cr_assert_eq(policy::busyFactor(load, start), policy::maxStatedPenalty);
    cr_assert_eq(policy::busyFactor({ 0, 0, 4, 50, start }, start), 1);
    cr_assert_eq(policy::callsAt(load, 1, start + milliseconds(250)), 1u);
    cr_assert_eq(policy::workFactor(load, start + milliseconds(250)), 1);
    cr_assert_eq(policy::busyFactor(load, start + milliseconds(250)), 1);
    cr_assert_eq(policy::busyFactor({}, start), 1, "nothing was stated");
}
