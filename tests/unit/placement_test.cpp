/// Which target runs a request, and which entry owns a pool.
#include "policy/ownership.hpp"
#include "policy/placement.hpp"

#include <criterion/criterion.h>
#include <map>
#include <random>
#include <set>

using namespace bilberryseam::policy;

namespace {
std::vector<placement_candidate> candidatesOf(size_t count)
{
    std::vector<placement_candidate> candidates;
    for (size_t i = 0; i < count; ++i) {
        placement_candidate candidate;
        candidate.hash = 1000 + i;
        candidate.isInOwnDomain = i % 3 == 0;
        candidate.isInOwnRegion = i % 3 == 0;
        candidate.slots = 64;
        candidates.push_back(candidate);
    }
    return candidates;
}
}

Test(placement, all_entries_send_a_long_shared_prefix_to_one_target)
{
    auto here = candidatesOf(9);
    auto there = here;
    for (size_t i = 0; i < there.size(); ++i)
        there[i].isInOwnDomain = there[i].isInOwnRegion = i % 3 == 1;
    for (uint64_t prefix = 1; prefix < 50; ++prefix) {
        const placement_request request { 13300, prefix };
        cr_assert_eq(*chooseTarget(here, request, {}), *chooseTarget(there, request, {}));
    }
}

Test(placement, a_short_prefix_does_not_leave_the_region)
{
    const auto candidates = candidatesOf(9);
    for (uint64_t prefix = 1; prefix < 50; ++prefix)
        cr_assert(candidates[*chooseTarget(candidates, { 350, prefix }, {})].isInOwnDomain);
}

Test(placement, a_target_with_too_much_to_read_is_left_alone)
{
    auto candidates = candidatesOf(9);
    const placement_request request { 13300, 7 };
    const size_t preferred = *chooseTarget(candidates, request, {});
    candidates[preferred].queuedPrefillTokens = 60000;
    cr_assert_neq(*chooseTarget(candidates, request, {}), preferred);
}

Test(placement, inputs_pull_a_request_towards_their_failure_domain)
{
    auto candidates = candidatesOf(9);
    for (auto& candidate : candidates)
        candidate.remoteInputBytes = candidate.isInOwnDomain ? 7.5e6 : 0;
    cr_assert(!candidates[*chooseTarget(candidates, { 350, 3 }, {})].isInOwnDomain);
}

Test(placement, a_bad_or_unusable_target_is_avoided)
{
    auto candidates = candidatesOf(2);
    candidates[1].isInOwnDomain = candidates[1].isInOwnRegion = true;
    candidates[0].penalty = 3;
    cr_assert_eq(*chooseTarget(candidates, {}, {}), 1u);
    candidates[1].isUsable = false;
    cr_assert_eq(*chooseTarget(candidates, {}, {}), 0u);
    candidates[0].isUsable = false;
    cr_assert(!chooseTarget(candidates, {}, {}));
}

Test(placement, a_replayed_mix_of_prefixes_is_read_once_and_stays_spread)
{
    // Four entries in three failure domains send requests for 100 subjects to nine targets; a target that has read a subject knows it.
    std::mt19937 random(3);
    std::map<size_t, std::set<uint64_t>> read;
    std::map<size_t, size_t> load;
    size_t readings = 0;
    for (int i = 0; i < 2000; ++i) {
        const uint64_t subject = 1 + random() % 100;
        auto candidates = candidatesOf(9);
        const size_t own = random() % 3;
        for (size_t k = 0; k < candidates.size(); ++k)
            candidates[k].isInOwnDomain = candidates[k].isInOwnRegion = k % 3 == own;
        const size_t chosen = *chooseTarget(candidates, { 13300, subject }, {});
        readings += read[chosen].insert(subject).second ? 1 : 0;
        ++load[chosen];
    }
    cr_assert_eq(readings, 100u);
    for (const auto& [target, count] : load)
        cr_assert_leq(count, 2000u / 9 * 2);
}

Test(ownership, all_processes_rank_alike_and_a_loss_moves_only_the_lost_pools)
{
    std::vector<owner_candidate> all;
    for (uint64_t i = 0; i < 12; ++i)
        all.push_back({ i * 7919, 1 });
    size_t moved = 0;
    for (uint64_t pool = 0; pool < 300; ++pool) {
        const auto ranked = rankOwners(all, pool);
        auto without = all;
        without.erase(without.begin() + 5);
        const uint64_t before = all[ranked[0]].hash;
        const uint64_t after = without[rankOwners(without, pool)[0]].hash;
        if (before == all[5].hash) {
            ++moved;
            cr_assert_eq(after, all[ranked[1]].hash, "the next in line takes over");
        } else
            cr_assert_eq(after, before);
    }
    cr_assert(moved > 0 && moved < 60);
}

Test(ownership, a_weak_entry_owns_less)
{
    const std::vector<owner_candidate> both { { 17, 0.1 }, { 4242, 0.5 } };
    size_t weak = 0;
    for (uint64_t pool = 0; pool < 2000; ++pool)
        weak += rankOwners(both, pool)[0] == 0 ? 1 : 0;
    cr_assert(weak > 200 && weak < 500, "%zu of 2000 pools", weak);
}
