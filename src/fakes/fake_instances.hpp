/// Stand-in for the platform's list of live and leaving instances.
#pragma once

#include "loop/http.hpp"

#include <set>

namespace bilberryseam::fakes {

/// Serves `/v1/instances`.
class fake_instances {
public:
    explicit fake_instances(const ip_endpoint& listen);

    /// Reads the names of leaving instances from `leaving`.
    void control(const nlohmann::json& switches);

private:
    static void handle(SoupServer* server, SoupServerMessage* message, const char* path, GHashTable* query, gpointer self);

    gobject_ptr<SoupServer> m_server;
    std::set<std::string> m_leaving;
};
}
