/// Replay of gateways that place long and short prompts on the same engines, without a network. Engines read up to 4,096 prompt
/// tokens between two tokens of their streams; gateways decide by figures of a given age.
#pragma once

#include "base/hash.hpp"
#include "policy/long_prompts.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <random>
#include <vector>

namespace bilberryseam::tests {

enum prompt_kind : size_t {
    Long,
    Medium,
    Short,
};
constexpr size_t promptKinds = 3;

/// Figures of the design page.
constexpr std::array<uint64_t, promptKinds> sharedTokensOf { 13300, 6300, 350 };
constexpr std::array<double, promptKinds> meanOwnTokensOf { 3720, 2890, 1110 };
constexpr double maxOwnTokens = 53200;
constexpr std::array<double, promptKinds> firstEventObjectiveOf { 1500, 1900, 1700 };
constexpr double gapObjective = 500;

/// How targets are chosen.
enum class prompt_way {
    /// By load alone, as without the setting.
    ByLoad,
    /// By load and the cost of prompts.
    PromptCosts,
};

struct prompt_replay_options {
    size_t engines = 46;
    size_t gateways = 25;
    std::vector<double> slowness { 0.6, 1.0, 1.6 };
    /// Each engine needs 2.5 times the usual time in one of fifty periods of 300 ms.
    bool hasSlowMoments = true;
    /// Requests a second of each kind at a time in seconds.
    std::function<std::array<double, promptKinds>(double)> rates;
    /// Largest of those rates.
    double maxRate = 200;
    double seconds = 30;
    /// Prefixes of each kind. The popularity of the n-th one is proportional to 1 / n.
    std::array<size_t, promptKinds> prefixes { 100, 100, 100 };
    /// Every long prompt has these own tokens, if not zero.
    uint64_t ownTokensOfLong = 0;
    /// Most long prompts.
    size_t maxLong = SIZE_MAX;
    /// Half of the engines stop at this time, if not zero.
    double lostAt = 0;
    milliseconds figureAge { 300 };
    /// Gateways believe this pace of each engine instead of the measured one, if set.
    std::function<uint32_t(size_t engine)> statedPaceUs;
    prompt_way way = prompt_way::PromptCosts;
    policy::prompt_costs costs;
    unsigned seed = 1;
};

struct prompt_replay_result {
    struct figures {
        size_t requests = 0;
        size_t lateFirstEvents = 0;
        size_t longPauses = 0;
        size_t inObjectives = 0;
        /// Shared prompt tokens that engines read.
        double sharedTokensRead = 0;
        [[nodiscard]] double share() const noexcept { return requests > 0 ? static_cast<double>(inObjectives) / static_cast<double>(requests) : 1; }
    };
    std::array<figures, promptKinds> kinds;
};

namespace detail {
    struct prompt_call {
        size_t kind = 0;
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
        bool isLate = false;
        bool hasLongPause = false;
    };

    struct prompt_engine {
        static constexpr double chunkTokens = 4096;
        static constexpr double tokensPerMillisecond = 51.1;
        static constexpr double stepMilliseconds = 5.09;
        /// Additional time of a step with a stream in every slot.
        static constexpr double fullStepMilliseconds = 2;
        static constexpr size_t slots = 64;
        /// 630,855 tokens hold this many of the longest prefixes beside the running requests.
        static constexpr size_t cachedPrefixes = 30;
        static constexpr int tokensPerEvent = 4;
        double slowness = 1;
        double busyUntil = 0;
        bool isLost = false;
        std::deque<prompt_call> waiting;
        std::list<prompt_call> running;
        std::deque<uint64_t> cache;

        [[nodiscard]] bool isCached(uint64_t prefix) const { return std::find(cache.begin(), cache.end(), prefix) != cache.end(); }
        void touch(uint64_t prefix)
        {
            std::erase(cache, prefix);
            cache.push_back(prefix);
            if (cache.size() > cachedPrefixes)
                cache.pop_front();
        }
        [[nodiscard]] bool hasWork() const noexcept { return !isLost && (!waiting.empty() || !running.empty()); }
    };

    class prompt_replay {
    public:
        explicit prompt_replay(const prompt_replay_options& options)
            : m_options(options)
            , m_engines(options.engines)
            , m_candidates(options.engines)
            , m_current(options.gateways, std::vector<policy::load_figures>(options.engines))
            , m_paces(options.gateways, std::vector<policy::event_pace>(options.engines))
            , m_readAt(options.gateways, std::vector<std::map<uint64_t, double>>(options.engines))
        {
            for (size_t e = 0; e < options.engines; ++e) {
                m_engines[e].slowness = options.slowness[e % options.slowness.size()];
                m_candidates[e].hash = hashOf("engine-" + std::to_string(e));
                m_candidates[e].slots = prompt_engine::slots;
                m_candidates[e].isInOwnDomain = m_candidates[e].isInOwnRegion = true;
                for (auto& row : m_current)
                    row[e].target = m_candidates[e].hash;
            }
        }

        [[nodiscard]] prompt_replay_result run()
        {
            addArrivals();
            constexpr double tick = 0.005;
            auto next = m_arrivals.begin();
            const auto hasWork = [this] { return std::any_of(m_engines.begin(), m_engines.end(), [](const auto& engine) { return engine.hasWork(); }); };
            for (double now = 0; now < m_options.seconds || next != m_arrivals.end() || hasWork(); now += tick) {
                if (m_options.lostAt > 0 && now >= m_options.lostAt)
                    loseHalf();
                for (size_t e = 0; e < m_engines.size(); ++e) {
                    while (m_engines[e].busyUntil <= now && m_engines[e].hasWork())
                        step(e, std::max(m_engines[e].busyUntil, now - tick), now);
                }
                m_history.emplace_back(now, m_current);
                while (m_history.size() > 1 && m_history[1].first <= now - asSeconds(m_options.figureAge))
                    m_history.pop_front();
                for (; next != m_arrivals.end() && next->arrivedAt <= now; ++next)
                    place(*next, now);
            }
            return m_result;
        }

    private:
        using figures = std::vector<std::vector<policy::load_figures>>;

        [[nodiscard]] static time_point timeAt(double seconds) { return time_point(microseconds(static_cast<int64_t>((seconds + 1000) * 1e6))); }

        /// Each kind has random numbers of its own, so that the others are the same without it.
        void addArrivals()
        {
            for (size_t kind = 0; kind < promptKinds; ++kind) {
                std::mt19937 random(m_options.seed * 16 + static_cast<unsigned>(kind));
                std::uniform_real_distribution<double> uniform(0, 1);
                std::vector<double> popularity;
                for (size_t i = 0; i < m_options.prefixes[kind]; ++i)
                    popularity.push_back(1 / static_cast<double>(i + 1));
                std::discrete_distribution<uint64_t> pickPrefix(popularity.begin(), popularity.end());
                const double sigma = 1;
                std::lognormal_distribution<double> ownTokens(std::log(meanOwnTokensOf[kind]) - sigma * sigma / 2, sigma);
                size_t count = 0;
                for (double at = 0; at < m_options.seconds;) {
                    at += -std::log1p(-uniform(random)) / m_options.maxRate;
                    prompt_call call;
                    call.kind = kind;
                    call.arrivedAt = at;
                    call.gateway = random() % m_options.gateways;
                    call.prefix = 1 + pickPrefix(random) * promptKinds + kind;
                    call.sharedTokens = sharedTokensOf[kind];
                    call.ownTokens = static_cast<uint64_t>(std::min(ownTokens(random), maxOwnTokens));
                    if (kind == Long && m_options.ownTokensOfLong > 0)
                        call.ownTokens = m_options.ownTokensOfLong;
                    call.tokensToWrite = static_cast<int>(300 * (0.5 + uniform(random)));
                    if (uniform(random) * m_options.maxRate < m_options.rates(at)[kind] && at < m_options.seconds && (kind != Long || count++ < m_options.maxLong))
                        m_arrivals.push_back(call);
                }
            }
            std::stable_sort(m_arrivals.begin(), m_arrivals.end(), [](const auto& left, const auto& right) { return left.arrivedAt < right.arrivedAt; });
        }

        /// Requests at lost engines are not counted.
        void loseHalf()
        {
            for (size_t e = 0; e < m_engines.size(); e += 2) {
                m_engines[e].isLost = true;
                m_candidates[e].isUsable = false;
            }
        }

        [[nodiscard]] double slownessAt(size_t e, double now) const
        {
            const auto period = static_cast<uint64_t>(now / 0.3);
            const bool isSlowMoment = m_options.hasSlowMoments && hashOfPair(m_candidates[e].hash, period * 16 + m_options.seed) % 50 == 0;
            return isSlowMoment ? std::max(2.5, m_engines[e].slowness) : m_engines[e].slowness;
        }

        /// Writes a token of each stream and reads up to a chunk of the waiting prompts, the first one first.
        void step(size_t e, double begunAt, double now)
        {
            prompt_engine& engine = m_engines[e];
            const auto streams = static_cast<double>(engine.running.size());
            double cost = streams > 0 ? prompt_engine::stepMilliseconds + prompt_engine::fullStepMilliseconds * streams / prompt_engine::slots : 0;
            double budget = prompt_engine::chunkTokens;
            std::vector<prompt_call> begun;
            while (budget > 0 && !engine.waiting.empty() && engine.running.size() + begun.size() < prompt_engine::slots) {
                prompt_call& first = engine.waiting.front();
                if (first.tokensToRead < 0) {
                    const bool isCached = engine.isCached(first.prefix);
                    first.tokensToRead = static_cast<double>(first.ownTokens + (isCached ? 0 : first.sharedTokens));
                    m_result.kinds[first.kind].sharedTokensRead += isCached ? 0 : static_cast<double>(first.sharedTokens);
                    engine.touch(first.prefix);
                }
                const double chunk = std::min(first.tokensToRead, budget);
                first.tokensToRead -= chunk;
                budget -= chunk;
                cost += chunk / prompt_engine::tokensPerMillisecond;
                if (first.tokensToRead > 0)
                    break;
                begun.push_back(first);
                engine.waiting.pop_front();
            }
            engine.busyUntil = begunAt + cost * slownessAt(e, now) / 1000;
            for (auto call = engine.running.begin(); call != engine.running.end();) {
                ++call->writtenTokens;
                const bool isEnd = call->writtenTokens >= call->tokensToWrite;
                if (call->writtenTokens % prompt_engine::tokensPerEvent == 0 || isEnd)
                    recordEvent(*call, e, now);
                call = isEnd ? finish(call, e) : std::next(call);
            }
            engine.running.insert(engine.running.end(), begun.begin(), begun.end());
        }

        void recordEvent(prompt_call& call, size_t e, double now)
        {
            const double at = m_engines[e].busyUntil;
            auto& own = m_current[call.gateway][e];
            if (call.lastEventAt <= 0) {
                call.isLate = (at - call.arrivedAt) * 1000 > firstEventObjectiveOf[call.kind];
                own.prefillTokens -= call.believedTokens;
                own.contextTokens += call.sharedTokens + call.ownTokens;
                ++own.runningStreams;
            } else {
                const double gap = at - call.lastEventAt;
                call.hasLongPause = call.hasLongPause || gap * 1000 > gapObjective;
                const auto record = m_options.way == prompt_way::PromptCosts ? policy::recordGapBesidePrompts : policy::recordGap;
                record(m_paces[call.gateway][e], microseconds(static_cast<int64_t>(gap * 1e6)), timeAt(now));
            }
            call.lastEventAt = at;
        }

        std::list<prompt_call>::iterator finish(std::list<prompt_call>::iterator call, size_t e)
        {
            auto& own = m_current[call->gateway][e];
            --own.requests;
            --own.runningStreams;
            own.contextTokens -= call->sharedTokens + call->ownTokens;
            auto& figures = m_result.kinds[call->kind];
            ++figures.requests;
            figures.lateFirstEvents += call->isLate ? 1 : 0;
            figures.longPauses += call->hasLongPause ? 1 : 0;
            figures.inObjectives += call->isLate || call->hasLongPause ? 0 : 1;
            return m_engines[e].running.erase(call);
        }

        void place(prompt_call call, double now)
        {
            const figures& old = m_history.front().second;
            policy::collected_load collected;
            const time_point takenAt = timeAt(m_history.front().first);
            for (size_t g = 0; g < m_options.gateways; ++g)
                policy::applyReport(collected, g, { 1, takenAt, 1, old[g] });
            policy::load_view view;
            policy::applySummary(view, policy::sumOfReports(collected, takenAt), old[call.gateway]);
            constexpr double believedCacheSeconds = 60;
            const policy::placement_request placement { call.sharedTokens, hashOfPair(call.prefix, 77) };
            auto& own = m_current[call.gateway];
            for (size_t e = 0; e < m_engines.size(); ++e) {
                const auto read = m_readAt[call.gateway][e].find(call.prefix);
                m_candidates[e].cachedTokens = read != m_readAt[call.gateway][e].end() && now - read->second < believedCacheSeconds ? call.sharedTokens : 0;
                own[e].paceUs = policy::meanOf(m_paces[call.gateway][e]);
                own[e].paceSamples = policy::samplesOf(m_paces[call.gateway][e], timeAt(now));
                m_candidates[e].load = policy::loadNow(view, own[e], timeAt(now));
                if (m_options.statedPaceUs)
                    m_candidates[e].load.paceUs = m_options.statedPaceUs(e);
                m_candidates[e].promptMilliseconds = 0;
            }
            if (m_options.way == prompt_way::PromptCosts) {
                const policy::prompt_request request { call.sharedTokens + call.ownTokens, firstEventObjectiveOf[call.kind] - (now - call.arrivedAt) * 1000, gapObjective, prompt_engine::tokensPerEvent };
                policy::setPromptCosts(m_candidates, policy::forecastPrompt(m_candidates, placement, request, m_options.costs));
            }
            const auto rates = m_options.rates(now);
            const double unseen = (rates[Long] + rates[Medium] + rates[Short]) * asSeconds(m_options.figureAge);
            const auto choice = policy::chooseByLoad(m_candidates, placement, { hashOfPair(call.gateway, m_number++), unseen, m_options.figureAge }, {});
            if (!choice)
                return;
            m_readAt[call.gateway][choice->index][call.prefix] = now;
            call.believedTokens = call.sharedTokens + call.ownTokens - std::min(choice->cachedTokens, call.sharedTokens);
            ++own[choice->index].requests;
            own[choice->index].prefillTokens += call.believedTokens;
            m_engines[choice->index].waiting.push_back(call);
        }

        const prompt_replay_options& m_options;
        std::vector<prompt_engine> m_engines;
        std::vector<policy::placement_candidate> m_candidates;
        std::vector<prompt_call> m_arrivals;
        /// Figures of each gateway at each engine, now and at earlier ticks.
        figures m_current;
        std::deque<std::pair<double, figures>> m_history;
        std::vector<std::vector<policy::event_pace>> m_paces;
        /// When a gateway last had an engine read a prefix.
        std::vector<std::vector<std::map<uint64_t, double>>> m_readAt;
        uint64_t m_number = 0;
        prompt_replay_result m_result;
    };
}

[[nodiscard]] inline prompt_replay_result replayPrompts(const prompt_replay_options& options)
{
    return detail::prompt_replay(options).run();
}
}
