#include "wire/session.hpp"

#include "loop/callback_guard.hpp"

#include "wire/codec.hpp"

namespace bilberryseam::wire {

namespace {
    /// Longest time between two ticks that counts as silence of the peer; the owner's ticks are more frequent.
    constexpr milliseconds maxCountedTickGap { 200 };
}

session::session(ip_endpoint peer, std::string ownName, identifier id, link_timing timing, callbacks callbacks)
    : m_peer(std::move(peer))
    , m_ownName(std::move(ownName))
    , m_identifier(id)
    , m_timing(timing)
    , m_callbacks(std::move(callbacks))
    , m_channel({ [this](message& item) { m_callbacks.onMessage(item); },
          [this](std::string_view reason) { restartSession(reason); },
          [](std::string_view) {} })
    , m_client(gobject_ptr<GSocketClient>::adopt(g_socket_client_new()))
    , m_reconnectDelay(timing.minReconnectDelay)
    , m_jitterGenerator(static_cast<unsigned>(id.low))
{
    g_socket_client_set_enable_proxy(m_client.get(), FALSE);
    connect();
}

session::~session()
{
    if (m_connectCancellable)
        g_cancellable_cancel(m_connectCancellable.get());
}

void session::connect()
{
    m_connectCancellable = gobject_ptr<GCancellable>::adopt(g_cancellable_new());
    GSocketAddress* address = g_inet_socket_address_new_from_string(m_peer.address.c_str(), m_peer.port);
    struct connect_attempt {
        session* owner;
        gobject_ptr<GCancellable> cancellable;
    };
    const auto done = [](GObject* source, GAsyncResult* outcome, gpointer data) {
        const std::unique_ptr<connect_attempt> attempt(static_cast<connect_attempt*>(data));
        // A cancelled attempt may outlive its session.
        if (!g_cancellable_is_cancelled(attempt->cancellable.get()))
            runGuarded("session", [&] { onConnected(source, outcome, attempt->owner); });
        else if (GSocketConnection* lateConnection = g_socket_client_connect_finish(G_SOCKET_CLIENT(source), outcome, nullptr))
            g_object_unref(lateConnection);
    };
    g_socket_client_connect_async(m_client.get(), G_SOCKET_CONNECTABLE(address), m_connectCancellable.get(), done, new connect_attempt { this, m_connectCancellable });
    g_object_unref(address);
    m_handshakeTimer.startOnce(m_timing.connectTimeout, [this] { replaceConnection("connect_timeout"); });
}

void session::onConnected(GObject* source, GAsyncResult* outcome, gpointer data)
{
    auto* self = static_cast<session*>(data);
    GError* failure = nullptr;
    GSocketConnection* connection = g_socket_client_connect_finish(G_SOCKET_CLIENT(source), outcome, &failure);
    if (!connection) {
        const bool isRefused = g_error_matches(failure, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED);
        g_error_free(failure);
        self->scheduleReconnect("connect_failed", isRefused);
        return;
    }
    self->startHandshake(connection);
    g_object_unref(connection);
}

void session::startHandshake(GSocketConnection* connection)
{
    websocket::callbacks callbacks;
    callbacks.onOpen = [this] {
        m_handshakeConnection->send(encodeHello({ protocolVersion, m_identifier, m_ownName, m_sideIncarnation, m_channel.receivedSequence() }));
    };
    callbacks.onMessage = [this](std::string_view bytes) {
        if (m_handshakeConnection)
            finishHandshake(bytes);
        else
            m_channel.receive(bytes);
    };
    callbacks.onClose = [this](std::string_view) { replaceConnection("closed"); };
    m_handshakeConnection = websocket::connect(connection, std::move(callbacks));
}

void session::finishHandshake(std::string_view bytes)
{
    const result<welcome> response = decodeWelcome(bytes);
    if (!response || response.value().version != protocolVersion) {
        replaceConnection("bad_welcome");
        return;
    }
    m_handshakeTimer.stop();
    const welcome& peerWelcome = response.value();
    const bool isLost = m_sideIncarnation && !peerWelcome.isResumed;
    if (isLost) {
        m_channel.reset();
        m_callbacks.onLost();
    }
    m_sideIncarnation = peerWelcome.incarnation;
    m_reconnectDelay = m_timing.minReconnectDelay;
    if (!m_channel.attach(std::move(m_handshakeConnection), peerWelcome.receivedSequence)) {
        scheduleReconnect("false_acknowledgement", false);
        return;
    }
    m_callbacks.onAttached(peerWelcome.isResumed);
}

void session::restartSession(std::string_view rule)
{
    // The peer violated the protocol: its state cannot be trusted, so a new session replaces this one.
    m_channel.reset();
    m_sideIncarnation = {};
    ++m_identifier.low;
    m_callbacks.onLost();
    scheduleReconnect(rule, false);
}

void session::replaceConnection(std::string_view reason)
{
    m_channel.detach();
    scheduleReconnect(reason, false);
}

void session::scheduleReconnect(std::string_view reason, bool isRefused)
{
    m_handshakeTimer.stop();
    if (m_connectCancellable)
        g_cancellable_cancel(m_connectCancellable.get());
    m_handshakeConnection.reset();
    const milliseconds minDelay = m_reconnectDelay / 2;
    const milliseconds delay = minDelay + milliseconds(m_jitterGenerator() % (minDelay.count() + 1));
    m_reconnectDelay = std::min(m_reconnectDelay * 2, m_timing.maxReconnectDelay);
    m_reconnectTimer.startOnce(delay, [this] { connect(); });
    m_callbacks.onDetached(reason, isRefused);
}

microseconds session::silenceAt(time_point now, bool isBusy)
{
    const auto sinceLastTick = now - std::exchange(m_lastTickAt, now);
    const bool becomesBusy = !std::exchange(m_wasBusy, isBusy) && isBusy;
    if (becomesBusy || m_silentSince != m_channel.lastReceivedAt()) {
        m_silentSince = m_channel.lastReceivedAt();
        m_silence = microseconds(0);
        return m_silence;
    }
    // What the peer sent during a stall of this process waits in the socket.
    m_silence += std::min<microseconds>(std::chrono::duration_cast<microseconds>(sinceLastTick), maxCountedTickGap);
    return m_silence;
}

void session::tick(time_point now, bool isBusy)
{
    if (!isUp())
        return;
    isBusy = isBusy || m_channel.isAwaitingAcknowledgement();
    const microseconds silence = silenceAt(now, isBusy);
    if (silence > (isBusy ? m_timing.busyInactivityTimeout : m_timing.idleInactivityTimeout)) {
        replaceConnection("silent");
        return;
    }
    const milliseconds period = isBusy ? m_timing.busyHeartbeatPeriod : m_timing.idleHeartbeatPeriod;
    if (silence < period || now - m_lastHeartbeat < period)
        return;
    m_lastHeartbeat = now;
    m_channel.sendHeartbeat(true);
}
}
