/// Claims on idempotency keys.
#include "policy/claims.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::policy;

namespace {
constexpr milliseconds retention { 120000 };
const identifier key { 1, 1 };
const identifier firstNonce { 2, 1 };
const identifier secondNonce { 2, 2 };

claim_table makeCaughtUpTable()
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

Test(claims, lowest_offset_wins)
{
    claim_table table = makeCaughtUpTable();
    applyClaims(table, 0, 1000, { claimOf(firstNonce) }, retention);
    applyClaims(table, 1, 1000, { claimOf(secondNonce) }, retention);
    cr_assert(decideClaim(table, key, firstNonce, 7, 1000) == claim_verdict::Won);
    cr_assert(decideClaim(table, key, secondNonce, 7, 1000) == claim_verdict::HeldElsewhere);
}

Test(claims, release_frees_the_key_for_later_claims_only)
{
    claim_table table = makeCaughtUpTable();
    applyClaims(table, 0, 1000, { claimOf(firstNonce), claimOf(secondNonce), { claim_operation::Release, key, firstNonce, 0, "", false } }, retention);
    cr_assert(decideClaim(table, key, secondNonce, 7, 1000) == claim_verdict::Unclaimed);
    applyClaims(table, 1, 1000, { claimOf(firstNonce) }, retention);
    cr_assert(decideClaim(table, key, firstNonce, 7, 1000) == claim_verdict::Unclaimed, "a released nonce must not hold the key again");
    applyClaims(table, 2, 1000, { claimOf(secondNonce) }, retention);
    cr_assert(decideClaim(table, key, secondNonce, 7, 1000) == claim_verdict::Won);
}

Test(claims, release_appended_before_its_claim_takes_effect)
{
    claim_table table = makeCaughtUpTable();
    applyClaims(table, 0, 1000, { { claim_operation::Release, key, firstNonce, 0, "", false } }, retention);
    applyClaims(table, 1, 1000, { claimOf(firstNonce) }, retention);
    cr_assert(decideClaim(table, key, firstNonce, 7, 1000) == claim_verdict::Unclaimed);
}

Test(claims, duplicate_gets_stored_response_and_different_request_is_refused)
{
    claim_table table = makeCaughtUpTable();
    applyClaims(table, 0, 1000, { claimOf(firstNonce), { claim_operation::Complete, key, firstNonce, 0, "seat 12", true } }, retention);
    cr_assert(decideClaim(table, key, secondNonce, 7, 1000) == claim_verdict::Completed);
    cr_assert(decideClaim(table, key, secondNonce, 8, 1000) == claim_verdict::KeyReused);
    cr_assert(table.statesByKey.at(key).isResponseStored);
}

Test(claims, keys_issued_before_trimmed_records_are_not_covered)
{
    claim_table table = makeCaughtUpTable();
    recordMissingClaims(table, 10, 100000);
    // A trimmed record of another writer may have a later timestamp than the first record that remains.
    const int64_t latestMissed = 100000 + (maxClockSkew + maxAppendDelay).count();
    cr_assert(decideClaim(table, key, firstNonce, 7, 100000) == claim_verdict::NotCovered);
    cr_assert(decideClaim(table, key, firstNonce, 7, latestMissed + maxClockSkew.count()) == claim_verdict::NotCovered);
    cr_assert(decideClaim(table, key, firstNonce, 7, latestMissed + maxClockSkew.count() + 1) == claim_verdict::Unclaimed);
}

Test(claims, equal_keys_of_two_accounts_or_stages_are_distinct)
{
    const identifier reference = hashOfKey("acme", "booking", "book", "1-k");
    cr_assert(reference != hashOfKey("other", "booking", "book", "1-k"));
    cr_assert(reference != hashOfKey("acme", "booking", "invoice", "1-k"));
    cr_assert(reference == hashOfKey("acme", "booking", "book", "1-k"));
}

Test(claims, expired_states_and_excess_responses_are_removed)
{
    claim_table table = makeCaughtUpTable();
    const std::string response(maxStoredResponseBytes, 'a');
    for (uint64_t i = 0; i < 3000; ++i)
        applyClaims(table, i, 1000, { { claim_operation::Claim, { 9, i }, { 8, i }, 7, "", false }, { claim_operation::Complete, { 9, i }, { 8, i }, 0, response, true } }, retention);
    cr_assert_leq(table.storedResponseBytes, maxStoredResponsesTotalBytes);
    cr_assert_eq(table.statesByKey.size(), 3000u);
    applyClaims(table, 3000, 1001 + retention.count(), { claimOf(firstNonce) }, retention);
    cr_assert_eq(table.statesByKey.size(), 1u);
    cr_assert_eq(table.storedResponseBytes, 0u);
}

Test(claims, claim_items_survive_serialization)
{
    const std::vector<claim_item> items = readClaims(writeClaims({ { claim_operation::Complete, key, firstNonce, 0, "seat \"12\"", true } })).value();
    cr_assert(items.size() == 1 && items[0].operation == claim_operation::Complete && items[0].nonce == firstNonce && items[0].isResponseStored);
    cr_assert(items[0].response == "seat \"12\"");
    cr_assert(!readClaims("[[9,\"\",\"\",0,\"\",true]]"));
    cr_assert(!readClaims("nonsense"));
}
