/// What an entry learns from the reports of a pool's targets after a takeover.
#include "platform/batch_call.hpp"
#include "policy/pool_memory.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::policy;

namespace {
const time_point start { seconds(1000) };
const pool_limits limits { 3.6e6, 1, milliseconds(4000), milliseconds(280) };
}

// Guards against calls to targets whose memory is full of results of the previous owner.
Test(pool_memory, results_of_other_entries_count_until_they_have_expired)
{
    const foreign_use use = foreignUseOf({ 0, 0, 0.6e6 }, { 1e6, 0 }, limits, start, start + milliseconds(5));
    cr_assert_float_eq(use.bytes, 2e6, 1);
    cr_assert_float_eq(foreignBytesAt(use, start + milliseconds(3999)), 2e6, 1);
    cr_assert_eq(foreignBytesAt(use, start + milliseconds(4000)), 0);
}

// A running call makes results that live from its end.
Test(pool_memory, results_of_a_running_call_expire_later)
{
    const foreign_use use = foreignUseOf({ 1, 0, 0 }, {}, limits, start, start);
    cr_assert_gt(foreignBytesAt(use, start + milliseconds(4200)), 0);
    cr_assert_eq(foreignBytesAt(use, start + milliseconds(4280)), 0);
}

Test(pool_memory, own_results_are_not_counted_twice)
{
    const foreign_use use = foreignUseOf({ 1, 0, 1.6e6 }, { 2.5e6, 1 }, limits, start, start);
    cr_assert_eq(use.bytes, 0);
    cr_assert(use.busyUntil == time_point(), "the only running call is an own one");
}

// Guards against calls that a target refuses because calls of another owner occupy its slot and its queue.
Test(pool_memory, a_target_that_runs_calls_of_others_is_busy_for_half_a_call)
{
    const foreign_use use = foreignUseOf({ 1, 1, 3.6e6 }, { 0, 1 }, limits, start, start + milliseconds(10));
    cr_assert(use.busyUntil == start + milliseconds(150));
}

Test(pool_memory, a_pool_without_a_memory_limit_has_no_foreign_results)
{
    cr_assert_eq(foreignUseOf({ 0, 0, 0 }, {}, { 0, 1, milliseconds(4000), milliseconds(280) }, start, start).bytes, 0);
}

// A target must not be silenced by a report that claims more than exists.
Test(pool_memory, implausible_reports_are_bounded)
{
    cr_assert_eq(foreignUseOf({ 0, 0, 1e18 }, {}, limits, start, start).bytes, 0);
    cr_assert_float_eq(foreignUseOf({ 0, 0, -5 }, {}, limits, start, start).bytes, 3.6e6, 1);
}

// Guards against a query for each call, and against none while others still use the target.
Test(pool_memory, queries_are_paced)
{
    report_state state;
    cr_assert_not(needsReport(state, start), "nothing speaks for use by others");
    state.isWanted = true;
    cr_assert(needsReport(state, start));
    state.askedAt = start;
    cr_assert_not(needsReport(state, start + minReportPause - milliseconds(1)));
    cr_assert(needsReport(state, start + minReportPause));
    state.isPending = true;
    cr_assert_not(needsReport(state, start + minReportPause));

    state = { start, false, false, { 1e6, start + milliseconds(4000), {} } };
    cr_assert_not(needsReport(state, start + foreignUsePause - milliseconds(1)));
    cr_assert(needsReport(state, start + foreignUsePause));
    cr_assert_not(needsReport(state, start + milliseconds(4000)), "the results have expired");
}

// Guards against a pool that waits for a target that does not respond to queries.
Test(pool_memory, calls_wait_for_a_report_for_a_short_time_only)
{
    const report_state state { start, true, false, {} };
    cr_assert(awaitsReport(state, start + reportTimeout - milliseconds(1)));
    cr_assert_not(awaitsReport(state, start + reportTimeout));
}

Test(pool_memory, a_pool_is_taken_over_once_the_own_results_have_expired)
{
    cr_assert(mayHaveOtherResults({}, limits, start));
    cr_assert_not(mayHaveOtherResults(start, limits, start + milliseconds(4000)));
    cr_assert(mayHaveOtherResults(start, limits, start + milliseconds(4001)));
}

Test(pool_memory, reports_are_decoded)
{
    const auto report = platform::decodePoolReport(R"({"waiting":2,"busy":1,"free_mb":1.5})");
    cr_assert(report);
    cr_assert_eq(report.value().running, 1u);
    cr_assert_eq(report.value().waiting, 2u);
    cr_assert_float_eq(report.value().freeBytes, 1.5e6, 1);
    cr_assert_eq(platform::decodePoolReport(R"({"waiting":0,"busy":true,"free_mb":0})").value().running, 1u);
    // Guards against a pool of 0.6 MB for each target that never gets a call, because its targets report 0 MB.
    cr_assert_float_eq(platform::decodePoolReport(R"({"waiting":0,"busy":0,"free_mb":0})").value().freeBytes, 1e6, 1);
    cr_assert_eq(platform::decodePoolReport(R"({"waiting":1e300,"busy":0,"free_mb":1})").value().waiting, 10000u);
}

Test(pool_memory, malformed_reports_are_rejected)
{
    for (const char* text : { "", "[]", "{}", R"({"waiting":0,"busy":0})", R"({"waiting":-1,"busy":0,"free_mb":1})", R"({"waiting":0,"busy":"no","free_mb":1})", R"({"waiting":0,"busy":0,"free_mb":null})", R"({"waiting":0,"busy":0,"free_mb":NaN})" })
        cr_assert_not(platform::decodePoolReport(text), "%s", text);
}
