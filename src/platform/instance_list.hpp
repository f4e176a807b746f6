/// Follows the platform's instance list, a keyed topic of its store. The list lags behind the actual state of the instances.
/// docs/PLATFORM.md specifies the records.
#pragma once

#include "platform/topic_follower.hpp"

#include <functional>
#include <set>
#include <string>

namespace bilberryseam::platform {

/// Topic of the instance list.
constexpr std::string_view instanceTopic = "keyed.instances";

/// Names of the instances that the list marks as leaving.
using leaving_instances = std::set<std::string, std::less<>>;

class instance_list {
public:
    /// @param store   Address of the store.
    /// @param period  Pause between two reads.
    /// @param onList  Called with the leaving instances after each change. While the store is unreachable, the last known list stays valid.
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
    /// @return True if the record marks its instance as leaving; false for an unreadable record.
    [[nodiscard]] bool isLeaving(std::string_view record);
}
}
