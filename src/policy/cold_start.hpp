/// Cold targets: requests a second that a target takes from all processes together for some seconds after its start.
///
/// Load pattern: a failure domain returns, and all entries turn to its idle targets at the same moment, before these have
/// loaded what they need. As with the limits that targets state, the first entries in the ranking for a target use fixed
/// shares of its cold rate, and the others send it nothing.
///
/// Entries that are cut off from each other must not have shares in the same part of the rate. A share is therefore a
/// lease: it is valid for `coldLease` after the entry last read the directory. An entry that has just been listed waits for
/// as long, so that every other one knows of it by then or has no share any more.
#pragma once

#include "base/time.hpp"
#include "policy/rate_limit.hpp"

#include <cstddef>
#include <optional>

namespace bilberryseam::policy {

/// Validity of a share after a read of the directory. The directory is read every 4 s, and one read may take some time.
constexpr milliseconds coldLease { 7000 };

/// Longest time for which a target counts as cold by one statement. A mistaken value must not slow a target down for good.
constexpr milliseconds maxColdTime { 60000 };

/// Most requests that all processes together may send to a cold target in one second: `perSecond * overage + slack`.
struct cold_bounds {
    double overage = 1.5;
    double slack = 5;
};

/// What one process knows of a target's cold time, and uses of its cold rate.
struct cold_start {
    /// End of the cold time.
    time_point until {};
    /// Arrival of the newest response that stated the cold time; not set if only records did.
    std::optional<time_point> respondedAt;
    /// Limits requests while the target is cold, and while the rate rises afterwards.
    rate_limit limit;
    /// End of the lease of this process's share.
    time_point shareUntil {};
};

/// The position of this process among those that may send to a target.
struct cold_membership {
    size_t rank = 0;
    size_t processes = 1;
    /// Whether the processes have been the same for so long that all of them know it.
    bool isStable = false;
    /// Whether the process of rank 0 sends nearly all requests.
    bool isPool = false;
    /// Time at which the store acknowledged the listing of this process; not set if it is not listed.
    std::optional<time_point> listedAt;
    /// Time as of which the directory is known.
    time_point directoryReadAt {};
};

/// What a process may use of a target's cold rate.
struct cold_share {
    /// Requests a second of all processes together.
    double perSecond = 0;
    /// Fraction for this process.
    double share = 0;
    /// End of the lease.
    time_point validUntil {};
};

enum class cold_change {
    None,
    TurnedCold,
    TurnedWarm,
};

/// @param perSecond  Cold rate of the target's service; zero if it has no limit.
[[nodiscard]] cold_share coldShareOf(double perSecond, const cold_bounds& bounds, const cold_membership& membership, time_point now) noexcept;

/// Applies what a new record of the target states. The time at which it was written is not known, so it never shortens a cold
/// time that the target itself stated.
/// @param left         Cold time as of the writing of the record.
/// @param isSuccessor  Whether the record was written after the last one that was applied.
void applyColdRecord(cold_start& cold, milliseconds left, bool isSuccessor, time_point now) noexcept;

/// Applies what a response of the target states.
/// @param sentAt  When the request of the response was sent. A response shortens the cold time only if its request was sent
///                after that time was known, since responses overtake each other.
void applyColdResponse(cold_start& cold, milliseconds left, time_point sentAt, time_point now) noexcept;

/// Limits requests to a target that turned cold, raises the rate of one that turned warm, and renews the share.
cold_change updateCold(cold_start& cold, const cold_share& share, time_point now) noexcept;

/// @return Whether requests to the target are limited because it is cold; false while the rate rises afterwards.
[[nodiscard]] bool isCold(const cold_start& cold) noexcept;

/// @return Whether the target is cold or was so a moment ago.
[[nodiscard]] bool isActive(const cold_start& cold, time_point now) noexcept;

/// @return Whether a request may be sent now.
[[nodiscard]] bool canSend(const cold_start& cold, time_point now) noexcept;

/// Records a request that is being sent.
void recordSend(cold_start& cold, time_point now) noexcept;

/// @return Requests a second that this process may send; nothing if it is not limited.
[[nodiscard]] std::optional<double> ownRate(const cold_start& cold, time_point now) noexcept;
}
