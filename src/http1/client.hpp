/// An HTTP/1.1 client that never retries a request.
#pragma once

#include "http1/message.hpp"
#include "http1/tcp_stream.hpp"
#include "loop/timer.hpp"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace bilberryseam::http1 {

/// How an exchange with a server ended.
enum class call_outcome {
    /// The whole response was received, as its length or its last chunk shows.
    Complete,
    /// The server closed the connection of a response with neither a length nor chunks. Only the content can show whether
    /// the response is whole.
    Unframed,
    /// The connection was not established, so the server has not received any part of the request.
    NotSent,
    /// The connection ended before the first byte of a response; the server may have read the request.
    NoResponse,
    /// The connection ended in the middle of the response.
    Truncated,
    /// The received bytes are not a valid HTTP response.
    Malformed,
    /// `call_options::timeout` expired.
    TimedOut,
};

/// @return The name used in logs and metrics.
[[nodiscard]] std::string_view nameOf(call_outcome outcome) noexcept;

/// @return True if the response ended without an error on its connection; the caller checks the content if `Unframed`.
[[nodiscard]] constexpr bool isReceived(call_outcome outcome) noexcept
{
    return outcome == call_outcome::Complete || outcome == call_outcome::Unframed;
}

/// What delimits the body of a response.
enum class body_framing {
    /// The response has no complete head.
    Unknown,
    Length,
    Chunks,
    /// Neither a length nor chunks: the body ends with the connection.
    Connection,
};

/// @return The name used in logs and metrics.
[[nodiscard]] std::string_view nameOf(body_framing framing) noexcept;

/// How a response arrived, for logs.
struct response_trace {
    body_framing framing = body_framing::Unknown;
    /// How the server ended the connection; not set if it was still open.
    std::optional<close_reason> connectionEnd;
    uint64_t bodyBytes = 0;
    /// Bytes of the request that were not handed to the kernel.
    size_t unsentBytes = 0;
};

struct outgoing_request {
    std::string method = "GET";
    std::string target = "/";
    /// Must contain `Host`. `Content-Length` is added by the client.
    header_list headers;
    std::string body;
};

struct call_options {
    /// Uses a new connection and closes it afterwards, so that the outcome does not depend on an earlier exchange.
    bool isOnNewConnection = false;
    /// Limit for establishing the connection; allows several round trips between regions.
    milliseconds connectTimeout { 300 };
    /// Limit for the whole exchange; zero means no limit.
    milliseconds timeout { 0 };
    /// Largest accepted response body, in bytes.
    uint64_t maxResponseBytes = 256ull * 1024 * 1024;
    /// Uses a connection that carried no request before, and keeps it for later ones. A late response to an earlier request
    /// cannot arrive on it, which matters if nothing in a response tells which request it belongs to.
    bool isOnUnusedConnection = false;
};

class client;

/// A running exchange. Destroying the handle cancels the exchange and closes its connection; no callback runs afterwards.
class client_call : public std::enable_shared_from_this<client_call> {
public:
    struct callbacks {
        std::function<void(const response_head&)> onHead;
        std::function<void(std::string_view)> onBody;
        std::function<void(call_outcome)> onEnd;
    };

    client_call(client& owner, ip_endpoint server, callbacks newCallbacks);
    client_call(const client_call&) = delete;
    client_call& operator=(const client_call&) = delete;

    /// Pauses or resumes reading the response.
    void setReading(bool isReading);

    /// @return When the connection was established, which may have been for an earlier request; not set before that.
    [[nodiscard]] time_point connectedAt() const noexcept { return m_stream ? m_stream->connectedAt() : m_connectedAt; }

    /// @return How the response arrived; complete when `onEnd` runs.
    [[nodiscard]] const response_trace& trace() const noexcept { return m_trace; }

private:
    friend class client;
    struct parser_state;

    void start(const outgoing_request& request, const call_options& options, std::shared_ptr<tcp_stream> reusedStream);
    void attach();
    void handleBytes(std::string_view bytes);
    void handleClose(close_reason reason);
    void deliverBody();
    void handleResponseEnd(bool hasExtraBytes);
    void finish(call_outcome outcome);
    void cancel() noexcept;

    client* m_owner;
    ip_endpoint m_server;
    std::shared_ptr<callbacks> m_callbacks;
    call_options m_options;
    std::shared_ptr<tcp_stream> m_stream;
    /// See `connectedAt`; set when the connection is no longer the call's.
    time_point m_connectedAt {};
    std::unique_ptr<parser_state> m_parserState;
    timer m_connectTimer;
    timer m_timeoutTimer;
    response_trace m_trace;
    unsigned m_interimResponses = 0;
    bool m_isReused = false;
    bool m_isHeadRequest = false;
    bool m_hasResponseBytes = false;
    bool m_isHeadComplete = false;
    bool m_isFinished = false;
};

/// Sends requests and pools idle connections.
class client {
public:
    client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;
    ~client();

    /// Sends a request. `onEnd` is called exactly once and never from inside this call, unless the handle is destroyed first.
    [[nodiscard]] std::shared_ptr<client_call> send(const ip_endpoint& server, const outgoing_request& request, const call_options& options, client_call::callbacks callbacks);

    /// Closes the idle connections to a server that has shut down or was replaced.
    void closeIdleConnections(const ip_endpoint& server);

    /// @return Number of connections opened so far.
    [[nodiscard]] uint64_t openedConnections() const noexcept { return m_openedConnections; }

private:
    friend class client_call;

    struct idle_connection {
        std::shared_ptr<tcp_stream> stream;
        time_point expiresAt {};
    };

    /// Closes one idle connection to a server, if there is one.
    void dropIdleConnection(const ip_endpoint& server);
    [[nodiscard]] std::shared_ptr<tcp_stream> popIdleConnection(const ip_endpoint& server);
    void storeIdleConnection(const ip_endpoint& server, std::shared_ptr<tcp_stream> stream, milliseconds lifetime);
    void removeExpired();

    std::map<ip_endpoint, std::vector<idle_connection>> m_idleConnections;
    uint64_t m_openedConnections = 0;
    timer m_cleanupTimer;
};
}
