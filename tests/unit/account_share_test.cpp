/// Use of a pool per account and rank.
#include "policy/account_share.hpp"

#include <criterion/criterion.h>
#include <vector>

using namespace bilberryseam;
using namespace bilberryseam::policy;

namespace {
const time_point start { seconds(1000) };
}

Test(account_share, accounts_of_equal_use_are_within_their_share)
{
    account_usage usage;
    for (const char* name : { "a", "b", "c" })
        recordUse(usage, { name, 1 }, 300, start);
    for (const auto& [user, standing] : standingsOf(usage, {}, start))
        cr_assert(standing == share_standing::WithinShare, "%s", user.first.c_str());
}

Test(account_share, an_account_far_above_its_peers_is_recognized_at_each_of_its_ranks)
{
    account_usage usage;
    for (uint32_t rank = 0; rank < 3; ++rank) {
        for (const char* name : { "a", "b", "c", "d" })
            recordUse(usage, { name, rank }, 100, start);
        recordUse(usage, { "much", rank }, 700, start);
    }
    for (const auto& [user, standing] : standingsOf(usage, {}, start))
        cr_assert(standing == (user.first == "much" ? share_standing::FarAboveShare : share_standing::WithinShare), "%s", user.first.c_str());
}

/// Guards against an order in which the fair share cancels the order of ranks: more urgent accounts are served more often.
Test(account_share, an_urgent_rank_that_is_served_more_often_keeps_its_precedence)
{
    account_usage usage;
    for (const char* name : { "u1", "u2" })
        recordUse(usage, { name, 0 }, 800, start);
    for (const char* name : { "l1", "l2" })
        recordUse(usage, { name, 2 }, 100, start);
    const auto standings = standingsOf(usage, {}, start);
    cr_assert(standings.at({ "u1", 0 }) == share_standing::AboveShare);
    cr_assert(standings.at({ "l1", 2 }) == share_standing::WithinShare);
}

Test(account_share, a_waiting_account_without_use_counts_for_the_fair_share)
{
    account_usage usage;
    recordUse(usage, { "a", 1 }, 100, start);
    cr_assert(standingsOf(usage, {}, start).at({ "a", 1 }) == share_standing::WithinShare, "a single account cannot exceed its share");
    const std::vector<account_rank> waiting { { "b", 1 }, { "b", 1 } };
    const auto standings = standingsOf(usage, waiting, start);
    cr_assert(standings.at({ "a", 1 }) == share_standing::FarAboveShare);
    cr_assert(standings.at({ "b", 1 }) == share_standing::WithinShare);
}

Test(account_share, use_expires_after_the_window_and_invalid_use_is_ignored)
{
    account_usage usage;
    recordUse(usage, { "a", 1 }, 1000, start);
    recordUse(usage, { "b", 1 }, -5, start);
    recordUse(usage, { "b", 1 }, 10, start + seconds(9));
    cr_assert(standingsOf(usage, {}, start + milliseconds(9999)).at({ "a", 1 }) == share_standing::FarAboveShare);
    cr_assert(!standingsOf(usage, {}, start + usageWindow).contains({ "a", 1 }));
    for (int i = 0; i < 1000; ++i)
        recordUse(usage, { "a", 1 }, 1, start + seconds(20) + milliseconds(20 * i));
    cr_assert_leq(usage.periods.size(), 21u);
}

/// Guards against an account that uses up to `farAboveFactor` times the share of others by sending several times their load.
Test(account_share, an_account_with_most_waiting_jobs_is_far_above_once_it_uses_more_than_others)
{
    account_usage usage;
    for (const char* name : { "a", "b", "c" })
        recordUse(usage, { name, 1 }, 100, start);
    recordUse(usage, { "much", 1 }, 110, start);
    std::vector<account_rank> waiting { { "a", 1 }, { "b", 1 }, { "c", 1 }, { "much", 1 } };
    cr_assert(standingsOf(usage, waiting, start).at({ "much", 1 }) == share_standing::AboveShare);
    waiting.insert(waiting.end(), 3, { "much", 1 });
    cr_assert(standingsOf(usage, waiting, start).at({ "much", 1 }) == share_standing::FarAboveShare);
    waiting.insert(waiting.end(), 9, { "a", 1 });
    cr_assert(standingsOf(usage, waiting, start).at({ "a", 1 }) == share_standing::WithinShare);
}
