/// Stand-in for a target on the platform: answers as a sound one does, or as a test says.
#pragma once

#include "http1/server.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace bilberryseam::fakes {

/// A request as it reached a target.
struct received_request {
    std::string id;
    http1::request_head head;
    std::string body;
};

/// A server of one service.
class platform_target {
public:
    using exchange_handler = std::function<void(std::shared_ptr<http1::exchange>)>;

    platform_target(std::string id, const ip_endpoint& listen);

    /// Handles requests other than those for pieces; without one, the target answers 200 with its identifier as body.
    void setRequestHandler(exchange_handler handler) { m_requestHandler = std::move(handler); }
    /// Handles calls for pieces; without one, each piece gets a result at once.
    void setBatchCallHandler(exchange_handler handler) { m_batchCallHandler = std::move(handler); }

    [[nodiscard]] const std::string& id() const noexcept { return m_id; }
    [[nodiscard]] const ip_endpoint& endpoint() const noexcept { return m_endpoint; }
    /// Names another address, such as that of a stand-in link, in its results.
    void setEndpoint(ip_endpoint endpoint) { m_endpoint = std::move(endpoint); }
    /// @return All requests of callers that came, in order.
    [[nodiscard]] const std::vector<received_request>& requests() const noexcept { return m_requests; }
    /// @return The bodies of all calls for pieces that came, in order.
    [[nodiscard]] const std::vector<std::string>& batchCalls() const noexcept { return m_batchCalls; }
    [[nodiscard]] const std::vector<std::string>& releasedResults() const noexcept { return m_releasedResults; }

    /// @return The header fields of a sound answer to a request.
    [[nodiscard]] http1::header_list responseHeaders(const http1::exchange& exchange) const;
    /// Gives each piece of a call a result.
    void respondToBatchCall(http1::exchange& exchange);

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
    http1::server m_server;
};
}
