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
