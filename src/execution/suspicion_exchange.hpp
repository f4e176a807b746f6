/// Tracks requests that are suspected of crashing targets and exchanges the suspicions between daemons.
#pragma once

#include "policy/suspicion.hpp"
#include "telemetry/metrics.hpp"
#include "wire/message.hpp"

#include <functional>

namespace bilberryseam::execution {

/// Keeps a daemon's suspicions and quarantines in step with those of its peers.
class suspicion_exchange {
public:
    /// @param sendToAll  Sends a message to all peers.
    suspicion_exchange(metrics& metrics, std::function<void(const wire::message&)> sendToAll);

    [[nodiscard]] policy::execution_mode executionModeOf(uint64_t fingerprint, time_point now) const noexcept { return policy::executionModeOf(m_table, fingerprint, now); }

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
    policy::suspicion_table m_table;
};
}
