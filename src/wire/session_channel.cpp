#include "wire/session_channel.hpp"

#include "wire/codec.hpp"

namespace bilberryseam::wire {

session_channel::session_channel(callbacks callbacks)
    : m_callbacks(std::move(callbacks))
{
}

void session_channel::post(message item)
{
    m_batch.push_back(std::move(item));
    if (m_batch.size() >= maxBatchMessages)
        flush();
    else if (!m_flushTimer.isRunning())
        m_flushTimer.startWhenIdle([this] { flush(); });
}

bool session_channel::attach(std::unique_ptr<websocket> connection, uint64_t peerReceived)
{
    if (!acknowledge(m_state, peerReceived))
        return false;
    m_connection = std::move(connection);
    m_lastReceivedAt = monotonicNow();
    for (const stored_frame& storedFrame : m_state.unacknowledgedFrames)
        sendBytes(storedFrame.bytes);
    return true;
}

void session_channel::detach()
{
    m_connection.reset();
    m_acknowledgementTimer.stop();
}

void session_channel::reset()
{
    detach();
    m_flushTimer.stop();
    m_batch.clear();
    m_state = {};
}

void session_channel::receive(std::string_view bytes)
{
    m_lastReceivedAt = monotonicNow();
    m_bytesReceived += bytes.size();
    result<frame> decodedFrame = decodeFrame(bytes);
    if (!decodedFrame) {
        reportViolation(nameOf(decodedFrame.error().kind()));
        return;
    }
    frame& receivedFrame = decodedFrame.value();
    switch (acceptFrame(m_state, receivedFrame)) {
    case frame_verdict::Deliver:
        deliver(receivedFrame);
        return;
    case frame_verdict::Heartbeat:
        if (receivedFrame.requestsReply)
            sendHeartbeat(false);
        return;
    case frame_verdict::Duplicate:
        scheduleAcknowledgement();
        return;
    case frame_verdict::Gap:
        reportViolation("sequence_gap");
        return;
    case frame_verdict::FalseAcknowledgement:
        reportViolation("false_acknowledgement");
        return;
    }
}

void session_channel::deliver(frame& receivedFrame)
{
    scheduleAcknowledgement();
    const std::shared_ptr<bool> isAlive = m_isAlive;
    for (message& item : receivedFrame.messages) {
        m_callbacks.onMessage(item);
        if (!*isAlive)
            return;
    }
}

void session_channel::sendHeartbeat(bool requestsReply)
{
    sendBytes(encodeFrame({ 0, m_state.receivedSequence, requestsReply, {} }));
}

void session_channel::flush()
{
    m_flushTimer.stop();
    if (m_batch.empty())
        return;
    m_acknowledgementTimer.stop();
    sendBytes(appendFrame(m_state, std::exchange(m_batch, {})));
}

void session_channel::sendBytes(std::string_view bytes)
{
    if (!m_connection)
        return;
    m_bytesSent += bytes.size();
    m_connection->send(bytes);
}

void session_channel::scheduleAcknowledgement()
{
    if (!m_acknowledgementTimer.isRunning())
        m_acknowledgementTimer.startOnce(acknowledgementDelay, [this] { sendHeartbeat(false); });
}

void session_channel::reportViolation(std::string_view rule)
{
    detach();
    const std::shared_ptr<bool> isAlive = m_isAlive;
    m_callbacks.onViolation(rule);
    if (*isAlive)
        m_callbacks.onDetached(rule);
}
}
