/// Orders to engines to load and unload models.
#include "policy/orders.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::policy;

namespace {
const wall_time now { milliseconds(1000000) };
const desired_model desired { "m", "v2", {}, 5, {} };
}

Test(orders, engine_with_the_desired_models_gets_no_order)
{
    const reported_model reported { "m", "v2", {}, false };
    cr_assert(!nextOrder(std::span(&desired, 1), std::span(&reported, 1), 9, now));
}

Test(orders, outdated_version_is_replaced_with_the_fencing_token_of_its_note)
{
    const reported_model reported { "m", "v1", {}, false };
    const auto order = nextOrder(std::span(&desired, 1), std::span(&reported, 1), 9, now);
    cr_assert(order && order->kind == order_kind::Load && order->version == "v2" && order->fencingToken == 5);
}

Test(orders, model_that_is_not_desired_is_unloaded)
{
    const std::vector<reported_model> reported { { "m", "v2", {}, false }, { "old", "v1", {}, false } };
    const auto order = nextOrder(std::span(&desired, 1), reported, 9, now);
    cr_assert(order && order->kind == order_kind::Unload && order->name == "old" && order->fencingToken == 9);
}

Test(orders, one_model_loads_at_a_time)
{
    const reported_model loading { "other", "v1", {}, true };
    const std::vector<desired_model> both { desired, { "other", "v1", {}, 5, {} } };
    cr_assert(!nextOrder(both, std::span(&loading, 1), 9, now));
}

Test(orders, loads_are_paced_to_the_rate_of_the_weight_store)
{
    cr_assert(loadStartTime(now, 3, 10, 0) == now);
    cr_assert(loadStartTime(now, 3, 10, 10) == now + seconds(3));
    desired_model later = desired;
    later.notBefore = now + seconds(3);
    cr_assert(!nextOrder(std::span(&later, 1), {}, 9, now));
    cr_assert(nextOrder(std::span(&later, 1), {}, 9, now + seconds(3)));
}
