#include "execution/operator_server.hpp"

#include "base/json_text.hpp"

namespace bilberryseam::execution {

using nlohmann::json;

namespace {
    /// Operators send release notes and short commands, on few connections.
    http1::server_limits operatorLimits()
    {
        http1::server_limits limits;
        limits.maxBodyBytes = 1024 * 1024;
        limits.headerTimeout = milliseconds(10000);
        limits.idleTimeout = milliseconds(60000);
        limits.maxConnections = 128;
        return limits;
    }

    void respondJson(http1::exchange& exchange, unsigned status, const json& body)
    {
        exchange.respond(status, { { "Content-Type", "application/json" } }, dumpText(body) + "\n");
    }

    void callHandler(const operator_server::handler& handle, const std::shared_ptr<http1::exchange>& exchange, std::string_view input)
    {
        handle(input, [exchange](unsigned status, const json& body) { respondJson(*exchange, status, body); });
    }
}

operator_server::operator_server(const ip_endpoint& listen, metrics& metrics, std::shared_ptr<client_memory_budget> memory, pressure_report& pressure, callbacks callbacks)
    : m_metrics(metrics)
    , m_pressure(pressure)
    , m_callbacks(std::move(callbacks))
    , m_server(
          listen, [] { return operatorLimits(); }, [this](std::shared_ptr<http1::exchange> exchange) { handleRequest(exchange); }, std::move(memory))
{
    m_server.setOverLimitHeaders({ { "Retry-After", "1" } });
    m_server.setOnRefused([this](unsigned status, std::string_view reason) { m_pressure.recordUnread(status, reason); });
}

void operator_server::handleRequest(const std::shared_ptr<http1::exchange>& exchange)
{
    if (exchange->head().method != "POST") {
        handleGet(exchange);
        return;
    }
    const auto position = m_postHandlers.find(http1::pathOf(exchange->head().target));
    if (position == m_postHandlers.end())
        respondJson(*exchange, http1::statusNotFound, { { "error", "There is no such command." } });
    else
        callHandler(position->second, exchange, exchange->body());
}

void operator_server::handleGet(const std::shared_ptr<http1::exchange>& exchange)
{
    const std::string_view target = exchange->head().target;
    const std::string_view path = http1::pathOf(target);
    if (path == "/metrics") {
        m_pressure.updateGauges();
        exchange->respond(http1::statusOk, { { "Content-Type", "text/plain; version=0.0.4" } }, m_metrics.serialize());
    } else if (path == "/healthz") {
        respondJson(*exchange, http1::statusOk, { { "healthy", true } });
    } else if (path == "/readyz") {
        const bool isReady = m_callbacks.isReady();
        respondJson(*exchange, isReady ? http1::statusOk : http1::statusUnavailable, { { "ready", isReady } });
    } else if (path == "/status") {
        respondJson(*exchange, http1::statusOk, m_callbacks.status());
    } else if (const auto position = m_getHandlers.find(path); position != m_getHandlers.end()) {
        callHandler(position->second, exchange, path.size() < target.size() ? target.substr(path.size() + 1) : std::string_view());
    } else {
        respondJson(*exchange, http1::statusNotFound, { { "error", "There is no such page." } });
    }
}
}
