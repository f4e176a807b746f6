/// Stand-in for a target on the platform: answers as a sound one does, or as a test says.
#pragma once

#include "http1/server.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace bilberryseam::fakes {

/// A request as it reached a target.
struct seen_request {
    std::string id;
    http1::request_head head;
    std::string body;
};

/// A server of one service.
class platform_target {
public:
    using behaviour = std::function<void(std::shared_ptr<http1::exchange>)>;

    platform_target(std::string id, const ip_endpoint& listen);

    /// Handles requests other than those for pieces; without one, the target answers 200 with its identifier as body.
    void setBehaviour(behaviour behave) { m_behave = std::move(behave); }
    /// Handles calls for pieces; without one, each piece gets a result at once.
    void setPieceBehaviour(behaviour behave) { m_behavePieces = std::move(behave); }

    [[nodiscard]] const std::string& id() const noexcept { return m_id; }
    [[nodiscard]] const ip_endpoint& endpoint() const noexcept { return m_endpoint; }
    /// Names another address, such as that of a stand-in link, in its results.
    void setEndpoint(ip_endpoint endpoint) { m_endpoint = std::move(endpoint); }
    /// @return All requests of callers that came, in order.
    [[nodiscard]] const std::vector<seen_request>& requests() const noexcept { return m_requests; }
    /// @return The bodies of all calls for pieces that came, in order.
    [[nodiscard]] const std::vector<std::string>& pieceCalls() const noexcept { return m_pieceCalls; }
    [[nodiscard]] const std::vector<std::string>& freedResults() const noexcept { return m_freed; }

    /// @return The header fields of a sound answer to a request.
    [[nodiscard]] http1::header_list answerHeaders(const http1::exchange& exchange) const;
    /// Gives each piece of a call a result.
    void answerPieces(http1::exchange& exchange);

private:
    void take(std::shared_ptr<http1::exchange> exchange);

    std::string m_id;
    ip_endpoint m_endpoint;
    behaviour m_behave;
    behaviour m_behavePieces;
    std::vector<seen_request> m_requests;
    std::vector<std::string> m_pieceCalls;
    std::vector<std::string> m_freed;
    uint64_t m_nextResult = 1;
    http1::server m_server;
};
}
