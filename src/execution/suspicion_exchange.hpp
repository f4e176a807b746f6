/// Tracks requests that are suspected of crashing targets and exchanges the suspicions between daemons.
#pragma once

#include "execution/crash_exchange.hpp"
#include "execution/crash_probe.hpp"
#include "policy/suspicion.hpp"
#include "telemetry/metrics.hpp"
#include "wire/message.hpp"

#include <functional>

namespace bilberryseam::execution {

/// Keeps a daemon's suspicions and quarantines in step with those of its peers.
class suspicion_exchange {
public:
    /// @param ownName    Name of this daemon.
    /// @param sendToAll  Sends a message to all peers.
    /// @param onVerdict  Called after requests with a prompt segment were refused for the first time; may be empty.
    suspicion_exchange(metrics& metrics, std::string_view ownName, std::function<void(const wire::message&)> sendToAll, std::function<void()> onVerdict);

    /// @param segments  Hashes of the prompt segments that other requests may share.
    [[nodiscard]] policy::execution_mode executionModeOf(uint64_t fingerprint, std::span<const uint64_t> segments, time_point now) const noexcept;

    /// @return True if the request may run although one of its segments is refused, as the one trial that is due.
    [[nodiscard]] bool tryStartTrial(uint64_t fingerprint, std::span<const uint64_t> segments, time_point now);

    /// Records that a target broke the response of a request that had not begun to respond, or only just.
    void onBrokenRequest(const probed_target& target, broken_request request, time_point now) { m_probe.onBrokenRequest(target, std::move(request), now); }

    /// Records that a response with these segments began at a time and did not crash its target.
    void recordSurvival(std::span<const uint64_t> segments, time_point beganAt, time_point now) { m_crashes.recordSurvival(segments, beganAt, now); }

    /// Records that a target crashed while it ran the request, and informs all peers.
    void recordCrash(uint64_t fingerprint, bool wasIsolated, time_point now);

    void clearSuspicion(uint64_t fingerprint) noexcept { policy::clearSuspicion(m_table, fingerprint); }

    /// Merges a peer's suspicion and forwards it if it is new.
    /// @return False if the message is about something else.
    [[nodiscard]] bool handle(const wire::message& message, time_point now);

    /// Sends all current suspicions to a new peer through `send`.
    void sendAll(const std::function<void(wire::message)>& send, time_point now) const;

private:
    static wire::crash_suspicion messageOf(uint64_t fingerprint, const policy::suspicion& suspicion, time_point now);

    metrics& m_metrics;
    std::function<void(const wire::message&)> m_sendToAll;
    uint64_t m_ownName;
    policy::suspicion_table m_table;
    crash_probe m_probe;
    crash_exchange m_crashes;
};
}
