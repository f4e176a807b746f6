/// Guards against a topic follower that does not detect the recovery of the store until a record changes, and against one that
/// counts as up to date although it has read only a part of the records. The first happens if reads are long polls while the
/// store is unreachable: the store then delays the first response after its recovery.
#include "fakes/platform_store.hpp"
#include "loop/timer.hpp"
#include "platform/topic_follower.hpp"
#include "support/test_host.hpp"
#include "support/wait.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::tests;

namespace {
constexpr milliseconds testTimeout { 10000 };

/// A follower, by default with a long poll wait longer than the test timeout, and the results of its callbacks.
struct follower_fixture {
    explicit follower_fixture(const ip_endpoint& store, platform::follow_options options = { 3 * testTimeout })
        : client(store)
        , follower(client, "keyed.op", options, makeCallbacks())
    {
    }

    platform::store_client client;
    int readSuccesses = 0;
    int readFailures = 0;
    time_point freshAsOf {};
    std::map<std::string, std::string> values;
    platform::topic_follower follower;

    platform::follow_callbacks makeCallbacks()
    {
        platform::follow_callbacks callbacks;
        callbacks.onSnapshot = [this](std::map<std::string, std::string> snapshot) { values = std::move(snapshot); };
        callbacks.onRecord = [this](const platform::keyed_record& record) { values[record.key] = record.value.value_or(""); };
        callbacks.onReadSuccess = [this](time_point newFreshAsOf) {
            ++readSuccesses;
            freshAsOf = newFreshAsOf;
        };
        callbacks.onReadFailure = [this](std::string_view) { ++readFailures; };
        return callbacks;
    }
};
}

Test(topic_follower, store_recovery_is_detected_without_a_change)
{
    const ip_endpoint storeEndpoint { tests::testHost(), 25980 };
    fakes::platform_store store(storeEndpoint);
    store.put("keyed.op", "config", "one");
    follower_fixture topic(storeEndpoint);
    runUntil([&] { return topic.values["config"] == "one"; }, testTimeout, "the first value");
    runUntil([&] { return store.readCount() == 2; }, testTimeout, "a pending long poll");
    store.setFaults({ .isDown = true });
    // The new record ends the pending long poll; the next read fails.
    store.put("keyed.op", "config", "two");
    runUntil([&] { return topic.readFailures > 0; }, testTimeout, "the outage");
    const int successesBefore = topic.readSuccesses;
    store.setFaults({});
    runUntil([&] { return topic.readSuccesses > successesBefore; }, testTimeout, "a successful read after the outage");
    store.put("keyed.op", "config", "three");
    runUntil([&] { return topic.values["config"] == "three"; }, testTimeout, "a change after the outage");
}

Test(topic_follower, a_truncated_read_does_not_count_as_up_to_date)
{
    const ip_endpoint storeEndpoint { tests::testHost(), 25981 };
    fakes::platform_store store(storeEndpoint);
    store.put("keyed.op", "config", "one");
    follower_fixture topic(storeEndpoint, { milliseconds(0), milliseconds(100) });
    runUntil([&] { return topic.readSuccesses > 1; }, testTimeout, "a read of changes");
    // Both records are stored before the next read, which gets only the first one.
    store.setFaults({ .truncatedReads = 1 });
    store.put("keyed.op", "config", "two");
    store.put("keyed.op", "other", "new");
    const time_point storedAt = monotonicNow();
    runUntil([&] { return topic.freshAsOf >= storedAt; }, testTimeout, "the follower to be up to date");
    cr_assert_eq(topic.values["config"], "two");
    cr_assert_eq(topic.values["other"], "new", "the follower counts as up to date without the second record");
}

Test(topic_follower, offsets_of_an_older_copy_are_not_taken_for_known_records)
{
    const ip_endpoint storeEndpoint { tests::testHost(), 25982 };
    fakes::platform_store store(storeEndpoint);
    store.put("keyed.op", "config", "one");
    store.put("keyed.op", "other", "lost");
    follower_fixture topic(storeEndpoint, { milliseconds(0), milliseconds(50) });
    runUntil([&] { return topic.readSuccesses > 1 && topic.values["other"] == "lost"; }, testTimeout, "a read of changes");
    // The offset of the lost record now names another one, and the end of the topic is the same.
    store.restoreOlderCopy("keyed.op", 1);
    store.put("keyed.op", "config", "two");
    runUntil([&] { return topic.values["config"] == "two"; }, testTimeout, "the record at an offset that was given out again");
    cr_assert_eq(topic.values.count("other"), 0u);
    cr_assert_gt(topic.readFailures, 0, "removals must be uncertain until lost records are written again");
}

namespace {
constexpr milliseconds relayedPause { 300 };

/// A follower that asks another one in place of the store. Messages between them are delayed.
struct relay_fixture {
    explicit relay_fixture(const ip_endpoint& store)
        : reader(store, { milliseconds(0), relayedPause })
        , asker(store, { milliseconds(0), relayedPause })
    {
        asker.follower.setPeer({ [this](uint64_t number, uint64_t era, uint64_t offset) {
            ++queries;
            if (!isReaderResponsive)
                return true;
            delivery.startOnce(milliseconds(5), [this, number, era, offset] { asker.follower.handlePeer(reader.follower.extractFrom(era, offset, monotonicNow()), number); });
            return true; },
            [this](std::string_view) { ++failures; } });
    }

    follower_fixture reader;
    follower_fixture asker;
    timer delivery;
    bool isReaderResponsive = true;
    int queries = 0;
    int failures = 0;
};
}

Test(topic_follower, a_follower_with_a_peer_learns_changes_and_does_not_read_the_store)
{
    const ip_endpoint storeEndpoint { tests::testHost(), 25983 };
    fakes::platform_store store(storeEndpoint);
    store.put("keyed.op", "config", "one");
    relay_fixture relay(storeEndpoint);
    runUntil([&] { return relay.queries > 2 && relay.asker.values["config"] == "one"; }, testTimeout, "queries to the peer");
    const int askerReads = relay.asker.readSuccesses;
    const int readerReads = relay.reader.readSuccesses;
    const size_t storeReads = store.readCount();
    store.put("keyed.op", "config", "two");
    store.put("keyed.op", "other", "new");
    const time_point storedAt = monotonicNow();
    runUntil([&] { return relay.asker.freshAsOf >= storedAt; }, testTimeout, "the follower to be up to date");
    cr_assert_eq(relay.asker.values["config"], "two");
    cr_assert_eq(relay.asker.values["other"], "new");
    cr_assert_geq(relay.reader.freshAsOf, storedAt, "the follower claims to be fresher than its peer");
    runUntil([&] { return relay.asker.readSuccesses > askerReads + 10; }, testTimeout, "further reads");
    cr_assert_eq(relay.failures, 0);
    cr_assert_leq(store.readCount() - storeReads, static_cast<size_t>(relay.reader.readSuccesses - readerReads) + 1, "the follower with a peer has read the store");
}

Test(topic_follower, a_follower_whose_peer_is_silent_or_has_lost_the_store_reads_it)
{
    const ip_endpoint storeEndpoint { tests::testHost(), 25984 };
    fakes::platform_store store(storeEndpoint);
    store.put("keyed.op", "config", "one");
    relay_fixture relay(storeEndpoint);
    runUntil([&] { return relay.queries > 2; }, testTimeout, "queries to the peer");
    relay.isReaderResponsive = false;
    store.put("keyed.op", "config", "two");
    runUntil([&] { return relay.asker.values["config"] == "two"; }, testTimeout, "the change, from the store");
    cr_assert_gt(relay.failures, 0);
    relay.isReaderResponsive = true;
    // The peer does not reach the store any more, and says so.
    relay.reader.client.setEndpoint({ tests::testHost(), 25999 });
    runUntil([&] { return relay.reader.readFailures > 1; }, testTimeout, "failed reads of the peer");
    const time_point lostAt = monotonicNow();
    store.put("keyed.op", "config", "three");
    runUntil([&] { return relay.asker.values["config"] == "three" && relay.asker.freshAsOf > lostAt; }, testTimeout, "the change, from the store");
}

Test(topic_follower, a_relayed_record_of_an_older_copy_is_not_taken_for_a_known_one)
{
    const ip_endpoint storeEndpoint { tests::testHost(), 25985 };
    fakes::platform_store store(storeEndpoint);
    store.put("keyed.op", "config", "one");
    store.put("keyed.op", "other", "lost");
    relay_fixture relay(storeEndpoint);
    runUntil([&] { return relay.queries > 2 && relay.asker.values["other"] == "lost"; }, testTimeout, "queries to the peer");
    store.restoreOlderCopy("keyed.op", 1);
    store.put("keyed.op", "config", "two");
    runUntil([&] { return relay.asker.values["config"] == "two" && relay.asker.values.count("other") == 0; }, testTimeout, "the records of the older copy");
}

Test(topic_follower, a_follower_with_a_peer_seldom_reads_a_store_that_is_away_and_notices_its_return)
{
    const ip_endpoint storeEndpoint { tests::testHost(), 25986 };
    fakes::platform_store store(storeEndpoint);
    store.put("keyed.op", "config", "one");
    relay_fixture relay(storeEndpoint);
    runUntil([&] { return relay.queries > 2; }, testTimeout, "queries to the peer");
    store.setFaults({ .status = 503 });
    runUntil([&] { return relay.asker.readFailures >= 6; }, testTimeout, "failures");
    // The first failure, and one of six after it, are own reads; the others are queries to the peer.
    const int queries = relay.queries;
    runUntil([&] { return relay.asker.readFailures >= 18; }, testTimeout, "further failures");
    cr_assert_geq(relay.queries - queries, 9);
    store.setFaults({});
    store.put("keyed.op", "config", "two");
    runUntil([&] { return relay.asker.values["config"] == "two"; }, testTimeout, "the change after the outage");
    cr_assert_eq(relay.failures, 0, "a peer that responds counts as silent");
}

Test(topic_follower, a_late_response_to_an_earlier_query_does_not_make_records_look_fresher)
{
    const ip_endpoint storeEndpoint { tests::testHost(), 25987 };
    fakes::platform_store store(storeEndpoint);
    store.put("keyed.op", "config", "one");
    follower_fixture reader(storeEndpoint, { milliseconds(0), relayedPause / 6 });
    follower_fixture asker(storeEndpoint, { milliseconds(0), relayedPause });
    std::optional<platform::topic_extract> late;
    uint64_t lateNumber = 0;
    time_point freshBefore {};
    time_point freshAfter {};
    timer delivery;
    asker.follower.setPeer({ [&](uint64_t number, uint64_t era, uint64_t offset) {
        if (!late) {
            // The response to this query is on its way until the next one has been sent; meanwhile the store is read.
            const auto extract = reader.follower.extractFrom(era, offset, monotonicNow());
            if (extract.isUnavailable)
                return false;
            late = extract;
            lateNumber = number;
            return true;
        }
        freshBefore = asker.freshAsOf;
        delivery.startOnce(milliseconds(5), [&] {
            asker.follower.handlePeer(*late, lateNumber);
            freshAfter = asker.freshAsOf;
        });
        return true; },
        [](std::string_view) {} });
    runUntil([&] { return freshAfter != time_point(); }, testTimeout, "the late response");
    cr_assert(freshAfter == freshBefore, "the late response counts as one to the newer query");
}

namespace {
/// The wait with which a gateway reads a topic whose changes must be in force within 2,500 ms.
constexpr platform::follow_options longPoll { milliseconds(900) };
/// From 0.6 of that time on, a gateway refuses unknown routes and keys with 503, because they may be new.
constexpr milliseconds oldestKnowledge { 1500 };
constexpr milliseconds watchTime { 6000 };

/// @return The largest age of what a follower knows while the loop runs.
milliseconds largestAge(const follower_fixture& topic)
{
    milliseconds largest { 0 };
    timer watch;
    watch.startEvery(milliseconds(10), [&] { largest = std::max(largest, std::chrono::ceil<milliseconds>(monotonicNow() - topic.freshAsOf)); });
    runFor(watchTime);
    return largest;
}
}

// Guards against a gateway that reaches the store and yet counts its configuration as old: a read that ends with a record
// proves only what was known when it was sent, and the next one was held for the whole wait again.
Test(topic_follower, records_that_end_long_polls_late_leave_no_old_knowledge)
{
    const ip_endpoint storeEndpoint { tests::testHost(), 25988 };
    fakes::platform_store store(storeEndpoint);
    store.put("keyed.op", "config", "0");
    follower_fixture topic(storeEndpoint, longPoll);
    runUntil([&] { return topic.readSuccesses > 0; }, testTimeout, "the first read");
    int value = 0;
    timer writer;
    writer.startEvery(milliseconds(850), [&] { store.put("keyed.op", "config", std::to_string(++value)); });
    const milliseconds largest = largestAge(topic);
    cr_assert_lt(largest, oldestKnowledge, "%lld ms", static_cast<long long>(largest.count()));
}

// Guards against the same after a peer has gone: its last response is as old as one read, and the store held the next one.
Test(topic_follower, a_follower_whose_peer_has_gone_reads_the_store_before_its_knowledge_is_old)
{
    const ip_endpoint storeEndpoint { tests::testHost(), 25989 };
    fakes::platform_store store(storeEndpoint);
    store.put("keyed.op", "config", "0");
    follower_fixture reader(storeEndpoint, longPoll);
    follower_fixture asker(storeEndpoint, longPoll);
    timer delivery;
    int queries = 0;
    asker.follower.setPeer({ [&](uint64_t number, uint64_t era, uint64_t offset) {
        // The peer is there for two queries of three.
        if (++queries % 3 == 0)
            return false;
        delivery.startOnce(milliseconds(5), [&, number, era, offset] { asker.follower.handlePeer(reader.follower.extractFrom(era, offset, monotonicNow()), number); });
        return true; },
        [](std::string_view) {} });
    runUntil([&] { return queries > 2; }, testTimeout, "queries to the peer");
    const milliseconds largest = largestAge(asker);
    cr_assert_lt(largest, oldestKnowledge, "%lld ms", static_cast<long long>(largest.count()));
}
