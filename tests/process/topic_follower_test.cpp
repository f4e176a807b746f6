/// Guards against a topic follower that does not detect the recovery of the store until a record changes, and against one that
/// counts as up to date although it has read only a part of the records. The first happens if reads are long polls while the
/// store is unreachable: the store then delays the first response after its recovery.
#include "fakes/platform_store.hpp"
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
