/// Recovery of the store: whether what it has may be older than what it had acknowledged.
///
/// Load pattern: the store returns from a copy that is some seconds old, and its era rises. Targets write their records again
/// within about two seconds. A process that ran on notices the return by the era; a process that starts cannot tell whether the
/// era that it meets began hours or a moment ago. So the processes that know an era for long enough write it to the store, and a
/// process that finds another era there, or none, waits as if the store had just returned.
#pragma once

#include "base/time.hpp"

#include <cstdint>

namespace bilberryseam::policy {

/// Targets that live and reach the store have written their records again after this time.
constexpr milliseconds recordRewriteTime { 2300 };

/// What a process knows about the present era of the store.
struct store_recovery {
    /// Zero as long as no response has stated one; such a store does not return from copies.
    uint64_t era = 0;
    /// Time of the first response that stated it: the store had returned before.
    time_point eraSeenAt {};
    /// All records that are written again are known to be back, and were read.
    bool isComplete = false;
    /// What is read from then on lacks nothing that was acknowledged before, and is no older.
    time_point completeFrom {};
};

/// Applies the era of a response; a newer one begins a new recovery.
/// @return True if it is newer.
bool observeEra(store_recovery& recovery, uint64_t era, time_point now) noexcept;

/// Applies that the store has a mark of a process that knew this era for long enough.
/// @param readAt  Time of the response with the mark.
void observeMark(store_recovery& recovery, uint64_t markedEra, time_point readAt) noexcept;

/// Applies a read of the target list.
/// @param freshAsOf  Every record that the store had acknowledged then has been read.
/// @return True if it completed the recovery.
bool observeTargetRead(store_recovery& recovery, time_point freshAsOf) noexcept;

/// @return Whether records may be missing, or may be older than ones that the store had before.
[[nodiscard]] bool isRecovering(const store_recovery& recovery) noexcept;

/// @param freshAsOf  Everything that the store had acknowledged then has been read.
/// @return Whether it is also all that the store had acknowledged before its return.
[[nodiscard]] bool isReadComplete(const store_recovery& recovery, time_point freshAsOf) noexcept;

/// @return Time until records are back at the latest; zero if they are, or only have to be read.
[[nodiscard]] milliseconds rewriteTimeLeft(const store_recovery& recovery, time_point now) noexcept;
}
