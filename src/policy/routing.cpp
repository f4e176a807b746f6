#include "policy/routing.hpp"

#include <algorithm>
#include <vector>

namespace bilberryseam::policy {

namespace {
    constexpr double bytesPerGib = 1024.0 * 1024.0 * 1024.0;

    /// A prefix's affinity target is used while its load is at most this multiple of the mean.
    constexpr double affinityLoadBound = 1.25;

    uint64_t mix(uint64_t a, uint64_t b) noexcept
    {
        uint64_t z = a ^ (b + 0x9e3779b97f4a7c15ULL + (a << 6) + (a >> 2));
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
        z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
        return z ^ (z >> 31);
    }

    std::vector<size_t> eligibleIndices(std::span<const routing_candidate> candidates, bool isOwnRegionOnly)
    {
        std::vector<size_t> indices;
        for (size_t i = 0; i < candidates.size(); ++i) {
            if (candidates[i].isEligible && (candidates[i].isInOwnRegion || !isOwnRegionOnly))
                indices.push_back(i);
        }
        return indices;
    }

    /// Own region if it has any eligible target, else all regions.
    std::vector<size_t> nearestIndices(std::span<const routing_candidate> candidates)
    {
        std::vector<size_t> indices = eligibleIndices(candidates, true);
        return indices.empty() ? eligibleIndices(candidates, false) : indices;
    }

    /// Load per unit of capacity: the larger of the side's report and this process's own calls.
    double loadOf(const routing_candidate& target) noexcept
    {
        return std::max<double>(target.reportedLoad, target.inFlight) / target.capacity;
    }

    double priceOf(const routing_candidate& target, const routing_request& request) noexcept
    {
        return target.isInOwnRegion ? 0 : target.pricePerGib * request.bytes / bytesPerGib;
    }

    double waitOf(const routing_candidate& target, const routing_request& request) noexcept
    {
        const double load = std::max<double>(target.reportedLoad, target.inFlight);
        const double excess = std::max(0.0, load + 1 - target.capacity);
        return std::max(target.reportedWaitSeconds, excess * request.meanRunSeconds / target.capacity);
    }
}

std::optional<size_t> chooseRoundRobin(std::span<const routing_candidate> candidates, uint64_t& turn)
{
    const std::vector<size_t> indices = nearestIndices(candidates);
    if (indices.empty())
        return std::nullopt;
    return indices[turn++ % indices.size()];
}

std::optional<size_t> chooseByKey(std::span<const routing_candidate> candidates, uint64_t keyHash)
{
    const std::vector<size_t> indices = eligibleIndices(candidates, false);
    if (indices.empty())
        return std::nullopt;
    return *std::max_element(indices.begin(), indices.end(), [&](size_t a, size_t b) { return mix(candidates[a].hash, keyHash) < mix(candidates[b].hash, keyHash); });
}

namespace {
    double timeAt(const routing_candidate& target, const routing_request& request) noexcept
    {
        return waitOf(target, request) + target.meanRunSeconds;
    }

    std::optional<size_t> cheapestOf(std::span<const routing_candidate> candidates, std::span<const size_t> indices, const routing_request& request, const routing_weights& weights, std::mt19937_64& random)
    {
        std::optional<size_t> best;
        double bestScore = 0;
        uint64_t bestTie = 0;
        for (const size_t i : indices) {
            const routing_candidate& target = candidates[i];
            const double score = weights.attainment * timeAt(target, request) + weights.cost * priceOf(target, request) + 1e-6 * loadOf(target);
            const uint64_t tie = random();
            if (!best || score < bestScore || (score == bestScore && tie < bestTie)) {
                best = i;
                bestScore = score;
                bestTie = tie;
            }
        }
        return best;
    }

    /// Rendezvous hashing with bounded load: the prefix's highest-ranked target that is not overloaded.
    std::optional<size_t> affinityTarget(std::span<const routing_candidate> candidates, std::span<const size_t> indices, uint64_t prefixHash)
    {
        double loadSum = 0;
        for (const size_t i : indices)
            loadSum += loadOf(candidates[i]);
        const double bound = affinityLoadBound * (loadSum / static_cast<double>(indices.size()) + 1.0 / candidates[indices.front()].capacity);
        std::optional<size_t> best;
        for (const size_t i : indices) {
            const bool isWithinBound = loadOf(candidates[i]) <= bound && loadOf(candidates[i]) < 1;
            if (isWithinBound && (!best || mix(candidates[i].hash, prefixHash) > mix(candidates[*best].hash, prefixHash)))
                best = i;
        }
        return best;
    }
}

std::optional<size_t> chooseByCost(std::span<const routing_candidate> candidates, const routing_request& request, const routing_weights& weights, std::mt19937_64& random)
{
    const std::vector<size_t> indices = eligibleIndices(candidates, false);
    if (indices.empty())
        return std::nullopt;
    if (request.prefixHash != 0) {
        if (const auto affinity = affinityTarget(candidates, nearestIndices(candidates), request.prefixHash))
            return affinity;
    }
    const std::optional<size_t> best = cheapestOf(candidates, indices, request, weights, random);
    if (!best || candidates[*best].isInOwnRegion)
        return best;
    const std::vector<size_t> ownRegion = eligibleIndices(candidates, true);
    if (ownRegion.empty())
        return best;
    // A call leaves its region only if staying would cost more time than the deadline's slack.
    const std::optional<size_t> bestInOwnRegion = cheapestOf(candidates, ownRegion, request, weights, random);
    const double gain = timeAt(candidates[*bestInOwnRegion], request) - timeAt(candidates[*best], request);
    return gain > request.slackSeconds ? best : bestInOwnRegion;
}
}
