/// Guards against a topic follower that does not detect the recovery of the store until a record changes.
/// This happens if reads are long polls while the store is unreachable: the store then delays the first response after its recovery.
#include "fakes/platform_store.hpp"
#include "platform/topic_follower.hpp"
#include "support/wait.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::tests;

namespace {
constexpr milliseconds testTimeout { 10000 };
const ip_endpoint storeEndpoint { "127.0.0.1", 25980 };

/// A follower with a long poll wait longer than the test timeout, and the results of its callbacks.
struct follower_fixture {
    platform::store_client client { storeEndpoint };
    int readSuccesses = 0;
    int readFailures = 0;
    std::map<std::string, std::string> values;
    platform::topic_follower follower { client, "keyed.op", { 3 * testTimeout }, makeCallbacks() };

    platform::follow_callbacks makeCallbacks()
    {
        platform::follow_callbacks callbacks;
        callbacks.onSnapshot = [this](std::map<std::string, std::string> snapshot) { values = std::move(snapshot); };
        callbacks.onRecord = [this](const platform::keyed_record& record) { values[record.key] = record.value.value_or(""); };
        callbacks.onReadSuccess = [this](time_point) { ++readSuccesses; };
        callbacks.onReadFailure = [this](std::string_view) { ++readFailures; };
        return callbacks;
    }
};
}

Test(topic_follower, store_recovery_is_detected_without_a_change)
{
    fakes::platform_store store(storeEndpoint);
    store.put("keyed.op", "config", "one");
    follower_fixture topic;
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
