#include "policy/placement.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

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

cost_terms costTermsOf(const placement_candidate& candidate, const placement_request& request, const placement_costs& costs) noexcept
{
    const uint64_t uncachedTokens = request.sharedTokens - std::min(request.sharedTokens, candidate.cachedTokens);
    cost_terms terms;
    terms.load = static_cast<double>(candidate.queuedPrefillTokens) / tokensPerUnit * costs.thousandQueuedTokens;
    terms.load += candidate.inFlight * (candidate.inFlight >= candidate.slots ? costs.inFlightWhenFull : costs.inFlight);
    terms.load = terms.load * candidate.penalty + (candidate.penalty - 1) * costs.penalty;
    terms.uncachedPrefix = static_cast<double>(uncachedTokens) / tokensPerUnit * costs.thousandUncachedTokens;
    terms.remoteInputs = candidate.remoteInputBytes / bytesPerMegabyte * costs.remoteInputMegabyte;
    if (candidate.isCold)
        terms.cold = costs.cold;
    if (candidate.isOnlyOfVersion)
        terms.onlyOfVersion = costs.onlyOfVersion;
    if (!candidate.isInOwnDomain)
        terms.distance = candidate.isInOwnRegion ? costs.otherDomain : costs.otherRegion;
    return terms;
}

double costOf(const placement_candidate& candidate, const placement_request& request, const placement_costs& costs) noexcept
{
    return costTermsOf(candidate, request, costs).sum();
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

namespace {
    /// The pace of a target counts half if it has this many samples; with few of them it is chance.
    constexpr double doubtfulPaceSamples = 10;
    /// A measured pace outside these bounds is a fault; no target is excluded for it.
    constexpr double minSlowness = 0.5;
    constexpr double maxSlowness = 3;
    /// Paces of targets of the same speed differ by this much, because of their load. Without it, prefixes moved by chance: a
    /// tenth more shared tokens were read in the replay.
    constexpr double ordinarySlowness = 0.3;
    /// Bisections of the level to which unseen sends fill the targets; the error is below a thousandth of the range.
    constexpr int levelSteps = 12;

    /// How far the second target of the ranking for a prefix may be behind, as a share of what the first one may be. With zero,
    /// a tenth more tokens were read again in the replay.
    constexpr double secondTargetShare = 0.75;

    /// Older figures say less and less about the load now: a request needs about two seconds.
    constexpr milliseconds trustedLoadAge { 500 };
    constexpr double leastTrust = 0.2;

    /// A usable candidate.
    struct loaded_target {
        size_t index = 0;
        double slowness = 1;
        /// Delay by what all gateways have there.
        double delay = 0;
        /// Delay that one further request adds.
        double delayPerSend = 0;
    };

    /// @return A number from 0 to less than 1.
    double fractionOf(uint64_t hash) noexcept { return static_cast<double>(hash >> 11) * 0x1p-53; }

    double meanPaceOf(std::span<const placement_candidate> candidates) noexcept
    {
        double total = 0;
        double samples = 0;
        for (const auto& candidate : candidates) {
            if (!candidate.isUsable || candidate.load.paceSamples <= 0)
                continue;
            // Each target counts about equally, so that the many samples of fast ones do not make all others slow.
            const double weight = candidate.load.paceSamples / (candidate.load.paceSamples + doubtfulPaceSamples);
            total += candidate.load.paceUs * weight;
            samples += weight;
        }
        return samples > 0 ? total / samples : 0;
    }

    double slownessOf(const target_load& load, double meanPace) noexcept
    {
        if (meanPace <= 0 || load.paceSamples <= 0)
            return 1;
        const double trust = load.paceSamples / (load.paceSamples + doubtfulPaceSamples);
        return std::clamp(1 + trust * (load.paceUs / meanPace - 1), minSlowness, maxSlowness);
    }

    double meanDelayOf(std::span<const loaded_target> targets) noexcept
    {
        double sum = 0;
        for (const loaded_target& target : targets)
            sum += target.delay;
        return targets.empty() ? 0 : sum / static_cast<double>(targets.size());
    }

    /// @return How much of a difference from the mean target still holds, from 1 to `leastTrust`.
    double trustAt(microseconds age) noexcept
    {
        const double share = asSeconds(age - trustedLoadAge) / asSeconds(maxLoadAge - trustedLoadAge);
        return 1 - std::clamp(share, 0.0, 1.0) * (1 - leastTrust);
    }

    std::vector<loaded_target> loadedTargets(std::span<const placement_candidate> candidates, microseconds figureAge, const load_costs& costs)
    {
        const double meanPace = meanPaceOf(candidates);
        std::vector<loaded_target> targets;
        targets.reserve(candidates.size());
        for (size_t i = 0; i < candidates.size(); ++i) {
            const placement_candidate& candidate = candidates[i];
            if (!candidate.isUsable)
                continue;
            const double slowness = slownessOf(candidate.load, meanPace);
            const double waiting = std::max(0.0, candidate.load.requests + 1 - candidate.slots);
            // Requests stay longer at a slow target. With the same number of requests in progress, a target that needs twice as
            // long gets half as many; weighted by the slowness too, it would get a quarter.
            const double delay = candidate.load.prefillTokens / prefillTokensPerMillisecond * slowness + candidate.load.requests * costs.otherRequest + waiting * costs.waitingRequest * slowness;
            const double perSend = costs.otherRequest + costs.typicalUncachedTokens / prefillTokensPerMillisecond * slowness;
            targets.push_back({ i, slowness, delay, perSend });
        }
        const double meanDelay = meanDelayOf(targets);
        const double trust = trustAt(figureAge);
        for (loaded_target& target : targets) {
            const double penalty = candidates[target.index].penalty;
            target.delay = (meanDelay + (target.delay - meanDelay) * trust) * penalty + (penalty - 1) * costs.penalty;
        }
        return targets;
    }

    /// @return The delay up to which the least loaded targets are filled if each of the unseen sends goes to the target that is
    /// then the least loaded.
    double filledLevel(std::span<const loaded_target> targets, double unseenSends)
    {
        double low = targets.front().delay;
        double largestPerSend = 0;
        for (const loaded_target& target : targets) {
            low = std::min(low, target.delay);
            largestPerSend = std::max(largestPerSend, target.delayPerSend);
        }
        if (unseenSends <= 0)
            return low;
        double high = low + unseenSends * largestPerSend;
        for (int step = 0; step < levelSteps; ++step) {
            const double middle = (low + high) / 2;
            double sends = 0;
            for (const loaded_target& target : targets)
                sends += std::max(0.0, middle - target.delay) / target.delayPerSend;
            (sends < unseenSends ? low : high) = middle;
        }
        return high;
    }

    double distanceOf(const placement_candidate& candidate, const load_costs& costs) noexcept
    {
        double cost = candidate.remoteInputBytes / bytesPerMegabyte * costs.remoteInputMegabyte + candidate.promptMilliseconds;
        if (candidate.isOnlyOfVersion)
            cost += costs.onlyOfVersion;
        if (candidate.isCold)
            cost += costs.cold;
        if (!candidate.isInOwnDomain)
            cost += candidate.isInOwnRegion ? costs.otherDomain : costs.otherRegion;
        return cost;
    }

    /// @return The first target in the ranking for the prefix whose load allows it; null if there is none.
    const loaded_target* targetForPrefix(std::span<const loaded_target> targets, std::span<const placement_candidate> candidates, const placement_request& request, uint64_t tieHash, double meanDelay, double prefixMilliseconds, const load_costs& costs)
    {
        // The two first targets of the ranking: the second one has the prefix too if the first is often behind.
        const loaded_target* first = nullptr;
        const loaded_target* second = nullptr;
        uint64_t firstScore = 0;
        uint64_t secondScore = 0;
        for (const loaded_target& target : targets) {
            const uint64_t score = hashOfPair(candidates[target.index].hash, request.prefixHash);
            if (!first || score > firstScore) {
                second = std::exchange(first, &target);
                secondScore = std::exchange(firstScore, score);
            } else if (!second || score > secondScore) {
                second = &target;
                secondScore = score;
            }
        }
        const loaded_target* best = nullptr;
        uint64_t bestScore = 0;
        for (const loaded_target& target : targets) {
            const placement_candidate& candidate = candidates[target.index];
            const bool isCached = &target == first || candidate.cachedTokens >= request.sharedTokens;
            // Bounds differ between requests. With one bound for all, gateways with the same old figures would move a prefix
            // from one target to the next and back together.
            const double draw = fractionOf(hashOfPair(tieHash, candidate.hash));
            const double share = isCached ? 0.5 + draw : &target == second ? secondTargetShare * (0.5 + draw)
                                                                           : 0;
            const double saved = share > 0 ? prefixMilliseconds * share : target.delayPerSend * (draw - 0.5);
            if (target.delay + distanceOf(candidate, costs) > meanDelay + saved)
                continue;
            if (const uint64_t score = hashOfPair(candidate.hash, request.prefixHash); !best || score > bestScore) {
                best = &target;
                bestScore = score;
            }
        }
        return best;
    }

    double usualMeanOf(std::span<const loaded_target> targets, std::span<const placement_candidate> candidates) noexcept
    {
        double sum = 0;
        for (const loaded_target& target : targets)
            sum += candidates[target.index].load.usualRequests;
        return sum / static_cast<double>(targets.size());
    }

    /// @return The first targets in the ranking for the prefix whose load allows it, as many as the load of the prefix needs.
    std::vector<loaded_target> targetsForPrefix(std::span<const loaded_target> targets, std::span<const placement_candidate> candidates, const placement_request& request, const load_placement_request& load, double prefixMilliseconds, const load_costs& costs)
    {
        const double meanDelay = meanDelayOf(targets);
        const double usualMean = usualMeanOf(targets, candidates);
        // The load of the prefix, relative to the mean target.
        const double prefixLoad = load.prefixShare * static_cast<double>(targets.size());
        const double coldness = std::max(0.0, 1 - prefixLoad / costs.popularLoad);
        const bool isShort = prefixMilliseconds < costs.minPrefixMilliseconds;
        std::vector<std::pair<uint64_t, const loaded_target*>> allowed;
        for (const loaded_target& target : targets) {
            const placement_candidate& candidate = candidates[target.index];
            const double distance = distanceOf(candidate, costs);
            // The way there, or the cold time, costs more than the prefix.
            if (distance > std::max(prefixMilliseconds, costs.otherDomain))
                continue;
            const uint64_t score = hashOfPair(candidate.hash, request.prefixHash);
            // Bounds differ between prefixes, and are lower for popular ones: a busy target loses few prefixes, always the same
            // ones, and each of them helps.
            const double bound = isShort ? costs.shortUsualBound : costs.usualBound + costs.usualRange * coldness * fractionOf(hashOfPair(score, request.prefixHash));
            const double slowness = isShort ? 1 : std::max(1.0, target.slowness - ordinarySlowness);
            if (candidate.load.usualRequests * slowness > usualMean * bound)
                continue;
            // Bounds of the delay differ between requests. With one bound for all, gateways with the same old figures would move
            // a prefix from one target to the next and back together.
            const double draw = fractionOf(hashOfPair(load.tieHash, candidate.hash));
            if (target.delay + distance <= meanDelay + costs.longestDelay * (0.8 + 0.4 * draw))
                allowed.emplace_back(score, &target);
        }
        const size_t count = std::min(allowed.size(), 1 + static_cast<size_t>(prefixLoad * costs.targetsPerLoad));
        std::partial_sort(allowed.begin(), allowed.begin() + static_cast<ptrdiff_t>(count), allowed.end(), [](const auto& left, const auto& right) { return left.first > right.first; });
        std::vector<loaded_target> chosen;
        for (const auto& [score, target] : std::span(allowed).first(count))
            chosen.push_back(*target);
        return chosen;
    }

    /// @return Delay by the shared prompt tokens that the target has to read.
    double uncachedDelay(const loaded_target& target, const placement_candidate& candidate, const placement_request& request) noexcept
    {
        const uint64_t uncachedTokens = request.sharedTokens - std::min(request.sharedTokens, candidate.cachedTokens);
        return static_cast<double>(uncachedTokens) / prefillTokensPerMillisecond * target.slowness;
    }

    /// @return Delay by which a target that usually has more requests than others gets none that may run anywhere while it is idle
    /// for a moment.
    double usualDelayAt(const placement_candidate& candidate, double usualMean, const load_costs& costs) noexcept
    {
        return std::max(0.0, candidate.load.usualRequests - usualMean * costs.shortUsualBound) * costs.otherRequest;
    }

    /// @return The target with the lowest cost. Among near ties, a target is chosen with a probability that is proportional to what
    /// is missing there to the level.
    /// @param level      The delay up to which unseen sends fill the targets.
    /// @param usualMean  Mean number of requests at a target of the service.
    const loaded_target& leastLoaded(std::span<const loaded_target> targets, std::span<const placement_candidate> candidates, const placement_request& request, const load_placement_request& load, double level, double usualMean, const load_costs& costs)
    {
        const auto costAt = [&](const loaded_target& target) {
            const placement_candidate& candidate = candidates[target.index];
            // Tokens that no target has cached are left out: by them, slow targets would get nothing as long as fast ones are idle.
            return std::max(target.delay, level) + usualDelayAt(candidate, usualMean, costs) + uncachedDelay(target, candidate, request) + distanceOf(candidate, costs);
        };
        double lowest = costAt(targets.front());
        for (const loaded_target& target : targets)
            lowest = std::min(lowest, costAt(target));
        const loaded_target* best = nullptr;
        double bestDraw = 0;
        for (const loaded_target& target : targets) {
            const double margin = lowest + costs.nearTie - costAt(target);
            if (margin < 0)
                continue;
            const double room = (std::max(0.0, level - target.delay) + margin) / target.delayPerSend;
            // The smallest of exponential draws belongs to each target with a probability proportional to its room.
            const double draw = -std::log1p(-fractionOf(hashOfPair(load.tieHash, candidates[target.index].hash))) / std::max(room, 1e-9);
            if (!best || draw < bestDraw) {
                best = &target;
                bestDraw = draw;
            }
        }
        return *best;
    }
}

std::optional<load_choice> chooseByLoad(std::span<const placement_candidate> candidates, const placement_request& request, const load_placement_request& load, const load_costs& costs)
{
    const auto targets = loadedTargets(candidates, load.figureAge, costs);
    if (targets.empty())
        return std::nullopt;
    const double meanDelay = meanDelayOf(targets);
    const double prefixMilliseconds = static_cast<double>(request.sharedTokens) / prefillTokensPerMillisecond;
    std::vector<loaded_target> forPrefix;
    const loaded_target* chosen = nullptr;
    if (load.isByTrend && request.prefixHash != 0 && request.sharedTokens > 0) {
        forPrefix = targetsForPrefix(targets, candidates, request, load, prefixMilliseconds, costs);
        if (forPrefix.size() == 1)
            chosen = forPrefix.data();
    } else if (request.prefixHash != 0 && prefixMilliseconds >= costs.minPrefixMilliseconds)
        chosen = targetForPrefix(targets, candidates, request, load.tieHash, meanDelay, prefixMilliseconds, costs);
    const bool isForPrefix = chosen || !forPrefix.empty();
    if (!chosen)
        chosen = &leastLoaded(forPrefix.empty() ? targets : forPrefix, candidates, request, load, filledLevel(targets, load.unseenSends), usualMeanOf(targets, candidates), costs);
    uint64_t cachedTokens = candidates[chosen->index].cachedTokens;
    if (isForPrefix && preferredTarget(candidates, request.prefixHash) == chosen->index)
        cachedTokens = std::max(cachedTokens, request.sharedTokens);
    return load_choice { chosen->index, cachedTokens, chosen->delay, meanDelay, isForPrefix };
}

std::vector<cost_terms> loadTermsOf(std::span<const placement_candidate> candidates, const placement_request& request, const load_placement_request& load, const load_costs& costs)
{
    std::vector<cost_terms> terms(candidates.size());
    const auto targets = loadedTargets(candidates, load.figureAge, costs);
    if (targets.empty())
        return terms;
    const double level = filledLevel(targets, load.unseenSends);
    const double usualMean = usualMeanOf(targets, candidates);
    for (const loaded_target& target : targets) {
        const placement_candidate& candidate = candidates[target.index];
        cost_terms& parts = terms[target.index];
        parts.load = std::max(target.delay, level) + usualDelayAt(candidate, usualMean, costs);
        parts.uncachedPrefix = uncachedDelay(target, candidate, request);
        parts.remoteInputs = candidate.remoteInputBytes / bytesPerMegabyte * costs.remoteInputMegabyte;
        parts.cold = candidate.isCold ? costs.cold : 0;
        parts.onlyOfVersion = candidate.isOnlyOfVersion ? costs.onlyOfVersion : 0;
        parts.prompt = candidate.promptMilliseconds;
        parts.distance = distanceOf(candidate, costs) - parts.remoteInputs - parts.cold - parts.onlyOfVersion - parts.prompt;
    }
    return terms;
}
}
