#include "wire/server.hpp"

#include "loop/callback_guard.hpp"

#include "base/error.hpp"
#include "loop/http.hpp"
#include "wire/codec.hpp"

#include <algorithm>

namespace bilberryseam::wire {

namespace {
    /// Largest opening handshake and hello.
    constexpr size_t maxBytesBeforeSession = 16 * 1024;

}

/// A session that outlives its connections.
struct session_server::stored_session {
    stored_session(session_channel::callbacks callbacks, std::shared_ptr<client_memory_budget> budget)
        : channel(std::move(callbacks))
        , memory(std::move(budget), {})
    {
    }

    session_channel channel;
    /// The session itself, and what its peer has not acknowledged.
    client_memory_share memory;
    time_point detachedAt = monotonicNow();
    /// The peer violated the protocol; the next expiry check or hello removes the session.
    bool isInvalid = false;
};

/// A connection whose hello has not been received.
struct session_server::pending_connection {
    std::unique_ptr<websocket> connection;
    timer timeout;
    /// Set once the connection belongs to a session, which receives all later bytes.
    stored_session* session = nullptr;
};

session_server::session_server(const ip_endpoint& listen, std::string name, identifier incarnation, server_limits limits, callbacks callbacks, std::shared_ptr<client_memory_budget> memory)
    : m_name(std::move(name))
    , m_incarnation(incarnation)
    , m_limits(limits)
    , m_callbacks(std::move(callbacks))
    , m_memory(std::move(memory))
    , m_service(gobject_ptr<GSocketService>::adopt(g_socket_service_new()))
{
    g_socket_listener_set_backlog(G_SOCKET_LISTENER(m_service.get()), listenBacklog);
    GSocketAddress* address = g_inet_socket_address_new_from_string(listen.address.c_str(), listen.port);
    GError* failure = nullptr;
    const bool isListening = g_socket_listener_add_address(G_SOCKET_LISTENER(m_service.get()), address, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr, nullptr, &failure);
    g_object_unref(address);
    if (!isListening) {
        const std::string text = failure->message;
        g_error_free(failure);
        throw error(error_kind::Unavailable, "Cannot listen on " + listen.toString() + ": " + text + ".", "Choose a free address in the settings.");
    }
    g_signal_connect(m_service.get(), "incoming", G_CALLBACK(&session_server::onIncoming), this);
    g_socket_service_start(m_service.get());
    m_expiryTimer.startEvery(seconds(1), [this] { removeExpired(); });
}

session_server::~session_server()
{
    g_signal_handlers_disconnect_by_data(m_service.get(), this);
    g_socket_service_stop(m_service.get());
    g_socket_listener_close(G_SOCKET_LISTENER(m_service.get()));
}

gboolean session_server::onIncoming(GSocketService*, GSocketConnection* connection, GObject*, gpointer self)
{
    runGuarded("session", [&] { static_cast<session_server*>(self)->startHandshake(connection); });
    return TRUE;
}

void session_server::startHandshake(GSocketConnection* connection)
{
    // Connections that never send a hello must not keep those out that do.
    if (m_pendingConnections.size() >= m_limits.maxConnectionsInHandshake) {
        m_callbacks.onViolation("too_many_connections");
        m_pendingConnections.pop_front();
    }
    auto* pendingConnection = m_pendingConnections.emplace_back(std::make_unique<pending_connection>()).get();
    websocket::callbacks callbacks;
    // After the handshake the session owns the connection, and these callbacks use only the session.
    const auto owner = std::make_shared<stored_session*>(nullptr);
    const auto memory = std::make_shared<client_memory_share>(m_memory, [this, pendingConnection, owner] {
        if (*owner) {
            (*owner)->channel.detach();
            (*owner)->detachedAt = monotonicNow();
        } else {
            removePending(pendingConnection);
        }
    });
    struct message_progress {
        size_t bytes = 0;
        time_point at {};
    };
    callbacks.onUnfinished = [owner, memory, progress = std::make_shared<message_progress>()](size_t unfinishedBytes) {
        if (!*owner && unfinishedBytes > maxBytesBeforeSession)
            return false;
        if (unfinishedBytes < progress->bytes || unfinishedBytes - progress->bytes >= policy::progressBytes)
            *progress = { unfinishedBytes, monotonicNow() };
        memory->setYielding(true, progress->at);
        return memory->grow(policy::memory_use::Receiving, unfinishedBytes);
    };
    callbacks.onMessage = [this, pendingConnection, owner, memory](std::string_view bytes) {
        memory->clear();
        if (*owner) {
            (*owner)->channel.receive(bytes);
            return;
        }
        handleHello(pendingConnection, bytes);
        *owner = pendingConnection->session;
        if (*owner)
            removePending(pendingConnection);
    };
    callbacks.onClose = [this, pendingConnection, owner](std::string_view) {
        if (!*owner) {
            removePending(pendingConnection);
            return;
        }
        (*owner)->channel.detach();
        (*owner)->detachedAt = monotonicNow();
    };
    pendingConnection->timeout.startOnce(m_limits.handshakeTimeout, [this, pendingConnection] {
        m_callbacks.onViolation("handshake_timeout");
        removePending(pendingConnection);
    });
    pendingConnection->connection = websocket::accept(connection, std::move(callbacks));
    pendingConnection->connection->setMaxMessageBytes(maxBytesBeforeSession);
}

void session_server::removePending(pending_connection* pendingConnection)
{
    m_pendingConnections.remove_if([pendingConnection](const auto& item) { return item.get() == pendingConnection; });
}

void session_server::handleHello(pending_connection* pendingConnection, std::string_view bytes)
{
    const result<hello> decodedHello = decodeHello(bytes);
    const bool isSupported = decodedHello && decodedHello.value().version == protocolVersion;
    const bool isKnown = isSupported && m_sessions.contains(decodedHello.value().session);
    if (!isSupported || (!isKnown && m_sessions.size() >= maxSessions())) {
        m_callbacks.onViolation(isSupported ? "too_many_sessions" : decodedHello ? "version"
                                                                                 : "bad_hello");
        pendingConnection->timeout.startOnce(milliseconds(0), [this, pendingConnection] { removePending(pendingConnection); });
        return;
    }
    const hello& peerHello = decodedHello.value();
    const auto position = m_sessions.find(peerHello.session);
    const bool isResumed = position != m_sessions.end() && !position->second->isInvalid && peerHello.sideIncarnation == m_incarnation;
    if (!isResumed && m_sessions.erase(peerHello.session) > 0)
        m_callbacks.onExpired(peerHello.session);
    stored_session& session = sessionFor(peerHello.session);
    session.memory.set(policy::memory_use::Held, policy::sessionBytes);
    pendingConnection->connection->setMaxMessageBytes(maxWebsocketMessageBytes);
    pendingConnection->connection->send(encodeWelcome({ protocolVersion, m_incarnation, m_name, isResumed, session.channel.receivedSequence() }));
    if (!session.channel.attach(std::move(pendingConnection->connection), isResumed ? peerHello.receivedSequence : 0)) {
        m_callbacks.onViolation("false_acknowledgement");
        m_sessions.erase(peerHello.session);
        m_callbacks.onExpired(peerHello.session);
        pendingConnection->timeout.startOnce(milliseconds(0), [this, pendingConnection] { removePending(pendingConnection); });
        return;
    }
    pendingConnection->session = &session;
    m_callbacks.onAttached(peerHello.session, isResumed);
}

size_t session_server::maxSessions() const noexcept
{
    return m_memory ? std::min(m_limits.maxSessions, policy::maxSessions(m_memory->memory())) : m_limits.maxSessions;
}

session_server::stored_session& session_server::sessionFor(identifier id)
{
    auto& session = m_sessions[id];
    if (session)
        return *session;
    session_channel::callbacks callbacks;
    callbacks.onMessage = [this, id](message& item) { m_callbacks.onMessage(id, item); };
    // The channel detaches by itself only after its peer violated the protocol.
    callbacks.onDetached = [this, id](std::string_view) { markInvalid(id); };
    callbacks.onViolation = m_callbacks.onViolation;
    session = std::make_unique<stored_session>(std::move(callbacks), m_memory);
    return *session;
}

void session_server::markInvalid(identifier id)
{
    if (const auto position = m_sessions.find(id); position != m_sessions.end())
        position->second->isInvalid = true;
}

void session_server::post(identifier session, message item)
{
    if (const auto position = m_sessions.find(session); position != m_sessions.end())
        position->second->channel.post(std::move(item));
}

void session_server::postToAll(const message& item)
{
    for (const auto& [id, session] : m_sessions)
        session->channel.post(item);
}

void session_server::removeExpired()
{
    const time_point now = monotonicNow();
    endLargestBacklogs();
    std::vector<identifier> expiredIds;
    for (const auto& [id, session] : m_sessions) {
        const bool isExpired = !session->channel.isAttached() && now - session->detachedAt > m_limits.sessionExpiry;
        if (isExpired || session->isInvalid || session->channel.isOverLimit())
            expiredIds.push_back(id);
    }
    for (const identifier& id : expiredIds) {
        m_sessions.erase(id);
        m_callbacks.onExpired(id);
    }
}

void session_server::endLargestBacklogs()
{
    std::vector<stored_session*> sessions;
    std::vector<size_t> backlogs;
    for (const auto& [id, session] : m_sessions) {
        session->memory.set(policy::memory_use::Unsent, session->channel.unacknowledgedBytes());
        sessions.push_back(session.get());
        backlogs.push_back(session->channel.unacknowledgedBytes());
    }
    if (!m_memory)
        return;
    for (const size_t index : policy::yieldingBacklogs(m_memory->memory(), backlogs)) {
        m_memory->report(pressure_event::Yielded);
        sessions[index]->isInvalid = true;
    }
}

bool session_server::isAllAcknowledged(time_point now, milliseconds grace) const noexcept
{
    return std::none_of(m_sessions.begin(), m_sessions.end(), [&](const auto& item) {
        const stored_session& session = *item.second;
        const bool isDisconnected = !session.channel.isAttached() && now - session.detachedAt > grace;
        return !isDisconnected && session.channel.isAwaitingAcknowledgement();
    });
}

uint64_t session_server::byteCount() const noexcept
{
    uint64_t bytes = 0;
    for (const auto& [id, session] : m_sessions)
        bytes += session->channel.bytesSent() + session->channel.bytesReceived();
    return bytes;
}
}
