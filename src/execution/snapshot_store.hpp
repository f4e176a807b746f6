/// Snapshots of the configuration in the platform's log.
#pragma once

#include "configuration/snapshot.hpp"
#include "platform/log_client.hpp"
#include "settings/entry_settings.hpp"

#include <functional>
#include <optional>

namespace bilberryseam::execution {

/// Reads and writes the snapshot stream.
class snapshot_store {
public:
    explicit snapshot_store(const settings::platform_settings& platform);

    /// Reads the newest complete snapshot.
    /// @param done  Receives it, or nothing if there is none or the log is unreachable.
    void load(std::function<void(std::optional<configuration::assembled_snapshot>)> done);

    /// Writes a snapshot, unless the stream already holds one that is at least as new.
    /// @param done  Receives the offset of the newest snapshot in the stream; zero if it is unknown.
    void write(std::string text, uint64_t nextOffset, std::function<void(uint64_t)> done);

private:
    /// Collects the records from an offset to the end of the stream.
    void collect(uint64_t from, std::vector<std::string> texts, std::function<void(std::optional<configuration::assembled_snapshot>)> done);

    settings::platform_settings m_platform;
    platform::log_client m_log;
    std::shared_ptr<void> m_readHandle;
    std::shared_ptr<void> m_appendHandle;
};
}
