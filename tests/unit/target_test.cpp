/// The known state of targets: their health and the target list.
#include "gateway/target_registry.hpp"
#include "policy/target_health.hpp"
#include "support/target_work.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::gateway;
using namespace bilberryseam::policy;

namespace {
const time_point start { seconds(1000) };

deployment::target targetOf(const std::string& id, int64_t startedAtMs = 1)
{
    deployment::target target;
    target.id = id;
    target.service = "pages";
    target.endpoint = { "10.0.0.1", 80 };
    target.failureDomain = "a";
    target.slots = 4;
    target.startedAtMs = startedAtMs;
    return target;
}

target_registry makeRegistry()
{
    return target_registry([](const target_state&, std::string_view) {});
}
}

Test(target_health, a_target_that_fails_twice_is_blocked_and_probed_again)
{
    target_health health;
    recordFailure(health, call_failure::Failed, start);
    cr_assert(isUsable(health, start));
    recordFailure(health, call_failure::Failed, start);
    cr_assert(!isUsable(health, start));
    cr_assert(isUsable(health, start + seconds(5)));
    recordSuccess(health, 1, start + seconds(5));
    recordFailure(health, call_failure::Failed, start + seconds(5));
    cr_assert(isUsable(health, start + seconds(5)));
}

Test(target_health, an_unreachable_target_is_blocked_at_once_and_longer_each_time)
{
    target_health health;
    recordFailure(health, call_failure::Unreachable, start);
    cr_assert(!isUsable(health, start + milliseconds(900)));
    cr_assert(isUsable(health, start + milliseconds(1000)));
    recordFailure(health, call_failure::Unreachable, start);
    cr_assert(!isUsable(health, start + milliseconds(1900)));
}

Test(target_health, a_target_is_unreachable_since_a_call_until_another_call_succeeds)
{
    target_health health;
    cr_assert(!isUnreachableSince(health, start));
    recordFailure(health, call_failure::Failed, start + seconds(1));
    recordFailure(health, call_failure::Full, start + seconds(1));
    cr_assert(!isUnreachableSince(health, start));
    recordFailure(health, call_failure::Unreachable, start + seconds(1));
    cr_assert(isUnreachableSince(health, start));
    cr_assert(!isUnreachableSince(health, start + seconds(1)));
    recordSuccess(health, 1, start + seconds(2));
    cr_assert(!isUnreachableSince(health, start));
}

Test(target_health, a_full_target_is_blocked_briefly_without_a_penalty)
{
    target_health health;
    recordFailure(health, call_failure::Full, start);
    cr_assert(!isUsable(health, start));
    cr_assert(isUsable(health, start + milliseconds(100)));
    cr_assert_eq(penaltyOf(health), 1);
}

Test(target_health, failing_and_slow_targets_get_a_higher_penalty)
{
    target_health slow;
    for (int i = 0; i < 10; ++i)
        recordSuccess(slow, 5, start);
    cr_assert_geq(penaltyOf(slow), 4);
    target_health failing;
    for (int i = 0; i < 5; ++i) {
        recordFailure(failing, call_failure::Failed, start);
        recordSuccess(failing, 1, start);
    }
    cr_assert_geq(penaltyOf(failing), 2);
}

Test(target_registry, a_removal_takes_effect_at_once_while_the_store_is_reachable)
{
    auto registry = makeRegistry();
    registry.apply(targetOf("t-1"), start);
    cr_assert_eq(registry.ofService("pages").size(), 1u);
    registry.remove("t-1", start);
    cr_assert_eq(registry.ofService("pages").size(), 0u);
}

Test(target_registry, a_removal_after_an_outage_takes_effect_only_if_the_target_is_not_listed_again)
{
    auto registry = makeRegistry();
    registry.apply(targetOf("t-1"), start);
    registry.apply(targetOf("t-2"), start);
    registry.onStoreUnreachable();
    registry.onStoreReachable(start + seconds(4));
    registry.applyAll({}, start + seconds(4));
    cr_assert_eq(registry.ofService("pages").size(), 2u);
    registry.apply(targetOf("t-1"), start + seconds(5));
    registry.tick(start + seconds(5));
    cr_assert_eq(registry.ofService("pages").size(), 2u);
    registry.tick(start + milliseconds(6400));
    cr_assert_eq(registry.ofService("pages").size(), 1u);
    cr_assert_eq(registry.ofService("pages")[0]->listed.id, "t-1");
}

Test(target_registry, a_leaving_target_is_removed_at_once_during_an_outage)
{
    auto registry = makeRegistry();
    auto leavingTarget = targetOf("t-1");
    leavingTarget.isDraining = true;
    registry.apply(leavingTarget, start);
    registry.onStoreUnreachable();
    registry.remove("t-1", start);
    cr_assert_eq(registry.ofService("pages").size(), 0u);
}

Test(target_registry, a_restart_under_the_same_identifier_creates_a_new_target)
{
    auto registry = makeRegistry();
    registry.apply(targetOf("t-1", 1), start);
    const target_ptr firstRun = registry.ofService("pages")[0];
    firstRun->cachedPrefixes[7] = start;
    registry.apply(targetOf("t-1", 2), start);
    cr_assert(firstRun->isRemoved);
    cr_assert(registry.ofService("pages")[0]->cachedPrefixes.empty());
}

Test(target_registry, a_reused_address_belongs_to_the_newer_target)
{
    target_registry registry = makeRegistry();
    registry.apply(targetOf("b-old"), start);
    cr_assert_eq(registry.holderOf("10.0.0.1:80/1f")->listed.id, "b-old");
    registry.apply(targetOf("a-new"), start + seconds(5));
    cr_assert_eq(registry.holderOf("10.0.0.1:80/1f")->listed.id, "a-new");
    cr_assert(!registry.holderOf("10.0.0.2:80/1f"), "no target is listed there");
    cr_assert(!registry.holderOf("nowhere"), "a malformed handle names no target");
    registry.remove("a-new", start + seconds(6));
    cr_assert_eq(registry.holderOf("10.0.0.1:80/1f")->listed.id, "b-old");
}

Test(target_registry, a_leaving_target_gets_no_work)
{
    auto registry = makeRegistry();
    registry.apply(targetOf("t-1"), start);
    cr_assert(tests::mayGetWork(*registry.ofService("pages")[0], start));
    auto leavingTarget = targetOf("t-1");
    leavingTarget.isDraining = true;
    registry.apply(leavingTarget, start);
    cr_assert(!tests::mayGetWork(*registry.ofService("pages")[0], start));
}

Test(target_registry, a_target_that_returns_with_another_version_makes_its_last_runs_doubtful)
{
    std::vector<std::string> changes;
    target_registry registry([&](const target_state&, std::string_view change) { changes.emplace_back(change); });
    auto listed = targetOf("t-1");
    listed.softwareVersion = "v1";
    registry.apply(listed, start);
    const target_ptr first = registry.ofService(listed.service).front();
    listed.softwareVersion = "v2";
    registry.apply(listed, start);
    cr_assert(first->isRemoved && first->isVersionChanged);
    // The record may go and come back within one read of the list.
    const target_ptr second = registry.ofService(listed.service).front();
    registry.remove("t-1", start);
    listed.softwareVersion = "v3";
    registry.apply(listed, start);
    cr_assert(second->isVersionChanged);
    registry.remove("t-1", start);
    registry.apply(listed, start);
    const std::vector<std::string> expected { "listed", "version_changed", "removed", "version_changed", "removed", "listed" };
    cr_assert(changes == expected);
}
