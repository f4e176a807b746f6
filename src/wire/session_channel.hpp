/// The part shared by both ends of a session: batches messages into frames and delivers received messages.
#pragma once

#include "base/time.hpp"
#include "loop/timer.hpp"
#include "wire/session_state.hpp"
#include "wire/websocket.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace bilberryseam::wire {

/// Maximum unacknowledged bytes that a session stores for its peer.
constexpr size_t maxUnacknowledgedBytes = 32 * 1024 * 1024;

/// Number of messages after which a batch is sent without waiting for the loop to become idle.
constexpr size_t maxBatchMessages = 256;

/// Maximum time that an acknowledgement waits to be sent along with a frame.
constexpr milliseconds acknowledgementDelay { 20 };

/// One end of a session over the currently attached connection.
class session_channel {
public:
    struct callbacks {
        std::function<void(message&)> onMessage;
        /// The channel closed the connection because its peer violated the protocol; the state is kept.
        std::function<void(std::string_view reason)> onDetached;
        /// The peer violated a rule of the protocol; `onDetached` follows.
        std::function<void(std::string_view rule)> onViolation;
    };

    explicit session_channel(callbacks callbacks);

    /// Queues a message; when the loop becomes idle, all queued messages are sent in one frame.
    void post(message item);

    /// Sends all queued messages now, for those that must not get lost with this process.
    void flush();

    /// Attaches a connection after its handshake and resends the frames that the peer lacks.
    /// @param connection    The connection.
    /// @param peerReceived  The last sequence number that the peer received.
    /// @return False if the peer acknowledges frames that were never sent.
    [[nodiscard]] bool attach(std::unique_ptr<websocket> connection, uint64_t peerReceived);

    /// Closes the connection and keeps the state.
    void detach();

    /// Closes the connection and clears the state, for a peer that lost its own. Unsent messages are discarded too.
    void reset();

    /// Processes the bytes of one WebSocket message.
    void receive(std::string_view bytes);

    /// Sends a frame without messages.
    /// @param requestsReply  Whether the peer is asked for an immediate acknowledgement.
    void sendHeartbeat(bool requestsReply);

    [[nodiscard]] bool isAttached() const noexcept { return static_cast<bool>(m_connection); }
    [[nodiscard]] bool isAwaitingAcknowledgement() const noexcept { return !m_state.unacknowledgedFrames.empty() || !m_batch.empty(); }
    [[nodiscard]] bool isOverLimit() const noexcept { return m_state.unacknowledgedBytes > maxUnacknowledgedBytes; }
    [[nodiscard]] size_t unacknowledgedBytes() const noexcept { return m_state.unacknowledgedBytes; }
    [[nodiscard]] time_point lastReceivedAt() const noexcept { return m_lastReceivedAt; }
    [[nodiscard]] uint64_t receivedSequence() const noexcept { return m_state.receivedSequence; }
    [[nodiscard]] uint64_t bytesSent() const noexcept { return m_bytesSent; }
    [[nodiscard]] uint64_t bytesReceived() const noexcept { return m_bytesReceived; }

private:
    void sendBytes(std::string_view bytes);
    void deliver(frame& receivedFrame);
    void scheduleAcknowledgement();
    void reportViolation(std::string_view rule);

    callbacks m_callbacks;
    session_state m_state;
    std::unique_ptr<websocket> m_connection;
    std::vector<message> m_batch;
    timer m_flushTimer;
    timer m_acknowledgementTimer;
    time_point m_lastReceivedAt {};
    uint64_t m_bytesSent = 0;
    uint64_t m_bytesReceived = 0;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);

public:
    ~session_channel() { *m_isAlive = false; }
    session_channel(const session_channel&) = delete;
    session_channel& operator=(const session_channel&) = delete;
};
}
