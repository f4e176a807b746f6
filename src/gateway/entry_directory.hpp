/// The entries of the deployment, which publish their records in the store.
#pragma once

#include "gateway/context.hpp"
#include "platform/topic_follower.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace bilberryseam::gateway {

/// Record of one entry.
struct entry_record {
    std::string name;
    ip_endpoint peerListen;
    /// Weight in the choice of pool owners.
    double weight = 1;
    int64_t startedAtMs = 0;
    /// Empty if an older release wrote the record.
    std::string failureDomain;

    bool operator==(const entry_record&) const = default;

    [[nodiscard]] std::string encode() const;
    /// @return The record, or `InvalidMessage`.
    [[nodiscard]] static result<entry_record> decode(std::string_view name, std::string_view text);
};

/// Publishes this entry's record and follows the records of the others.
class entry_directory {
public:
    /// @param onChange  Called after the set of entries changed, once for all records of a read.
    entry_directory(context& context, entry_record own, std::function<void()> onChange);

    /// @return The other entries by name. Some of them may have stopped without removing their records.
    [[nodiscard]] const std::map<std::string, entry_record, std::less<>>& others() const noexcept { return m_others; }
    [[nodiscard]] const entry_record& own() const noexcept { return m_own; }

    /// @return Time at which the store acknowledged this entry's record; nothing if the store may lack it.
    [[nodiscard]] std::optional<time_point> listedAt() const noexcept { return m_listedAt; }
    /// @return Time as of which the directory is known.
    [[nodiscard]] time_point readAt() const noexcept { return m_readAt; }

    /// Removes this entry's record, for a planned stop.
    void withdraw();

    [[nodiscard]] platform::topic_follower& follower() noexcept { return m_follower; }

    /// Schedules an early read, since another entry seems to have started. Several calls cause one read.
    void scheduleRead();

private:
    void publishOwn();
    void applyRecord(const platform::keyed_record& record);
    platform::follow_callbacks followCallbacks();

    context& m_context;
    entry_record m_own;
    std::function<void()> m_onChange;
    std::map<std::string, entry_record, std::less<>> m_others;
    platform::store_call m_put;
    /// Records were applied since the last call of `m_onChange`.
    bool m_isChanged = false;
    bool m_isPublished = false;
    std::optional<time_point> m_listedAt;
    time_point m_readAt {};
    bool m_isWithdrawn = false;
    timer m_publishRetry;
    timer m_scheduledRead;
    platform::topic_follower m_follower;
};
}
