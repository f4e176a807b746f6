/// A non-blocking TCP connection on GLib's default main context.
#pragma once

#include "base/endpoint.hpp"
#include "base/time.hpp"
#include "loop/timer.hpp"

#include <algorithm>
#include <functional>
#include <glib.h>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace bilberryseam::http1 {

/// How a connection ended.
enum class close_reason {
    /// The peer closed its sending side.
    Closed,
    /// The peer reset the connection.
    Reset,
    /// The connection was closed because the peer acknowledged nothing for `unresponsivePeerTimeout`.
    TimedOut,
    /// The connection was never established.
    ConnectFailed,
};

/// @return The name used in logs.
[[nodiscard]] std::string_view nameOf(close_reason reason) noexcept;

/// A connection is closed when its peer has not acknowledged data, keep-alive probes or probes of a closed window for this time.
/// It is below the shortest deadline of the deployments.
constexpr milliseconds unresponsivePeerTimeout { 3000 };

/// One TCP connection. Callbacks never run from inside a member function, and none runs after `close` or `reset`.
class tcp_stream : public std::enable_shared_from_this<tcp_stream> {
public:
    struct callbacks {
        std::function<void()> onConnected;
        std::function<void(std::string_view)> onBytes;
        std::function<void(close_reason)> onEnd;
        /// The write buffer has been handed to the kernel.
        std::function<void()> onDrained;
    };

    /// Starts connecting. A failure is reported through `onEnd`.
    [[nodiscard]] static std::shared_ptr<tcp_stream> connectTo(const ip_endpoint& peer);

    /// Takes over an accepted socket.
    [[nodiscard]] static std::shared_ptr<tcp_stream> adopt(int descriptor);

    tcp_stream(const tcp_stream&) = delete;
    tcp_stream& operator=(const tcp_stream&) = delete;
    ~tcp_stream();

    /// Replaces all callbacks.
    void setCallbacks(callbacks newCallbacks) { m_callbacks = std::move(newCallbacks); }

    /// Sends as many bytes as the kernel accepts now and buffers the rest.
    void write(std::string_view bytes);

    [[nodiscard]] size_t pendingBytes() const noexcept { return m_writeBuffer.size(); }
    [[nodiscard]] bool isOpen() const noexcept { return m_descriptor >= 0; }

    /// @return Written bytes that the peer has not acknowledged; 0 if the connection is closed.
    [[nodiscard]] size_t unacknowledgedBytes() const noexcept;
    /// @return Bytes that the kernel has received and `onBytes` has not reported yet; 0 if the connection is closed.
    [[nodiscard]] size_t unreadBytes() const noexcept;

    /// @return When the connection was established; not set before that, nor for an accepted one.
    [[nodiscard]] time_point connectedAt() const noexcept { return m_connectedAt; }

    /// @return True once any byte has been handed to the kernel.
    [[nodiscard]] bool hasSent() const noexcept { return m_hasSent; }

    /// Pauses or resumes reading.
    void setReading(bool isReading);

    /// Sets the largest number of bytes that `onBytes` reports at once; at most `maxReadBytes`.
    void setReadLimit(size_t bytes) noexcept { m_readLimit = std::clamp<size_t>(bytes, 1, maxReadBytes); }

    /// Bounds what the kernel receives before it is read, for good; the kernel doubles the size for its own needs.
    void limitReceiveBuffer(size_t bytes) noexcept;

    /// Selects what happens when the peer closes its sending side while written bytes are unsent: the connection ends at once, or
    /// once they are sent.
    void setSendsAfterEnd(bool isEnabled) noexcept { m_sendsAfterEnd = isEnabled; }

    /// Closes the sending side once the buffered bytes are sent; reading continues.
    void finishWriting();

    /// Closes immediately and discards unsent bytes.
    void close() noexcept;

    /// Closes immediately with a TCP reset, so that the peer cannot mistake a truncated response for a complete one.
    void reset() noexcept;

private:
    static constexpr size_t maxReadBytes = 32 * 1024;

    tcp_stream(int descriptor, bool isConnecting);

    static gboolean dispatch(GSource* source, GSourceFunc, gpointer);
    void handleEvents(GSource* source);
    void handleReady(GIOCondition ready);
    void handleReadable();
    void flush();
    /// @return The number of bytes that the kernel has taken.
    size_t sendNow(std::string_view bytes);
    void onSent(size_t sentBytes);
    void closeAndNotify(close_reason reason);
    void updateInterest();
    void startPeerChecks();
    void checkPeer();

    int m_descriptor;
    bool m_isConnecting;
    time_point m_connectedAt {};
    bool m_isReading = true;
    bool m_isWriteShutdownRequested = false;
    bool m_sendsAfterEnd = false;
    bool m_hasPeerEnded = false;
    bool m_hasSent = false;
    size_t m_readLimit = maxReadBytes;
    std::optional<close_reason> m_sendFailure;
    bool m_isConnectFailurePending = false;
    /// Since this time, written bytes have been unacknowledged at each check.
    time_point m_unacknowledgedSince {};
    GSource* m_source = nullptr;
    gpointer m_descriptorTag = nullptr;
    std::string m_writeBuffer;
    callbacks m_callbacks;
};

/// Accepts connections on one address.
class tcp_listener {
public:
    /// @throws error (`Unavailable`) if listening on the address fails.
    tcp_listener(const ip_endpoint& address, std::function<void(std::shared_ptr<tcp_stream>)> onAccepted);
    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;
    ~tcp_listener();

    /// Accepts all connections that are established already.
    void acceptWaiting();

    /// Bounds what the kernel receives, before it is read, for each connection that is established from now on.
    void limitReceiveBuffers(size_t bytes) noexcept;

    /// Stops accepting connections; those that are established and not accepted are reset.
    void stop() noexcept;

private:
    /// @return False if no connection could be accepted; `errno` tells why.
    bool acceptOne();
    static gboolean dispatch(gint descriptor, GIOCondition, gpointer self);
    void watch();
    /// Accepts nothing for a moment, as the process has no descriptor left.
    void pause();

    int m_descriptor = -1;
    size_t m_receiveBufferBytes = 0;
    guint m_source = 0;
    timer m_pause;
    std::function<void(std::shared_ptr<tcp_stream>)> m_onAccepted;
};
}
