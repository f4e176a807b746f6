/// Use of a pool's time per client account, and the standing of each account against its fair share.
///
/// Load pattern: one account sends several times its usual load to a pool that other accounts share. In order of latest
/// start alone, every account is late in the same proportion. Tasks of the account that exceeds its share go after those
/// of the others, which stay in time.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <utility>

namespace bilberryseam::policy {

/// Use counts for this long.
constexpr milliseconds usageWindow { 10000 };

/// Use of an account at a priority rank.
using account_rank = std::pair<std::string, uint32_t>;

/// Time of a pool that accounts used during the last `usageWindow`, in milliseconds of one target.
struct account_usage {
    struct period {
        time_point startsAt {};
        std::map<account_rank, double> milliseconds;
    };
    std::deque<period> periods;
};

/// Adds use that begins now.
/// @param milliseconds  Time of one target.
void recordUse(account_usage& usage, const account_rank& user, double milliseconds, time_point now);

/// Order within a rank, and for `FarAboveShare` between ranks.
enum class share_standing {
    WithinShare,
    /// The account used more than its fair share of the pool.
    AboveShare,
    /// It also used clearly more than the other accounts at the same ranks, so its use is not explained by urgent ranks; or it used
    /// more than they did and has several times their waiting jobs.
    FarAboveShare,
};

using standing_table = std::map<account_rank, share_standing>;

/// @param waiting  The account and rank of each job with tasks in the queue.
/// @return The standing of each account with work in the pool. The fair share is the time used by all, divided by the
/// number of accounts with work in the pool within the window.
[[nodiscard]] standing_table standingsOf(const account_usage& usage, std::span<const account_rank> waiting, time_point now);
}
