/// A client that sends raw bytes, to test a server with incomplete or pipelined requests.
#pragma once

#include "http1/tcp_stream.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace bilberryseam::tests {

/// One connection; closes it when the server has closed its side.
struct raw_client {
    explicit raw_client(const ip_endpoint& server)
        : stream(http1::tcp_stream::connectTo(server))
    {
        http1::tcp_stream::callbacks callbacks;
        callbacks.onBytes = [this](std::string_view bytes) { received.append(bytes); };
        callbacks.onEnd = [this](http1::close_reason reason) {
            isClosed = true;
            closeReason = reason;
        };
        stream->setCallbacks(std::move(callbacks));
    }
    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;
    ~raw_client() { stream->close(); }

    /// @return Number of times that `text` occurs in the received bytes.
    [[nodiscard]] size_t count(std::string_view text) const
    {
        size_t found = 0;
        for (size_t position = received.find(text); position != std::string::npos; position = received.find(text, position + text.size()))
            ++found;
        return found;
    }

    std::shared_ptr<http1::tcp_stream> stream;
    std::string received;
    bool isClosed = false;
    http1::close_reason closeReason = http1::close_reason::Closed;
};
}
