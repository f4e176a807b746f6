/// A topic of the store is followed through its outages.
#include "fakes/platform_store.hpp"
#include "platform/topic_follower.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;

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
        made.onContact = [this](time_point) { ++contacts; };
        made.onFailure = [this](std::string_view) { ++failures; };
        return made;
    }
};

void waitUntil(const std::function<bool()>& condition, const char* what)
{
    const time_point end = monotonicNow() + patience;
    timer wake;
    wake.startEvery(milliseconds(5), [] {});
    while (!condition()) {
        cr_assert(monotonicNow() < end, "waited in vain for %s", what);
        g_main_context_iteration(nullptr, TRUE);
    }
}
}

Test(topic_follower, the_return_of_the_store_is_seen_before_anything_changes)
{
    fakes::platform_store store(listen);
    store.put("keyed.op", "config", "one");
    followed topic;
    waitUntil([&] { return topic.values["config"] == "one"; }, "the first value");
    waitUntil([&] { return store.readCount() == 2; }, "a read that the store holds");
    store.setFaults({ .isDown = true });
    // The store answers the read that it holds, and refuses the next one.
    store.put("keyed.op", "config", "two");
    waitUntil([&] { return topic.failures > 0; }, "the outage");
    const int before = topic.contacts;
    store.setFaults({});
    waitUntil([&] { return topic.contacts > before; }, "contact after the outage");
    store.put("keyed.op", "config", "three");
    waitUntil([&] { return topic.values["config"] == "three"; }, "a change after the outage");
}
