/// An HTTP/1.1 client that never sends a request twice on its own.
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
    /// The whole answer is here.
    Complete,
    /// The connection was not established in time: the server has seen nothing.
    NotSent,
    /// The request may have been read; no byte of an answer came.
    NoResponse,
    /// The answer broke off.
    Truncated,
    /// Something came that is not an answer.
    Malformed,
    /// The time that was set for the exchange is over.
    TimedOut,
};

/// @return The name for logs and metrics.
[[nodiscard]] std::string_view nameOf(call_outcome end) noexcept;

/// A request to send.
struct outgoing_request {
    std::string method = "GET";
    std::string target = "/";
    /// Without `Content-Length`, which is added; `Host` must be given.
    header_list headers;
    std::string body;
};

/// How to send a request.
struct call_options {
    /// Uses a new connection and closes it afterwards, so that no earlier exchange can blur this one.
    bool isOnNewConnection = false;
    /// Longest time until the connection stands; several round trips between regions.
    milliseconds connectTimeout { 300 };
    /// Longest time for the whole exchange; zero for none.
    milliseconds timeout { 0 };
    /// Largest body that is accepted, in bytes.
    uint64_t maxResponseBytes = 256ull * 1024 * 1024;
};

class client;

/// An exchange under way. Dropping it cancels the exchange and closes its connection; no callback runs then.
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

    /// Stops or resumes reading the answer.
    void setReading(bool isReading);

private:
    friend class client;
    struct parser_state;

    void start(const outgoing_request& request, const call_options& options, std::shared_ptr<tcp_stream> reusedStream);
    void attach();
    void handleBytes(std::string_view bytes);
    void handleClose(close_reason reason);
    void deliverBody();
    void handleResponseEnd(bool hasExtraBytes);
    void finish(call_outcome end);
    void cancel() noexcept;

    client* m_owner;
    ip_endpoint m_server;
    std::shared_ptr<callbacks> m_callbacks;
    call_options m_options;
    std::shared_ptr<tcp_stream> m_stream;
    std::unique_ptr<parser_state> m_parserState;
    timer m_connectTimer;
    timer m_timeoutTimer;
    bool m_isReused = false;
    bool m_isHeadRequest = false;
    bool m_hasResponseBytes = false;
    bool m_isHeadComplete = false;
    bool m_isFinished = false;
};

/// Sends requests and keeps idle connections.
class client {
public:
    client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;
    ~client();

    /// Sends a request. `onEnd` is called exactly once, never from inside this call, unless the handle is dropped first.
    [[nodiscard]] std::shared_ptr<client_call> send(const ip_endpoint& server, const outgoing_request& request, const call_options& options, client_call::callbacks callbacks);

    /// Closes the idle connections to a server, for one that has left or was replaced.
    void closeIdleConnections(const ip_endpoint& server);

    /// @return Connections opened so far.
    [[nodiscard]] uint64_t openedConnections() const noexcept { return m_openedConnections; }

private:
    friend class client_call;

    struct idle_connection {
        std::shared_ptr<tcp_stream> stream;
        time_point expiresAt {};
    };

    [[nodiscard]] std::shared_ptr<tcp_stream> popIdleConnection(const ip_endpoint& server);
    void storeIdleConnection(const ip_endpoint& server, std::shared_ptr<tcp_stream> stream, milliseconds lifetime);
    void removeExpired();

    std::map<ip_endpoint, std::vector<idle_connection>> m_idleConnections;
    uint64_t m_openedConnections = 0;
    timer m_cleanupTimer;
};
}
