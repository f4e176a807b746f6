/// Guards against cost terms that do not belong to the decision, and against lists of targets in a wrong order.
#include "gateway/placement_explanation.hpp"

#include "policy/placement.hpp"

#include <algorithm>
#include <cmath>
#include <criterion/criterion.h>
#include <random>
#include <string>
#include <tuple>

using namespace bilberryseam;
using namespace bilberryseam::policy;

namespace {
constexpr uint64_t seeds = 300;

std::vector<placement_candidate> drawCandidates(std::mt19937_64& random)
{
    std::vector<placement_candidate> candidates(1 + random() % 40);
    for (auto& candidate : candidates) {
        candidate.hash = random();
        candidate.isUsable = random() % 6 != 0;
        candidate.isInOwnDomain = random() % 4 == 0;
        candidate.isInOwnRegion = candidate.isInOwnDomain || random() % 2 == 0;
        candidate.inFlight = static_cast<uint32_t>(random() % 6);
        candidate.slots = 1 + static_cast<uint32_t>(random() % 64);
        candidate.queuedPrefillTokens = random() % 20000;
        candidate.cachedTokens = random() % 3 * 6000;
        candidate.remoteInputBytes = static_cast<double>(random() % 3000000);
        candidate.isOnlyOfVersion = random() % 10 == 0;
        candidate.isCold = random() % 10 == 0;
        candidate.penalty = 1 + static_cast<double>(random() % 3) / 2;
        candidate.load = { static_cast<double>(random() % 80), static_cast<double>(random() % 60000), 0, static_cast<double>(5000 + random() % 5000), static_cast<double>(random() % 50) };
    }
    return candidates;
}

placement_request drawRequest(std::mt19937_64& random)
{
    return { random() % 3 == 0 ? 0 : 13300u, random() % 3 == 0 ? 0 : random() };
}
}

Test(placement_explanation, choice_has_the_least_sum_of_terms)
{
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        std::mt19937_64 random(seed);
        auto candidates = drawCandidates(random);
        const placement_request request = drawRequest(random);
        const auto choice = chooseTarget(candidates, request, {});
        const auto preferred = request.prefixHash != 0 ? preferredTarget(candidates, request.prefixHash) : std::nullopt;
        if (preferred && !candidates[*preferred].isCold)
            candidates[*preferred].cachedTokens = std::max(candidates[*preferred].cachedTokens, request.sharedTokens);
        std::optional<size_t> least;
        for (size_t i = 0; i < candidates.size(); ++i) {
            const double sum = costTermsOf(candidates[i], request, {}).sum();
            cr_assert_eq(sum, costOf(candidates[i], request, {}));
            if (candidates[i].isUsable && (!least || sum < costTermsOf(candidates[*least], request, {}).sum()))
                least = i;
        }
        cr_assert(choice == least, "seed %lu", static_cast<unsigned long>(seed));
    }
}

Test(placement_explanation, choice_by_load_is_a_near_tie_of_the_least_sum_of_terms)
{
    size_t comparedCount = 0;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        std::mt19937_64 random(seed);
        const auto candidates = drawCandidates(random);
        const placement_request request = drawRequest(random);
        load_placement_request load;
        load.tieHash = random();
        load.unseenSends = static_cast<double>(random() % 10);
        load.figureAge = milliseconds(random() % 1000);
        const load_costs costs;
        const auto choice = chooseByLoad(candidates, request, load, costs);
        const auto terms = loadTermsOf(candidates, request, load, costs);
        cr_assert_eq(terms.size(), candidates.size());
        double least = INFINITY;
        for (size_t i = 0; i < candidates.size(); ++i) {
            if (candidates[i].isUsable)
                least = std::min(least, terms[i].sum());
            else
                cr_assert_eq(terms[i].sum(), 0);
        }
        if (!choice || choice->isForPrefix)
            continue;
        ++comparedCount;
        // Rounding of the parts.
        constexpr double tolerance = 1e-6;
        cr_assert_leq(terms[choice->index].sum(), least + costs.nearTie + tolerance, "seed %lu", static_cast<unsigned long>(seed));
        cr_assert_geq(terms[choice->index].load + tolerance, choice->loadMilliseconds, "seed %lu", static_cast<unsigned long>(seed));
    }
    cr_assert_gt(comparedCount, 0u);
}

Test(placement_explanation, chosen_target_comes_first_and_unusable_ones_last)
{
    constexpr size_t count = 2 * gateway::maxExplainedTargets;
    std::vector<std::string> ids;
    for (size_t i = 0; i < count; ++i)
        ids.push_back("t-" + std::to_string(i));
    std::vector<gateway::target_rank> ranks;
    for (size_t i = 0; i < count; ++i)
        ranks.push_back({ i == 50, i % 3 == 1, static_cast<double>((i * 37) % 401), ids[i] });
    const auto order = gateway::listedOrder(ranks);
    cr_assert_eq(order.size(), gateway::maxExplainedTargets);
    cr_assert_eq(order.front(), 50u);
    const auto keyOf = [&ranks](size_t i) { return std::tuple(!ranks[i].isUsable, ranks[i].isUsable ? ranks[i].cost : 0.0, ranks[i].id); };
    for (size_t i = 2; i < order.size(); ++i)
        cr_assert(keyOf(order[i - 1]) < keyOf(order[i]), "%s is behind %s", ids[order[i]].c_str(), ids[order[i - 1]].c_str());
    cr_assert_not(ranks[order.back()].isUsable);
}

Test(placement_explanation, four_explanations_a_second)
{
    std::deque<time_point> given;
    const time_point start { seconds(100) };
    for (size_t i = 0; i < gateway::maxExplanationsPerSecond; ++i)
        cr_assert(!gateway::takeExplanation(given, start + milliseconds(100 * i)));
    cr_assert(gateway::takeExplanation(given, start + milliseconds(900)) == milliseconds(100));
    cr_assert(!gateway::takeExplanation(given, start + milliseconds(1000)));
    cr_assert(gateway::takeExplanation(given, start + milliseconds(1000)) == milliseconds(100));
}
