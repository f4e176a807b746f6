/// Fake of a target on the platform: responds like a healthy target, or with a handler that a test sets.
#pragma once

#include "http1/server.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bilberryseam::fakes {

/// A request as received by a target.
struct received_request {
    std::string id;
    http1::request_head head;
    std::string body;
};

/// A target that listens on one port and serves one service.
class platform_target {
public:
    using exchange_handler = std::function<void(std::shared_ptr<http1::exchange>)>;

    platform_target(std::string id, const ip_endpoint& listen);

    /// Sets the handler of requests other than batch calls; without one, the target responds with status 200 and its
    /// identifier as body.
    void setRequestHandler(exchange_handler handler) { m_requestHandler = std::move(handler); }
    /// Sets the handler of batch calls; without one, each task gets a result at once.
    void setBatchCallHandler(exchange_handler handler) { m_batchCallHandler = std::move(handler); }

    [[nodiscard]] const std::string& id() const noexcept { return m_id; }
    [[nodiscard]] const ip_endpoint& endpoint() const noexcept { return m_endpoint; }
    /// Sets the address that the target advertises, also in result handles, such as that of a fake link.
    void setEndpoint(ip_endpoint endpoint) { m_endpoint = std::move(endpoint); }
    /// @return All received requests other than batch calls, in order.
    [[nodiscard]] const std::vector<received_request>& requests() const noexcept { return m_requests; }
    /// @return The bodies of all received batch calls, in order.
    [[nodiscard]] const std::vector<std::string>& batchCalls() const noexcept { return m_batchCalls; }
    [[nodiscard]] const std::vector<std::string>& releasedResults() const noexcept { return m_releasedResults; }

    /// @return The header fields of a healthy target's response to a request.
    [[nodiscard]] http1::header_list responseHeaders(const http1::exchange& exchange) const;
    /// Starts a successful response with neither a length nor chunks; its body ends with the connection.
    /// @return The connection, which the caller writes the body to and closes or resets.
    [[nodiscard]] std::shared_ptr<http1::tcp_stream> startUnframed(http1::exchange& exchange) const;
    /// Closes all connections and refuses new ones. Must not be called by a handler.
    void stopListening() { m_server.reset(); }
    void startListening();
    /// Responds to a batch call with a result for each task.
    /// @param headers  Further header fields of the response.
    void respondToBatchCall(http1::exchange& exchange, http1::header_list headers = {});

private:
    void handleExchange(std::shared_ptr<http1::exchange> exchange);

    std::string m_id;
    ip_endpoint m_endpoint;
    exchange_handler m_requestHandler;
    exchange_handler m_batchCallHandler;
    std::vector<received_request> m_requests;
    std::vector<std::string> m_batchCalls;
    std::vector<std::string> m_releasedResults;
    uint64_t m_nextResult = 1;
    ip_endpoint m_listen;
    std::optional<http1::server> m_server;
};
}
