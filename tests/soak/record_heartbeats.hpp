/// Targets that write their records again at each heartbeat.
#pragma once

#include "support/deployment_fixture.hpp"

#include <map>
#include <string>

namespace bilberryseam::tests {

constexpr milliseconds recordHeartbeat { 1200 };

class record_heartbeats {
public:
    explicit record_heartbeats(deployment_fixture& deployment)
        : m_deployment(deployment)
    {
    }

    /// The record of a target's present run is written; it is renewed from now on.
    /// @param untilFirst  Time until the first renewal, so that targets that are listed together take turns.
    void start(const std::string& target, milliseconds untilFirst = recordHeartbeat)
    {
        m_timers[target].startOnce(untilFirst, [this, target] { renew(target); });
    }

    /// The target has crashed; its record stays as it is.
    void stop(const std::string& target) { m_timers[target].stop(); }

private:
    void renew(const std::string& target)
    {
        m_deployment.changeRecord(target, nlohmann::json::object());
        start(target);
    }

    deployment_fixture& m_deployment;
    std::map<std::string, timer> m_timers;
};
}
