/// A topic of the store is followed through its outages.
#include "fakes/platform_store.hpp"
#include "platform/topic_follower.hpp"
#include "support/wait.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::tests;

namespace {
constexpr milliseconds patience { 10000 };
const ip_endpoint listen { "127.0.0.1", 25980 };

/// A follower whose reads the store may hold for longer than the test waits, and what it was told.
struct followed {
    platform::store_client client { listen };
    int contacts = 0;
    int failures = 0;
    std::map<std::string, std::string> values;
    platform::topic_follower follower { client, "keyed.op", { 3 * patience }, calls() };

    platform::follow_callbacks calls()
    {
        platform::follow_callbacks made;
        made.onSnapshot = [this](std::map<std::string, std::string> newest) { values = std::move(newest); };
        made.onRecord = [this](const platform::keyed_record& record) { values[record.key] = record.value.value_or(""); };
        made.onReadSuccess = [this](time_point) { ++contacts; };
        made.onReadFailure = [this](std::string_view) { ++failures; };
        return made;
    }
};
}

Test(topic_follower, the_return_of_the_store_is_seen_before_anything_changes)
{
    fakes::platform_store store(listen);
    store.put("keyed.op", "config", "one");
    followed topic;
    runUntil([&] { return topic.values["config"] == "one"; }, patience, "the first value");
    runUntil([&] { return store.readCount() == 2; }, patience, "a read that the store holds");
    store.setFaults({ .isDown = true });
    // The store answers the read that it holds, and refuses the next one.
    store.put("keyed.op", "config", "two");
    runUntil([&] { return topic.failures > 0; }, patience, "the outage");
    const int before = topic.contacts;
    store.setFaults({});
    runUntil([&] { return topic.contacts > before; }, patience, "contact after the outage");
    store.put("keyed.op", "config", "three");
    runUntil([&] { return topic.values["config"] == "three"; }, patience, "a change after the outage");
}
