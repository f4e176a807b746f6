#include "wire/server.hpp"

#include "base/error.hpp"
#include "loop/http.hpp"
#include "wire/codec.hpp"

#include <algorithm>

namespace bilberryseam::wire {

/// A session that outlives its connections.
struct session_server::kept_session {
    kept_session(session_channel::callbacks calls)
        : channel(std::move(calls))
    {
    }

    session_channel channel;
    time_point detachedAt = monotonicNow();
    /// Its peer broke a rule; the next sweep or greeting drops it.
    bool isCondemned = false;
};

/// A connection that has not said which session it is for.
struct session_server::greeting_connection {
    std::unique_ptr<websocket> connection;
    timer timeout;
    /// Set once the connection belongs to a session; later bytes go there.
    kept_session* session = nullptr;
};

session_server::session_server(const ip_endpoint& listen, std::string name, identifier incarnation, server_limits limits, callbacks calls)
    : m_name(std::move(name))
    , m_incarnation(incarnation)
    , m_limits(limits)
    , m_calls(std::move(calls))
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
    m_sweep.startEvery(seconds(1), [this] { sweep(); });
}

session_server::~session_server()
{
    g_signal_handlers_disconnect_by_data(m_service.get(), this);
    g_socket_service_stop(m_service.get());
    g_socket_listener_close(G_SOCKET_LISTENER(m_service.get()));
}

gboolean session_server::onIncoming(GSocketService*, GSocketConnection* connection, GObject*, gpointer self)
{
    static_cast<session_server*>(self)->startGreeting(connection);
    return TRUE;
}

void session_server::startGreeting(GSocketConnection* connection)
{
    if (m_greetings.size() >= m_limits.maxConnectionsInHandshake) {
        m_calls.onViolation("too_many_connections");
        return;
    }
    auto* greeting = m_greetings.emplace_back(std::make_unique<greeting_connection>()).get();
    websocket::callbacks calls;
    // Once greeted, the session owns the connection, and these calls reach only the session.
    const auto owner = std::make_shared<kept_session*>(nullptr);
    calls.onMessage = [this, greeting, owner](std::string_view bytes) {
        if (*owner) {
            (*owner)->channel.receive(bytes);
            return;
        }
        greet(greeting, bytes);
        *owner = greeting->session;
        if (*owner)
            dropGreeting(greeting);
    };
    calls.onClose = [this, greeting, owner](std::string_view) {
        if (!*owner) {
            dropGreeting(greeting);
            return;
        }
        (*owner)->channel.detach();
        (*owner)->detachedAt = monotonicNow();
    };
    greeting->timeout.startOnce(m_limits.handshakeTimeout, [this, greeting] {
        m_calls.onViolation("handshake_timeout");
        dropGreeting(greeting);
    });
    greeting->connection = websocket::accept(connection, std::move(calls));
}

void session_server::dropGreeting(greeting_connection* greeting)
{
    m_greetings.remove_if([greeting](const auto& item) { return item.get() == greeting; });
}

void session_server::greet(greeting_connection* greeting, std::string_view bytes)
{
    const result<hello> decoded = decodeHello(bytes);
    const bool isWelcome = decoded && decoded.value().version == protocolVersion;
    if (!isWelcome || m_sessions.size() >= m_limits.maxSessions) {
        m_calls.onViolation(isWelcome ? "too_many_sessions" : decoded ? "version"
                                                                      : "bad_hello");
        greeting->timeout.startOnce(milliseconds(0), [this, greeting] { dropGreeting(greeting); });
        return;
    }
    const hello& asked = decoded.value();
    const auto found = m_sessions.find(asked.session);
    const bool isKnown = found != m_sessions.end() && !found->second->isCondemned && asked.sideIncarnation == m_incarnation;
    if (!isKnown && m_sessions.erase(asked.session) > 0)
        m_calls.onExpired(asked.session);
    kept_session& kept = sessionFor(asked.session);
    greeting->connection->send(encodeWelcome({ protocolVersion, m_incarnation, m_name, isKnown, kept.channel.received() }));
    if (!kept.channel.attach(std::move(greeting->connection), isKnown ? asked.received : 0)) {
        m_calls.onViolation("false_acknowledgement");
        m_sessions.erase(asked.session);
        m_calls.onExpired(asked.session);
        greeting->timeout.startOnce(milliseconds(0), [this, greeting] { dropGreeting(greeting); });
        return;
    }
    greeting->session = &kept;
    m_calls.onAttached(asked.session);
}

session_server::kept_session& session_server::sessionFor(identifier id)
{
    auto& kept = m_sessions[id];
    if (kept)
        return *kept;
    session_channel::callbacks calls;
    calls.onMessage = [this, id](message& item) { m_calls.onMessage(id, item); };
    // The channel detaches by itself only after its peer broke a rule.
    calls.onDetached = [this, id](std::string_view) { condemn(id); };
    calls.onViolation = m_calls.onViolation;
    kept = std::make_unique<kept_session>(std::move(calls));
    return *kept;
}

void session_server::condemn(identifier id)
{
    if (const auto found = m_sessions.find(id); found != m_sessions.end())
        found->second->isCondemned = true;
}

void session_server::post(identifier session, message item)
{
    if (const auto found = m_sessions.find(session); found != m_sessions.end())
        found->second->channel.post(std::move(item));
}

void session_server::postToAll(const message& item)
{
    for (const auto& [id, kept] : m_sessions)
        kept->channel.post(item);
}

void session_server::sweep()
{
    const time_point now = monotonicNow();
    std::vector<identifier> expired;
    for (const auto& [id, kept] : m_sessions) {
        const bool isStale = !kept->channel.isAttached() && now - kept->detachedAt > m_limits.sessionExpiry;
        if (isStale || kept->isCondemned || kept->channel.isOverLimit())
            expired.push_back(id);
    }
    for (const identifier& id : expired) {
        m_sessions.erase(id);
        m_calls.onExpired(id);
    }
}

bool session_server::isAllAcknowledged(time_point now, milliseconds grace) const noexcept
{
    return std::none_of(m_sessions.begin(), m_sessions.end(), [&](const auto& item) {
        const kept_session& kept = *item.second;
        const bool isGone = !kept.channel.isAttached() && now - kept.detachedAt > grace;
        return !isGone && kept.channel.isAwaitingAcknowledgement();
    });
}

uint64_t session_server::byteCount() const noexcept
{
    uint64_t bytes = 0;
    for (const auto& [id, kept] : m_sessions)
        bytes += kept->channel.bytesSent() + kept->channel.bytesReceived();
    return bytes;
}
}
