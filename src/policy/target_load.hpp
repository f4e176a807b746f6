/// Load of targets as all gateways together cause it: merging reports of gateways, and what a gateway makes of the sums.
///
/// Load pattern: 25 gateways send to 46 targets, and each gateway has zero or one request of its own at most of them. Its own
/// counts therefore say nothing about the load of a target. The sums of all gateways do, but they are some hundred
/// milliseconds old, and many gateways decide by the same old figures.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

namespace bilberryseam::policy {

/// Figures that are older are not used.
constexpr milliseconds maxLoadAge { 2000 };
/// Period of reports and sums if something has changed.
constexpr milliseconds loadReportPeriod { 250 };
/// Longest time between two reports.
constexpr milliseconds maxLoadReportPause { 1000 };

/// Prompt tokens that a target of usual speed reads in a millisecond.
constexpr double prefillTokensPerMillisecond = 50;

/// Largest values that are taken from a message; larger ones are faults and would distort the mean of the service.
constexpr uint32_t maxLoadRequests = 10000;
constexpr uint64_t maxLoadTokens = 100'000'000;
constexpr uint32_t maxLoadPaceUs = 10'000'000;
constexpr uint32_t maxLoadSamples = 100'000;

/// Load that one or more gateways have at a target.
struct load_figures {
    /// Hash of the target's identifier and start.
    uint64_t target = 0;
    uint32_t requests = 0;
    /// Prompt tokens that wait for their prefill.
    uint64_t prefillTokens = 0;
    /// Prompt tokens, and the most output tokens, of the requests in progress.
    uint64_t contextTokens = 0;
    /// Mean time between two events of a stream, in microseconds; zero if there are no samples.
    uint32_t paceUs = 0;
    uint32_t paceSamples = 0;
    /// Streams that have begun and not ended.
    uint32_t runningStreams = 0;

    bool operator==(const load_figures&) const = default;
};

/// @return The figures, limited to the largest plausible values.
[[nodiscard]] load_figures bounded(const load_figures& figures) noexcept;

/// The newest figures of one sender.
struct received_load {
    uint64_t sequence = 0;
    /// Time at which the figures were true.
    time_point takenAt {};
    /// Gateways whose figures are included.
    uint32_t gateways = 1;
    std::vector<load_figures> items;
};

/// What a collector knows.
struct collected_load {
    /// Reports of gateways, by the hash of their names.
    std::map<uint64_t, received_load> reports;
    /// Sums of the reports that other collectors have received, by the hash of their names.
    std::map<uint64_t, received_load> sums;
};

/// Takes a report of a gateway; a report that a newer one overtook is ignored.
void applyReport(collected_load& load, uint64_t gateway, received_load report);
/// Takes the sum that another collector has formed of its reports.
void applySum(collected_load& load, uint64_t collector, received_load sum);
/// Drops what is older than `maxLoadAge`.
void dropOldLoad(collected_load& load, time_point now);
/// @return The sum of the reports, without the sums of other collectors; ordered by target.
[[nodiscard]] received_load sumOfReports(const collected_load& load, time_point now);
/// @return The sum of the reports and of the sums of the other collectors.
[[nodiscard]] received_load sumOfAll(const collected_load& load, const received_load& reports, time_point now);

/// A longer time between two events shows that a stream stood still, and not how fast the target is. No pace is longer.
constexpr microseconds longestGap { 2'000'000 };

/// Time between the events of the streams at one target, over the last seconds.
struct event_pace {
    double totalUs = 0;
    double samples = 0;
    time_point updatedAt {};
};

/// Records the time between two events.
void recordGap(event_pace& pace, microseconds gap, time_point now) noexcept;
/// Records the time between two events at a target that reads prompts between the events. A time that is much longer than the
/// mean shows that a prompt was read, and counts little: otherwise the pace would say how many prompts a target gets and not how
/// fast it is.
void recordGapBesidePrompts(event_pace& pace, microseconds gap, time_point now) noexcept;
/// @return Mean time between two events in microseconds; zero if there are no samples.
[[nodiscard]] uint32_t meanOf(const event_pace& pace) noexcept;
/// @return Number of samples, which old ones count towards less and less.
[[nodiscard]] uint32_t samplesOf(const event_pace& pace, time_point now) noexcept;

/// What a gateway knows of the load that the other gateways cause.
struct load_view {
    std::unordered_map<uint64_t, load_figures> others;
    time_point takenAt {};
    /// Other gateways whose figures are included.
    uint32_t gateways = 0;
};

/// Replaces the view by a new sum.
/// @param own  What this gateway itself reported and the sum contains.
void applySummary(load_view& view, const received_load& summary, std::span<const load_figures> own);

/// @return Whether the view is new enough to be used.
[[nodiscard]] bool isUsable(const load_view& view, time_point now) noexcept;

/// What consecutive sums show about the targets of one service.
struct load_trend {
    struct target_trend {
        double requests = 0;
        /// Sum of the requests, weighted by the time for which they were stated; older ones count less.
        double weightedRequests = 0;
        bool isListed = true;
    };
    std::unordered_map<uint64_t, target_trend> targets;
    time_point updatedAt {};
    /// Gateways in the last sum.
    uint32_t gateways = 0;
    /// Seconds of observation; older ones count less.
    double weight = 0;
    /// Sum of the requests at all targets, weighted as those of each target.
    double weightedTotal = 0;
    /// Requests by which the sums rose and fell, and by how many they can have changed both ways, in the last seconds.
    double risen = 0;
    double fallen = 0;
    double possible = 0;
    /// How often the number of gateways changed in the last seconds.
    double gatewayChanges = 0;
    /// Seconds since the first sum.
    double observedSeconds = 0;
};

/// Records a sum of all gateways.
/// @param targets          The targets of the service.
/// @param sendsPerSecond   Estimate of what all gateways send to the service.
void recordSum(load_trend& trend, std::span<const load_figures> sum, uint32_t gateways, std::span<const uint64_t> targets, double sendsPerSecond, time_point now);

/// @return Whether the sums changed no faster than requests can arrive and end, over at least half a second.
[[nodiscard]] bool isConsistent(const load_trend& trend) noexcept;

/// @return Mean number of requests of all gateways at a target over the last seconds, drawn towards the mean of the service
/// after a short observation; zero if nothing is known.
[[nodiscard]] double usualRequestsOf(const load_trend& trend, uint64_t target) noexcept;

/// What one gateway sent to a service lately.
struct recent_sends {
    struct count {
        double weight = 0;
        time_point updatedAt {};
    };
    count all;
    /// By the hash of the shared prefix.
    std::unordered_map<uint64_t, count> byPrefix;
};

/// Records a send.
/// @param prefixHash  Zero if the request shares no prefix.
void recordSend(recent_sends& sends, uint64_t prefixHash, time_point now);

/// @return The share of the sends to a service with a prefix, from 0 to 1: a cautious estimate, zero after a single send.
[[nodiscard]] double prefixShareOf(const recent_sends& sends, uint64_t prefixHash, time_point now) noexcept;

/// Load of a target by all gateways, as of now.
struct target_load {
    double requests = 0;
    double prefillTokens = 0;
    double contextTokens = 0;
    /// Mean time between two events in microseconds; zero if it is not known.
    double paceUs = 0;
    double paceSamples = 0;
    /// Streams that have begun and not ended.
    double runningStreams = 0;
    /// `usualRequestsOf` the target; zero if it is not known.
    double usualRequests = 0;
};

/// Adds the own current figures to those of the other gateways. Prompt tokens of the others are reduced by what the target has
/// read since their figures were taken. The result is never less than the own figures.
[[nodiscard]] target_load loadNow(const load_view& view, const load_figures& own, time_point now) noexcept;
}
