/// A server side that sends bytes without end until the client closes the connection.
#pragma once

#include "http1/tcp_stream.hpp"
#include "loop/timer.hpp"

#include <memory>
#include <string>

namespace bilberryseam::tests {

/// Sends a start and then the same block again and again, as fast as the client reads.
class endless_sender {
public:
    endless_sender(std::shared_ptr<http1::tcp_stream> stream, const std::string& start, std::string block)
        : m_stream(std::move(stream))
        , m_block(std::move(block))
    {
        http1::tcp_stream::callbacks callbacks;
        callbacks.onDrained = [this] { sendBlock(); };
        callbacks.onEnd = [this](http1::close_reason) { m_isClosed = true; };
        m_stream->setCallbacks(std::move(callbacks));
        m_stream->write(start);
        sendBlock();
    }

    [[nodiscard]] size_t sentBytes() const noexcept { return m_sentBytes; }
    [[nodiscard]] bool isClosed() const noexcept { return m_isClosed; }

private:
    void sendBlock()
    {
        if (m_isClosed || !m_stream->isOpen())
            return;
        m_sentBytes += m_block.size();
        m_stream->write(m_block);
        m_next.startWhenIdle([this] {
            if (m_stream->pendingBytes() == 0)
                sendBlock();
        });
    }

    std::shared_ptr<http1::tcp_stream> m_stream;
    std::string m_block;
    timer m_next;
    size_t m_sentBytes = 0;
    bool m_isClosed = false;
};
}
