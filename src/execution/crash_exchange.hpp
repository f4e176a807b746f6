/// Finds prompt segments that crash targets, together with the peers of a daemon.
#pragma once

#include "policy/crash_evidence.hpp"
#include "telemetry/metrics.hpp"
#include "wire/message.hpp"

#include <functional>
#include <map>
#include <string>

namespace bilberryseam::execution {

/// What a daemon does with reports about crashes.
///
/// Load pattern: a quarter of the targets end within a second, each with requests of many daemons. If each daemon told all
/// others of each crash that it saw, the messages would be the square of the number of daemons for each crash. A few
/// daemons collect the reports instead; the others learn only of verdicts.
struct collection_role {
    /// Reports are merged here, and form verdicts.
    bool isCollector = true;
    /// Some daemons are no collectors: they are asked for survivals before a verdict is formed.
    bool hasOthers = false;
};

/// How long a collector waits for survivals before it forms a verdict.
constexpr milliseconds survivalQueryTime { 250 };

/// Keeps a daemon's evidence in step with that of its peers.
class crash_exchange {
public:
    struct callbacks {
        /// Sends a message to all peers.
        std::function<void(const wire::message&)> sendToAll;
        /// Called after a segment was refused for the first time, with the first of the crashes behind it.
        std::function<void(time_point firstCrashAt)> onVerdict;
        /// Called with own reports, and with verdicts and their ends that were found here, so that they can be stored; may be empty.
        std::function<void(const wire::message&)> onOwnChange;
        /// Sends a message to the other collectors. If empty, all daemons collect and each passes reports on to all.
        std::function<void(const wire::message&)> sendToCollectors;
        /// Set together with `sendToCollectors`.
        std::function<collection_role()> role;
    };

    /// @param ownName  Identifies this daemon's reports.
    crash_exchange(metrics& metrics, std::string_view ownName, callbacks callbacks);

    /// Records that a target crashed while these requests had not begun to respond.
    /// @param requests  Shared segments of each request, the longest-running first.
    void reportCrash(uint64_t target, std::string_view targetName, std::span<const std::vector<uint64_t>> requests, time_point now);

    /// Records that a response with these segments began at a time and did not crash its target.
    void recordSurvival(std::span<const uint64_t> segments, time_point beganAt, time_point now);

    /// @return The segment for which a request is refused, or nothing.
    [[nodiscard]] std::optional<uint64_t> refusedSegment(std::span<const uint64_t> segments, time_point now) const noexcept { return policy::refusedSegment(m_evidence, segments, now); }

    /// @return True if responses with a refused segment did not crash their targets before; see `policy::hasSurvived`.
    [[nodiscard]] bool hasSurvived(uint64_t segment) const noexcept { return policy::hasSurvived(m_evidence, m_survivals, segment); }

    /// Lets one request with a refused segment through, if a trial is due; see `policy::tryStartTrial`.
    [[nodiscard]] bool tryStartTrial(std::span<const uint64_t> segments, milliseconds rankDelay, time_point now);

    /// @return Time until the next trial of a refused segment; zero if none is due any more.
    [[nodiscard]] milliseconds timeUntilTrial(uint64_t segment, time_point now) const;

    /// Merges a message and forwards it if it is new.
    /// @param from  Who sent it, for logs.
    /// @return False if the message is about something else.
    [[nodiscard]] bool handle(const wire::message& message, std::string_view from, time_point now);

    /// Sends all reports and verdicts to a new peer through `send`.
    void sendAll(const std::function<void(wire::message)>& send, time_point now) const;

    /// Forms the verdicts that are due, and removes what has expired.
    void tick(time_point now);

private:
    [[nodiscard]] bool mergeReport(const wire::crash_report& message, std::string_view from, time_point now);
    [[nodiscard]] bool mergeVerdict(const wire::segment_verdict& message, std::string_view from, time_point now);
    [[nodiscard]] bool mergeSurvival(const wire::segment_survival& message, std::string_view from, time_point now);
    void onNewVerdict(uint64_t segment, std::string_view from, time_point now);
    void publish(const wire::message& message);
    [[nodiscard]] bool hasCollectors() const noexcept { return static_cast<bool>(m_callbacks.sendToCollectors); }
    [[nodiscard]] collection_role role() const { return hasCollectors() ? m_callbacks.role() : collection_role {}; }
    /// Adds a report and forms the verdicts that follow from it, or asks for survivals first.
    /// @return False if the report was known already.
    [[nodiscard]] bool collect(policy::crash_report report, std::string_view from, time_point now);
    void announceVerdicts(std::span<const uint64_t> segments, std::string_view from, time_point now);
    /// @return Whether the query is new.
    [[nodiscard]] bool answerQuery(uint64_t segment, time_point now);

    metrics& m_metrics;
    uint64_t m_ownName;
    callbacks m_callbacks;
    policy::crash_evidence m_evidence;
    policy::recent_survivals m_survivals;
    /// Segments that are refused at this time unless a survival arrives.
    std::map<uint64_t, time_point> m_pendingVerdicts;
    /// Queries for survivals that were passed on, with the time until which further ones about the segment are not.
    std::map<uint64_t, time_point> m_answeredQueries;
};
}
