/// HTTP interface for callers. docs/API.md documents it.
#pragma once

#include "entry/admission.hpp"
#include "entry/pipeline_run.hpp"
#include "loop/http.hpp"
#include "settings/entry_settings.hpp"

#include <list>
#include <memory>

namespace bilberryseam::entry {

/// Accepts requests, runs them, and writes their responses.
class caller_server {
public:
    struct callbacks {
        /// @return The configuration in force, or null before the first is loaded.
        std::function<const configuration::state*()> configuration;
    };

    /// @throws error (`Unavailable`) if the server cannot listen on the address.
    caller_server(const settings::entry_settings& settings, run_context& context, callbacks callbacks);
    ~caller_server();

    /// Lets queued requests and waiting runs look for targets again.
    void onCapacityChanged();

    /// Ends each connection after its next response.
    void stopKeepingConnections() noexcept { m_isStopping = true; }

    /// Closes the listening sockets. Does nothing while connections wait to be accepted: closing would reset them.
    /// @return Whether the sockets are closed.
    [[nodiscard]] bool stopListening();

    /// Ends all requests that have been read, each with an outcome.
    void endRequests();

    /// @return The number of requests whose headers have been read and whose responses have not been written.
    [[nodiscard]] size_t openRequests() const noexcept { return m_exchanges.size(); }

private:
    class exchange;

    static void startReceiving(SoupServer* server, SoupServerMessage* message, const char* path, GHashTable* query, gpointer self);
    static void handle(SoupServer* server, SoupServerMessage* message, const char* path, GHashTable* query, gpointer self);
    void handleRequest(exchange& newExchange, SoupServerMessage* message, std::string_view path);
    void removeExchange(exchange* finishedExchange);

    const settings::entry_settings& m_settings;
    run_context& m_context;
    callbacks m_callbacks;
    admission m_admission;
    gobject_ptr<SoupServer> m_server;
    std::list<std::unique_ptr<exchange>> m_exchanges;
    /// Number of exchanges whose request body is still being read.
    size_t m_receiving = 0;
    bool m_isStopping = false;
    bool m_isListening = true;
    timer m_cleanupTimer;
    timer m_capacityTimer;
    std::list<std::unique_ptr<exchange>> m_finishedExchanges;
};
}
