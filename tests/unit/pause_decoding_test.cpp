/// What responses say of the time for which their target wants no requests.
#include "platform/ingress.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::platform;

namespace {
stated_pause decode(unsigned status, http1::header_list fields)
{
    return decodePause({ status, std::move(fields) });
}

stated_pause decodeValue(const char* value)
{
    return decode(503, { { "X-Not-Executed", "1" }, { "Retry-After", value } });
}
}

Test(pause_decoding, a_plausible_time_is_kept_whole)
{
    for (const auto& [value, length] : { std::pair("0.2", 200), std::pair("3", 3000), std::pair("2.75", 2750), std::pair("45", 45000), std::pair("300", 300000), std::pair("0.0004", 1) }) {
        const auto pause = decodeValue(value);
        cr_assert(pause.length == milliseconds(length), "'%s'", value);
        cr_assert(pause.problem.empty(), "'%s'", value);
    }
}

Test(pause_decoding, any_refusal_with_503_counts)
{
    cr_assert(decode(503, { { "Retry-After", "3" } }).length == seconds(3));
    cr_assert(!decode(421, { { "X-Not-Executed", "1" }, { "Retry-After", "3" } }).length);
    cr_assert(!decode(429, { { "X-Not-Executed", "1" }, { "Retry-After", "3" } }).length);
    cr_assert(!decode(503, {}).length);
}

Test(pause_decoding, the_longest_of_several_times_counts)
{
    const auto pause = decode(503, { { "Retry-After", "3" }, { "Retry-After", "soon" }, { "Retry-After", "7, 5" } });
    cr_assert(pause.length == seconds(7));
    cr_assert_eq(pause.problem, "several");
    cr_assert_eq(pause.text, "3,soon,7, 5");
}

Test(pause_decoding, an_implausible_time_is_bounded_or_ignored_with_a_reason)
{
    for (const char* value : { "1e30", "1000000000000000000000000000000", "3601" }) {
        const auto pause = decodeValue(value);
        cr_assert(pause.length == longestPause, "'%s'", value);
        cr_assert_eq(pause.problem, "too_long", "'%s'", value);
    }
    for (const char* value : { "-4", "nan", "inf", "soon", "", "Fri, 31 Dec 1999 23:59:59 GMT", "3s" }) {
        const auto pause = decodeValue(value);
        cr_assert(!pause.length, "'%s'", value);
        cr_assert_eq(pause.problem, "no_number", "'%s'", value);
    }
    const auto none = decodeValue("0");
    cr_assert(!none.length || none.length->count() == 0);
}
