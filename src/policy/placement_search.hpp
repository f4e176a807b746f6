/// Search for the target of a request among thousands, with the same result as `chooseTarget`.
///
/// Load pattern: a service has hundreds to thousands of targets, and one process has calls of its own at few of them. Most
/// candidates are worse than the best one whatever their load is: they are in another region, and do not have the prompt prefix.
/// They are left out by a bound of their cost that does not depend on their state.
#pragma once

#include "base/hash.hpp"
#include "policy/placement.hpp"

#include <algorithm>

namespace bilberryseam::policy {

/// What is known of a candidate without its state.
struct placement_outline {
    /// Stable hash of the target's identifier.
    uint64_t hash = 0;
    /// Index of its failure domain.
    uint32_t domain = 0;
};

/// Counts the steps of searches, for tests and benchmarks.
struct placement_search_steps {
    /// Candidates whose state was read in full.
    size_t evaluated = 0;
};

/// @param outlines      All candidates.
/// @param leastCosts    By failure domain: a cost that no candidate in the domain undercuts.
/// @param leastCostOf   Called with an index: a cost that the candidate does not undercut unless it is the preferred one.
/// @param candidateOf   Called with an index: the candidate.
/// @return The index that `chooseTarget` returns for the same candidates. Their penalties must be at least 1.
template <typename LeastCostOf, typename CandidateOf>
[[nodiscard]] std::optional<size_t> searchTarget(std::span<const placement_outline> outlines, std::span<const double> leastCosts, const placement_request& request, const placement_costs& costs, LeastCostOf leastCostOf, CandidateOf candidateOf, placement_search_steps& steps)
{
    std::optional<size_t> best;
    double bestCost = 0;
    // Of equal candidates the first one is chosen.
    const auto mayBeChosen = [&](double cost, size_t index) { return !best || cost < bestCost || (cost == bestCost && index < *best); };
    const auto consider = [&](size_t index, const placement_candidate& candidate) {
        if (const double cost = costOf(candidate, request, costs); mayBeChosen(cost, index)) {
            best = index;
            bestCost = cost;
        }
    };
    std::optional<size_t> preferredIndex;
    if (request.prefixHash != 0) {
        uint64_t bestScore = 0;
        placement_candidate preferred;
        for (size_t i = 0; i < outlines.size(); ++i) {
            const uint64_t score = hashOfPair(outlines[i].hash, request.prefixHash);
            if (preferredIndex && score <= bestScore)
                continue;
            ++steps.evaluated;
            const placement_candidate candidate = candidateOf(i);
            if (!candidate.isUsable)
                continue;
            preferredIndex = i;
            bestScore = score;
            preferred = candidate;
        }
        // Assumes that the prefix is cached at the preferred target, as `chooseTarget` does.
        if (preferredIndex) {
            preferred.cachedTokens = std::max(preferred.cachedTokens, request.sharedTokens);
            consider(*preferredIndex, preferred);
        }
    }
    for (size_t i = 0; i < outlines.size(); ++i) {
        if (i == preferredIndex || !mayBeChosen(leastCosts[outlines[i].domain], i) || !mayBeChosen(leastCostOf(i), i))
            continue;
        ++steps.evaluated;
        if (const placement_candidate candidate = candidateOf(i); candidate.isUsable)
            consider(i, candidate);
    }
    return best;
}
}
