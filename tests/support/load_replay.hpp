/// Replay of gateways that choose among engines, without a network: engines that prefill prompts in chunks between the steps of
/// running streams, and gateways that decide by figures of a given age.
#pragma once

#include "base/hash.hpp"
#include "policy/placement.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <list>
#include <map>
#include <random>
#include <vector>

namespace bilberryseam::tests {

/// Which figures the gateways of a replay decide by.
enum class replay_figures {
    /// The own calls only, with the cost function that is used without shared load.
    OwnCosts,
    /// The sums of all gateways.
    Shared,
    /// Sums that contain only some of the gateways, as those of a collector that has just started.
    SharedInPart,
    /// Sums that are random numbers.
    Contradictory,
};

struct replay_options {
    size_t engines = 46;
    size_t gateways = 25;
    /// Relative time for the same work, by engine in turn.
    std::vector<double> slowness { 1 };
    double requestsPerSecond = 115;
    double seconds = 60;
    milliseconds figureAge { 300 };
    replay_figures figures = replay_figures::Shared;
    /// Mean of the tokens to generate.
    double outputTokens = 300;
    size_t prefixes = 100;
    /// Popularity of the n-th prefix is proportional to 1 / n to this power.
    double popularitySkew = 0.7;
    /// All prompts are short and share nothing.
    bool isWithoutPrefixes = false;
    unsigned seed = 1;
    policy::load_costs costs;
};

struct replay_result {
    std::vector<size_t> requests;
    /// Times to the first event in seconds, sorted.
    std::vector<double> firstEvents;
    /// Times to the end in seconds, sorted.
    std::vector<double> ends;
    /// Shared prompt tokens that were prefilled again, by request.
    double recomputedTokens = 0;

    [[nodiscard]] double busiestToMean() const
    {
        double sum = 0;
        for (const size_t count : requests)
            sum += static_cast<double>(count);
        return static_cast<double>(*std::max_element(requests.begin(), requests.end())) / (sum / static_cast<double>(requests.size()));
    }
    [[nodiscard]] static double quantile(const std::vector<double>& sorted, double share) { return sorted.empty() ? 0 : sorted[static_cast<size_t>(share * static_cast<double>(sorted.size() - 1))]; }
    [[nodiscard]] static double meanOf(const std::vector<double>& values)
    {
        double sum = 0;
        for (const double value : values)
            sum += value;
        return values.empty() ? 0 : sum / static_cast<double>(values.size());
    }
};

namespace detail {
    struct replayed_request {
        size_t gateway = 0;
        uint64_t prefix = 0;
        uint64_t sharedTokens = 0;
        uint64_t ownTokens = 0;
        /// What the gateway believes that the engine must read.
        uint64_t believedTokens = 0;
        double arrivedAt = 0;
        double tokensToRead = -1;
        int tokensToWrite = 0;
        int writtenTokens = 0;
        double lastEventAt = 0;
    };

    /// Steps of an engine: each writes a token of each running stream and reads a chunk of the first waiting prompt.
    struct replayed_engine {
        static constexpr double chunkTokens = 512;
        static constexpr size_t slots = 64;
        static constexpr size_t cachedPrefixes = 30;
        static constexpr int tokensPerEvent = 4;
        double slowness = 1;
        double busyUntil = 0;
        std::deque<replayed_request> waiting;
        std::list<replayed_request> running;
        std::deque<uint64_t> cache;

        [[nodiscard]] bool isCached(uint64_t prefix) const { return std::find(cache.begin(), cache.end(), prefix) != cache.end(); }
        void touch(uint64_t prefix)
        {
            std::erase(cache, prefix);
            cache.push_back(prefix);
            if (cache.size() > cachedPrefixes)
                cache.pop_front();
        }
    };
}

[[nodiscard]] inline replay_result replay(const replay_options& options)
{
    using namespace detail;
    constexpr double tick = 0.005;
    constexpr double believedCacheSeconds = 60;
    std::mt19937 random(options.seed);
    // Random figures must not change the requests of the replay.
    std::mt19937 randomFigures(options.seed + 1000);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::vector<replayed_engine> engines(options.engines);
    std::vector<policy::placement_candidate> candidates(options.engines);
    for (size_t i = 0; i < options.engines; ++i) {
        engines[i].slowness = options.slowness[i % options.slowness.size()];
        candidates[i].hash = hashOf("engine-" + std::to_string(i));
        candidates[i].slots = replayed_engine::slots;
    }
    std::vector<double> popularity;
    for (size_t i = 0; i < options.prefixes; ++i)
        popularity.push_back(std::pow(static_cast<double>(i + 1), -options.popularitySkew));
    std::discrete_distribution<uint64_t> pickPrefix(popularity.begin(), popularity.end());

    // Figures of each gateway at each engine, now and at earlier ticks.
    using figures = std::vector<std::vector<policy::load_figures>>;
    figures current(options.gateways, std::vector<policy::load_figures>(options.engines));
    std::vector<std::vector<policy::event_pace>> paces(options.gateways, std::vector<policy::event_pace>(options.engines));
    for (auto& row : current) {
        for (size_t i = 0; i < options.engines; ++i)
            row[i].target = candidates[i].hash;
    }
    std::deque<std::pair<double, figures>> history;
    // When a gateway last had an engine read a prefix.
    std::vector<std::vector<std::map<uint64_t, double>>> readAt(options.gateways, std::vector<std::map<uint64_t, double>>(options.engines));
    std::vector<policy::recent_sends> sends(options.gateways);
    const double age = asSeconds(options.figureAge);
    const auto timeAt = [](double seconds) { return time_point(microseconds(static_cast<int64_t>((seconds + 1000) * 1e6))); };

    replay_result result;
    result.requests.resize(options.engines);
    double nextArrival = 0;
    double nextSum = 0;
    policy::load_trend trend;
    std::vector<uint64_t> targets;
    for (const auto& candidate : candidates)
        targets.push_back(candidate.hash);
    uint64_t number = 0;
    for (double now = 0; now < options.seconds; now += tick) {
        for (size_t e = 0; e < engines.size(); ++e) {
            replayed_engine& engine = engines[e];
            while (engine.busyUntil <= now && (!engine.waiting.empty() || !engine.running.empty())) {
                double cost = engine.running.empty() ? 0 : 5 + 2.0 * static_cast<double>(engine.running.size()) / replayed_engine::slots;
                const double begunAt = std::max(engine.busyUntil, now - tick);
                bool isRead = false;
                if (!engine.waiting.empty() && engine.running.size() < replayed_engine::slots) {
                    replayed_request& first = engine.waiting.front();
                    if (first.tokensToRead < 0) {
                        const bool isCached = first.sharedTokens == 0 || engine.isCached(first.prefix);
                        first.tokensToRead = static_cast<double>(first.ownTokens + (isCached ? 0 : first.sharedTokens));
                        result.recomputedTokens += isCached ? 0 : static_cast<double>(first.sharedTokens);
                        if (first.sharedTokens > 0)
                            engine.touch(first.prefix);
                    }
                    const double chunk = std::min(first.tokensToRead, replayed_engine::chunkTokens);
                    first.tokensToRead -= chunk;
                    cost += chunk / policy::prefillTokensPerMillisecond;
                    isRead = first.tokensToRead <= 0;
                }
                engine.busyUntil = begunAt + cost * engine.slowness / 1000;
                for (auto request = engine.running.begin(); request != engine.running.end();) {
                    ++request->writtenTokens;
                    auto& own = current[request->gateway][e];
                    if (request->writtenTokens % replayed_engine::tokensPerEvent == 0) {
                        policy::recordGap(paces[request->gateway][e], microseconds(static_cast<int64_t>((engine.busyUntil - request->lastEventAt) * 1e6)), timeAt(now));
                        request->lastEventAt = engine.busyUntil;
                    }
                    if (request->writtenTokens < request->tokensToWrite) {
                        ++request;
                        continue;
                    }
                    --own.requests;
                    own.contextTokens -= request->sharedTokens + request->ownTokens;
                    result.ends.push_back(engine.busyUntil - request->arrivedAt);
                    request = engine.running.erase(request);
                }
                if (isRead) {
                    replayed_request begun = engine.waiting.front();
                    engine.waiting.pop_front();
                    auto& own = current[begun.gateway][e];
                    own.prefillTokens -= begun.believedTokens;
                    own.contextTokens += begun.sharedTokens + begun.ownTokens;
                    begun.lastEventAt = engine.busyUntil;
                    result.firstEvents.push_back(engine.busyUntil - begun.arrivedAt);
                    engine.running.push_back(begun);
                }
            }
        }
        history.emplace_back(now, current);
        while (history.size() > 1 && history[1].first <= now - age)
            history.pop_front();
        if (now < nextArrival)
            continue;
        // The sum of all gateways at the time of the figures; each gateway subtracts its own part.
        const figures& old = history.front().second;
        policy::received_load sum;
        sum.gateways = static_cast<uint32_t>(options.gateways);
        sum.takenAt = timeAt(history.front().first);
        policy::collected_load collected;
        for (size_t g = 0; g < options.gateways; ++g) {
            if (options.figures == replay_figures::SharedInPart && g % 3 != 0)
                continue;
            policy::applyReport(collected, g, { 1, sum.takenAt, 1, old[g] });
        }
        sum = policy::sumOfReports(collected, sum.takenAt);
        if (options.figures == replay_figures::Contradictory) {
            for (auto& item : sum.items) {
                item.requests = static_cast<uint32_t>(randomFigures() % 40);
                item.prefillTokens = randomFigures() % 40000;
            }
        }
        if (now >= nextSum) {
            nextSum = now + asSeconds(policy::loadReportPeriod);
            policy::recordSum(trend, sum.items, sum.gateways, targets, options.requestsPerSecond, timeAt(now));
        }
        while (nextArrival <= now) {
            replayed_request request;
            request.gateway = random() % options.gateways;
            request.arrivedAt = nextArrival;
            const auto kind = options.isWithoutPrefixes ? 2 : random() % 3;
            request.prefix = 1 + pickPrefix(random) * 3 + kind;
            request.sharedTokens = std::array<uint64_t, 3> { 13300, 6300, 350 }[kind];
            request.ownTokens = std::array<uint64_t, 3> { 3720, 2890, 1110 }[kind];
            request.tokensToWrite = static_cast<int>(options.outputTokens * (0.5 + uniform(random)));
            const policy::placement_request placement { request.sharedTokens, hashOfPair(request.prefix, 77) };
            size_t chosen = 0;
            uint64_t cachedTokens = 0;
            auto& own = current[request.gateway];
            for (size_t i = 0; i < engines.size(); ++i) {
                const auto read = readAt[request.gateway][i].find(request.prefix);
                candidates[i].cachedTokens = read != readAt[request.gateway][i].end() && now - read->second < believedCacheSeconds ? request.sharedTokens : 0;
            }
            if (options.figures == replay_figures::OwnCosts || !policy::isConsistent(trend)) {
                for (size_t i = 0; i < engines.size(); ++i) {
                    candidates[i].inFlight = own[i].requests;
                    candidates[i].queuedPrefillTokens = own[i].prefillTokens;
                    candidates[i].isInOwnDomain = candidates[i].isInOwnRegion = true;
                }
                chosen = *policy::chooseTarget(candidates, placement, {});
            } else {
                policy::load_view view;
                const bool isContained = options.figures != replay_figures::SharedInPart || request.gateway % 3 == 0;
                policy::applySummary(view, sum, isContained ? std::span<const policy::load_figures>(old[request.gateway]) : std::span<const policy::load_figures>());
                for (size_t i = 0; i < engines.size(); ++i) {
                    own[i].paceUs = policy::meanOf(paces[request.gateway][i]);
                    own[i].paceSamples = policy::samplesOf(paces[request.gateway][i], timeAt(now));
                    candidates[i].load = policy::loadNow(view, own[i], timeAt(now));
                    candidates[i].load.usualRequests = policy::usualRequestsOf(trend, candidates[i].hash);
                    candidates[i].isInOwnDomain = candidates[i].isInOwnRegion = true;
                }
                const double unseen = options.requestsPerSecond * age;
                const auto choice = policy::chooseByLoad(candidates, placement, { hashOfPair(request.gateway, number), unseen, options.figureAge, policy::prefixShareOf(sends[request.gateway], placement.prefixHash, timeAt(now)), true }, options.costs);
                chosen = choice->index;
                cachedTokens = choice->cachedTokens;
            }
            ++number;
            readAt[request.gateway][chosen][request.prefix] = now;
            policy::recordSend(sends[request.gateway], placement.prefixHash, timeAt(now));
            request.believedTokens = request.sharedTokens + request.ownTokens - std::min(cachedTokens, request.sharedTokens);
            ++own[chosen].requests;
            own[chosen].prefillTokens += request.believedTokens;
            ++result.requests[chosen];
            engines[chosen].waiting.push_back(request);
            nextArrival += -std::log1p(-uniform(random)) / options.requestsPerSecond;
        }
    }
    std::sort(result.firstEvents.begin(), result.firstEvents.end());
    std::sort(result.ends.begin(), result.ends.end());
    return result;
}
}
