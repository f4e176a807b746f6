/// Weighted fairness between accounts.
#include "policy/fairness.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::policy;

namespace {
const time_point now { seconds(1000) };

void fill(fair_queue& queue, const std::string& account, double weight, int count, uint64_t mark)
{
    for (int i = 0; i < count; ++i)
        enqueue(queue, account, weight, { { mark, static_cast<uint64_t>(i) + 1 }, now + seconds(5) });
}

/// @return How many of the next requests have the mark.
int countServed(fair_queue& queue, int requests, uint64_t mark)
{
    int served = 0;
    for (int i = 0; i < requests; ++i)
        served += dequeue(queue)->id.high == mark ? 1 : 0;
    return served;
}
}

Test(fairness, a_large_account_cannot_starve_a_small_one)
{
    fair_queue queue;
    fill(queue, "large", 1, 1000, 1);
    fill(queue, "small", 1, 10, 2);
    const int small = countServed(queue, 20, 2);
    cr_assert_eq(small, 10);
}

Test(fairness, weights_share_the_places)
{
    fair_queue queue;
    fill(queue, "a", 3, 1000, 1);
    fill(queue, "b", 1, 1000, 2);
    const int first = countServed(queue, 400, 1);
    cr_assert_geq(first, 299);
    cr_assert_leq(first, 301);
}

Test(fairness, an_idle_account_saves_nothing_up)
{
    fair_queue queue;
    fill(queue, "busy", 1, 100, 1);
    for (int i = 0; i < 50; ++i)
        static_cast<void>(dequeue(queue));
    fill(queue, "late", 1, 100, 2);
    const int late = countServed(queue, 20, 2);
    cr_assert_geq(late, 9);
    cr_assert_leq(late, 11);
}

Test(fairness, a_long_queue_of_its_own_makes_a_request_hopeless_and_not_that_of_others)
{
    fair_queue queue;
    fill(queue, "large", 1, 100, 1);
    const admission_capacity place { 10, 1 };
    cr_assert_gt(predictFinishSeconds(queue, "large", 1, place), 10);
    cr_assert_lt(predictFinishSeconds(queue, "small", 1, place), 2);
}

Test(fairness, the_hopeless_are_taken_out_to_be_told_at_once)
{
    fair_queue queue;
    fill(queue, "a", 1, 3, 1);
    cr_assert(removeInfeasible(queue, now, 1).empty());
    cr_assert_eq(removeInfeasible(queue, now + milliseconds(4500), 1).size(), 3u);
    cr_assert_eq(queue.size, 0u);
    cr_assert(!dequeue(queue));
}

Test(fairness, a_request_that_left_is_not_admitted)
{
    fair_queue queue;
    fill(queue, "a", 1, 2, 1);
    removeQueued(queue, "a", { 1, 1 });
    cr_assert_eq(dequeue(queue)->id.low, 2u);
    cr_assert(!dequeue(queue));
}
