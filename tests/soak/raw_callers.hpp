/// Callers that send requests in several parts or several at once, and callers that read slowly.
#pragma once

#include "http1/detail/beast.hpp"
#include "soak/soak_callers.hpp"

#include <arpa/inet.h>
#include <deque>
#include <span>
#include <sys/socket.h>
#include <unistd.h>

namespace bilberryseam::tests {

/// How a caller hands over its requests.
enum class request_shape {
    Whole,
    /// The second half of the body follows later.
    TwoParts,
    /// Two requests in one packet.
    Pipelined,
    /// The body follows after the interim response.
    Expecting,
};

constexpr unsigned requestShapeCount = 4;

/// Assigns the bytes of a connection to attempts in the order in which they were sent.
class response_reader {
public:
    explicit response_reader(soak_callers& callers)
        : m_callers(callers)
    {
        startResponse();
    }

    void expect(attempt& item) { m_waiting.push_back(&item); }
    [[nodiscard]] bool isWaiting() const noexcept { return !m_waiting.empty(); }
    [[nodiscard]] const attempt& first() const { return *m_waiting.front(); }
    /// @return True once a response has announced the end of the connection.
    [[nodiscard]] bool isCloseAnnounced() const noexcept { return m_isCloseAnnounced; }
    [[nodiscard]] bool hasInterim() const noexcept { return m_hasInterim; }
    void clearInterim() noexcept { m_hasInterim = false; }

    void handleBytes(std::string_view bytes)
    {
        m_buffer.append(bytes);
        while (!m_buffer.empty() && !m_waiting.empty()) {
            http1::detail::beast::error_code problem;
            m_buffer.erase(0, http1::detail::feed(*m_parser, m_buffer, problem));
            if (problem && problem != http1::detail::http::error::need_more) {
                endAll(http1::call_outcome::Malformed, std::nullopt);
                return;
            }
            m_hasBytes = true;
            if (!m_parser->is_done())
                return;
            completeResponse();
        }
    }

    /// Ends all attempts that have no complete response.
    void endAll(http1::call_outcome outcome, std::optional<http1::close_reason> reason)
    {
        while (!m_waiting.empty()) {
            // An attempt whose last byte was not sent has not been read.
            const bool isWhollySent = m_waiting.front()->sentAt != time_point();
            end(isWhollySent ? std::exchange(m_hasBytes, false) ? http1::call_outcome::Truncated : outcome : http1::call_outcome::NotSent, reason);
        }
    }

private:
    using response_parser = http1::detail::http::response_parser<http1::detail::http::string_body>;

    void startResponse()
    {
        m_parser.emplace();
        m_parser->eager(true);
        m_hasBytes = false;
    }

    void completeResponse()
    {
        const auto message = m_parser->release();
        startResponse();
        if (message.result_int() / 100 == 1) {
            m_hasInterim = true;
            return;
        }
        attempt& item = *m_waiting.front();
        item.head = { message.result_int(), http1::detail::headersOf(message) };
        item.body = message.body();
        m_isCloseAnnounced = m_isCloseAnnounced || http1::hasToken(item.head.headers, "Connection", "close");
        end(http1::call_outcome::Complete, std::nullopt);
        if (!m_waiting.empty())
            m_waiting.front()->turnAt = monotonicNow();
    }

    void end(http1::call_outcome outcome, std::optional<http1::close_reason> reason)
    {
        attempt& item = *m_waiting.front();
        m_waiting.pop_front();
        item.outcome = outcome;
        item.connectionEnd = reason;
        if (item.sentAt == time_point())
            item.sentAt = monotonicNow();
        m_callers.finish(item);
    }

    soak_callers& m_callers;
    std::optional<response_parser> m_parser;
    std::string m_buffer;
    std::deque<attempt*> m_waiting;
    bool m_hasBytes = false;
    bool m_hasInterim = false;
    bool m_isCloseAnnounced = false;
};

/// @return The bytes of a request up to the end of its header.
[[nodiscard]] inline std::string headText(const http1::outgoing_request& request, bool isExpecting)
{
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : request.headers)
        text += name + ": " + value + "\r\n";
    if (isExpecting)
        text += "Expect: 100-continue\r\n";
    return text + "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n";
}

/// A connection that is used until the gateway ends it or announces its end.
class raw_connection {
public:
    raw_connection(soak_callers& callers, const ip_endpoint& gateway)
        : m_reader(callers)
        , m_stream(http1::tcp_stream::connectTo(gateway))
    {
        http1::tcp_stream::callbacks callbacks;
        callbacks.onBytes = [this](std::string_view bytes) { handleBytes(bytes); };
        callbacks.onEnd = [this](http1::close_reason reason) {
            m_bodyTimer.stop();
            m_reader.endAll(reason == http1::close_reason::ConnectFailed ? http1::call_outcome::NotSent : http1::call_outcome::NoResponse, reason);
        };
        m_stream->setCallbacks(std::move(callbacks));
    }
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;
    ~raw_connection() { m_stream->close(); }

    /// @return Whether further requests may be sent.
    [[nodiscard]] bool isUsable() const noexcept { return m_stream->isOpen() && !m_reader.isCloseAnnounced(); }
    [[nodiscard]] bool isWaiting() const noexcept { return m_reader.isWaiting(); }
    [[nodiscard]] const attempt& first() const { return m_reader.first(); }

    /// Sends attempts together; only the first one may come in parts.
    /// @param bodyDelay  Time until the rest of a body that comes in two parts.
    void send(std::span<attempt* const> items, request_shape shape, milliseconds bodyDelay)
    {
        for (attempt* item : items) {
            item->begunAt = monotonicNow();
            m_reader.expect(*item);
        }
        const http1::outgoing_request request = requestOf(*items.front());
        m_bodyOwner = items.front();
        if (shape == request_shape::Expecting && !request.body.empty()) {
            m_restOfBody = request.body;
            m_reader.clearInterim();
            m_stream->write(headText(request, true));
            return;
        }
        const size_t half = request.body.size() / 2;
        if (shape == request_shape::TwoParts && half > 0) {
            m_restOfBody = request.body.substr(half);
            m_stream->write(headText(request, false) + request.body.substr(0, half));
            m_bodyTimer.startOnce(bodyDelay, [this] { sendRestOfBody(); });
            return;
        }
        std::string bytes;
        for (attempt* item : items) {
            const http1::outgoing_request each = requestOf(*item);
            bytes += headText(each, false) + each.body;
            item->sentAt = monotonicNow();
        }
        m_stream->write(bytes);
    }

    /// Gives up all responses that have not arrived.
    void giveUp()
    {
        m_bodyTimer.stop();
        m_stream->close();
        m_reader.endAll(http1::call_outcome::TimedOut, std::nullopt);
    }

private:
    void handleBytes(std::string_view bytes)
    {
        m_reader.handleBytes(bytes);
        if (m_reader.hasInterim() && !m_restOfBody.empty())
            sendRestOfBody();
    }

    void sendRestOfBody()
    {
        // A refusal may have come before the body.
        if (!m_reader.isWaiting() || &m_reader.first() != m_bodyOwner)
            return;
        m_bodyOwner->sentAt = monotonicNow();
        m_stream->write(std::exchange(m_restOfBody, {}));
    }

    response_reader m_reader;
    std::shared_ptr<http1::tcp_stream> m_stream;
    attempt* m_bodyOwner = nullptr;
    std::string m_restOfBody;
    timer m_bodyTimer;
};

/// A connection for one request, whose response is read at 1 kB a second into a small buffer.
class slow_reader {
public:
    slow_reader(soak_callers& callers, const ip_endpoint& gateway, attempt& item)
        : m_reader(callers)
        , m_descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        constexpr int receiveBufferBytes = 2048;
        setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(gateway.port);
        inet_pton(AF_INET, gateway.address.c_str(), &address.sin_addr);
        m_reader.expect(item);
        item.begunAt = item.sentAt = monotonicNow();
        const http1::outgoing_request request = requestOf(item);
        const std::string bytes = headText(request, false) + request.body;
        m_isConnected = connect(m_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        if (m_isConnected)
            ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        m_readTimer.startEvery(readPeriod, [this] { read(); });
    }
    slow_reader(const slow_reader&) = delete;
    slow_reader& operator=(const slow_reader&) = delete;
    ~slow_reader() { close(m_descriptor); }

    [[nodiscard]] bool isWaiting() const noexcept { return m_reader.isWaiting(); }

private:
    void read()
    {
        char bytes[bytesPerRead];
        const ssize_t count = m_isConnected ? recv(m_descriptor, bytes, sizeof bytes, MSG_DONTWAIT) : 0;
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            return;
        if (count <= 0) {
            m_readTimer.stop();
            m_reader.endAll(m_isConnected ? http1::call_outcome::NoResponse : http1::call_outcome::NotSent, count < 0 ? http1::close_reason::Reset : http1::close_reason::Closed);
            return;
        }
        m_reader.handleBytes({ bytes, static_cast<size_t>(count) });
        if (!m_reader.isWaiting())
            m_readTimer.stop();
    }

    static constexpr milliseconds readPeriod { 250 };
    static constexpr size_t bytesPerRead = 256;

    response_reader m_reader;
    int m_descriptor;
    bool m_isConnected = false;
    timer m_readTimer;
};
}
