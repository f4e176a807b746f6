/// Limits that targets state: the requests a second that a target takes from all processes together.
///
/// Load pattern: several entries, each with more work for a target than it takes, are told its limit at the same moment.
/// Each may use a fixed share of it, without asking the others. Buckets start empty and hold one request, so that the sum
/// over all entries stays near the limit in any window, also while some of them start or lose contact.
#pragma once

#include "base/time.hpp"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace bilberryseam::policy {

/// Entries that may send to one limited target; further ones could each send one request at once.
constexpr size_t limitSharers = 4;

/// Share of a limit for the entry that owns a pool; the other sharers divide the rest.
constexpr double poolOwnerShare = 0.75;

/// Smallest and largest limits in requests a second. A target that gets no request at all cannot lift its limit.
constexpr double minLimit = 0.1;
constexpr double maxLimit = 1e6;

/// After a limit is lifted, the rate doubles each second for this long before it is unlimited.
constexpr seconds limitRampTime { 4 };
/// Rate at which the ramp starts, unless the limit was higher.
constexpr double minRampRate = 1;

/// What one process knows and uses of a target's limit.
struct rate_limit {
    /// Requests a second that the target takes from all processes; not set if it states no limit.
    std::optional<double> perSecond;
    /// Fraction of the limit that this process may use.
    double share = 0;
    /// Requests that may be sent now; at most one.
    double tokens = 0;
    time_point refilledAt {};
    /// Arrival of the newest response that stated the limit.
    time_point statedAt {};
    /// Set while the rate rises after the limit was lifted.
    std::optional<time_point> liftedAt;
};

/// Applies what a response states.
/// @param stated  The limit, or nothing if the response states none.
/// @param sentAt  When the request of the response was sent. Responses overtake each other: one without a limit counts only
///                if its request was sent after the limit was known.
/// @return True if the limit changed.
bool applyStatedLimit(rate_limit& limit, std::optional<double> stated, time_point sentAt, time_point now) noexcept;

/// Changes the share of this process.
void setShare(rate_limit& limit, double share, time_point now) noexcept;

/// @return Whether a request may be sent now.
[[nodiscard]] bool canSend(const rate_limit& limit, time_point now) noexcept;

/// Records a request that is being sent.
void recordSend(rate_limit& limit, time_point now) noexcept;

/// @return Requests a second that this process may send; nothing if it is not limited.
[[nodiscard]] std::optional<double> ownRate(const rate_limit& limit, time_point now) noexcept;

/// Ends the ramp after a lifted limit.
void removeLifted(rate_limit& limit, time_point now) noexcept;

/// @param rank        Rank of the process among those that may send to the target.
/// @param processes   Number of processes.
/// @param isStable    Whether the processes have been the same for so long that all of them know it.
/// @param isPool      Whether the process of rank 0 sends nearly all requests.
/// @return The share of a limit.
[[nodiscard]] double shareOf(size_t rank, size_t processes, bool isStable, bool isPool) noexcept;

/// @param waiting  Requests that already wait for the targets.
/// @param rate     Requests a second that the targets take from this process.
/// @return Expected wait of the next request.
[[nodiscard]] milliseconds expectedWait(size_t waiting, double rate) noexcept;
}
