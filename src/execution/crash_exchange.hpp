/// Finds prompt segments that crash targets, together with the peers of a daemon.
#pragma once

#include "policy/crash_evidence.hpp"
#include "telemetry/metrics.hpp"
#include "wire/message.hpp"

#include <functional>
#include <string>

namespace bilberryseam::execution {

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
    [[nodiscard]] bool hasSurvived(uint64_t segment) const noexcept { return policy::hasSurvived(m_evidence, segment); }

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

    void removeExpired(time_point now) { policy::removeExpired(m_evidence, now); }

private:
    [[nodiscard]] bool mergeReport(const wire::crash_report& message, std::string_view from, time_point now);
    [[nodiscard]] bool mergeVerdict(const wire::segment_verdict& message, std::string_view from, time_point now);
    [[nodiscard]] bool mergeSurvival(const wire::segment_survival& message, std::string_view from, time_point now);
    void onNewVerdict(uint64_t segment, std::string_view from, time_point now);
    void publish(const wire::message& message);

    metrics& m_metrics;
    uint64_t m_ownName;
    callbacks m_callbacks;
    policy::crash_evidence m_evidence;
};
}
