/// Keeps what is held against requests that crash targets, and passes it between daemons.
#pragma once

#include "policy/suspicion.hpp"
#include "telemetry/metrics.hpp"
#include "wire/message.hpp"

#include <functional>

namespace bilberryseam::execution {

/// A daemon's part in spreading strikes and quarantines.
class suspicion_exchange {
public:
    /// @param sendToAll  Sends a message to all peers.
    suspicion_exchange(metrics& metrics, std::function<void(const wire::message&)> sendToAll);

    [[nodiscard]] policy::treatment executionModeOf(uint64_t fingerprint, time_point now) const noexcept { return policy::treatmentOf(m_table, fingerprint, now); }

    /// A target crashed while it ran the request; tells all peers.
    void recordCrash(uint64_t fingerprint, bool wasAlone, time_point now);

    void clearSuspicion(uint64_t fingerprint) noexcept { policy::absolve(m_table, fingerprint); }

    /// Takes in a peer's word; passes it on if it is news.
    /// @return False if the message is about something else.
    [[nodiscard]] bool handle(const wire::message& message, time_point now);

    /// Tells a new peer all that is held, through `send`.
    void sendAll(const std::function<void(wire::message)>& send, time_point now) const;

private:
    static wire::crash_suspicion messageOf(uint64_t fingerprint, const policy::suspicion& suspicion, time_point now);

    metrics& m_metrics;
    std::function<void(const wire::message&)> m_sendToAll;
    policy::suspicion_table m_table;
};
}
