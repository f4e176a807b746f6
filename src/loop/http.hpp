/// HTTP by libsoup: one client exchange at a time, and replies of a server.
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

/// How far an HTTP exchange came. Only `NotConnected` proves that the server never saw the request.
enum class exchange_outcome {
    Complete,
    NotSent,
    NoResponse,
    Truncated,
    Cancelled,
};

/// The end of an HTTP exchange.
struct http_response {
    exchange_outcome outcome = exchange_outcome::NoResponse;
    unsigned status = 0;
    std::string body;
    std::string detail;

    [[nodiscard]] bool isOk() const noexcept { return outcome == exchange_outcome::Complete && status >= 200 && status < 300; }
};

/// What to send.
struct http_request {
    std::string method = "GET";
    std::string url;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    /// Uses a connection of its own and closes it after the answer, so that a stale idle connection
    /// cannot blur what the server saw. Otherwise the request must be idempotent: libsoup may send
    /// it again if an idle connection turns out to be closed.
    bool isOnNewConnection = false;
    /// Whole-exchange limit; zero for none.
    milliseconds timeout { 0 };
    /// Largest answer that is accepted, in bytes.
    size_t maxResponseBytes = 16 * 1024 * 1024;
};

/// A session of HTTP connections to other servers.
class http_client {
public:
    using on_chunk = std::function<void(std::string_view)>;
    using on_end = std::function<void(http_response)>;

    /// @param maxConnections  Largest number of open connections, in all and to one server.
    explicit http_client(int maxConnections = 4096);

    /// Sends a request. `onEnd` is called exactly once, unless the handle is dropped first.
    /// @param request  What to send.
    /// @param onEnd    Gets the reply; its body is empty if `onChunk` was given.
    /// @param onChunk  Gets pieces of a 2xx body as they come; may be empty.
    /// @return A handle; dropping it cancels the exchange and closes its connection.
    [[nodiscard]] std::shared_ptr<void> send(const http_request& request, on_end onEnd, on_chunk onChunk = {});

private:
    gobject_ptr<SoupSession> m_session;
};

/// @return `http://address:port` followed by the path.
[[nodiscard]] std::string urlOf(const ip_endpoint& endpoint, std::string_view path);

/// Sets a JSON body and a status on a server's message.
void setJsonResponse(SoupServerMessage* message, unsigned status, const nlohmann::json& body);

/// @return The request's body as a view that lives as long as the message.
[[nodiscard]] std::string_view bodyOf(SoupServerMessage* message);

/// @return A request header, or an empty view.
[[nodiscard]] std::string_view headerOf(SoupServerMessage* message, const char* name);

/// Connections that may wait to be accepted; GLib's own default of 10 resets callers in a burst.
constexpr int listenBacklog = 1024;

/// Listens on an IP number and port.
/// @throws error (`Unavailable`) if the address cannot be taken.
void listenOn(SoupServer* server, const ip_endpoint& endpoint);
}
