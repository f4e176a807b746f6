/// The side's end of sessions: accepts connections, performs handshakes, and keeps sessions across connections.
#pragma once

#include "base/endpoint.hpp"
#include "base/identifier.hpp"
#include "loop/client_memory_budget.hpp"
#include "loop/gobject_ptr.hpp"
#include "wire/session_channel.hpp"

#include <gio/gio.h>
#include <list>
#include <unordered_map>

namespace bilberryseam::wire {

/// Limits of a session server.
struct server_limits {
    size_t maxSessions = 4096;
    size_t maxConnectionsInHandshake = 256;
    milliseconds handshakeTimeout { 2000 };
    /// How long a session without a connection is kept; longer than any request's deadline.
    milliseconds sessionExpiry { 30000 };
};

/// Accepts sessions from entries.
class session_server {
public:
    struct callbacks {
        std::function<void(identifier session, message&)> onMessage;
        /// A connection is ready; `isResumed` if the session is kept from an earlier one, with its unacknowledged messages.
        std::function<void(identifier session, bool isResumed)> onAttached;
        /// The session expired or violated the protocol: cancel everything that it requested.
        std::function<void(identifier session)> onExpired;
        /// A peer violated a rule of the protocol.
        std::function<void(std::string_view rule)> onViolation;
    };

    /// @throws error (`Unavailable`) if the address cannot be bound.
    /// @param memory  What all clients of the process may have it hold; null for no limit.
    session_server(const ip_endpoint& listen, std::string name, identifier incarnation, server_limits limits, callbacks callbacks, std::shared_ptr<client_memory_budget> memory = nullptr);
    ~session_server();

    /// Queues a message for a session; discards it if the session no longer exists.
    void post(identifier session, message item);

    /// Queues a message for all sessions.
    void postToAll(const message& item);

    /// @return Whether every session has acknowledged all messages sent to it; sessions that have
    ///         been disconnected for longer than `grace` do not count.
    [[nodiscard]] bool isAllAcknowledged(time_point now, milliseconds grace) const noexcept;

    /// @return Bytes of frames sent and received on all current sessions.
    [[nodiscard]] uint64_t byteCount() const noexcept;

    [[nodiscard]] size_t sessionCount() const noexcept { return m_sessions.size(); }
    [[nodiscard]] identifier incarnation() const noexcept { return m_incarnation; }

private:
    struct stored_session;
    struct pending_connection;

    static gboolean onIncoming(GSocketService* service, GSocketConnection* connection, GObject* origin, gpointer self);
    void startHandshake(GSocketConnection* connection);
    void removePending(pending_connection* pendingConnection);
    void handleHello(pending_connection* pendingConnection, std::string_view bytes);
    [[nodiscard]] size_t maxSessions() const noexcept;
    stored_session& sessionFor(identifier id);
    void markInvalid(identifier id);
    void removeExpired();
    /// Ends the sessions whose peers leave most unacknowledged, if all together leave too much.
    void endLargestBacklogs();

    std::string m_name;
    identifier m_incarnation;
    server_limits m_limits;
    callbacks m_callbacks;
    std::shared_ptr<client_memory_budget> m_memory;
    gobject_ptr<GSocketService> m_service;
    std::unordered_map<identifier, std::unique_ptr<stored_session>> m_sessions;
    std::list<std::unique_ptr<pending_connection>> m_pendingConnections;
    timer m_expiryTimer;
};
}
