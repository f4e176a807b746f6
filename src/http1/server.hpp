/// An HTTP/1.1 server: reads one request at a time from each connection and writes its answer.
#pragma once

#include "http1/message.hpp"
#include "http1/tcp_stream.hpp"
#include "loop/timer.hpp"

#include <functional>
#include <list>
#include <memory>

namespace bilberryseam::http1 {

/// What a client may send, and how long it may take.
struct server_limits {
    /// Bytes of the first line and all header fields.
    size_t maxHeaderBytes = 16 * 1024;
    /// Bytes of a request body.
    size_t maxBodyBytes = 4 * 1024 * 1024;
    /// Longest time from the first byte of a request to the end of its header, and between two pieces of its body.
    milliseconds headerTimeout { 3000 };
    /// Longest time that a connection may stay without a request.
    milliseconds idleTimeout { 15000 };
    /// Connections that may be open at once; more are closed as they come.
    size_t maxConnections = 2000;
};

namespace detail {
    class server_connection;
}

/// One request and the way back for its answer. Dropping it without an answer resets the connection.
class exchange {
public:
    explicit exchange(std::shared_ptr<detail::server_connection> connection);
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;
    ~exchange();

    [[nodiscard]] const request_head& head() const noexcept { return m_head; }
    [[nodiscard]] const std::string& body() const noexcept { return m_body; }
    /// @return When the first byte of the request came.
    [[nodiscard]] time_point arrivedAt() const noexcept { return m_arrivedAt; }

    /// Sends a whole answer.
    void respond(unsigned status, header_list headers, std::string_view body);

    /// Starts an answer of unknown length, sent in chunks.
    void startChunked(unsigned status, header_list headers);
    /// Sends one chunk; an empty one is not sent.
    void writeChunk(std::string_view bytes);
    /// Marks the chunked answer as whole.
    void finishChunked();

    /// Ends without a (whole) answer: the connection is reset, so that the answer cannot look complete.
    void abort();

    /// The connection is closed after this answer, and the answer says so.
    void closeAfterResponse();

    [[nodiscard]] bool isStarted() const noexcept { return m_isStarted; }
    [[nodiscard]] bool isFinished() const noexcept { return m_isFinished; }
    /// @return Bytes of the answer that the client has not taken yet.
    [[nodiscard]] size_t pendingBytes() const;

    /// Called once if the client closes before the answer is whole.
    void setOnDisconnect(std::function<void()> onDisconnect) { m_onDisconnect = std::move(onDisconnect); }

private:
    friend class detail::server_connection;

    void sendHead(unsigned status, header_list&& headers, std::string_view framingName, std::string_view framingValue, std::string_view body);

    std::shared_ptr<detail::server_connection> m_connection;
    request_head m_head;
    std::string m_body;
    time_point m_arrivedAt {};
    std::function<void()> m_onDisconnect;
    bool m_isStarted = false;
    bool m_isFinished = false;
};

/// Serves one address.
class server {
public:
    using handler = std::function<void(std::shared_ptr<exchange>)>;

    /// @param address   Where to listen.
    /// @param limits    The limits in force; asked at each request.
    /// @param onRequest Gets each request once it is whole.
    /// @throws error (`Unavailable`) if the address cannot be taken.
    server(const ip_endpoint& address, std::function<server_limits()> limits, handler onRequest);
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server();

    /// Takes no more connections; open ones go on.
    void stopListening() noexcept;

    /// From now on each answer closes its connection.
    void setCloseAfterResponse(bool isEnabled) noexcept { m_closesAfterResponse = isEnabled; }

    [[nodiscard]] size_t connectionCount() const noexcept { return m_connections.size(); }

    /// Called with the status of each request that was refused while it was read.
    void setOnRefused(std::function<void(unsigned status, std::string_view reason)> onRefused) { m_onRefused = std::move(onRefused); }

private:
    friend class detail::server_connection;

    void accept(std::shared_ptr<tcp_stream> stream);
    void checkConnections();

    std::function<server_limits()> m_limits;
    handler m_onRequest;
    std::function<void(unsigned, std::string_view)> m_onRefused;
    std::list<std::shared_ptr<detail::server_connection>> m_connections;
    bool m_closesAfterResponse = false;
    timer m_checkTimer;
    tcp_listener m_listener;
};
}
