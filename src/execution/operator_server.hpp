/// The HTTP server of a daemon for operators: metrics, health, readiness, status.
#pragma once

#include "loop/http.hpp"
#include "telemetry/metrics.hpp"

#include <functional>
#include <map>

namespace bilberryseam::execution {

/// Serves `/metrics`, `/healthz`, `/readyz`, `/status`, and the endpoints that a daemon adds.
class operator_server {
public:
    struct callbacks {
        std::function<bool()> isReady;
        std::function<nlohmann::json()> status;
    };

    /// @throws error (`Unavailable`) if the address cannot be bound.
    operator_server(const ip_endpoint& listen, metrics& metrics, callbacks callbacks);

    /// Sends the response to one request; called exactly once, possibly after the handler has returned.
    using responder = std::function<void(unsigned status, const nlohmann::json& body)>;

    /// Handles a request; `input` is the body of a POST or the query of a GET.
    using handler = std::function<void(std::string_view input, responder respond)>;

    /// Adds a handler for POST requests to one path.
    void onPost(const std::string& path, handler handle) { m_postHandlers[path] = std::move(handle); }

    /// Adds a handler for GET requests to one path.
    void onGet(const std::string& path, handler handle) { m_getHandlers[path] = std::move(handle); }

private:
    static void handle(SoupServer* server, SoupServerMessage* message, const char* path, GHashTable* query, gpointer self);
    void handleRequest(SoupServerMessage* message, const std::string& path);
    static void callHandler(const handler& requestHandler, SoupServerMessage* message, std::string_view input);

    metrics& m_metrics;
    callbacks m_callbacks;
    gobject_ptr<SoupServer> m_server;
    std::map<std::string, handler> m_postHandlers;
    std::map<std::string, handler> m_getHandlers;
};
}
