/// Placement of requests at targets, and ownership of pools by entries.
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

Test(placement, all_entries_send_a_long_shared_prefix_to_the_same_target)
{
    auto entryCandidates = candidatesOf(9);
    auto otherCandidates = entryCandidates;
    for (size_t i = 0; i < otherCandidates.size(); ++i)
        otherCandidates[i].isInOwnDomain = otherCandidates[i].isInOwnRegion = i % 3 == 1;
    for (uint64_t prefix = 1; prefix < 50; ++prefix) {
        const placement_request request { 13300, prefix };
        cr_assert_eq(*chooseTarget(entryCandidates, request, {}), *chooseTarget(otherCandidates, request, {}));
    }
}

Test(placement, request_with_a_short_prefix_stays_in_its_region)
{
    const auto candidates = candidatesOf(9);
    for (uint64_t prefix = 1; prefix < 50; ++prefix)
        cr_assert(candidates[*chooseTarget(candidates, { 350, prefix }, {})].isInOwnDomain);
}

Test(placement, target_with_many_queued_prefill_tokens_is_avoided)
{
    auto candidates = candidatesOf(9);
    const placement_request request { 13300, 7 };
    const size_t affinityTarget = *chooseTarget(candidates, request, {});
    candidates[affinityTarget].queuedPrefillTokens = 60000;
    cr_assert_neq(*chooseTarget(candidates, request, {}), affinityTarget);
}

Test(placement, request_goes_to_the_failure_domain_of_its_inputs)
{
    auto candidates = candidatesOf(9);
    for (auto& candidate : candidates)
        candidate.remoteInputBytes = candidate.isInOwnDomain ? 7.5e6 : 0;
    cr_assert(!candidates[*chooseTarget(candidates, { 350, 3 }, {})].isInOwnDomain);
}

Test(placement, unhealthy_or_unusable_target_is_avoided)
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

Test(placement, mixed_prefixes_are_prefilled_once_and_spread_over_targets)
{
    // Four entries in three failure domains send requests with 100 different prefixes to nine targets. A target caches each prefix
    // after its first prefill.
    std::mt19937 random(3);
    std::map<size_t, std::set<uint64_t>> cachedAt;
    std::map<size_t, size_t> load;
    size_t prefills = 0;
    for (int i = 0; i < 2000; ++i) {
        const uint64_t prefix = 1 + random() % 100;
        auto candidates = candidatesOf(9);
        const size_t own = random() % 3;
        for (size_t k = 0; k < candidates.size(); ++k)
            candidates[k].isInOwnDomain = candidates[k].isInOwnRegion = k % 3 == own;
        const size_t target = *chooseTarget(candidates, { 13300, prefix }, {});
        prefills += cachedAt[target].insert(prefix).second ? 1 : 0;
        ++load[target];
    }
    cr_assert_eq(prefills, 100u);
    for (const auto& [target, count] : load)
        cr_assert_leq(count, 2000u / 9 * 2);
}

Test(ownership, loss_of_an_entry_moves_only_its_pools)
{
    std::vector<owner_candidate> all;
    for (uint64_t i = 0; i < 12; ++i)
        all.push_back({ i * 7919, 1 });
    size_t moved = 0;
    for (uint64_t pool = 0; pool < 300; ++pool) {
        const auto ranked = rankOwners(all, pool);
        auto remaining = all;
        remaining.erase(remaining.begin() + 5);
        const uint64_t before = all[ranked[0]].hash;
        const uint64_t after = remaining[rankOwners(remaining, pool)[0]].hash;
        if (before == all[5].hash) {
            ++moved;
            cr_assert_eq(after, all[ranked[1]].hash, "the second-ranked entry must become the owner");
        } else
            cr_assert_eq(after, before);
    }
    cr_assert(moved > 0 && moved < 60);
}

Test(ownership, entry_with_less_capacity_owns_fewer_pools)
{
    constexpr size_t pools = 2000;
    const std::vector<owner_candidate> candidates { { 17, 0.3 }, { 4242, 0.5 } };
    size_t ownedByWeak = 0;
    for (uint64_t pool = 0; pool < pools; ++pool)
        ownedByWeak += rankOwners(candidates, pool)[0] == 0 ? 1 : 0;
    cr_assert(ownedByWeak > 690 && ownedByWeak < 810, "%zu of %zu pools", ownedByWeak, pools);
}

Test(ownership, no_pool_is_owned_by_a_small_entry_while_a_large_one_is_left)
{
    constexpr size_t smallCount = 85;
    constexpr size_t largeCount = 18;
    std::vector<owner_candidate> candidates;
    for (uint64_t i = 0; i < smallCount + largeCount; ++i)
        candidates.push_back({ i * 7919, i < smallCount ? 0.09 : 0.5 });
    for (uint64_t pool = 0; pool < 300; ++pool) {
        const auto ranked = rankOwners(candidates, pool);
        for (size_t rank = 0; rank < ranked.size(); ++rank)
            cr_assert_eq(ranked[rank] >= smallCount, rank < largeCount, "pool %zu, rank %zu", static_cast<size_t>(pool), rank);
    }
    candidates.resize(smallCount);
    cr_assert_eq(rankOwners(candidates, 1).size(), smallCount, "small entries own the pools if there are no others");
}

Test(placement, a_stream_avoids_a_version_that_one_target_alone_has_if_there_is_a_choice)
{
    std::vector<placement_candidate> candidates(3);
    for (auto& candidate : candidates)
        candidate.isInOwnDomain = candidate.isInOwnRegion = true;
    candidates[0].isOnlyOfVersion = true;
    candidates[1].inFlight = candidates[2].inFlight = 3;
    candidates[1].slots = candidates[2].slots = 8;
    cr_assert_neq(chooseTarget(candidates, {}, {}).value(), 0u);
    candidates[1].isUsable = candidates[2].isUsable = false;
    cr_assert_eq(chooseTarget(candidates, {}, {}).value(), 0u);
}
