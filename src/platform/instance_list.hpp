/// Follows the platform's lagging list of instances, a keyed topic of its store. docs/PLATFORM.md gives the records.
#pragma once

#include "platform/topic_follower.hpp"

#include <functional>
#include <set>
#include <string>

namespace bilberryseam::platform {

/// Topic of the instance list.
constexpr std::string_view instanceTopic = "keyed.instances";

/// Names of the instances that the platform says are leaving.
using leaving_instances = std::set<std::string, std::less<>>;

/// Follows the instance list.
class instance_list {
public:
    /// @param store   Address of the store.
    /// @param period  Time between two reads.
    /// @param onList  Gets the leaving instances after each change; while the store is away, the last answer stays.
    instance_list(ip_endpoint store, milliseconds period, std::function<void(const leaving_instances&)> onList);

private:
    follow_callbacks makeCallbacks();
    void applyRecord(const std::string& instance, const std::optional<std::string>& record);

    std::function<void(const leaving_instances&)> m_onList;
    leaving_instances m_leaving;
    bool m_isStoreUnreachable = false;
    store_client m_store;
    topic_follower m_follower;
};

namespace detail {
    /// @return Whether the record says that its instance is leaving; what cannot be read counts as live.
    [[nodiscard]] bool isLeaving(std::string_view record);
}
}
