#include "policy/placement.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace bilberryseam::policy {

namespace {
    constexpr double tokensPerUnit = 1000;

    uint64_t mix(uint64_t left, uint64_t right) noexcept
    {
        const uint64_t both[2] { left, right };
        return hashOf({ reinterpret_cast<const char*>(both), sizeof both });
    }

    /// The candidate that every process prefers for the prefix, by rendezvous hashing inside the nearest failure domain.
    std::optional<size_t> preferredOf(std::span<const placement_candidate> candidates, uint64_t prefixHash)
    {
        std::optional<size_t> best;
        uint64_t bestScore = 0;
        for (size_t i = 0; i < candidates.size(); ++i) {
            const uint64_t score = mix(candidates[i].hash, prefixHash);
            if (!candidates[i].isUsable)
                continue;
            const bool isNearer = best && candidates[i].isOwnDomain && !candidates[*best].isOwnDomain;
            const bool isFarther = best && !candidates[i].isOwnDomain && candidates[*best].isOwnDomain;
            if (!best || isNearer || (!isFarther && score > bestScore)) {
                best = i;
                bestScore = score;
            }
        }
        return best;
    }
}

double costOf(const placement_candidate& candidate, const placement_request& request, const placement_costs& costs, bool isPreferred) noexcept
{
    const uint64_t unread = request.promptTokens - std::min(request.promptTokens, candidate.knownTokens);
    double cost = static_cast<double>(unread + candidate.unreadTokens) / tokensPerUnit * costs.thousandTokens;
    cost += costs.inFlight * candidate.inFlight * (candidate.inFlight >= candidate.slots ? 10 : 1);
    cost *= candidate.penalty;
    // A candidate that seems bad costs something even when it is empty.
    cost += (candidate.penalty - 1) * 200;
    if (!candidate.isOwnDomain)
        cost += candidate.isOwnRegion ? costs.otherDomain : costs.otherRegion;
    if (!isPreferred && request.prefixHash != 0)
        cost += costs.notPreferred;
    return cost;
}

std::optional<size_t> chooseTarget(std::span<const placement_candidate> candidates, const placement_request& request, const placement_costs& costs)
{
    const auto preferred = request.prefixHash != 0 ? preferredOf(candidates, request.prefixHash) : std::nullopt;
    std::optional<size_t> best;
    double bestCost = 0;
    for (size_t i = 0; i < candidates.size(); ++i) {
        if (!candidates[i].isUsable)
            continue;
        const double cost = costOf(candidates[i], request, costs, preferred == i);
        if (!best || cost < bestCost) {
            best = i;
            bestCost = cost;
        }
    }
    return best;
}
}
