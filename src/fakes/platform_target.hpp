/// Fake of a target on the platform: responds like a healthy target, or with a handler that a test sets.
#pragma once

#include "http1/server.hpp"
#include "loop/timer.hpp"

#include <functional>
#include <list>
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

enum class arrival_kind {
    Request,
    Task,
    /// A call that releases stage results.
    Release,
};

/// What reached a target, apart from requests for another target.
struct target_arrival {
    arrival_kind kind = arrival_kind::Request;
    /// Identifier of the request; empty for a release.
    std::string requestId;
    time_point at {};
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

    /// Sets a function that is called with each request other than a batch call when it arrives, also while the target is silent.
    void setOnArrival(std::function<void(const received_request&)> onArrival) { m_onArrival = std::move(onArrival); }

    /// Stops sending for a time; connections are accepted and requests are received, and nothing is lost. Handlers are called
    /// after the silence, also for requests whose connection has closed in the meantime. A longer silence in progress goes on.
    void fallSilent(milliseconds duration);
    [[nodiscard]] bool isSilent() const noexcept { return m_silenceEnd.isRunning(); }
    /// Calls a function at once, or after the silence in the order of these calls; never if the target stops before.
    void runWhenAudible(std::function<void()> function);

    /// Sets the body of the target's report of its load; without one, the target responds to queries with status 404.
    void setReport(std::string body) { m_report = std::move(body); }
    /// @return How often the report was queried.
    [[nodiscard]] size_t reportCount() const noexcept { return m_reportCount; }

    /// Makes the target state in its responses for how much longer it is cold; zero makes it state that it is warm.
    void setCold(milliseconds left) { m_coldUntil = monotonicNow() + left; }

    [[nodiscard]] const std::string& id() const noexcept { return m_id; }
    [[nodiscard]] const ip_endpoint& endpoint() const noexcept { return m_endpoint; }
    /// Sets the address that the target advertises, also in result handles, such as that of a fake link.
    void setEndpoint(ip_endpoint endpoint) { m_endpoint = std::move(endpoint); }
    /// @return All received requests other than batch calls, in order.
    [[nodiscard]] const std::vector<received_request>& requests() const noexcept { return m_requests; }
    /// @return The bodies of all received batch calls, in order.
    [[nodiscard]] const std::vector<std::string>& batchCalls() const noexcept { return m_batchCalls; }
    [[nodiscard]] const std::vector<std::string>& releasedResults() const noexcept { return m_releasedResults; }
    /// @return All requests, tasks and releases in the order of their arrival, also those received while the target was silent.
    [[nodiscard]] const std::vector<target_arrival>& arrivals() const noexcept { return m_arrivals; }

    /// @return The header fields of a healthy target's response to a request.
    [[nodiscard]] http1::header_list responseHeaders(const http1::exchange& exchange) const;
    /// Starts a successful response with neither a length nor chunks; its body ends with the connection.
    /// @return The connection, which the caller writes the body to and closes or resets.
    [[nodiscard]] std::shared_ptr<http1::tcp_stream> startUnframed(http1::exchange& exchange) const;
    /// Closes all connections, refuses new ones and ends a silence. Must not be called by a handler.
    void stopListening();
    void startListening();
    /// Responds to a batch call with a result for each task.
    /// @param headers  Further header fields of the response.
    void respondToBatchCall(http1::exchange& exchange, http1::header_list headers = {});

private:
    void handleExchange(std::shared_ptr<http1::exchange> exchange);
    void handleRequest(std::shared_ptr<http1::exchange> exchange);
    void handleBatchCall(std::shared_ptr<http1::exchange> exchange);
    void recordTasks(std::string_view body);
    void endSilence();

    std::string m_id;
    ip_endpoint m_endpoint;
    exchange_handler m_requestHandler;
    exchange_handler m_batchCallHandler;
    std::function<void(const received_request&)> m_onArrival;
    std::vector<received_request> m_requests;
    std::vector<std::string> m_batchCalls;
    std::vector<std::string> m_releasedResults;
    std::vector<target_arrival> m_arrivals;
    uint64_t m_nextResult = 1;
    std::optional<std::string> m_report;
    size_t m_reportCount = 0;
    time_point m_silentUntil {};
    /// Not set if responses state no cold time.
    std::optional<time_point> m_coldUntil;
    timer m_silenceEnd;
    std::list<std::function<void()>> m_held;
    ip_endpoint m_listen;
    std::optional<http1::server> m_server;
};
}
