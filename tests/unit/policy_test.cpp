/// Call queue, suspicion, budget, hedging and routing decisions.
#include "policy/policy.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::policy;

namespace {
const time_point now { seconds(1000) };

queued_call makeCall(uint64_t number, uint8_t priority = 0, bool isIsolated = false)
{
    return { { 1, number }, now + seconds(5), priority, isIsolated };
}
}

Test(call_queue, starts_up_to_capacity_then_queues_then_refuses)
{
    call_queue queue { .capacity = 2, .maxWaiting = 1 };
    for (uint64_t i = 0; i < 2; ++i) {
        cr_assert(admit(queue, makeCall(i), now) == admission_verdict::Accept);
        cr_assert_eq(startCalls(queue, now).started.size(), 1u);
    }
    cr_assert(admit(queue, makeCall(2), now) == admission_verdict::Accept);
    cr_assert(startCalls(queue, now).started.empty());
    cr_assert(admit(queue, makeCall(3), now) == admission_verdict::QueueFull);
    finishCall(queue, false, 0.1);
    cr_assert(startCalls(queue, now).started[0].attempt == (identifier { 1, 2 }));
}

Test(call_queue, isolated_call_runs_with_no_other_call)
{
    call_queue queue { .capacity = 4 };
    cr_assert(admit(queue, makeCall(1), now) == admission_verdict::Accept);
    cr_assert_eq(startCalls(queue, now).started.size(), 1u);
    cr_assert(admit(queue, makeCall(2, 0, true), now) == admission_verdict::Accept);
    cr_assert(admit(queue, makeCall(3), now) == admission_verdict::Accept);
    cr_assert(startCalls(queue, now).started.empty());
    finishCall(queue, false, 0.1);
    cr_assert_eq(startCalls(queue, now).started.size(), 1u, "the isolated call must start once no other call runs");
    finishCall(queue, true, 0.1);
    cr_assert_eq(startCalls(queue, now).started.size(), 1u);
}

Test(call_queue, higher_priority_starts_first_and_late_calls_expire)
{
    call_queue queue { .capacity = 1 };
    cr_assert(admit(queue, makeCall(1), now) == admission_verdict::Accept);
    cr_assert(admit(queue, makeCall(2, 5), now) == admission_verdict::Accept);
    cr_assert(startCalls(queue, now).started[0].attempt == (identifier { 1, 2 }));
    const dispatch_result late = startCalls(queue, now + seconds(6));
    cr_assert_eq(late.expired.size(), 1u);
    cr_assert(late.started.empty());
}

Test(call_queue, refuses_calls_that_cannot_start_before_their_deadline)
{
    call_queue queue { .capacity = 1, .maxWaiting = 100, .running = 1, .meanRunSeconds = 2 };
    cr_assert(admit(queue, makeCall(1), now) == admission_verdict::Accept);
    cr_assert(admit(queue, makeCall(2), now) == admission_verdict::Accept);
    cr_assert(admit(queue, makeCall(3), now) == admission_verdict::Infeasible, "the expected wait is 6 s, the deadline is in 5 s");
}

Test(call_queue, draining_target_accepts_no_calls)
{
    call_queue queue { .isDraining = true };
    cr_assert(admit(queue, makeCall(1), now) == admission_verdict::Draining);
}

Test(suspicion, first_crash_isolates_and_crash_in_isolation_quarantines)
{
    suspicion_table table;
    cr_assert(executionModeOf(table, 7, now) == execution_mode::Normal);
    recordCrash(table, 7, false, now);
    cr_assert(executionModeOf(table, 7, now) == execution_mode::Isolated);
    recordCrash(table, 7, true, now);
    cr_assert(executionModeOf(table, 7, now) == execution_mode::Refused);
    cr_assert(executionModeOf(table, 7, now + quarantineTime) == execution_mode::Normal, "a quarantine must end");
}

Test(suspicion, successful_run_clears_suspicion)
{
    suspicion_table table;
    recordCrash(table, 7, false, now);
    clearSuspicion(table, 7);
    cr_assert(executionModeOf(table, 7, now) == execution_mode::Normal);
}

Test(suspicion, merge_reports_only_changes)
{
    suspicion_table table;
    const suspicion report { 1, false, now + seconds(10) };
    cr_assert(mergeSuspicion(table, 7, report, now));
    cr_assert(!mergeSuspicion(table, 7, report, now));
    cr_assert(mergeSuspicion(table, 7, { 1, true, now + seconds(10) }, now));
}

Test(suspicion, table_size_is_bounded)
{
    suspicion_table table;
    for (uint64_t i = 0; i < maxSuspicions + 100; ++i)
        recordCrash(table, i, false, now + milliseconds(i));
    cr_assert_leq(table.byFingerprint.size(), maxSuspicions);
    cr_assert(executionModeOf(table, maxSuspicions + 99, now + seconds(20)) == execution_mode::Isolated);
}

Test(budget, extra_attempts_are_limited_to_a_share_of_calls)
{
    budget budget = budgetOf(2);
    int spent = 0;
    for (int i = 0; i < 1000; ++i) {
        earn(budget, 5);
        spent += trySpend(budget) ? 1 : 0;
    }
    cr_assert_geq(spent, 50);
    cr_assert_leq(spent, 52);
}

Test(hedging, one_slow_replica_in_three_does_not_raise_the_delay)
{
    latency_window window;
    cr_assert(!hedgeDelay(window));
    for (int i = 0; i < 60; ++i)
        recordLatency(window, i % 3 == 0 ? 2.0 : 0.02);
    cr_assert_eq(hedgeDelay(window)->count(), 60);
}

Test(routing, own_region_is_preferred_until_waiting_costs_more)
{
    std::mt19937_64 random(1);
    std::vector<routing_candidate> candidates(2);
    candidates[0].isInOwnRegion = true;
    candidates[1].isInOwnRegion = false;
    candidates[1].pricePerGib = 1024;
    const routing_request request { 1024 * 1024, 0, 0.1 };
    cr_assert_eq(*chooseByCost(candidates, request, { 1, 1 }, random), 0u);
    candidates[0].reportedWaitSeconds = 0.5;
    cr_assert_eq(*chooseByCost(candidates, request, { 1, 1 }, random), 0u, "half a second of wait costs less than one unit of price");
    cr_assert_eq(*chooseByCost(candidates, request, { 10, 1 }, random), 1u, "half a second of wait, weighted by 10, costs more than one unit of price");
}

Test(routing, call_leaves_its_region_only_if_the_deadline_requires_it)
{
    std::mt19937_64 random(1);
    std::vector<routing_candidate> candidates(2);
    candidates[1].isInOwnRegion = false;
    candidates[0].reportedWaitSeconds = 0.15;
    cr_assert_eq(*chooseByCost(candidates, { 1000, 0, 0.1, 0.2 }, { 10, 1 }, random), 0u);
    cr_assert_eq(*chooseByCost(candidates, { 1000, 0, 0.1, 0.1 }, { 10, 1 }, random), 1u);
    candidates[0].isEligible = false;
    cr_assert_eq(*chooseByCost(candidates, { 1000, 0, 0.1, 0.2 }, { 10, 1 }, random), 1u);
}

Test(routing, duplicates_of_a_key_reach_the_same_target_while_it_is_eligible)
{
    std::vector<routing_candidate> candidates(5);
    for (size_t i = 0; i < candidates.size(); ++i)
        candidates[i].hash = i * 1000003;
    const size_t first = *chooseByKey(candidates, 42);
    cr_assert_eq(*chooseByKey(candidates, 42), first);
    candidates[(first + 1) % 5].isEligible = false;
    cr_assert_eq(*chooseByKey(candidates, 42), first, "loss of another target must not move the key");
    candidates[first].isEligible = false;
    cr_assert_neq(*chooseByKey(candidates, 42), first);
}

Test(ownership, a_second_run_of_a_job_begins_when_waiting_longer_would_make_it_late)
{
    const time_point lostAt { seconds(100) };
    cr_assert_eq(policy::secondRunAt(lostAt, lostAt + milliseconds(300)), lostAt + milliseconds(300));
    cr_assert_eq(policy::secondRunAt(lostAt, lostAt + seconds(5)), lostAt + policy::ownerReturnTime);
    cr_assert_eq(policy::secondRunAt(lostAt, lostAt - milliseconds(1)), lostAt + policy::ownerReturnTime);
}
