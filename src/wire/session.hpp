/// The entry's end of a session: connects, resumes, and replaces unresponsive connections.
#pragma once

#include "base/endpoint.hpp"
#include "base/identifier.hpp"
#include "loop/gobject_ptr.hpp"
#include "wire/session_channel.hpp"

#include <gio/gio.h>
#include <random>

namespace bilberryseam::wire {

/// Heartbeat periods, timeouts and reconnect delays of a link.
/// The busy values apply while calls are in flight or messages are unacknowledged, the idle values otherwise.
struct link_timing {
    milliseconds busyHeartbeatPeriod { 250 };
    milliseconds busyInactivityTimeout { 800 };
    milliseconds idleHeartbeatPeriod { 5000 };
    milliseconds idleInactivityTimeout { 15000 };
    milliseconds connectTimeout { 1000 };
    milliseconds minReconnectDelay { 50 };
    milliseconds maxReconnectDelay { 2000 };
};

/// A session with one side.
class session {
public:
    struct callbacks {
        std::function<void(message&)> onMessage;
        /// A connection is ready; `isResumed` is false if the peer has no state of earlier frames.
        std::function<void(bool isResumed)> onAttached;
        /// The peer restarted or removed the session: the outcome of everything in flight is unknown.
        std::function<void()> onLost;
        /// The connection was lost or not established; another attempt follows. `isRefused` if no process listens on the address.
        std::function<void(std::string_view reason, bool isRefused)> onDetached;
    };

    /// @param peer       The side's address.
    /// @param ownName    Name of this process, for the peer's logs.
    /// @param id         Identifier of the session.
    /// @param timing     Heartbeat periods, timeouts and delays.
    /// @param callbacks  Event handlers of the owner.
    session(ip_endpoint peer, std::string ownName, identifier id, link_timing timing, callbacks callbacks);
    ~session();

    void post(message item) { m_channel.post(std::move(item)); }

    /// Sends all queued messages now.
    void flush() { m_channel.flush(); }

    /// Replaces an inactive connection and sends heartbeats; the owner calls it several times a second.
    /// @param isBusy  Whether calls are in flight on this session.
    void tick(time_point now, bool isBusy);

    [[nodiscard]] bool isUp() const noexcept { return m_channel.isAttached(); }
    [[nodiscard]] const ip_endpoint& peer() const noexcept { return m_peer; }
    [[nodiscard]] const session_channel& channel() const noexcept { return m_channel; }

private:
    void connect();
    static void onConnected(GObject* source, GAsyncResult* outcome, gpointer data);
    void startHandshake(GSocketConnection* connection);
    void finishHandshake(std::string_view bytes);
    void scheduleReconnect(std::string_view reason, bool isRefused);
    void restartSession(std::string_view rule);
    void replaceConnection(std::string_view reason);
    /// @return Time since the peer's last bytes, or since the session became busy, in which this process could have read some.
    [[nodiscard]] microseconds silenceAt(time_point now, bool isBusy);

    ip_endpoint m_peer;
    std::string m_ownName;
    identifier m_identifier;
    link_timing m_timing;
    callbacks m_callbacks;
    session_channel m_channel;
    identifier m_sideIncarnation;
    gobject_ptr<GSocketClient> m_client;
    gobject_ptr<GCancellable> m_connectCancellable;
    std::unique_ptr<websocket> m_handshakeConnection;
    timer m_reconnectTimer;
    timer m_handshakeTimer;
    milliseconds m_reconnectDelay { 0 };
    time_point m_lastHeartbeat {};
    time_point m_lastTickAt {};
    /// The arrival from which the silence is measured.
    time_point m_silentSince {};
    microseconds m_silence { 0 };
    bool m_wasBusy = false;
    std::minstd_rand m_jitterGenerator;
};
}
