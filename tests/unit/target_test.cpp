/// What is believed of targets.
#include "gateway/target_registry.hpp"
#include "policy/target_health.hpp"

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

target_registry makeBook()
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

Test(target_health, a_target_out_of_reach_is_blocked_at_once_and_longer_each_time)
{
    target_health health;
    recordFailure(health, call_failure::Unreachable, start);
    cr_assert(!isUsable(health, start + milliseconds(900)));
    cr_assert(isUsable(health, start + milliseconds(1000)));
    recordFailure(health, call_failure::Unreachable, start);
    cr_assert(!isUsable(health, start + milliseconds(1900)));
}

Test(target_health, a_full_target_is_left_alone_for_a_moment_and_is_not_blamed)
{
    target_health health;
    recordFailure(health, call_failure::Full, start);
    cr_assert(!isUsable(health, start));
    cr_assert(isUsable(health, start + milliseconds(100)));
    cr_assert_eq(penaltyOf(health), 1);
}

Test(target_health, failing_and_slow_targets_look_worse)
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

Test(target_book, a_removal_counts_at_once_while_the_store_answers)
{
    auto book = makeBook();
    book.apply(targetOf("t-1"), start);
    cr_assert_eq(book.ofService("pages").size(), 1u);
    book.remove("t-1", start);
    cr_assert_eq(book.ofService("pages").size(), 0u);
}

Test(target_book, a_lapse_during_an_outage_counts_only_if_the_entry_stays_away)
{
    auto book = makeBook();
    book.apply(targetOf("t-1"), start);
    book.apply(targetOf("t-2"), start);
    book.onStoreUnreachable();
    book.onStoreReachable(start + seconds(4));
    book.applyAll({}, start + seconds(4));
    cr_assert_eq(book.ofService("pages").size(), 2u);
    book.apply(targetOf("t-1"), start + seconds(5));
    book.tick(start + seconds(5));
    cr_assert_eq(book.ofService("pages").size(), 2u);
    book.tick(start + milliseconds(6400));
    cr_assert_eq(book.ofService("pages").size(), 1u);
    cr_assert_eq(book.ofService("pages")[0]->listed.id, "t-1");
}

Test(target_book, a_target_that_was_leaving_does_not_come_back_with_the_store)
{
    auto book = makeBook();
    auto leaving = targetOf("t-1");
    leaving.isDraining = true;
    book.apply(leaving, start);
    book.onStoreUnreachable();
    book.remove("t-1", start);
    cr_assert_eq(book.ofService("pages").size(), 0u);
}

Test(target_book, a_restart_under_the_same_identifier_is_another_target)
{
    auto book = makeBook();
    book.apply(targetOf("t-1", 1), start);
    const target_ptr before = book.ofService("pages")[0];
    before->cachedPrefixes[7] = start;
    book.apply(targetOf("t-1", 2), start);
    cr_assert(before->isRemoved);
    cr_assert(book.ofService("pages")[0]->cachedPrefixes.empty());
}

Test(target_book, an_address_that_is_used_again_names_the_newer_target)
{
    target_registry book = makeBook();
    book.apply(targetOf("b-old"), start);
    cr_assert_eq(book.holderOf("10.0.0.1:80/1f")->listed.id, "b-old");
    book.apply(targetOf("a-new"), start + seconds(5));
    cr_assert_eq(book.holderOf("10.0.0.1:80/1f")->listed.id, "a-new");
    cr_assert(!book.holderOf("10.0.0.2:80/1f"), "no target is listed there");
    cr_assert(!book.holderOf("nowhere"), "a malformed handle names no target");
    book.remove("a-new", start + seconds(6));
    cr_assert_eq(book.holderOf("10.0.0.1:80/1f")->listed.id, "b-old");
}

Test(target_book, a_leaving_target_gets_no_work)
{
    auto book = makeBook();
    book.apply(targetOf("t-1"), start);
    cr_assert(book.ofService("pages")[0]->mayGetWork(start));
    auto leaving = targetOf("t-1");
    leaving.isDraining = true;
    book.apply(leaving, start);
    cr_assert(!book.ofService("pages")[0]->mayGetWork(start));
}
