/// Tells whether the store may just have returned from an older copy, also to a process that has just started.
#pragma once

#include "platform/store_client.hpp"
#include "policy/store_recovery.hpp"
#include "telemetry/metrics.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bilberryseam::gateway {

/// Follows the era of the store, and keeps a mark in the store of the newest era whose records are all back.
///
/// The mark belongs to an era, so a copy cannot have the one of the era in which it is served. A process that starts reads it
/// once; after a return, one of the processes that ran through the recovery writes it again.
class recovery_watch {
public:
    /// @param ownName     Spreads the processes over the time in which they look whether the mark is written.
    /// @param isRecorded  Returns whether the store has acknowledged all records of this process in its present era.
    recovery_watch(metrics& metrics, platform::store_client& store, std::string_view ownName, std::function<bool()> isRecorded);
    recovery_watch(const recovery_watch&) = delete;
    recovery_watch& operator=(const recovery_watch&) = delete;

    /// @return Whether records may be missing, or may be older than ones that the store had before.
    [[nodiscard]] bool isRecovering(time_point now);
    /// @return Time until this is over at the latest, if the store responds; zero if it is.
    [[nodiscard]] milliseconds timeLeft(time_point now);
    /// Calls a function once it was tried to read the mark; at once if it was read before.
    void afterMarkRead(std::function<void()> onTried);
    /// @return Whether a mark shows that what is read in this era from now on is complete.
    [[nodiscard]] bool isMarked(uint64_t era) const noexcept { return era == platform::noEra || era == m_markedEra; }

    /// @param freshAsOf  Everything that the store had acknowledged then has been read of a topic.
    /// @return Whether that is also all that it had acknowledged before it returned from a copy.
    [[nodiscard]] bool isReadComplete(time_point freshAsOf, time_point now);
    /// @param freshAsOf  Every record of the target list that the store had acknowledged then has been read.
    void onTargetsRead(time_point freshAsOf, time_point now);
    /// Reads and writes the mark when it is due.
    /// @return True if the target list should be read now, since its records are back.
    [[nodiscard]] bool tick(time_point now);

private:
    void observeEra(time_point now);
    void readMark();
    void handleMark(const platform::newest_page& page);
    void writeMark();
    void handleMarkWritten(uint64_t era, bool isAcknowledged);

    metrics& m_metrics;
    platform::store_client& m_store;
    std::function<bool()> m_isRecorded;
    policy::store_recovery m_recovery;
    /// Time after the recovery at which this process looks whether the mark is written.
    milliseconds m_markDelay;
    /// Era of the mark that was read in the same era, or written.
    uint64_t m_markedEra = platform::noEra;
    /// Time of the last successful read of the mark.
    std::optional<time_point> m_markReadAt;
    time_point m_nextCallAt {};
    std::vector<std::function<void()>> m_waiting;
    bool m_isTargetReadDue = false;
    platform::store_call m_call;
};

namespace detail {
    [[nodiscard]] std::string encodeEraMark(uint64_t era);
    /// @return The era; `platform::noEra` if the mark cannot be decoded.
    [[nodiscard]] uint64_t decodeEraMark(std::string_view text);
}
}
