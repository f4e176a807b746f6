#include "policy/placement.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace bilberryseam::policy {

namespace {
    constexpr double tokensPerUnit = 1000;
    constexpr double bytesPerMegabyte = 1e6;
}

std::optional<size_t> preferredTarget(std::span<const placement_candidate> candidates, uint64_t prefixHash)
{
    std::optional<size_t> best;
    uint64_t bestScore = 0;
    for (size_t i = 0; i < candidates.size(); ++i) {
        const uint64_t score = hashOfPair(candidates[i].hash, prefixHash);
        if (candidates[i].isUsable && (!best || score > bestScore)) {
            best = i;
            bestScore = score;
        }
    }
    return best;
}

double costOf(const placement_candidate& candidate, const placement_request& request, const placement_costs& costs) noexcept
{
    const uint64_t uncachedTokens = request.sharedTokens - std::min(request.sharedTokens, candidate.cachedTokens);
    double cost = static_cast<double>(candidate.queuedPrefillTokens) / tokensPerUnit * costs.thousandQueuedTokens;
    cost += candidate.inFlight * (candidate.inFlight >= candidate.slots ? costs.inFlightWhenFull : costs.inFlight);
    cost = cost * candidate.penalty + (candidate.penalty - 1) * costs.penalty;
    cost += static_cast<double>(uncachedTokens) / tokensPerUnit * costs.thousandUncachedTokens;
    cost += candidate.remoteInputBytes / bytesPerMegabyte * costs.remoteInputMegabyte;
    if (candidate.isCold)
        cost += costs.cold;
    if (candidate.isOnlyOfVersion)
        cost += costs.onlyOfVersion;
    if (!candidate.isInOwnDomain)
        cost += candidate.isInOwnRegion ? costs.otherDomain : costs.otherRegion;
    return cost;
}

std::optional<size_t> chooseTarget(std::span<const placement_candidate> candidates, const placement_request& request, const placement_costs& costs)
{
    const auto preferredIndex = request.prefixHash != 0 ? preferredTarget(candidates, request.prefixHash) : std::nullopt;
    std::optional<size_t> best;
    double bestCost = 0;
    for (size_t i = 0; i < candidates.size(); ++i) {
        if (!candidates[i].isUsable)
            continue;
        placement_candidate candidate = candidates[i];
        // Assumes that the prefix is cached at the preferred target: another entry may have sent it there, or will soon.
        // A cold target has just started.
        if (preferredIndex == i && !candidate.isCold)
            candidate.cachedTokens = std::max(candidate.cachedTokens, request.sharedTokens);
        const double cost = costOf(candidate, request, costs);
        if (!best || cost < bestCost) {
            best = i;
            bestCost = cost;
        }
    }
    return best;
}
}
