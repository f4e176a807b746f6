/// Weighted fair queueing between client accounts.
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

Test(fairness, large_account_does_not_starve_small_account)
{
    fair_queue queue;
    fill(queue, "large", 1, 1000, 1);
    fill(queue, "small", 1, 10, 2);
    const int small = countServed(queue, 20, 2);
    cr_assert_eq(small, 10);
}

Test(fairness, slots_are_shared_by_weight)
{
    fair_queue queue;
    fill(queue, "a", 3, 1000, 1);
    fill(queue, "b", 1, 1000, 2);
    const int first = countServed(queue, 400, 1);
    cr_assert_geq(first, 299);
    cr_assert_leq(first, 301);
}

Test(fairness, idle_account_gains_no_credit)
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

Test(fairness, long_queue_delays_only_its_own_account)
{
    fair_queue queue;
    fill(queue, "large", 1, 100, 1);
    const admission_capacity capacity { 10, 1 };
    cr_assert_gt(predictFinishSeconds(queue, "large", 1, capacity), 10);
    cr_assert_lt(predictFinishSeconds(queue, "small", 1, capacity), 2);
}

Test(fairness, infeasible_requests_are_removed)
{
    fair_queue queue;
    fill(queue, "a", 1, 3, 1);
    cr_assert(removeInfeasible(queue, now, 1).empty());
    cr_assert_eq(removeInfeasible(queue, now + milliseconds(4500), 1).size(), 3u);
    cr_assert_eq(queue.size, 0u);
    cr_assert(!dequeue(queue));
}

Test(fairness, removed_request_is_not_admitted)
{
    fair_queue queue;
    fill(queue, "a", 1, 2, 1);
    removeQueued(queue, "a", { 1, 1 });
    cr_assert_eq(dequeue(queue)->id.low, 2u);
    cr_assert(!dequeue(queue));
}
