#include "policy/crash_evidence.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace bilberryseam::policy {

namespace {
    /// Newest crashes of a segment that decide about its verdict; bounds the time of a report with many segments.
    constexpr ptrdiff_t maxConsideredCrashes = 5;

    const suspected_segment* findSegment(const crash_report& report, uint64_t segment) noexcept
    {
        const auto position = std::lower_bound(report.segments.begin(), report.segments.end(), segment, [](const auto& item, uint64_t wanted) { return item.segment < wanted; });
        return position != report.segments.end() && position->segment == segment ? &*position : nullptr;
    }

    bool isRefuted(const crash_evidence& evidence, uint64_t segment, time_point crashAt)
    {
        const auto survival = evidence.survivals.find(segment);
        return survival != evidence.survivals.end() && survival->second >= crashAt;
    }

    using report_group = std::vector<const crash_report*>;

    /// @return The reports that count against a segment, in groups of simultaneous crashes.
    std::vector<report_group> crashesOf(const crash_evidence& evidence, uint64_t segment)
    {
        report_group reports;
        for (const auto& report : evidence.reports) {
            if (findSegment(report, segment) && !isRefuted(evidence, segment, report.at))
                reports.push_back(&report);
        }
        std::sort(reports.begin(), reports.end(), [](const auto* left, const auto* right) { return left->at < right->at; });
        std::vector<report_group> groups;
        for (const auto* report : reports) {
            if (groups.empty() || report->at - groups.back().front()->at > simultaneousCrashes)
                groups.emplace_back();
            groups.back().push_back(report);
        }
        return groups;
    }

    /// @return True if each request of the group that has the segment has the other one too.
    bool accompanies(const crash_evidence& evidence, uint64_t other, uint64_t segment, const report_group& group)
    {
        return std::all_of(group.begin(), group.end(), [&](const auto* report) {
            const auto* otherEntry = findSegment(*report, other);
            const uint32_t requests = findSegment(*report, segment)->requests;
            return otherEntry && (otherEntry->requests & requests) == requests && !isRefuted(evidence, other, report->at);
        });
    }

    std::vector<uint64_t> companionsOf(const crash_evidence& evidence, uint64_t segment, const std::vector<report_group>& crashes)
    {
        // A segment that is missing from two crashes cannot explain them; one crash may have another cause. Candidates are
        // therefore in the first or in the second crash.
        std::vector<uint64_t> companions;
        for (const auto& candidateCrash : { crashes[0], crashes[1] }) {
            const uint32_t needed = findSegment(*candidateCrash.front(), segment)->requests;
            for (const auto& [other, requests] : candidateCrash.front()->segments) {
                if (other == segment || (requests & needed) != needed || std::find(companions.begin(), companions.end(), other) != companions.end())
                    continue;
                const auto shared = std::count_if(crashes.begin(), crashes.end(), [&, other = other](const auto& group) { return accompanies(evidence, other, segment, group); });
                if (static_cast<size_t>(shared) + 1 >= crashes.size())
                    companions.push_back(other);
            }
        }
        return companions;
    }

    void makeRoomForVerdict(crash_evidence& evidence)
    {
        if (evidence.verdicts.size() < maxVerdicts)
            return;
        const auto first = std::min_element(evidence.verdicts.begin(), evidence.verdicts.end(), [](const auto& left, const auto& right) { return left.second.expires < right.second.expires; });
        evidence.verdicts.erase(first);
    }

    /// @return True if each request of the group that has the segment has another one that is refused.
    bool isExplained(const crash_evidence& evidence, std::span<const uint64_t> refused, uint64_t segment, const report_group& group)
    {
        return std::any_of(refused.begin(), refused.end(), [&](uint64_t other) { return other != segment && accompanies(evidence, other, segment, group); });
    }

    /// @param refused  Segments that were refused before the newest report.
    /// @return True if the segment was not refused before.
    bool updateVerdict(crash_evidence& evidence, std::span<const uint64_t> refused, uint64_t segment, time_point now)
    {
        auto crashes = crashesOf(evidence, segment);
        const auto crashCount = static_cast<uint32_t>(crashes.size());
        if (std::ssize(crashes) > maxConsideredCrashes)
            crashes.erase(crashes.begin(), crashes.end() - maxConsideredCrashes);
        if (crashes.size() >= crashesToRefuse && !evidence.verdicts.contains(segment))
            std::erase_if(crashes, [&](const auto& group) { return isExplained(evidence, refused, segment, group); });
        if (crashes.size() < crashesToRefuse)
            return false;
        if (!evidence.verdicts.contains(segment))
            makeRoomForVerdict(evidence);
        const auto [position, isNew] = evidence.verdicts.try_emplace(segment);
        segment_verdict& verdict = position->second;
        if (isNew) {
            verdict.firstCrashAt = crashes.front().front()->at;
            verdict.nextTrialAt = now + firstTrialDelay;
        }
        if (isNew || !verdict.companions.empty())
            verdict.companions = companionsOf(evidence, segment, crashes);
        verdict.crashCount = std::max(verdict.crashCount, crashCount);
        verdict.lastCrashAt = std::max(verdict.lastCrashAt, crashes.back().back()->at);
        verdict.expires = now + verdictLifetime;
        return isNew;
    }

    void removeOldestReport(crash_evidence& evidence)
    {
        const crash_report report = std::move(evidence.reports.front());
        evidence.reports.pop_front();
        evidence.formerReports.push_back(report.id);
        if (evidence.formerReports.size() > maxFormerReports)
            evidence.formerReports.pop_front();
        for (const auto& item : report.segments) {
            if (!isSuspected(evidence, item.segment))
                evidence.survivals.erase(item.segment);
        }
    }
}

std::vector<suspected_segment> suspectedSegments(std::span<const std::vector<uint64_t>> requests)
{
    std::map<uint64_t, uint32_t> requestsBySegment;
    for (size_t i = 0; i < std::min(requests.size(), maxReportedRequests); ++i) {
        for (const uint64_t segment : requests[i]) {
            if (requestsBySegment.size() < maxReportedSegments || requestsBySegment.contains(segment))
                requestsBySegment[segment] |= uint32_t { 1 } << i;
        }
    }
    std::vector<suspected_segment> segments;
    for (const auto& [segment, requestBits] : requestsBySegment)
        segments.push_back({ segment, requestBits });
    return segments;
}

void recordRecentSurvival(recent_survivals& survivals, uint64_t segment, time_point beganAt)
{
    if (survivals.newer.size() >= maxRecentSurvivals && !survivals.newer.contains(segment))
        survivals.older = std::exchange(survivals.newer, {});
    time_point& newest = survivals.newer[segment];
    newest = std::max(newest, beganAt);
}

std::optional<time_point> findRecentSurvival(const recent_survivals& survivals, uint64_t segment) noexcept
{
    std::optional<time_point> newest;
    for (const auto* table : { &survivals.newer, &survivals.older }) {
        if (const auto position = table->find(segment); position != table->end())
            newest = std::max(newest.value_or(position->second), position->second);
    }
    return newest;
}

bool addReport(crash_evidence& evidence, crash_report report)
{
    const bool isKnown = std::any_of(evidence.reports.begin(), evidence.reports.end(), [&report](const auto& known) { return known.id == report.id; })
        || std::find(evidence.formerReports.begin(), evidence.formerReports.end(), report.id) != evidence.formerReports.end();
    if (isKnown)
        return false;
    for (auto& known : evidence.reports) {
        if (known.target != report.target || std::chrono::abs(known.at - report.at) > sameCrashTime)
            continue;
        // The process that saw the crash first has the best time of it.
        known.at = report.at = std::min(known.at, report.at);
    }
    std::sort(report.segments.begin(), report.segments.end(), [](const auto& left, const auto& right) { return left.segment < right.segment; });
    if (report.segments.size() > maxReportedSegments)
        report.segments.resize(maxReportedSegments);
    if (evidence.reports.size() >= maxCrashReports)
        removeOldestReport(evidence);
    evidence.reports.push_back(std::move(report));
    return true;
}

std::vector<uint64_t> verdictCandidates(const crash_evidence& evidence, std::span<const suspected_segment> segments)
{
    std::vector<uint64_t> candidates;
    for (const auto& item : segments) {
        if (!evidence.verdicts.contains(item.segment) && crashCountOf(evidence, item.segment) >= crashesToRefuse)
            candidates.push_back(item.segment);
    }
    return candidates;
}

std::vector<uint64_t> formVerdicts(crash_evidence& evidence, std::span<const uint64_t> segments, time_point now)
{
    std::vector<uint64_t> refused;
    for (const auto& [segment, verdict] : evidence.verdicts)
        refused.push_back(segment);
    std::vector<uint64_t> newVerdicts;
    for (const uint64_t segment : segments) {
        if (updateVerdict(evidence, refused, segment, now))
            newVerdicts.push_back(segment);
    }
    // A report with very many segments can form more verdicts than are kept.
    std::erase_if(newVerdicts, [&evidence](uint64_t segment) { return !evidence.verdicts.contains(segment); });
    return newVerdicts;
}

merge_result mergeReport(crash_evidence& evidence, crash_report report, time_point now)
{
    if (!addReport(evidence, std::move(report)))
        return {};
    std::vector<uint64_t> segments;
    for (const auto& item : evidence.reports.back().segments)
        segments.push_back(item.segment);
    return { true, formVerdicts(evidence, segments, now) };
}

bool mergeVerdict(crash_evidence& evidence, uint64_t segment, const segment_verdict& verdict, time_point now)
{
    if (isRefuted(evidence, segment, verdict.lastCrashAt))
        return false;
    if (!evidence.verdicts.contains(segment))
        makeRoomForVerdict(evidence);
    const auto [position, isNew] = evidence.verdicts.try_emplace(segment, verdict);
    segment_verdict& known = position->second;
    known.expires = std::max(known.expires, now + verdictLifetime);
    if (isNew)
        return true;
    bool isChanged = false;
    if (verdict.trials > known.trials) {
        known.trials = verdict.trials;
        known.nextTrialAt = verdict.nextTrialAt;
        isChanged = true;
    }
    if (verdict.crashCount > known.crashCount) {
        known.crashCount = verdict.crashCount;
        known.lastCrashAt = std::max(known.lastCrashAt, verdict.lastCrashAt);
        known.companions = verdict.companions;
        isChanged = true;
    }
    return isChanged;
}

std::vector<uint64_t> recordSurvival(crash_evidence& evidence, std::span<const uint64_t> segments, time_point beganAt)
{
    std::vector<uint64_t> refuted;
    if (evidence.reports.empty() && evidence.verdicts.empty())
        return refuted;
    for (const uint64_t segment : segments) {
        const bool isKnown = isRefuted(evidence, segment, beganAt) || !isSuspected(evidence, segment);
        if (isKnown)
            continue;
        const bool hadEvidence = crashCountOf(evidence, segment) > 0 || evidence.verdicts.contains(segment);
        evidence.survivals[segment] = beganAt;
        if (!hadEvidence)
            continue;
        refuted.push_back(segment);
        if (const auto verdict = evidence.verdicts.find(segment); verdict != evidence.verdicts.end() && beganAt > verdict->second.lastCrashAt)
            evidence.verdicts.erase(verdict);
        for (auto& [other, verdict] : evidence.verdicts)
            std::erase(verdict.companions, segment);
    }
    return refuted;
}

std::optional<uint64_t> refusedSegment(const crash_evidence& evidence, std::span<const uint64_t> segments, time_point now) noexcept
{
    if (evidence.verdicts.empty())
        return std::nullopt;
    for (const uint64_t segment : segments) {
        const auto position = evidence.verdicts.find(segment);
        if (position == evidence.verdicts.end() || position->second.expires <= now)
            continue;
        const auto& companions = position->second.companions;
        if (std::all_of(companions.begin(), companions.end(), [segments](uint64_t other) { return std::find(segments.begin(), segments.end(), other) != segments.end(); }))
            return segment;
    }
    return std::nullopt;
}

bool hasSurvived(const crash_evidence& evidence, const recent_survivals& survivals, uint64_t segment) noexcept
{
    const auto verdict = evidence.verdicts.find(segment);
    if (verdict == evidence.verdicts.end() || !findRecentSurvival(survivals, segment))
        return false;
    const auto& companions = verdict->second.companions;
    return std::all_of(companions.begin(), companions.end(), [&survivals](uint64_t other) { return findRecentSurvival(survivals, other).has_value(); });
}

bool tryStartTrial(crash_evidence& evidence, std::span<const uint64_t> segments, milliseconds rankDelay, time_point now)
{
    const auto segment = refusedSegment(evidence, segments, now);
    if (!segment)
        return false;
    const bool hasOther = std::any_of(segments.begin(), segments.end(), [&](uint64_t other) { return other != *segment && evidence.verdicts.contains(other); });
    const auto position = evidence.verdicts.find(*segment);
    if (hasOther && position->second.companions.empty())
        return false;
    segment_verdict& verdict = position->second;
    verdict.expires = now + verdictLifetime;
    if (verdict.trials >= maxTrials || now < verdict.nextTrialAt + rankDelay)
        return false;
    milliseconds delay = firstTrialDelay;
    for (uint32_t i = 0; i <= verdict.trials; ++i)
        delay *= trialDelayFactor;
    ++verdict.trials;
    verdict.nextTrialAt = now + delay;
    return true;
}

void removeExpired(crash_evidence& evidence, time_point now)
{
    while (!evidence.reports.empty() && evidence.reports.front().at + crashReportLifetime <= now)
        removeOldestReport(evidence);
    std::erase_if(evidence.verdicts, [now](const auto& item) { return item.second.expires <= now; });
}

std::vector<crash_report> unrefutedReports(const crash_evidence& evidence)
{
    std::vector<crash_report> reports;
    for (const auto& report : evidence.reports) {
        crash_report& copy = reports.emplace_back(report);
        std::erase_if(copy.segments, [&](const auto& item) { return isRefuted(evidence, item.segment, report.at); });
    }
    return reports;
}

uint32_t crashCountOf(const crash_evidence& evidence, uint64_t segment)
{
    return static_cast<uint32_t>(crashesOf(evidence, segment).size());
}

bool isSuspected(const crash_evidence& evidence, uint64_t segment)
{
    return evidence.verdicts.contains(segment) || std::any_of(evidence.reports.begin(), evidence.reports.end(), [segment](const auto& report) { return findSegment(report, segment); });
}
}
