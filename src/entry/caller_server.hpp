/// HTTP interface for callers. docs/API.md documents it.
#pragma once

#include "entry/admission.hpp"
#include "entry/pipeline_run.hpp"
#include "execution/pressure_report.hpp"
#include "http1/server.hpp"
#include "settings/entry_settings.hpp"

#include <list>
#include <memory>

namespace bilberryseam::entry {

/// The body, its parsed input, the call to the side and the frame that holds it.
constexpr size_t bodyCopies = 4;

/// Accepts requests, runs them, and writes their responses.
class caller_server {
public:
    struct callbacks {
        /// @return The configuration in force, or null before the first is loaded.
        std::function<const configuration::state*()> configuration;
    };

    /// @param memory    What all clients of the process may have it hold.
    /// @param pressure  Reports requests that are refused unread; must outlive the server.
    /// @throws error (`Unavailable`) if the server cannot listen on the address.
    caller_server(const settings::entry_settings& settings, run_context& context, std::shared_ptr<client_memory_budget> memory, execution::pressure_report& pressure, callbacks callbacks);
    ~caller_server();

    /// Lets queued requests and waiting runs look for targets again.
    void onCapacityChanged();

    /// Ends each connection after its next response.
    void stopKeepingConnections() noexcept;

    /// Accepts the connections that wait, and refuses further ones.
    void stopListening() { m_server.stopListening(); }

    /// Closes the connections that have no request; call it until it returns true.
    /// @return True once all connections have ended.
    [[nodiscard]] bool closeIdleConnections() { return m_server.closeIdleConnections(); }

    /// Ends all requests, each with an outcome.
    void endRequests();

    /// @return The number of requests that have begun to arrive and whose responses have not been written.
    [[nodiscard]] size_t openRequests() const noexcept;

private:
    class exchange;

    [[nodiscard]] http1::server_limits serverLimits() const;
    void handle(std::shared_ptr<http1::exchange> connection);
    void handleRequest(exchange& newExchange);
    void removeExchange(exchange* finishedExchange);

    const settings::entry_settings& m_settings;
    run_context& m_context;
    callbacks m_callbacks;
    admission m_admission;
    std::list<std::unique_ptr<exchange>> m_exchanges;
    /// The time for the stop is over.
    bool m_isEnding = false;
    timer m_cleanupTimer;
    timer m_capacityTimer;
    std::list<std::unique_ptr<exchange>> m_finishedExchanges;
    http1::server m_server;
};
}
