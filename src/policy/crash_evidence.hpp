/// Prompt segments that crash targets, found from the requests in progress at targets that crashed.
///
/// Load pattern: requests of which no two are alike share one segment, and each target that starts to respond to one of
/// them crashes. Counting crashes by request never finds them. Sound requests share all other segments, run at the same
/// targets, and show by finishing that their segments are harmless.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace bilberryseam::policy {

/// Separate crashes after which a segment is refused.
constexpr uint32_t crashesToRefuse = 3;

/// Crashes within this time are one event: a lost failure domain says as much about a segment as one lost target.
constexpr milliseconds simultaneousCrashes { 50 };

/// Reports about one target within this time are about the same crash.
constexpr milliseconds sameCrashTime { 500 };

/// A request that still runs this long after its first event did not crash its target.
constexpr milliseconds survivalTime { 500 };

/// Most reports that are kept; when there are more, the oldest is removed.
constexpr size_t maxCrashReports = 64;
/// Most requests and segments of one report.
constexpr size_t maxReportedRequests = 32;
constexpr size_t maxReportedSegments = 512;
/// Most verdicts; when there are more, the one that expires first is removed.
constexpr size_t maxVerdicts = 256;

/// How long a report counts, and how long a segment is refused after its last crash or refused request.
constexpr seconds crashReportLifetime { 600 };
constexpr seconds verdictLifetime { 3600 };

/// Requests with a refused segment that are let through, one at a time, to see whether it still crashes targets.
constexpr uint32_t maxTrials = 3;
/// Time from a verdict to its first trial; each later trial waits this many times as long as the one before.
constexpr milliseconds firstTrialDelay { 5000 };
constexpr int trialDelayFactor = 6;

/// A segment of requests that had not begun to respond when their target crashed.
struct suspected_segment {
    uint64_t segment = 0;
    /// One bit for each request of the report that contained the segment.
    uint32_t requests = 0;

    bool operator==(const suspected_segment&) const = default;
};

/// What one process saw of one crash.
struct crash_report {
    /// Unique; a report may arrive on several paths, at different times.
    uint64_t id = 0;
    /// Hash of the target's identifier and start.
    uint64_t target = 0;
    time_point at {};
    std::vector<suspected_segment> segments;
};

/// A segment that is refused.
struct segment_verdict {
    /// Segments that were in nearly all of the crashing requests too, and may be the cause instead. A request is refused only if it has them all.
    std::vector<uint64_t> companions;
    uint32_t crashCount = 0;
    time_point firstCrashAt {};
    time_point lastCrashAt {};
    uint32_t trials = 0;
    time_point nextTrialAt {};
    time_point expires {};

    bool operator==(const segment_verdict&) const = default;
};

/// Segments of responses that began a moment ago and did not crash their targets, whether suspected or not. A process that
/// learns only later of a crash elsewhere can refute it with them.
struct recent_survivals {
    /// Start of the newest response by segment. When the table is full, it becomes the older one.
    std::unordered_map<uint64_t, time_point> newer;
    std::unordered_map<uint64_t, time_point> older;
};

/// Most segments in each of the two tables.
constexpr size_t maxRecentSurvivals = 4096;

void recordRecentSurvival(recent_survivals& survivals, uint64_t segment, time_point beganAt);

/// @return The start of the newest response with the segment, or nothing.
[[nodiscard]] std::optional<time_point> findRecentSurvival(const recent_survivals& survivals, uint64_t segment) noexcept;

/// Most identifiers of removed reports that are kept, so that one of them is not taken for a new report.
constexpr size_t maxFormerReports = 1024;

struct crash_evidence {
    std::deque<crash_report> reports;
    /// Identifiers of removed reports.
    std::deque<uint64_t> formerReports;
    /// Start of the newest response that a segment survived; only of segments in `reports` or `verdicts`.
    std::unordered_map<uint64_t, time_point> survivals;
    std::unordered_map<uint64_t, segment_verdict> verdicts;
};

/// @param requests  Shared segments of each request, the longest-running request first; what exceeds the limits is left out.
/// @return The segments of a report, in ascending order.
[[nodiscard]] std::vector<suspected_segment> suspectedSegments(std::span<const std::vector<uint64_t>> requests);

struct merge_result {
    /// False if the report was known already.
    bool isNew = false;
    /// Segments that are refused from now on.
    std::vector<uint64_t> newVerdicts;
};

/// Adds a report without forming verdicts.
/// @return False if the report was known already.
[[nodiscard]] bool addReport(crash_evidence& evidence, crash_report report);

/// @return Those of the segments that enough crashes count against, and that are not refused yet.
[[nodiscard]] std::vector<uint64_t> verdictCandidates(const crash_evidence& evidence, std::span<const suspected_segment> segments);

/// Forms the verdicts that follow from the reports.
/// @return Those of the segments that are refused from now on.
[[nodiscard]] std::vector<uint64_t> formVerdicts(crash_evidence& evidence, std::span<const uint64_t> segments, time_point now);

/// Adds a report and forms the verdicts that follow from it.
[[nodiscard]] merge_result mergeReport(crash_evidence& evidence, crash_report report, time_point now);

/// Adds a verdict of another process, or later trials of a known one.
/// @return False if it says nothing new, or a survival refutes it.
[[nodiscard]] bool mergeVerdict(crash_evidence& evidence, uint64_t segment, const segment_verdict& verdict, time_point now);

/// Records that a response with these segments began at a time and did not crash its target.
/// @return The segments against which there was evidence from before that time.
[[nodiscard]] std::vector<uint64_t> recordSurvival(crash_evidence& evidence, std::span<const uint64_t> segments, time_point beganAt);

/// @return The segment for which a request with these segments is refused, or nothing.
[[nodiscard]] std::optional<uint64_t> refusedSegment(const crash_evidence& evidence, std::span<const uint64_t> segments, time_point now) noexcept;

/// Load pattern: targets crash by themselves, one after the other, while most requests share a segment and wait for their
/// first event. Requests that wait at the other targets then show that the segment is harmless, unless they are ended.
/// @return True if responses with the refused segment, and with each of its companions, did not crash their targets before.
[[nodiscard]] bool hasSurvived(const crash_evidence& evidence, const recent_survivals& survivals, uint64_t segment) noexcept;

/// Lets one request through that has exactly one refused segment, if a trial of the segment is due.
/// @param rankDelay  Time by which this process waits longer than the first in rank, so that only one of them starts the trial.
[[nodiscard]] bool tryStartTrial(crash_evidence& evidence, std::span<const uint64_t> segments, milliseconds rankDelay, time_point now);

/// @return The reports, without the segments that survivals refute.
[[nodiscard]] std::vector<crash_report> unrefutedReports(const crash_evidence& evidence);

/// Removes expired reports and verdicts.
void removeExpired(crash_evidence& evidence, time_point now);

/// @return Separate crashes that count against a segment.
[[nodiscard]] uint32_t crashCountOf(const crash_evidence& evidence, uint64_t segment);

/// @return True if any report or verdict is about the segment.
[[nodiscard]] bool isSuspected(const crash_evidence& evidence, uint64_t segment);
}
