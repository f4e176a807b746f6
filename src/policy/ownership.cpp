#include "policy/ownership.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace bilberryseam::policy {

namespace {
    /// Weighted rendezvous hashing: the probability that a candidate ranks first is its share of all weights.
    double scoreOf(const owner_candidate& candidate, uint64_t pool) noexcept
    {
        constexpr double range = 18446744073709551616.0;
        const double uniform = (static_cast<double>(hashOfPair(candidate.hash, pool)) + 0.5) / range;
        return -candidate.weight / std::log(std::min(uniform, 1 - 1e-16));
    }
}

time_point secondRunAt(time_point lostAt, time_point latestStart) noexcept
{
    const time_point last = lostAt + ownerReturnTime;
    return latestStart <= lostAt ? last : std::min(last, latestStart);
}

owner_place placeOf(const owner_candidate& candidate, uint64_t pool, double largestWeight) noexcept
{
    return { candidate.weight < largestWeight * minOwnerShare, scoreOf(candidate, pool), candidate.hash };
}

bool ranksBefore(const owner_place& left, const owner_place& right) noexcept
{
    if (left.isSmall != right.isSmall)
        return right.isSmall;
    return left.score != right.score ? left.score > right.score : left.hash < right.hash;
}

std::vector<size_t> rankOwners(std::span<const owner_candidate> candidates, uint64_t pool)
{
    std::vector<double> scores;
    for (const auto& candidate : candidates)
        scores.push_back(scoreOf(candidate, pool));
    double largest = 0;
    for (const auto& candidate : candidates)
        largest = std::max(largest, candidate.weight);
    const auto isSmall = [&](size_t index) { return candidates[index].weight < largest * minOwnerShare; };
    std::vector<size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), size_t { 0 });
    std::sort(order.begin(), order.end(), [&](size_t left, size_t right) {
        if (isSmall(left) != isSmall(right))
            return isSmall(right);
        return scores[left] != scores[right] ? scores[left] > scores[right] : candidates[left].hash < candidates[right].hash;
    });
    return order;
}
}
