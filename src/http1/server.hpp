/// An HTTP/1.1 server that processes one request at a time on each connection.
#pragma once

#include "http1/message.hpp"
#include "http1/tcp_stream.hpp"
#include "loop/client_memory_budget.hpp"
#include "loop/timer.hpp"

#include <functional>
#include <list>
#include <memory>
#include <optional>

namespace bilberryseam::http1 {

/// Limits for the size and duration of requests and connections.
struct server_limits {
    /// Largest size of the request line and all header fields.
    size_t maxHeaderBytes = 16 * 1024;
    /// Largest size of a request body.
    size_t maxBodyBytes = 4 * 1024 * 1024;
    /// Longest time from the first byte of a request to the end of its header, and between two reads of its body.
    /// A request keeps the value, and the sizes, that applied when it began.
    milliseconds headerTimeout { 3000 };
    /// Longest time that a connection may be open without a request in progress.
    milliseconds idleTimeout { 15000 };
    /// Largest number of open connections whose requests are handled. A request on a further one is refused; if there are too many
    /// of these as well, they are closed when they are accepted.
    size_t maxConnections = 2000;
    /// Number of times that a body counts while its request is handled, for its copies.
    size_t bodyCopies = 2;
};

/// A connection that ends while a request has no complete response.
struct unfinished_connection {
    /// `idle`, `linger`, `client_end`, or the reason of `server::reportUnfinished`.
    std::string_view reason;
    /// The request that the handler has not finished responding to; null if there is none.
    const request_head* openRequest = nullptr;
    /// Bytes of requests that arrived after the last complete response.
    size_t unansweredBytes = 0;
    /// Bytes of responses that were not handed to the kernel.
    size_t unsentBytes = 0;
};

namespace detail {
    class server_connection;
}

/// One request and its response. Destroying the exchange before the response is complete resets the connection.
class exchange {
public:
    explicit exchange(std::shared_ptr<detail::server_connection> connection);
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;
    ~exchange();

    [[nodiscard]] const request_head& head() const noexcept { return m_head; }
    [[nodiscard]] const std::string& body() const noexcept { return m_body; }
    /// @return When the first byte of the request was received.
    [[nodiscard]] time_point arrivedAt() const noexcept { return m_arrivedAt; }

    /// Sends a complete response.
    void respond(unsigned status, header_list headers, std::string_view body);

    /// Starts a chunked response of unknown length.
    void startChunked(unsigned status, header_list headers);
    /// Sends one chunk; an empty chunk is ignored, as it would end the response.
    void writeChunk(std::string_view bytes);
    /// Sends the last chunk, which completes the response.
    void finishChunked();

    /// Ends the exchange without a complete response: the connection is reset, so that a truncated response cannot look complete.
    void abort();

    /// Ends the exchange and hands over its connection, for a response that is not built here.
    /// @return The connection, without callbacks; the server neither reads it nor applies timeouts to it.
    [[nodiscard]] std::shared_ptr<tcp_stream> releaseConnection();

    /// Closes the connection after this response and adds `Connection: close` to it, unless its head is already sent or the next
    /// request has already been received; then the same applies to the next response.
    void closeAfterResponse();

    /// Announces the close of the connection with this response, also if further requests have been received; they are not read.
    void endConnection();

    /// @return How the client's connection ended before the response was complete; not set while it is open.
    [[nodiscard]] std::optional<close_reason> disconnectReason() const noexcept { return m_disconnectReason; }

    [[nodiscard]] bool isStarted() const noexcept { return m_isStarted; }
    [[nodiscard]] bool isFinished() const noexcept { return m_isFinished; }
    /// @return Bytes of the response that are not yet handed to the kernel.
    [[nodiscard]] size_t pendingBytes() const;
    /// @return Bytes of the response beyond which its source should wait for the client.
    /// @param largest  Limit while there is enough memory.
    [[nodiscard]] size_t pendingLimit(size_t largest = policy::maxUnsentBytes) const noexcept;
    /// Counts bytes of the response that are kept elsewhere until they are written.
    void setBufferedBytes(size_t bytes);

    /// Counts `bytes` for the body and what is made of it, instead of the copies that the limits name.
    /// @return False if they do not fit; the request should be refused.
    [[nodiscard]] bool holdBody(size_t bytes);

    /// Sets a callback that runs once if the client disconnects before the response is complete.
    void setOnDisconnect(std::function<void()> onDisconnect) { m_onDisconnect = std::move(onDisconnect); }

private:
    friend class detail::server_connection;

    void sendHead(unsigned status, header_list&& headers, std::string_view framingName, std::string_view framingValue, std::string_view body);

    std::shared_ptr<detail::server_connection> m_connection;
    request_head m_head;
    std::string m_body;
    size_t m_bufferedBytes = 0;
    time_point m_arrivedAt {};
    std::function<void()> m_onDisconnect;
    std::optional<close_reason> m_disconnectReason;
    bool m_isStarted = false;
    bool m_isFinished = false;
};

/// Accepts connections on one address and passes their requests to a handler.
class server {
public:
    using handler = std::function<void(std::shared_ptr<exchange>)>;

    /// @param address   Address to listen on.
    /// @param limits    Returns the current limits; called whenever they are applied.
    /// @param onRequest Called with each request after its whole body was received.
    /// @param memory    What all clients of the process may have it hold; null for no limit.
    /// @throws error (`Unavailable`) if listening on the address fails.
    server(const ip_endpoint& address, std::function<server_limits()> limits, handler onRequest, std::shared_ptr<client_memory_budget> memory = nullptr);
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server();

    /// Stops accepting connections, once those that are established already are accepted; open ones continue.
    void stopListening();

    /// Makes responses announce and perform the close of their connections, for a graceful shutdown. A request behind a response
    /// that could not announce it is answered.
    void setCloseAfterResponse(bool isEnabled) noexcept { m_closesAfterResponse = isEnabled; }

    /// Closes all connections that have no request, for the end of the process; call it until it returns true. Connections with a
    /// request end after its response, or by their timeouts.
    /// @return True once all connections have ended.
    [[nodiscard]] bool closeIdleConnections();

    /// Refuses, with status 503, the requests that are not completely received, for the end of the process.
    /// @param headers  Header fields of the response.
    void refuseUnfinishedRequests(const header_list& headers);

    /// Sets a function that returns the body of a response to a request that is refused before it reaches the handler; without
    /// one, these responses have no body. The function may add header fields.
    void setRefusalBody(std::function<std::string(unsigned status, header_list& headers)> refusalBody) { m_refusalBody = std::move(refusalBody); }

    /// Sets header fields of the response with status 503 to requests for which there is no connection or no memory.
    void setOverLimitHeaders(header_list headers) { m_overLimitHeaders = std::move(headers); }

    [[nodiscard]] size_t connectionCount() const noexcept { return m_connections.size(); }

    /// @return Number of connections with a request that is not completely received, or with a response that is not completely sent.
    [[nodiscard]] size_t unfinishedConnections() const noexcept;

    /// Sets a callback for each request or connection that is refused before it reaches the handler. The status is 0 for a connection.
    void setOnRefused(std::function<void(unsigned status, std::string_view reason)> onRefused) { m_onRefused = std::move(onRefused); }

    /// Sets a callback for each connection that ends while a request has no complete response. A client that leaves before its
    /// response is complete is reported to the exchange instead.
    void setOnUnfinished(std::function<void(const unfinished_connection&)> onUnfinished) { m_onUnfinished = std::move(onUnfinished); }

    /// Calls the callback of `setOnUnfinished` for each open connection with an unfinished request, before the process ends.
    void reportUnfinished(std::string_view reason);

private:
    friend class detail::server_connection;

    void accept(std::shared_ptr<tcp_stream> stream);
    [[nodiscard]] bool isOverLimit() const;
    void checkConnections();
    /// Closes connections that can yield their places to new ones.
    void freePlaces(size_t count);

    std::function<server_limits()> m_limits;
    handler m_onRequest;
    std::shared_ptr<client_memory_budget> m_memory;
    std::function<void(unsigned, std::string_view)> m_onRefused;
    std::function<std::string(unsigned, header_list&)> m_refusalBody;
    std::function<void(const unfinished_connection&)> m_onUnfinished;
    std::list<std::shared_ptr<detail::server_connection>> m_connections;
    header_list m_overLimitHeaders;
    bool m_closesAfterResponse = false;
    timer m_checkTimer;
    tcp_listener m_listener;
};
}
