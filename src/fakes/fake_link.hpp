/// Fake network between two processes: a TCP proxy that can close or stall its connections.
#pragma once

#include "base/endpoint.hpp"
#include "loop/gobject_ptr.hpp"

#include <gio/gio.h>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>

namespace bilberryseam::fakes {

/// Faults that the link currently injects.
struct link_faults {
    /// Closes the connection that carries the n-th block from upstream, counted over all connections; zero for never.
    uint32_t cutAfterBlocks = 0;
    /// Stalls the connection that carries the n-th block from upstream, counted over all connections; zero for never.
    /// A stalled connection stays open, but its data is discarded.
    uint32_t stallAfterBlocks = 0;
    /// Closes new connections at once, and all that were open.
    bool isDown = false;
};

/// Forwards connections from a listening address to an upstream address.
class fake_link {
public:
    fake_link(std::string name, const ip_endpoint& listen, ip_endpoint upstream);
    ~fake_link();

    /// Changes faults as given in JSON: `cutAfterBlocks`, `silentAfterBlocks`, `silenceNow`, `down`. Missing keys keep
    /// their values.
    void applySwitches(const nlohmann::json& changes);

    [[nodiscard]] nlohmann::json counts() const;
    [[nodiscard]] const std::string& name() const noexcept { return m_name; }

private:
    struct connection_pair;

    static gboolean onIncoming(GSocketService* service, GSocketConnection* connection, GObject* sourceObject, gpointer data);
    void forward(connection_pair& pair, bool isFromUpstream);
    bool applyFaults(connection_pair& pair);
    void closePair(connection_pair* pair);

    std::string m_name;
    ip_endpoint m_upstream;
    gobject_ptr<GSocketService> m_service;
    std::list<std::shared_ptr<connection_pair>> m_connectionPairs;
    link_faults m_faults;
    uint64_t m_blockCount = 0;
    uint64_t m_connectionCount = 0;
    uint64_t m_cutCount = 0;
};
}
