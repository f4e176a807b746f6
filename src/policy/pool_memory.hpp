/// Memory and slots of a pool's targets that other entries use.
///
/// Load pattern: the owner of a pool stops or loses power while its results fill the pool. The next owner knows nothing of
/// these results, which stay for their whole lifetime: it sends calls that find no memory or a full queue, and each of them
/// takes a target's time and a retry. All entries that start after a loss of power meet this at the same moment.
#pragma once

#include "base/time.hpp"

#include <cstdint>

namespace bilberryseam::policy {

/// Shortest pause between two queries to a target.
constexpr milliseconds minReportPause { 250 };
/// Pause between two queries while results of other entries are known to occupy the target.
constexpr milliseconds foreignUsePause { 500 };
/// Without a response in this time, the target is used without a report.
constexpr milliseconds reportTimeout { 100 };

/// What a target of a pool reports.
struct pool_report {
    /// Calls that run at the target.
    uint32_t running = 0;
    /// Calls that wait there.
    uint32_t waiting = 0;
    double freeBytes = 0;
};

/// What this entry itself has at the target.
struct own_use {
    /// Memory of the results that exist and of the calls that have started.
    double bytes = 0;
    uint32_t calls = 0;
};

/// What other entries have at a target.
struct foreign_use {
    double bytes = 0;
    /// The results have expired by then.
    time_point expiresAt {};
    /// A call of another entry occupies the target until about this time.
    time_point busyUntil {};
};

/// Properties of a pool that bound what a report says about the future.
struct pool_limits {
    /// Memory for results at one target; zero if it is not limited.
    double memoryBytes = 0;
    uint32_t slots = 1;
    milliseconds resultLifetime { 0 };
    /// Expected time of a full call.
    milliseconds callTime { 0 };
};

/// @param askedAt  Time at which the query was sent. The results may be older, but not younger.
/// @param now      Time at which the response arrived.
[[nodiscard]] foreign_use foreignUseOf(const pool_report& report, const own_use& own, const pool_limits& limits, time_point askedAt, time_point now) noexcept;

/// @return Memory that results of other entries occupy, in bytes.
[[nodiscard]] double foreignBytesAt(const foreign_use& use, time_point now) noexcept;

/// Queries of one target.
struct report_state {
    time_point askedAt {};
    bool isPending = false;
    /// A call found less room than this entry expected, or the pool was taken over.
    bool isWanted = false;
    foreign_use foreign;
};

/// @return Whether to query the target now.
[[nodiscard]] bool needsReport(const report_state& state, time_point now) noexcept;

/// @return Whether calls to the target wait for the response to a query.
[[nodiscard]] bool awaitsReport(const report_state& state, time_point now) noexcept;

/// @param lastUseAt  Time of this entry's last call to a target of the pool; `time_point()` if there was none.
/// @return Whether another entry may have owned the pool since then, so that its results may still exist.
[[nodiscard]] bool mayHaveOtherResults(time_point lastUseAt, const pool_limits& limits, time_point now) noexcept;
}
