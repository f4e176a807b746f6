/// What the gateway knows of a target while its record goes and returns.
#include "gateway/target_registry.hpp"
#include "support/target_work.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::gateway;

namespace {
const time_point start { seconds(1000) };

deployment::target targetOf(int64_t startedAtMs = 7, const std::string& host = "10.0.0.1", const std::string& id = "t-1")
{
    deployment::target target;
    target.id = id;
    target.service = "pages";
    target.endpoint = { host, 80 };
    target.startedAtMs = startedAtMs;
    target.softwareVersion = "v1";
    return target;
}

target_registry makeRegistry()
{
    return target_registry([](const target_state&, std::string_view) {});
}

/// A registry with one target that pauses for five minutes, leaves, is blocked and states a limit.
struct one_target {
    one_target()
        : registry(makeRegistry())
    {
        registry.apply(targetOf(), start);
        state = registry.ofService("pages")[0];
        policy::applyPause(state->pause, seconds(300), start);
        policy::applyStatedLimit(state->limit, 3.0, start, start);
        policy::recordFailure(state->health, policy::call_failure::Unreachable, start);
        state->isLeaving = true;
    }

    [[nodiscard]] target_ptr listed() const
    {
        const auto& targets = registry.ofService("pages");
        return targets.empty() ? nullptr : targets[0];
    }

    target_registry registry;
    target_ptr state;
};
}

Test(target_return, a_target_whose_record_lapses_and_returns_keeps_its_state)
{
    one_target target;
    target.registry.remove("t-1", start + seconds(1));
    cr_assert(!target.listed());
    target.registry.tick(start + seconds(60));
    target.registry.apply(targetOf(), start + seconds(60));
    cr_assert(target.listed() == target.state);
    cr_assert(!target.state->isRemoved);
    cr_assert(policy::isPaused(target.listed()->pause, start + seconds(299)));
}

Test(target_return, a_whole_list_without_a_target_and_one_with_it_keep_its_state)
{
    one_target target;
    target.registry.applyAll({}, start + seconds(1));
    target.registry.applyAll({ targetOf() }, start + seconds(2));
    cr_assert(target.listed() == target.state);
}

Test(target_return, a_target_whose_record_lapsed_in_an_outage_of_the_store_keeps_its_state)
{
    one_target target;
    target.registry.onStoreUnreachable();
    target.registry.remove("t-1", start + seconds(1));
    target.registry.onStoreReachable(start + seconds(20));
    target.registry.tick(start + seconds(40));
    cr_assert(!target.listed());
    target.registry.applyAll({ targetOf() }, start + seconds(50));
    cr_assert(target.listed() == target.state);
}

Test(target_return, a_record_of_another_writer_in_between_keeps_the_state)
{
    one_target target;
    target.registry.apply(targetOf(9), start + seconds(1));
    target.registry.apply(targetOf(), start + seconds(2));
    cr_assert(target.listed() == target.state);
}

Test(target_return, a_target_that_returns_at_another_address_keeps_its_state)
{
    one_target target;
    target.state->isReplaced = true;
    target.registry.remove("t-1", start + seconds(1));
    target.registry.apply(targetOf(7, "10.0.0.2"), start + seconds(2));
    cr_assert(target.listed() == target.state);
    cr_assert_eq(target.state->listed.endpoint.toString(), "10.0.0.2:80");
    cr_assert(!target.state->isReplaced);
    cr_assert(target.registry.holderOf("10.0.0.2:80/1f") == target.state);
}

Test(target_return, a_restarted_target_begins_anew)
{
    one_target target;
    target.registry.remove("t-1", start + seconds(1));
    target.registry.apply(targetOf(8), start + seconds(2));
    cr_assert(target.listed() != target.state);
    cr_assert(tests::mayGetWork(*target.listed(), start + seconds(2)));
}

Test(target_return, another_target_at_the_address_begins_anew)
{
    one_target target;
    target.registry.remove("t-1", start + seconds(1));
    target.registry.apply(targetOf(7, "10.0.0.1", "t-2"), start + seconds(2));
    cr_assert(tests::mayGetWork(*target.listed(), start + seconds(2)));
}

Test(target_return, a_record_that_is_older_than_the_known_start_keeps_pause_and_leaving)
{
    one_target target;
    target.registry.apply(targetOf(6), start + seconds(1));
    cr_assert(policy::isPaused(target.listed()->pause, start + seconds(299)));
    cr_assert(target.listed()->isLeaving);
}

Test(target_return, a_record_that_names_another_version_with_the_same_start_keeps_pause_and_leaving)
{
    one_target target;
    auto listed = targetOf();
    listed.softwareVersion = "v2";
    target.registry.apply(listed, start + seconds(1));
    cr_assert(target.listed() != target.state);
    cr_assert(policy::isPaused(target.listed()->pause, start + seconds(299)));
    cr_assert(target.listed()->isLeaving);
}

Test(target_return, a_target_that_was_listed_as_leaving_does_not_return_with_an_older_record)
{
    const auto draining = [](int64_t startedAtMs) {
        deployment::target target = targetOf(startedAtMs);
        target.isDraining = true;
        return target;
    };
    target_registry registry = makeRegistry();
    const auto isInService = [&registry] { return registry.ofService("pages")[0]->isInService(); };
    registry.apply(targetOf(), start);
    cr_assert(isInService());
    registry.apply(draining(7), start + seconds(1));
    // The store returned from a copy that is some seconds old.
    registry.applyAll({ targetOf() }, start + seconds(2));
    cr_assert_not(isInService(), "the older record puts the target into use again");
    // The same after its record was removed.
    registry.remove("t-1", start + seconds(3));
    registry.applyAll({ targetOf() }, start + seconds(4));
    cr_assert_not(isInService());
    // A later start is another run.
    registry.apply(targetOf(8), start + seconds(5));
    cr_assert(isInService());
    // Without a start, a restarted target cannot be told from one that leaves.
    registry.apply(draining(0), start + seconds(6));
    registry.apply(targetOf(0), start + seconds(7));
    cr_assert(isInService());
}
