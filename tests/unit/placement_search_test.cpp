/// Guards against a search that leaves out candidates and chooses another target than the comparison of all of them, and against
/// one that reads the state of nearly all of 1,667 candidates: a placement must take under 20 us.
#include "policy/placement_search.hpp"

#include <criterion/criterion.h>
#include <random>
#include <vector>

using namespace bilberryseam;
using namespace bilberryseam::policy;

namespace {
constexpr size_t domains = 6;

struct candidate_list {
    std::vector<placement_candidate> candidates;
    std::vector<placement_outline> outlines;
    placement_request request;
};

void locate(placement_candidate& candidate, uint32_t domain)
{
    candidate.isInOwnDomain = domain == 0;
    candidate.isInOwnRegion = domain < 2;
    candidate.remoteInputBytes = domain == 3 ? 0 : 2e6;
}

candidate_list drawCandidates(std::mt19937_64& random, size_t count, unsigned busyShare)
{
    candidate_list list;
    list.request = { random() % 3 == 0 ? 0 : 13300u, random() % 4 == 0 ? 0 : random() };
    for (size_t i = 0; i < count; ++i) {
        const auto domain = static_cast<uint32_t>(random() % domains);
        placement_candidate candidate;
        locate(candidate, domain);
        candidate.hash = random();
        candidate.isUsable = random() % 8 != 0;
        candidate.slots = 1 + static_cast<uint32_t>(random() % 4);
        if (random() % 100 < busyShare) {
            candidate.inFlight = static_cast<uint32_t>(random() % 5);
            candidate.queuedPrefillTokens = random() % 3 * 5000;
            candidate.cachedTokens = random() % 3 * 6000;
            candidate.penalty = 1 + static_cast<double>(random() % 3) / 2;
        }
        candidate.isOnlyOfVersion = random() % 50 == 0;
        list.candidates.push_back(candidate);
        list.outlines.push_back({ candidate.hash, domain });
    }
    return list;
}

std::optional<size_t> search(const candidate_list& list, placement_search_steps& steps)
{
    const placement_costs costs;
    std::vector<double> least;
    std::vector<double> leastUncached;
    for (uint32_t domain = 0; domain < domains; ++domain) {
        placement_candidate idle;
        locate(idle, domain);
        leastUncached.push_back(costOf(idle, list.request, costs));
        idle.cachedTokens = list.request.sharedTokens;
        least.push_back(costOf(idle, list.request, costs));
    }
    return searchTarget(
        list.outlines, least, list.request, costs,
        [&](size_t i) { return (list.candidates[i].cachedTokens == 0 ? leastUncached : least)[list.outlines[i].domain]; },
        [&](size_t i) { return list.candidates[i]; }, steps);
}
}

Test(placement_search, the_search_chooses_the_target_that_the_comparison_of_all_chooses)
{
    std::mt19937_64 random(7);
    placement_search_steps steps;
    for (int round = 0; round < 20000; ++round) {
        const auto list = drawCandidates(random, random() % 40, static_cast<unsigned>(random() % 101));
        cr_assert(search(list, steps) == chooseTarget(list.candidates, list.request, {}), "round %d", round);
    }
}

Test(placement_search, a_service_with_usable_targets_is_not_searched_for_each_of_them)
{
    // At 150 requests a second over 300 gateways, one gateway has calls of its own at one target in a hundred at most.
    constexpr size_t engines = 1667;
    constexpr unsigned busyShare = 1;
    constexpr size_t rounds = 200;
    // A placement of 20 us has 12 ns for each candidate, which reads its outline; the full state of one takes about 100 ns.
    constexpr size_t maxEvaluated = engines / 10;
    std::mt19937_64 random(8);
    for (size_t round = 0; round < rounds; ++round) {
        const auto list = drawCandidates(random, engines, busyShare);
        placement_search_steps steps;
        cr_assert(search(list, steps) == chooseTarget(list.candidates, list.request, {}));
        cr_assert_leq(steps.evaluated, maxEvaluated, "round %zu evaluated %zu candidates", round, steps.evaluated);
    }
}
