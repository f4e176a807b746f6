/// Pauses that targets ask for, and the return of calls after them.
#include "policy/call_queue.hpp"
#include "policy/target_pause.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::policy;

namespace {
const time_point start { seconds(1000) };

void expectPause(std::string_view retryAfter, int64_t expectedMs, bool isPlausible)
{
    const auto pause = readPause(503, retryAfter);
    cr_assert(pause.has_value());
    cr_assert_eq(pause->length.count(), expectedMs, "\"%.*s\": %ld", static_cast<int>(retryAfter.size()), retryAfter.data(), pause->length.count());
    cr_assert_eq(pause->isPlausible, isPlausible);
}

queued_call callUntil(uint64_t number, seconds deadline)
{
    return { { 1, number }, start + deadline, 0, false };
}
}

Test(target_pause_policy, plausible_times_are_kept_whole)
{
    expectPause("3", 3000, true);
    expectPause("0.2", 200, true);
    expectPause(" 45 ", 45000, true);
    expectPause("300", 300000, true);
    expectPause("600", 600000, true);
    expectPause("0", shortestPause.count(), true);
    expectPause("2, 5", 5000, true);
}

Test(target_pause_policy, implausible_times_are_bounded)
{
    expectPause("-3", defaultPause.count(), false);
    expectPause("nan", defaultPause.count(), false);
    expectPause("soon", defaultPause.count(), false);
    expectPause("Fri, 04 Dec 2026 15:00:00 GMT", defaultPause.count(), false);
    expectPause("601", longestPause.count(), false);
    expectPause("1000000000000000000000000000000", longestPause.count(), false);
    expectPause("2, soon", 2000, false);
}

Test(target_pause_policy, only_429_and_503_with_a_time_ask_for_a_pause)
{
    cr_assert(readPause(429, "1").has_value());
    cr_assert_not(readPause(500, "1").has_value());
    cr_assert_not(readPause(503, "").has_value());
}

Test(target_pause_policy, no_call_starts_in_a_pause_and_calls_return_gradually)
{
    call_queue queue { .capacity = 4 };
    cr_assert(pauseCalls(queue, start + seconds(3)).empty());
    for (uint64_t i = 0; i < 6; ++i)
        cr_assert(admit(queue, callUntil(i, seconds(60)), start) == admission_verdict::Accept);
    cr_assert(startCalls(queue, start + milliseconds(2999)).started.empty());
    cr_assert_eq(startCalls(queue, start + seconds(3)).started.size(), 1u);
    cr_assert_eq(startCalls(queue, start + seconds(3) + returnStep).started.size(), 1u);
    cr_assert_eq(startCalls(queue, start + seconds(3) + 2 * returnStep).started.size(), 2u);
    cr_assert(startCalls(queue, start + seconds(60) - returnStep).started.empty(), "the capacity is 4");
}

Test(target_pause_policy, calls_that_cannot_wait_for_its_end_are_refused)
{
    call_queue queue { .capacity = 1, .running = 1 };
    cr_assert(admit(queue, callUntil(1, seconds(2)), start) == admission_verdict::Accept);
    cr_assert(admit(queue, callUntil(2, seconds(9)), start) == admission_verdict::Accept);
    const std::vector<queued_call> infeasible = pauseCalls(queue, start + seconds(3));
    cr_assert_eq(infeasible.size(), 1u);
    cr_assert(infeasible[0].attempt == (identifier { 1, 1 }));
    cr_assert(admit(queue, callUntil(3, seconds(3)), start) == admission_verdict::Infeasible);
}

Test(target_pause_policy, a_second_shorter_pause_does_not_end_the_first)
{
    call_queue queue;
    static_cast<void>(pauseCalls(queue, start + seconds(5)));
    static_cast<void>(pauseCalls(queue, start + seconds(2)));
    cr_assert_eq(callLimit(queue, start + seconds(4)), 0u);
    cr_assert_eq(expectedWaitSeconds(queue, start), 5.0);
}
