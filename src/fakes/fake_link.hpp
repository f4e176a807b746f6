/// Stand-in for the network between two processes: forwards TCP connections, cuts them or lets them go silent.
#pragma once

#include "base/endpoint.hpp"
#include "loop/gobject_ptr.hpp"

#include <gio/gio.h>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>

namespace bilberryseam::fakes {

/// What the link does wrong at present.
struct link_faults {
    /// Cuts a connection after this many blocks from the upstream side; zero for never. Counts down once.
    uint32_t cutAfterBlocks = 0;
    /// Lets a connection go silent after this many blocks from the upstream side; zero for never.
    uint32_t stallAfterBlocks = 0;
    /// Accepts no connections and cuts those that are open.
    bool isDown = false;
};

/// Forwards connections from one address to another.
class fake_link {
public:
    fake_link(std::string name, const ip_endpoint& listen, ip_endpoint upstream);
    ~fake_link();

    /// Reads switches from JSON: `cutAfterBlocks`, `silentAfterBlocks`, `silenceNow`, `down`.
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
