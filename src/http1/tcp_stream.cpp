#include "http1/tcp_stream.hpp"

#include "loop/callback_guard.hpp"
#include "policy/client_memory.hpp"

#include <arpa/inet.h>
#include <array>
#include <bit>
#include <cerrno>
#include <cstring>
#include <glib-unix.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bilberryseam::http1 {

namespace {
    /// A write buffer up to this size is kept when it is empty.
    constexpr size_t keptWriteBufferBytes = 4 * 1024;

    constexpr int listenBacklog = 1024;
    constexpr int maxAcceptsPerDispatch = 64;

    /// Time for which nothing is accepted after the process had no descriptor left.
    constexpr milliseconds noDescriptorPause { 100 };

    /// Idle time before the first keep-alive probe, time between probes, and number of unanswered probes that close the connection.
    constexpr int keepAliveIdleSeconds = 2;
    constexpr int keepAliveIntervalSeconds = 1;
    constexpr int keepAliveProbes = 1;

    /// `TCP_RTO_MAX_MS`, since Linux 6.15: longest time between retransmissions, and between probes of a closed window. Older kernels
    /// probe at intervals that double, so that a peer that vanishes behind a closed window is found later.
    constexpr int retransmissionIntervalOption = 44;
    constexpr int longestRetransmissionIntervalMs = 1000;

    /// Unanswered segments that show a dead peer; a single one may have been sent a moment ago.
    constexpr unsigned deadPeerSegments = 2;

    /// Time between two checks of a peer that has not acknowledged all written bytes.
    constexpr milliseconds peerCheckPeriod { 500 };

    struct stream_source {
        GSource base;
        tcp_stream* stream;
    };

    template <typename Value>
    void setOption(int descriptor, int level, int name, Value value)
    {
        setsockopt(descriptor, level, name, &value, sizeof value);
    }

    std::optional<tcp_info> readState(int descriptor)
    {
        tcp_info state {};
        socklen_t length = sizeof state;
        const bool isKnown = getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &state, &length) == 0 && state.tcpi_state != 0;
        return isKnown ? std::optional(state) : std::nullopt;
    }

    /// @return True if the peer has acknowledged no data and no probe within `unresponsivePeerTimeout`.
    bool isPeerDead(int descriptor)
    {
        const auto state = readState(descriptor);
        if (!state)
            return false;
        const unsigned unansweredSegments = static_cast<unsigned>(state->tcpi_probes) + state->tcpi_retransmits;
        return unansweredSegments >= deadPeerSegments && milliseconds(state->tcpi_last_ack_recv) > unresponsivePeerTimeout;
    }

    /// Has the kernel end a connection whose peer acknowledges nothing, where this process cannot see that. It is the second
    /// choice: Linux counts this time from the first probe of a closed window, also if the peer acknowledges the probes.
    void setTimeoutIfStateIsUnknown(int descriptor)
    {
        if (!readState(descriptor))
            setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<unsigned>(unresponsivePeerTimeout.count()));
    }

    void applySocketOptions(int descriptor)
    {
        setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
        setOption(descriptor, IPPROTO_TCP, retransmissionIntervalOption, longestRetransmissionIntervalMs);
        setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
        setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
        setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
        setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    }

    bool fillAddress(const ip_endpoint& endpoint, sockaddr_storage& storage, socklen_t& length)
    {
        auto* v4 = reinterpret_cast<sockaddr_in*>(&storage);
        if (inet_pton(AF_INET, endpoint.address.c_str(), &v4->sin_addr) == 1) {
            v4->sin_family = AF_INET;
            v4->sin_port = htons(endpoint.port);
            length = sizeof(sockaddr_in);
            return true;
        }
        auto* v6 = reinterpret_cast<sockaddr_in6*>(&storage);
        if (inet_pton(AF_INET6, endpoint.address.c_str(), &v6->sin6_addr) != 1)
            return false;
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(endpoint.port);
        length = sizeof(sockaddr_in6);
        return true;
    }

    int startConnect(const ip_endpoint& peer)
    {
        sockaddr_storage storage {};
        socklen_t length = 0;
        if (!fillAddress(peer, storage, length))
            return -1;
        const int descriptor = socket(storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (descriptor < 0)
            return -1;
        applySocketOptions(descriptor);
        if (connect(descriptor, reinterpret_cast<sockaddr*>(&storage), length) == 0 || errno == EINPROGRESS)
            return descriptor;
        ::close(descriptor);
        return -1;
    }

    /// @return Size of the queue that `request` (`SIOCINQ` or `SIOCOUTQ`) selects.
    size_t queuedBytes(int descriptor, unsigned long request)
    {
        int count = 0;
        return ioctl(descriptor, request, &count) == 0 ? static_cast<size_t>(count) : 0;
    }

    /// @return How the connection ended, by the error of the last call.
    close_reason reasonOfError()
    {
        return errno == ETIMEDOUT ? close_reason::TimedOut : close_reason::Reset;
    }

    bool isTransientError()
    {
        return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    }
}

std::string_view nameOf(close_reason reason) noexcept
{
    switch (reason) {
    case close_reason::Closed:
        return "closed";
    case close_reason::Reset:
        return "reset";
    case close_reason::TimedOut:
        return "timed_out";
    case close_reason::ConnectFailed:
        return "connect_failed";
    }
    return "reset";
}

tcp_stream::tcp_stream(int descriptor, bool isConnecting)
    : m_descriptor(descriptor)
    , m_isConnecting(isConnecting)
    , m_isConnectFailurePending(descriptor < 0)
{
    static GSourceFuncs functions { nullptr, nullptr, &tcp_stream::dispatch, nullptr, nullptr, nullptr };
    m_source = g_source_new(&functions, sizeof(stream_source));
    reinterpret_cast<stream_source*>(m_source)->stream = this;
    if (m_isConnectFailurePending)
        g_source_set_ready_time(m_source, 0);
    else
        m_descriptorTag = g_source_add_unix_fd(m_source, descriptor, isConnecting ? G_IO_OUT : G_IO_IN);
    g_source_attach(m_source, nullptr);
}

std::shared_ptr<tcp_stream> tcp_stream::connectTo(const ip_endpoint& peer)
{
    return std::shared_ptr<tcp_stream>(new tcp_stream(startConnect(peer), true));
}

std::shared_ptr<tcp_stream> tcp_stream::adopt(int descriptor)
{
    applySocketOptions(descriptor);
    setTimeoutIfStateIsUnknown(descriptor);
    return std::shared_ptr<tcp_stream>(new tcp_stream(descriptor, false));
}

tcp_stream::~tcp_stream()
{
    close();
}

gboolean tcp_stream::dispatch(GSource* source, GSourceFunc, gpointer)
{
    const auto self = reinterpret_cast<stream_source*>(source)->stream->shared_from_this();
    // After an exception, it is not known what the owner has done with the bytes so far.
    if (!runGuarded("connection", [&] { self->handleEvents(source); }))
        runGuarded("connection", [&] { self->closeAndNotify(close_reason::Reset); });
    return self->isOpen() ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

void tcp_stream::handleEvents(GSource* source)
{
    if (m_isConnectFailurePending) {
        closeAndNotify(close_reason::ConnectFailed);
        return;
    }
    if (const gint64 checkAt = g_source_get_ready_time(source); checkAt >= 0 && g_get_monotonic_time() >= checkAt)
        checkPeer();
    if (!isOpen())
        return;
    if (const GIOCondition ready = g_source_query_unix_fd(source, m_descriptorTag); ready != 0)
        handleReady(ready);
}

void tcp_stream::handleReady(GIOCondition ready)
{
    if (m_isConnecting) {
        int problem = 0;
        socklen_t length = sizeof problem;
        getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &problem, &length);
        if (problem != 0 || (ready & G_IO_ERR)) {
            closeAndNotify(close_reason::ConnectFailed);
            return;
        }
        m_isConnecting = false;
        m_connectedAt = monotonicNow();
        setTimeoutIfStateIsUnknown(m_descriptor);
        if (const auto callback = m_callbacks.onConnected)
            callback();
        if (isOpen())
            flush();
        return;
    }
    if (ready & G_IO_OUT) {
        flush();
        if (m_hasPeerEnded && (m_writeBuffer.empty() || m_sendFailure)) {
            closeAndNotify(m_sendFailure.value_or(close_reason::Closed));
            return;
        }
        if (const auto callback = m_callbacks.onDrained; callback && m_writeBuffer.empty())
            callback();
        if (!isOpen())
            return;
    }
    if (ready & (G_IO_IN | G_IO_HUP | G_IO_ERR))
        handleReadable();
}

void tcp_stream::handleReadable()
{
    std::array<char, maxReadBytes> block;
    const ssize_t count = recv(m_descriptor, block.data(), m_readLimit, 0);
    if (count < 0) {
        if (!isTransientError())
            closeAndNotify(reasonOfError());
        return;
    }
    if (count == 0) {
        m_hasPeerEnded = true;
        updateInterest();
        if (m_sendsAfterEnd && !m_writeBuffer.empty() && !m_sendFailure)
            return;
        closeAndNotify(m_sendFailure.value_or(close_reason::Closed));
        return;
    }
    if (const auto callback = m_callbacks.onBytes)
        callback(std::string_view(block.data(), static_cast<size_t>(count)));
}

void tcp_stream::write(std::string_view bytes)
{
    if (!isOpen())
        return;
    if (!m_writeBuffer.empty() || m_isConnecting) {
        m_writeBuffer.append(bytes);
        updateInterest();
        return;
    }
    const size_t sentBytes = sendNow(bytes);
    m_writeBuffer.append(bytes.substr(sentBytes));
    onSent(sentBytes);
}

size_t tcp_stream::sendNow(std::string_view bytes)
{
    size_t sentBytes = 0;
    while (sentBytes < bytes.size()) {
        const ssize_t count = send(m_descriptor, bytes.data() + sentBytes, bytes.size() - sentBytes, MSG_NOSIGNAL);
        if (count <= 0) {
            // A failed send consumes the error of a reset, so the next read reports the end of the data.
            if (count < 0 && !isTransientError() && !m_sendFailure)
                m_sendFailure = reasonOfError();
            break;
        }
        sentBytes += static_cast<size_t>(count);
        m_hasSent = true;
    }
    return sentBytes;
}

void tcp_stream::flush()
{
    const size_t sentBytes = sendNow(m_writeBuffer);
    m_writeBuffer.erase(0, sentBytes);
    if (m_writeBuffer.empty() && m_writeBuffer.capacity() > keptWriteBufferBytes)
        std::string().swap(m_writeBuffer);
    onSent(sentBytes);
}

void tcp_stream::onSent(size_t sentBytes)
{
    if (sentBytes > 0)
        startPeerChecks();
    if (m_writeBuffer.empty() && m_isWriteShutdownRequested)
        shutdown(m_descriptor, SHUT_WR);
    updateInterest();
}

void tcp_stream::startPeerChecks()
{
    if (g_source_get_ready_time(m_source) >= 0)
        return;
    m_unacknowledgedSince = monotonicNow();
    g_source_set_ready_time(m_source, g_get_monotonic_time() + microseconds(peerCheckPeriod).count());
}

void tcp_stream::checkPeer()
{
    if (unacknowledgedBytes() == 0) {
        g_source_set_ready_time(m_source, -1);
        return;
    }
    if (monotonicNow() - m_unacknowledgedSince > unresponsivePeerTimeout && isPeerDead(m_descriptor)) {
        closeAndNotify(close_reason::TimedOut);
        return;
    }
    g_source_set_ready_time(m_source, g_get_monotonic_time() + microseconds(peerCheckPeriod).count());
}

size_t tcp_stream::unacknowledgedBytes() const noexcept
{
    return isOpen() ? m_writeBuffer.size() + queuedBytes(m_descriptor, SIOCOUTQ) : 0;
}

size_t tcp_stream::unreadBytes() const noexcept
{
    return isOpen() ? queuedBytes(m_descriptor, SIOCINQ) : 0;
}

void tcp_stream::setReading(bool isReading)
{
    m_isReading = isReading;
    updateInterest();
}

void tcp_stream::limitReceiveBuffer(size_t bytes) noexcept
{
    if (isOpen())
        setOption(m_descriptor, SOL_SOCKET, SO_RCVBUF, static_cast<int>(bytes));
}

void tcp_stream::finishWriting()
{
    m_isWriteShutdownRequested = true;
    if (isOpen() && !m_isConnecting && m_writeBuffer.empty())
        shutdown(m_descriptor, SHUT_WR);
}

void tcp_stream::updateInterest()
{
    if (!isOpen() || !m_descriptorTag)
        return;
    int condition = m_isReading && !m_isConnecting && !m_hasPeerEnded ? G_IO_IN : 0;
    if (m_isConnecting || !m_writeBuffer.empty())
        condition |= G_IO_OUT;
    g_source_modify_unix_fd(m_source, m_descriptorTag, static_cast<GIOCondition>(condition));
}

void tcp_stream::closeAndNotify(close_reason reason)
{
    const auto callback = std::move(m_callbacks.onEnd);
    close();
    if (callback)
        callback(reason);
}

void tcp_stream::close() noexcept
{
    m_callbacks = {};
    if (m_source) {
        g_source_destroy(m_source);
        g_source_unref(m_source);
        m_source = nullptr;
        m_descriptorTag = nullptr;
    }
    if (m_descriptor >= 0)
        ::close(m_descriptor);
    m_descriptor = -1;
}

void tcp_stream::reset() noexcept
{
    if (isOpen())
        setOption(m_descriptor, SOL_SOCKET, SO_LINGER, linger { 1, 0 });
    close();
}

tcp_listener::tcp_listener(const ip_endpoint& address, std::function<void(std::shared_ptr<tcp_stream>)> onAccepted)
    : m_onAccepted(std::move(onAccepted))
{
    sockaddr_storage storage {};
    socklen_t length = 0;
    const bool isValidAddress = fillAddress(address, storage, length);
    m_descriptor = isValidAddress ? socket(storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0) : -1;
    if (m_descriptor >= 0) {
        setOption(m_descriptor, SOL_SOCKET, SO_REUSEADDR, 1);
        // Without a limit, the buffer of a fast sender grows to megabytes.
        limitReceiveBuffers(policy::maxReceiveBufferBytes);
    }
    if (m_descriptor < 0 || bind(m_descriptor, reinterpret_cast<sockaddr*>(&storage), length) != 0 || listen(m_descriptor, listenBacklog) != 0) {
        const std::string reason = std::strerror(errno);
        stop();
        throw error(error_kind::Unavailable, "Cannot listen on " + address.toString() + ": " + reason + ".", "Choose a free address in the settings.");
    }
    watch();
}

void tcp_listener::limitReceiveBuffers(size_t bytes) noexcept
{
    // Connections inherit the buffer, and with it the window that is advertised first; a small change is not worth a call.
    const size_t limit = std::bit_floor(bytes);
    if (m_descriptor >= 0 && std::exchange(m_receiveBufferBytes, limit) != limit)
        setOption(m_descriptor, SOL_SOCKET, SO_RCVBUF, static_cast<int>(limit));
}

void tcp_listener::watch()
{
    m_source = g_unix_fd_add(m_descriptor, G_IO_IN, &tcp_listener::dispatch, this);
}

void tcp_listener::pause()
{
    m_source = 0;
    m_pause.startOnce(noDescriptorPause, [this] { watch(); });
}

tcp_listener::~tcp_listener()
{
    stop();
}

void tcp_listener::stop() noexcept
{
    m_pause.stop();
    if (m_source)
        g_source_remove(std::exchange(m_source, 0));
    if (m_descriptor >= 0)
        ::close(m_descriptor);
    m_descriptor = -1;
}

bool tcp_listener::acceptOne()
{
    const int acceptedDescriptor = accept4(m_descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (acceptedDescriptor < 0)
        return false;
    m_onAccepted(tcp_stream::adopt(acceptedDescriptor));
    return true;
}

void tcp_listener::acceptWaiting()
{
    while (m_descriptor >= 0 && (acceptOne() || errno == ECONNABORTED || errno == EINTR)) { }
}

gboolean tcp_listener::dispatch(gint, GIOCondition, gpointer data)
{
    auto* self = static_cast<tcp_listener*>(data);
    for (int i = 0; i < maxAcceptsPerDispatch && self->m_descriptor >= 0; ++i) {
        bool isAccepted = true;
        runGuarded("listener", [&] { isAccepted = self->acceptOne(); });
        if (isAccepted)
            continue;
        // The connections that wait would make the source ready again at once.
        if (errno == EMFILE || errno == ENFILE) {
            self->pause();
            return G_SOURCE_REMOVE;
        }
        break;
    }
    return self->m_descriptor >= 0 ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}
}
