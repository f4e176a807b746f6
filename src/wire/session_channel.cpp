#include "wire/session_channel.hpp"

#include "wire/codec.hpp"

namespace bilberryseam::wire {

session_channel::session_channel(callbacks calls)
    : m_calls(std::move(calls))
{
}

void session_channel::post(message item)
{
    m_batch.push_back(std::move(item));
    if (m_batch.size() >= maxBatchMessages)
        flush();
    else if (!m_flush.isRunning())
        m_flush.startWhenIdle([this] { flush(); });
}

bool session_channel::attach(std::unique_ptr<websocket> connection, uint64_t peerReceived)
{
    if (!acknowledge(m_state, peerReceived))
        return false;
    m_connection = std::move(connection);
    m_lastHeard = monotonicNow();
    for (const stored_frame& stored : m_state.unacknowledged)
        sendBytes(stored.bytes);
    return true;
}

void session_channel::detach()
{
    m_connection.reset();
    m_acknowledge.stop();
}

void session_channel::reset()
{
    detach();
    m_flush.stop();
    m_batch.clear();
    m_state = {};
}

void session_channel::receive(std::string_view bytes)
{
    m_lastHeard = monotonicNow();
    m_bytesReceived += bytes.size();
    result<frame> decoded = decodeFrame(bytes);
    if (!decoded) {
        violate(nameOf(decoded.error().kind()));
        return;
    }
    frame& arrived = decoded.value();
    switch (acceptFrame(m_state, arrived)) {
    case frame_verdict::Deliver:
        deliver(arrived);
        return;
    case frame_verdict::Heartbeat:
        if (arrived.wantsReply)
            sendHeartbeat(false);
        return;
    case frame_verdict::Duplicate:
        scheduleAcknowledgement();
        return;
    case frame_verdict::Gap:
        violate("sequence_gap");
        return;
    case frame_verdict::FalseAcknowledgement:
        violate("false_acknowledgement");
        return;
    }
}

void session_channel::deliver(frame& arrived)
{
    scheduleAcknowledgement();
    const std::shared_ptr<bool> isAlive = m_isAlive;
    for (message& item : arrived.messages) {
        m_calls.onMessage(item);
        if (!*isAlive)
            return;
    }
}

void session_channel::sendHeartbeat(bool wantsReply)
{
    sendBytes(encodeFrame({ 0, m_state.received, wantsReply, {} }));
}

void session_channel::flush()
{
    m_flush.stop();
    if (m_batch.empty())
        return;
    m_acknowledge.stop();
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
    if (!m_acknowledge.isRunning())
        m_acknowledge.startOnce(acknowledgementDelay, [this] { sendHeartbeat(false); });
}

void session_channel::violate(std::string_view rule)
{
    detach();
    const std::shared_ptr<bool> isAlive = m_isAlive;
    m_calls.onViolation(rule);
    if (*isAlive)
        m_calls.onDetached(rule);
}
}
