/// Orders to engines.
#include "policy/orders.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::policy;

namespace {
const wall_time now { milliseconds(1000000) };
const desired_model wanted { "m", "v2", {}, 5, {} };
}

Test(orders, an_engine_that_agrees_gets_none)
{
    const reported_model present { "m", "v2", {}, false };
    cr_assert(!nextOrder(std::span(&wanted, 1), std::span(&present, 1), 9, now));
}

Test(orders, an_old_version_is_replaced_with_the_fence_of_its_note)
{
    const reported_model present { "m", "v1", {}, false };
    const auto order = nextOrder(std::span(&wanted, 1), std::span(&present, 1), 9, now);
    cr_assert(order && order->kind == order_kind::Load && order->version == "v2" && order->fencingToken == 5);
}

Test(orders, what_is_not_wanted_is_unloaded)
{
    const std::vector<reported_model> present { { "m", "v2", {}, false }, { "old", "v1", {}, false } };
    const auto order = nextOrder(std::span(&wanted, 1), present, 9, now);
    cr_assert(order && order->kind == order_kind::Unload && order->name == "old" && order->fencingToken == 9);
}

Test(orders, one_load_at_a_time)
{
    const reported_model loading { "other", "v1", {}, true };
    const std::vector<desired_model> both { wanted, { "other", "v1", {}, 5, {} } };
    cr_assert(!nextOrder(both, std::span(&loading, 1), 9, now));
}

Test(orders, loads_wait_for_their_turn_at_the_weight_store)
{
    cr_assert(loadStartTime(now, 3, 10, 0) == now);
    cr_assert(loadStartTime(now, 3, 10, 10) == now + seconds(3));
    desired_model later = wanted;
    later.notBefore = now + seconds(3);
    cr_assert(!nextOrder(std::span(&later, 1), {}, 9, now));
    cr_assert(nextOrder(std::span(&later, 1), {}, 9, now + seconds(3)));
}
