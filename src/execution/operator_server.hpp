/// The HTTP server of a daemon for operators: metrics, health, readiness, status.
#pragma once

#include "execution/pressure_report.hpp"
#include "http1/server.hpp"
#include "telemetry/metrics.hpp"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>

namespace bilberryseam::execution {

/// Serves `/metrics`, `/healthz`, `/readyz`, `/status`, and the endpoints that a daemon adds.
class operator_server {
public:
    struct callbacks {
        std::function<bool()> isReady;
        std::function<nlohmann::json()> status;
    };

    /// @param memory    What all clients of the process may have it hold.
    /// @param pressure  Reports requests that are refused unread; must outlive the server.
    /// @throws error (`Unavailable`) if the address cannot be bound.
    operator_server(const ip_endpoint& listen, metrics& metrics, std::shared_ptr<client_memory_budget> memory, pressure_report& pressure, callbacks callbacks);

    /// Sends the response to one request; called exactly once, possibly after the handler has returned.
    using responder = std::function<void(unsigned status, const nlohmann::json& body)>;

    /// Handles a request; `input` is the body of a POST or the query of a GET.
    using handler = std::function<void(std::string_view input, responder respond)>;

    /// Adds a handler for POST requests to one path.
    void onPost(const std::string& path, handler handle) { m_postHandlers[path] = std::move(handle); }

    /// Adds a handler for GET requests to one path.
    void onGet(const std::string& path, handler handle) { m_getHandlers[path] = std::move(handle); }

private:
    void handleRequest(const std::shared_ptr<http1::exchange>& exchange);
    void handleGet(const std::shared_ptr<http1::exchange>& exchange);

    metrics& m_metrics;
    pressure_report& m_pressure;
    callbacks m_callbacks;
    std::map<std::string, handler, std::less<>> m_postHandlers;
    std::map<std::string, handler, std::less<>> m_getHandlers;
    http1::server m_server;
};
}
