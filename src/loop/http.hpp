/// HTTP client and server helpers on top of libsoup.
#pragma once

#include "base/endpoint.hpp"
#include "base/time.hpp"
#include "loop/gobject_ptr.hpp"

#include <array>
#include <functional>
#include <libsoup/soup.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace bilberryseam {

/// How an HTTP exchange ended. Only `NotSent` guarantees that the server did not receive the request.
enum class exchange_outcome {
    Complete,
    NotSent,
    NoResponse,
    Truncated,
    Cancelled,
};

/// The response of a server, or the reason why there is none.
struct http_response {
    exchange_outcome outcome = exchange_outcome::NoResponse;
    unsigned status = 0;
    /// The response states its length, and a shorter body is `Truncated`. Otherwise only the content can show whether the
    /// response is whole: libsoup also reports a chunked one as complete if the connection ends between two chunks.
    bool hasStatedLength = false;
    /// The `Retry-After` field; several ones are joined by commas, and it is empty if there is none.
    std::string retryAfter;
    std::string body;
    std::string detail;

    [[nodiscard]] bool isOk() const noexcept { return outcome == exchange_outcome::Complete && status >= 200 && status < 300; }
};

/// An HTTP request and how to send it.
struct http_request {
    std::string method = "GET";
    std::string url;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    /// Uses a new connection and closes it after the response, so that a stale idle connection cannot leave open
    /// whether the server received the request. Otherwise the request must be idempotent: libsoup may send it
    /// again if an idle connection turns out to be closed.
    bool isOnNewConnection = false;
    /// Time limit of the whole exchange; zero for none.
    milliseconds timeout { 0 };
    /// Maximum size of the response body, in bytes.
    size_t maxResponseBytes = 16 * 1024 * 1024;
};

/// An HTTP client with a pool of connections.
class http_client {
public:
    using on_chunk = std::function<void(std::string_view)>;
    using on_end = std::function<void(http_response)>;

    /// @param maxConnections  Maximum number of open connections, in total and to one server.
    explicit http_client(int maxConnections = 4096);

    /// Sends a request. `onEnd` is called exactly once, unless the handle is destroyed first.
    /// @param request  The request.
    /// @param onEnd    Called with the response; the body of a 2xx response is empty if `onChunk` is set.
    /// @param onChunk  Called with each block of a 2xx body as it arrives; may be empty.
    /// @return A handle; destroying it cancels the exchange and closes its connection.
    [[nodiscard]] std::shared_ptr<void> send(const http_request& request, on_end onEnd, on_chunk onChunk = {});

private:
    gobject_ptr<SoupSession> m_session;
};

/// @return `http://address:port` followed by the path.
[[nodiscard]] std::string urlOf(const ip_endpoint& endpoint, std::string_view path);

/// Sets the status and a JSON body as the response of a server message.
void setJsonResponse(SoupServerMessage* message, unsigned status, const nlohmann::json& body);

/// @return The request's body; the view is valid as long as the message.
[[nodiscard]] std::string_view bodyOf(SoupServerMessage* message);

/// @return The value of a request header, or an empty view if it is missing.
[[nodiscard]] std::string_view headerOf(SoupServerMessage* message, const char* name);

/// Backlog of connections that are not accepted yet. With GLib's default of 10, connections are reset during a burst.
constexpr int listenBacklog = 1024;

/// Starts to listen on an endpoint.
/// @throws error (`Unavailable`) if the address cannot be bound.
void listenOn(SoupServer* server, const ip_endpoint& endpoint);
}
