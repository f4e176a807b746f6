/// Decisions as pure functions.
#include "policy/policy.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::policy;

namespace {
const time_point now { seconds(1000) };

queued_call callNumber(uint64_t number, uint8_t priority = 0, bool isAlone = false)
{
    return { { 1, number }, now + seconds(5), priority, isAlone };
}
}

Test(gate, starts_up_to_capacity_then_queues_then_refuses)
{
    call_queue gate { .capacity = 2, .maxWaiting = 1 };
    for (uint64_t i = 0; i < 2; ++i) {
        cr_assert(admit(gate, callNumber(i), now) == admission_verdict::Accept);
        cr_assert_eq(startCalls(gate, now).started.size(), 1u);
    }
    cr_assert(admit(gate, callNumber(2), now) == admission_verdict::Accept);
    cr_assert(startCalls(gate, now).started.empty());
    cr_assert(admit(gate, callNumber(3), now) == admission_verdict::QueueFull);
    finishCall(gate, false, 0.1);
    cr_assert(startCalls(gate, now).started[0].attempt == (identifier { 1, 2 }));
}

Test(gate, a_call_alone_has_nothing_beside_it)
{
    call_queue gate { .capacity = 4 };
    cr_assert(admit(gate, callNumber(1), now) == admission_verdict::Accept);
    cr_assert_eq(startCalls(gate, now).started.size(), 1u);
    cr_assert(admit(gate, callNumber(2, 0, true), now) == admission_verdict::Accept);
    cr_assert(admit(gate, callNumber(3), now) == admission_verdict::Accept);
    cr_assert(startCalls(gate, now).started.empty());
    finishCall(gate, false, 0.1);
    cr_assert_eq(startCalls(gate, now).started.size(), 1u, "the suspect starts alone");
    finishCall(gate, true, 0.1);
    cr_assert_eq(startCalls(gate, now).started.size(), 1u);
}

Test(gate, priorities_go_first_and_late_calls_expire)
{
    call_queue gate { .capacity = 1 };
    cr_assert(admit(gate, callNumber(1), now) == admission_verdict::Accept);
    cr_assert(admit(gate, callNumber(2, 5), now) == admission_verdict::Accept);
    cr_assert(startCalls(gate, now).started[0].attempt == (identifier { 1, 2 }));
    const dispatch_result late = startCalls(gate, now + seconds(6));
    cr_assert_eq(late.expired.size(), 1u);
    cr_assert(late.started.empty());
}

Test(gate, refuses_what_could_not_start_in_time)
{
    call_queue gate { .capacity = 1, .maxWaiting = 100, .running = 1, .meanRunSeconds = 2 };
    cr_assert(admit(gate, callNumber(1), now) == admission_verdict::Accept);
    cr_assert(admit(gate, callNumber(2), now) == admission_verdict::Accept);
    cr_assert(admit(gate, callNumber(3), now) == admission_verdict::Infeasible, "6 s of waiting, 5 s left");
}

Test(gate, a_leaving_target_takes_no_new_work)
{
    call_queue gate { .isDraining = true };
    cr_assert(admit(gate, callNumber(1), now) == admission_verdict::Draining);
}

Test(suspicion, one_crash_means_alone_and_a_second_alone_means_quarantine)
{
    suspicion_table table;
    cr_assert(executionModeOf(table, 7, now) == execution_mode::Normal);
    recordCrash(table, 7, false, now);
    cr_assert(executionModeOf(table, 7, now) == execution_mode::Isolated);
    recordCrash(table, 7, true, now);
    cr_assert(executionModeOf(table, 7, now) == execution_mode::Refused);
    cr_assert(executionModeOf(table, 7, now + quarantineTime) == execution_mode::Normal, "a quarantine ends");
}

Test(suspicion, an_innocent_neighbour_is_absolved)
{
    suspicion_table table;
    recordCrash(table, 7, false, now);
    clearSuspicion(table, 7);
    cr_assert(executionModeOf(table, 7, now) == execution_mode::Normal);
}

Test(suspicion, only_news_is_passed_on)
{
    suspicion_table table;
    const suspicion told { 1, false, now + seconds(10) };
    cr_assert(mergeSuspicion(table, 7, told, now));
    cr_assert(!mergeSuspicion(table, 7, told, now));
    cr_assert(mergeSuspicion(table, 7, { 1, true, now + seconds(10) }, now));
}

Test(suspicion, memory_is_bounded)
{
    suspicion_table table;
    for (uint64_t i = 0; i < maxSuspicions + 100; ++i)
        recordCrash(table, i, false, now + milliseconds(i));
    cr_assert_leq(table.byFingerprint.size(), maxSuspicions);
    cr_assert(executionModeOf(table, maxSuspicions + 99, now + seconds(20)) == execution_mode::Isolated);
}

Test(budget, extra_attempts_stay_a_share_of_calls)
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

Test(hedging, one_straggler_in_three_does_not_teach_patience)
{
    latency_window window;
    cr_assert(!hedgeDelay(window));
    for (int i = 0; i < 60; ++i)
        recordLatency(window, i % 3 == 0 ? 2.0 : 0.02);
    cr_assert_eq(hedgeDelay(window)->count(), 60);
}

Test(routing, the_own_region_goes_first_until_waiting_costs_more)
{
    std::mt19937_64 random(1);
    std::vector<routing_candidate> choices(2);
    choices[0].isInOwnRegion = true;
    choices[1].isInOwnRegion = false;
    choices[1].pricePerGib = 1024;
    const routing_request request { 1024 * 1024, 0, 0.1 };
    cr_assert_eq(*chooseByCost(choices, request, { 1, 1 }, random), 0u);
    choices[0].reportedWaitSeconds = 0.5;
    cr_assert_eq(*chooseByCost(choices, request, { 1, 1 }, random), 0u, "half a second is worth less than one unit");
    cr_assert_eq(*chooseByCost(choices, request, { 10, 1 }, random), 1u, "five units are worth more than one");
}

Test(routing, bytes_cross_regions_only_if_the_deadline_needs_it)
{
    std::mt19937_64 random(1);
    std::vector<routing_candidate> choices(2);
    choices[1].isInOwnRegion = false;
    choices[0].reportedWaitSeconds = 0.15;
    cr_assert_eq(*chooseByCost(choices, { 1000, 0, 0.1, 0.2 }, { 10, 1 }, random), 0u);
    cr_assert_eq(*chooseByCost(choices, { 1000, 0, 0.1, 0.1 }, { 10, 1 }, random), 1u);
    choices[0].isEligible = false;
    cr_assert_eq(*chooseByCost(choices, { 1000, 0, 0.1, 0.2 }, { 10, 1 }, random), 1u);
}

Test(routing, repeats_of_a_key_meet_the_same_target_while_it_is_up)
{
    std::vector<routing_candidate> choices(5);
    for (size_t i = 0; i < choices.size(); ++i)
        choices[i].hash = i * 1000003;
    const size_t first = *chooseByKey(choices, 42);
    cr_assert_eq(*chooseByKey(choices, 42), first);
    choices[(first + 1) % 5].isEligible = false;
    cr_assert_eq(*chooseByKey(choices, 42), first, "others may leave without moving the key");
    choices[first].isEligible = false;
    cr_assert_neq(*chooseByKey(choices, 42), first);
}
