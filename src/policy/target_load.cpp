#include "policy/target_load.hpp"

#include <algorithm>
#include <cmath>

namespace bilberryseam::policy {

namespace {
    /// Time in which the weight of a sample of the pace falls to half: long enough for some dozens of samples at a target of
    /// a small gateway, short enough to follow a target that becomes slower.
    constexpr double paceHalfLifeUs = 4e6;

    /// Limit of a gap beside prompts, relative to the mean. A mean that follows from a few gaps may be wrong and limits none. With
    /// every tenth gap prolonged, the mean is 6 % too long.
    constexpr double longestGapBesidePrompts = 1.5;
    constexpr double minSamplesOfLimit = 5;

    /// Half-life of the mean number of requests, in seconds: many times the 2 s of a request, so that prefixes do not move because
    /// of the requests that are at a target by chance.
    constexpr double usualHalfLife = 30;
    /// Observation after which the mean of a target counts half, in seconds. With 4 s, prefixes moved by chance after a start.
    constexpr double doubtfulSeconds = 12;

    /// Half-life of the changes by which sums are judged, in seconds.
    constexpr double changeHalfLife = 2;
    /// Share of the requests in progress that can end within a second beyond the estimated sends.
    constexpr double endedPerSecond = 0.5;
    /// Estimates of the sends of all gateways by those of one are this uncertain.
    constexpr double changeTolerance = 1.5;
    /// Changes of so few requests say nothing.
    constexpr double minSuspiciousChanges = 8;
    /// A sum with another number of gateways is not judged, because their requests come or go at once. It changes a
    /// few times when gateways start or change their collector; a number that changes in each sum is a fault.
    constexpr double maxGatewayChanges = 8;
    /// Sums are not trusted before they were observed for this long, in seconds: two periods of reports.
    constexpr double minObservedSeconds = 0.5;

    double weightAfter(microseconds age) noexcept
    {
        return std::exp2(-static_cast<double>(std::max<int64_t>(0, age.count())) / paceHalfLifeUs);
    }

    void addFigures(load_figures& sum, const load_figures& item) noexcept
    {
        sum.requests += item.requests;
        sum.prefillTokens += item.prefillTokens;
        sum.contextTokens += item.contextTokens;
        sum.runningStreams += item.runningStreams;
        if (const uint64_t samples = uint64_t(sum.paceSamples) + item.paceSamples; samples > 0) {
            const uint64_t total = uint64_t(sum.paceUs) * sum.paceSamples + uint64_t(item.paceUs) * item.paceSamples;
            sum.paceUs = static_cast<uint32_t>(total / samples);
            sum.paceSamples = static_cast<uint32_t>(samples);
        }
    }

    /// A gateway that has not changed its report sends none for a while, but would have sent one after a change.
    microseconds confirmedAge(microseconds age) noexcept
    {
        return age < maxLoadReportPause + loadReportPeriod ? std::min<microseconds>(age, loadReportPeriod) : age;
    }

    class load_sum {
    public:
        void add(const received_load& part, time_point now)
        {
            for (const load_figures& item : part.items) {
                load_figures& sum = m_items[item.target];
                sum.target = item.target;
                addFigures(sum, item);
            }
            m_gateways += part.gateways;
            m_totalAge += confirmedAge(now - part.takenAt) * part.gateways;
        }

        [[nodiscard]] received_load take(time_point now) const
        {
            received_load sum;
            sum.gateways = m_gateways;
            sum.takenAt = now - (m_gateways > 0 ? m_totalAge / m_gateways : microseconds(0));
            sum.items.reserve(m_items.size());
            for (const auto& [target, item] : m_items)
                sum.items.push_back(item);
            return sum;
        }

    private:
        std::unordered_map<uint64_t, load_figures> m_items;
        uint32_t m_gateways = 0;
        microseconds m_totalAge { 0 };
    };
}

load_figures bounded(const load_figures& figures) noexcept
{
    load_figures result = figures;
    result.requests = std::min(result.requests, maxLoadRequests);
    result.prefillTokens = std::min(result.prefillTokens, maxLoadTokens);
    result.contextTokens = std::min(result.contextTokens, maxLoadTokens);
    // Each stream is a request in progress.
    result.runningStreams = std::min(result.runningStreams, result.requests);
    result.paceUs = std::min(result.paceUs, maxLoadPaceUs);
    result.paceSamples = result.paceUs == 0 ? 0 : std::min(result.paceSamples, maxLoadSamples);
    return result;
}

void applyReport(collected_load& load, uint64_t gateway, received_load report)
{
    received_load& known = load.reports[gateway];
    if (report.sequence >= known.sequence)
        known = std::move(report);
}

void applySum(collected_load& load, uint64_t collector, received_load sum)
{
    load.sums[collector] = std::move(sum);
}

void dropOldLoad(collected_load& load, time_point now)
{
    const auto isOld = [now](const auto& item) { return now - item.second.takenAt > maxLoadAge; };
    std::erase_if(load.reports, isOld);
    std::erase_if(load.sums, isOld);
}

received_load sumOfReports(const collected_load& load, time_point now)
{
    load_sum sum;
    for (const auto& [gateway, report] : load.reports)
        sum.add(report, now);
    return sum.take(now);
}

received_load sumOfAll(const collected_load& load, const received_load& reports, time_point now)
{
    load_sum sum;
    sum.add(reports, now);
    for (const auto& [collector, other] : load.sums)
        sum.add(other, now);
    return sum.take(now);
}

void recordGap(event_pace& pace, microseconds gap, time_point now) noexcept
{
    const double weight = weightAfter(now - pace.updatedAt);
    pace.totalUs = pace.totalUs * weight + static_cast<double>(std::clamp(gap, microseconds(0), longestGap).count());
    pace.samples = pace.samples * weight + 1;
    pace.updatedAt = now;
}

void recordGapBesidePrompts(event_pace& pace, microseconds gap, time_point now) noexcept
{
    if (pace.samples * weightAfter(now - pace.updatedAt) >= minSamplesOfLimit) {
        const double limitUs = pace.totalUs / pace.samples * longestGapBesidePrompts;
        gap = microseconds(static_cast<int64_t>(std::min(static_cast<double>(gap.count()), limitUs)));
    }
    recordGap(pace, gap, now);
}

uint32_t meanOf(const event_pace& pace) noexcept
{
    return pace.samples > 0 ? static_cast<uint32_t>(pace.totalUs / pace.samples) : 0;
}

uint32_t samplesOf(const event_pace& pace, time_point now) noexcept
{
    return static_cast<uint32_t>(std::lround(pace.samples * weightAfter(now - pace.updatedAt)));
}

void applySummary(load_view& view, const received_load& summary, std::span<const load_figures> own)
{
    view.others.clear();
    for (const load_figures& item : summary.items)
        view.others[item.target] = bounded(item);
    for (const load_figures& item : own) {
        const auto position = view.others.find(item.target);
        if (position == view.others.end())
            continue;
        load_figures& other = position->second;
        other.requests -= std::min(other.requests, item.requests);
        other.prefillTokens -= std::min(other.prefillTokens, item.prefillTokens);
        other.contextTokens -= std::min(other.contextTokens, item.contextTokens);
        other.runningStreams -= std::min(other.runningStreams, item.runningStreams);
        const double total = double(other.paceUs) * other.paceSamples - double(item.paceUs) * item.paceSamples;
        other.paceSamples -= std::min(other.paceSamples, item.paceSamples);
        other.paceUs = other.paceSamples > 0 && total > 0 ? static_cast<uint32_t>(total / other.paceSamples) : 0;
        other = bounded(other);
    }
    view.takenAt = summary.takenAt;
    view.gateways = summary.gateways > 0 ? summary.gateways - 1 : 0;
}

void recordSum(load_trend& trend, std::span<const load_figures> sum, uint32_t gateways, std::span<const uint64_t> targets, double sendsPerSecond, time_point now)
{
    const bool isFirst = trend.updatedAt == time_point();
    const double elapsed = isFirst ? 0 : std::clamp(asSeconds(now - trend.updatedAt), 0.0, asSeconds(maxLoadAge));
    // A gateway that joins or leaves the sum brings or takes its requests at once.
    const bool isSameGateways = !isFirst && gateways == trend.gateways;
    const double usualDecay = std::exp2(-elapsed / usualHalfLife);
    const double changeDecay = std::exp2(-elapsed / changeHalfLife);
    trend.updatedAt = now;
    trend.gateways = gateways;
    trend.observedSeconds += elapsed;
    trend.weight = trend.weight * usualDecay + elapsed;
    trend.risen *= changeDecay;
    trend.fallen *= changeDecay;
    trend.gatewayChanges = trend.gatewayChanges * changeDecay + (isFirst || isSameGateways ? 0 : 1);

    std::unordered_map<uint64_t, double> requests;
    requests.reserve(sum.size());
    for (const load_figures& item : sum)
        requests[item.target] = std::min(item.requests, maxLoadRequests);
    for (auto& [target, state] : trend.targets)
        state.isListed = false;
    double total = 0;
    for (const uint64_t target : targets) {
        const auto position = requests.find(target);
        const double requestsNow = position != requests.end() ? position->second : 0;
        const auto [entry, isNew] = trend.targets.try_emplace(target);
        auto& state = entry->second;
        if (isSameGateways && !isNew)
            (requestsNow > state.requests ? trend.risen : trend.fallen) += std::abs(requestsNow - state.requests);
        state.requests = requestsNow;
        state.weightedRequests = state.weightedRequests * usualDecay + requestsNow * elapsed;
        state.isListed = true;
        total += requestsNow;
    }
    std::erase_if(trend.targets, [](const auto& item) { return !item.second.isListed; });
    trend.weightedTotal = trend.weightedTotal * usualDecay + total * elapsed;
    trend.possible = trend.possible * changeDecay + (sendsPerSecond + total * endedPerSecond) * elapsed;
}

bool isConsistent(const load_trend& trend) noexcept
{
    // A burst only raises the sums, and its end only lowers them. What is counted here rose and fell within seconds.
    const double changes = std::min(trend.risen, trend.fallen);
    return trend.observedSeconds >= minObservedSeconds && trend.gatewayChanges <= maxGatewayChanges && changes <= trend.possible * changeTolerance + minSuspiciousChanges;
}

double usualRequestsOf(const load_trend& trend, uint64_t target) noexcept
{
    const auto position = trend.targets.find(target);
    if (position == trend.targets.end() || trend.weight <= 0)
        return 0;
    const double mean = trend.weightedTotal / trend.weight / static_cast<double>(trend.targets.size());
    const double trust = trend.observedSeconds / (trend.observedSeconds + doubtfulSeconds);
    return mean + (position->second.weightedRequests / trend.weight - mean) * trust;
}

namespace {
    /// Half-life of the count of sends, in seconds. A gateway with a twenty-fifth of the sends to 46 targets sees a prefix that is
    /// half the load of a target about three times in this time.
    constexpr double sendHalfLife = 60;
    constexpr size_t maxCountedPrefixes = 4096;
    /// A prefix with a lower weight says nothing.
    constexpr double minPrefixWeight = 0.25;
    /// Sends that are added to the count of all, so that the first ones of a gateway do not look popular.
    constexpr double doubtfulSends = 50;

    double weightOf(const recent_sends::count& count, time_point now) noexcept
    {
        return count.weight * std::exp2(-std::max(0.0, asSeconds(now - count.updatedAt)) / sendHalfLife);
    }

    void add(recent_sends::count& count, time_point now) noexcept
    {
        count.weight = weightOf(count, now) + 1;
        count.updatedAt = now;
    }
}

void recordSend(recent_sends& sends, uint64_t prefixHash, time_point now)
{
    add(sends.all, now);
    if (prefixHash == 0)
        return;
    if (sends.byPrefix.size() >= maxCountedPrefixes)
        std::erase_if(sends.byPrefix, [now](const auto& item) { return weightOf(item.second, now) < minPrefixWeight; });
    if (sends.byPrefix.size() < maxCountedPrefixes || sends.byPrefix.contains(prefixHash))
        add(sends.byPrefix[prefixHash], now);
}

double prefixShareOf(const recent_sends& sends, uint64_t prefixHash, time_point now) noexcept
{
    const auto position = sends.byPrefix.find(prefixHash);
    if (position == sends.byPrefix.end())
        return 0;
    // One standard deviation below the count.
    const double weight = weightOf(position->second, now);
    return std::max(0.0, weight - std::sqrt(weight)) / (weightOf(sends.all, now) + doubtfulSends);
}

bool isUsable(const load_view& view, time_point now) noexcept
{
    return view.takenAt != time_point() && now - view.takenAt <= maxLoadAge;
}

target_load loadNow(const load_view& view, const load_figures& own, time_point now) noexcept
{
    target_load load { double(own.requests), double(own.prefillTokens), double(own.contextTokens), double(own.paceUs), double(own.paceSamples), double(own.runningStreams) };
    const auto position = view.others.find(own.target);
    if (position == view.others.end() || !isUsable(view, now))
        return load;
    const load_figures& others = position->second;
    const double readTokens = static_cast<double>(std::max<int64_t>(0, (now - view.takenAt).count())) / 1000 * prefillTokensPerMillisecond;
    load.requests += others.requests;
    load.prefillTokens += std::max(0.0, static_cast<double>(others.prefillTokens) - readTokens);
    load.contextTokens += static_cast<double>(others.contextTokens);
    load.runningStreams += others.runningStreams;
    if (const double samples = load.paceSamples + others.paceSamples; samples > 0) {
        load.paceUs = (load.paceUs * load.paceSamples + double(others.paceUs) * others.paceSamples) / samples;
        load.paceSamples = samples;
    }
    return load;
}
}
