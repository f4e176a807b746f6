/// Client of the platform's lagging list of instances. docs/PLATFORM.md gives the protocol.
#pragma once

#include "base/endpoint.hpp"
#include "loop/http.hpp"
#include "loop/timer.hpp"

#include <functional>
#include <optional>
#include <set>
#include <string>

namespace bilberryseam::platform {

/// Names of the instances that the platform says are leaving.
using leaving_instances = std::set<std::string, std::less<>>;

/// Polls the instance list.
class instance_list {
public:
    /// @param list    Address of the list.
    /// @param period  Time between two polls.
    /// @param onList  Gets each answer; failures are skipped, so the last answer stays.
    instance_list(ip_endpoint list, milliseconds period, std::function<void(const leaving_instances&)> onList);

private:
    void poll();

    ip_endpoint m_list;
    std::function<void(const leaving_instances&)> m_onList;
    http_client m_http;
    std::shared_ptr<void> m_pending;
    timer m_period;
};
}
