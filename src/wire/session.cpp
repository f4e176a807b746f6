#include "wire/session.hpp"

#include "wire/codec.hpp"

namespace bilberryseam::wire {

session::session(ip_endpoint peer, std::string ownName, identifier id, link_times times, callbacks calls)
    : m_peer(std::move(peer))
    , m_ownName(std::move(ownName))
    , m_identifier(id)
    , m_times(times)
    , m_calls(std::move(calls))
    , m_channel({ [this](message& item) { m_calls.onMessage(item); },
          [this](std::string_view reason) { abandonState(reason); },
          [](std::string_view) {} })
    , m_client(gobject_ptr<GSocketClient>::adopt(g_socket_client_new()))
    , m_backoff(times.reconnectMin)
    , m_jitter(static_cast<unsigned>(id.low))
{
    g_socket_client_set_enable_proxy(m_client.get(), FALSE);
    connect();
}

session::~session()
{
    if (m_connecting)
        g_cancellable_cancel(m_connecting.get());
}

void session::connect()
{
    m_connecting = gobject_ptr<GCancellable>::adopt(g_cancellable_new());
    GSocketAddress* address = g_inet_socket_address_new_from_string(m_peer.address.c_str(), m_peer.port);
    struct pending {
        session* owner;
        gobject_ptr<GCancellable> cancellable;
    };
    const auto done = [](GObject* source, GAsyncResult* outcome, gpointer data) {
        const std::unique_ptr<pending> call(static_cast<pending*>(data));
        // A cancelled attempt may outlive its session.
        if (!g_cancellable_is_cancelled(call->cancellable.get()))
            onConnected(source, outcome, call->owner);
        else if (GSocketConnection* late = g_socket_client_connect_finish(G_SOCKET_CLIENT(source), outcome, nullptr))
            g_object_unref(late);
    };
    g_socket_client_connect_async(m_client.get(), G_SOCKET_CONNECTABLE(address), m_connecting.get(), done, new pending { this, m_connecting });
    g_object_unref(address);
    m_handshakeTimeout.startOnce(m_times.connectTimeout, [this] { replaceConnection("connect_timeout"); });
}

void session::onConnected(GObject* source, GAsyncResult* outcome, gpointer data)
{
    auto* self = static_cast<session*>(data);
    GError* failure = nullptr;
    GSocketConnection* connection = g_socket_client_connect_finish(G_SOCKET_CLIENT(source), outcome, &failure);
    if (!connection) {
        const bool isRefused = g_error_matches(failure, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED);
        g_error_free(failure);
        self->reconnectLater("connect_failed", isRefused);
        return;
    }
    self->startHandshake(connection);
    g_object_unref(connection);
}

void session::startHandshake(GSocketConnection* connection)
{
    websocket::callbacks calls;
    calls.onOpen = [this] {
        m_handshaking->send(encodeHello({ protocolVersion, m_identifier, m_ownName, m_sideIncarnation, m_channel.received() }));
    };
    calls.onMessage = [this](std::string_view bytes) {
        if (m_handshaking)
            finishHandshake(bytes);
        else
            m_channel.receive(bytes);
    };
    calls.onClose = [this](std::string_view) { replaceConnection("closed"); };
    m_handshaking = websocket::connect(connection, std::move(calls));
}

void session::finishHandshake(std::string_view bytes)
{
    const result<welcome> answer = decodeWelcome(bytes);
    if (!answer || answer.value().version != protocolVersion) {
        replaceConnection("bad_welcome");
        return;
    }
    m_handshakeTimeout.stop();
    const welcome& greeting = answer.value();
    const bool isLost = m_sideIncarnation && !greeting.isResumed;
    if (isLost) {
        m_channel.reset();
        m_calls.onLost();
    }
    m_sideIncarnation = greeting.incarnation;
    m_backoff = m_times.reconnectMin;
    if (!m_channel.attach(std::move(m_handshaking), greeting.received)) {
        reconnectLater("false_acknowledgement", false);
        return;
    }
    m_calls.onAttached(greeting.isResumed);
}

void session::abandonState(std::string_view rule)
{
    // The peer broke a rule: nothing it still holds can be trusted, so the session starts anew.
    m_channel.reset();
    m_sideIncarnation = {};
    ++m_identifier.low;
    m_calls.onLost();
    reconnectLater(rule, false);
}

void session::replaceConnection(std::string_view reason)
{
    m_channel.detach();
    reconnectLater(reason, false);
}

void session::reconnectLater(std::string_view reason, bool isRefused)
{
    m_handshakeTimeout.stop();
    if (m_connecting)
        g_cancellable_cancel(m_connecting.get());
    m_handshaking.reset();
    const milliseconds half = m_backoff / 2;
    const milliseconds delay = half + milliseconds(m_jitter() % (half.count() + 1));
    m_backoff = std::min(m_backoff * 2, m_times.reconnectMax);
    m_reconnect.startOnce(delay, [this] { connect(); });
    m_calls.onDetached(reason, isRefused);
}

void session::tick(time_point now, bool isBusy)
{
    if (!isUp())
        return;
    isBusy = isBusy || m_channel.isAwaitingAcknowledgement();
    if (isBusy && !m_wasBusy)
        m_busySince = now;
    m_wasBusy = isBusy;
    const time_point quietSince = isBusy ? std::max(m_busySince, m_channel.lastHeard()) : m_channel.lastHeard();
    if (now - quietSince > (isBusy ? m_times.silenceBusy : m_times.silenceIdle)) {
        replaceConnection("silent");
        return;
    }
    const milliseconds period = isBusy ? m_times.heartbeatBusy : m_times.heartbeatIdle;
    if (now - quietSince < period || now - m_lastHeartbeat < period)
        return;
    m_lastHeartbeat = now;
    m_channel.sendHeartbeat(true);
}
}
