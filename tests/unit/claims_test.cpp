/// Which call may run under a key.
#include "policy/claims.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::policy;

namespace {
constexpr milliseconds keep { 120000 };
const identifier key { 1, 1 };
const identifier first { 2, 1 };
const identifier second { 2, 2 };

claim_table caughtUp()
{
    claim_table table;
    table.isCaughtUp = true;
    return table;
}

claim_item claimOf(identifier nonce)
{
    return { claim_operation::Claim, key, nonce, 7, "", false };
}
}

Test(claims, the_lowest_offset_wins)
{
    claim_table table = caughtUp();
    applyClaims(table, 0, 1000, { claimOf(first) }, keep);
    applyClaims(table, 1, 1000, { claimOf(second) }, keep);
    cr_assert(decideClaim(table, key, first, 7, 1000) == claim_verdict::Won);
    cr_assert(decideClaim(table, key, second, 7, 1000) == claim_verdict::HeldElsewhere);
}

Test(claims, a_release_frees_the_key_for_later_claims_only)
{
    claim_table table = caughtUp();
    applyClaims(table, 0, 1000, { claimOf(first), claimOf(second), { claim_operation::Release, key, first, 0, "", false } }, keep);
    cr_assert(decideClaim(table, key, second, 7, 1000) == claim_verdict::Unclaimed);
    applyClaims(table, 1, 1000, { claimOf(first) }, keep);
    cr_assert(decideClaim(table, key, first, 7, 1000) == claim_verdict::Unclaimed, "a released nonce came back");
    applyClaims(table, 2, 1000, { claimOf(second) }, keep);
    cr_assert(decideClaim(table, key, second, 7, 1000) == claim_verdict::Won);
}

Test(claims, a_release_that_overtakes_its_claim_holds)
{
    claim_table table = caughtUp();
    applyClaims(table, 0, 1000, { { claim_operation::Release, key, first, 0, "", false } }, keep);
    applyClaims(table, 1, 1000, { claimOf(first) }, keep);
    cr_assert(decideClaim(table, key, first, 7, 1000) == claim_verdict::Unclaimed);
}

Test(claims, a_repeat_gets_the_answer_and_another_question_is_refused)
{
    claim_table table = caughtUp();
    applyClaims(table, 0, 1000, { claimOf(first), { claim_operation::Complete, key, first, 0, "seat 12", true } }, keep);
    cr_assert(decideClaim(table, key, second, 7, 1000) == claim_verdict::Completed);
    cr_assert(decideClaim(table, key, second, 8, 1000) == claim_verdict::KeyReused);
    cr_assert(table.statesByKey.at(key).isResponseStored);
}

Test(claims, keys_older_than_the_reading_are_not_covered)
{
    claim_table table = caughtUp();
    recordMissingClaims(table, 10, 100000);
    // A record that was missed may bear a stamp of another writer that is later than that of the first one kept.
    const int64_t latestMissed = 100000 + (maxClockSkew + maxAppendDelay).count();
    cr_assert(decideClaim(table, key, first, 7, 100000) == claim_verdict::NotCovered);
    cr_assert(decideClaim(table, key, first, 7, latestMissed + maxClockSkew.count()) == claim_verdict::NotCovered);
    cr_assert(decideClaim(table, key, first, 7, latestMissed + maxClockSkew.count() + 1) == claim_verdict::Unclaimed);
}

Test(claims, keys_of_two_accounts_never_meet)
{
    const identifier one = hashOfKey("acme", "booking", "book", "1-k");
    cr_assert(one != hashOfKey("other", "booking", "book", "1-k"));
    cr_assert(one != hashOfKey("acme", "booking", "invoice", "1-k"));
    cr_assert(one == hashOfKey("acme", "booking", "book", "1-k"));
}

Test(claims, old_entries_and_many_answers_are_dropped)
{
    claim_table table = caughtUp();
    const std::string answer(maxStoredResponseBytes, 'a');
    for (uint64_t i = 0; i < 3000; ++i)
        applyClaims(table, i, 1000, { { claim_operation::Claim, { 9, i }, { 8, i }, 7, "", false }, { claim_operation::Complete, { 9, i }, { 8, i }, 0, answer, true } }, keep);
    cr_assert_leq(table.storedResponseBytes, maxStoredResponsesTotalBytes);
    cr_assert_eq(table.statesByKey.size(), 3000u);
    applyClaims(table, 3000, 1001 + keep.count(), { claimOf(first) }, keep);
    cr_assert_eq(table.statesByKey.size(), 1u);
    cr_assert_eq(table.storedResponseBytes, 0u);
}

Test(claims, records_survive_the_round_trip)
{
    const std::vector<claim_item> items = readClaims(writeClaims({ { claim_operation::Complete, key, first, 0, "seat \"12\"", true } })).value();
    cr_assert(items.size() == 1 && items[0].operation == claim_operation::Complete && items[0].nonce == first && items[0].isResponseStored);
    cr_assert(items[0].response == "seat \"12\"");
    cr_assert(!readClaims("[[9,\"\",\"\",0,\"\",true]]"));
    cr_assert(!readClaims("nonsense"));
}
