#include "policy/account_share.hpp"

#include <algorithm>

namespace bilberryseam::policy {

namespace {
    /// Use is summed over periods of this length, which bounds the size of the record.
    constexpr milliseconds periodLength { 500 };

    /// An account loses the precedence of its rank only if it uses this many times what others use. An account that may use f
    /// times the mean of nine others takes (f - 1) / (9 + f) of their use; 0.05 is the bound, and half of it is left for
    /// fluctuations, which must not change the order of ranks either.
    constexpr double farAboveFactor = 1.25;

    /// An account with this many times the waiting jobs of the others sends more than its usual load; it is far above its share
    /// as soon as it uses more than the others. With `farAboveFactor` alone, an account at seven times its load cost one of 27
    /// others 0.052 of its requests in time (bound: 0.05).
    constexpr double waitingFactor = 3;

    struct rank_use {
        double milliseconds = 0;
        size_t accounts = 0;
    };
}

void recordUse(account_usage& usage, const account_rank& user, double milliseconds, time_point now)
{
    if (!(milliseconds > 0))
        return;
    while (!usage.periods.empty() && now - usage.periods.front().startsAt >= usageWindow)
        usage.periods.pop_front();
    if (usage.periods.empty() || now - usage.periods.back().startsAt >= periodLength)
        usage.periods.push_back({ now, {} });
    usage.periods.back().milliseconds[user] += milliseconds;
}

standing_table standingsOf(const account_usage& usage, std::span<const account_rank> waiting, time_point now)
{
    std::map<account_rank, double> uses;
    for (const auto& period : usage.periods) {
        if (now - period.startsAt >= usageWindow)
            continue;
        for (const auto& [user, milliseconds] : period.milliseconds)
            uses[user] += milliseconds;
    }
    std::map<std::string, double> waitingByAccount;
    for (const auto& user : waiting) {
        uses.try_emplace(user, 0);
        ++waitingByAccount[user.first];
    }
    std::map<std::string, double> usesByAccount;
    std::map<uint32_t, rank_use> usesByRank;
    double total = 0;
    for (const auto& [user, milliseconds] : uses) {
        usesByAccount[user.first] += milliseconds;
        usesByRank[user.second].milliseconds += milliseconds;
        ++usesByRank[user.second].accounts;
        total += milliseconds;
    }
    // What an account would use if it used at each of its ranks as much as the others there. Without others, its own use counts.
    std::map<std::string, double> usesOfOthers;
    for (const auto& [user, milliseconds] : uses) {
        const rank_use& rank = usesByRank[user.second];
        usesOfOthers[user.first] += rank.accounts > 1 ? (rank.milliseconds - milliseconds) / static_cast<double>(rank.accounts - 1) : milliseconds;
    }
    const auto hasMostWaiting = [&](const std::string& account) {
        if (usesByAccount.size() < 2)
            return false;
        const double own = waitingByAccount[account];
        const double meanOfOthers = (static_cast<double>(waiting.size()) - own) / static_cast<double>(usesByAccount.size() - 1);
        return own > waitingFactor * std::max(1.0, meanOfOthers);
    };
    const double fairShare = total / static_cast<double>(std::max<size_t>(1, usesByAccount.size()));
    standing_table standings;
    for (const auto& [user, milliseconds] : uses) {
        const double ofAccount = usesByAccount[user.first];
        share_standing& standing = standings[user];
        const double allowedFactor = hasMostWaiting(user.first) ? 1 : farAboveFactor;
        if (ofAccount > fairShare)
            standing = ofAccount > usesOfOthers[user.first] * allowedFactor ? share_standing::FarAboveShare : share_standing::AboveShare;
    }
    return standings;
}
}
