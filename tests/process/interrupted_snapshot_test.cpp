/// Guards against gateways that never have the target list after all of them were killed. At 0.07 cores, a main loop that
/// decodes records runs late, which counts as a freeze and has the list read again; a list of several pages was then read from
/// its first page each time.
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
constexpr size_t targets = 3000;
/// Pages of at most 500 items.
constexpr size_t pages = 6;
constexpr milliseconds pageDelay { 20 };
/// One page can be read between two interruptions, two cannot.
constexpr milliseconds interruptionPeriod { 35 };
/// A gateway must serve within this time after all of them were killed.
constexpr milliseconds serveBound { 2000 };

std::string keyOf(size_t index) { return "target-" + std::to_string(index); }

struct list_fixture {
    explicit list_fixture(const ip_endpoint& endpoint)
        : store(endpoint)
        , client(endpoint)
    {
        for (size_t i = 0; i < targets; ++i)
            store.put("keyed.servers", keyOf(i), "1");
        store.setFaults({ .delay = pageDelay });
        platform::follow_callbacks callbacks;
        callbacks.onSnapshot = [this](std::map<std::string, std::string> newest) { values = std::move(newest); };
        callbacks.onRecord = [this](const platform::keyed_record& record) {
            if (record.value)
                values[record.key] = *record.value;
            else
                values.erase(record.key);
        };
        callbacks.onReadSuccess = [this](time_point newFreshAsOf) { freshAsOf = newFreshAsOf; };
        callbacks.onReadFailure = [](std::string_view) {};
        follower.emplace(client, "keyed.servers", platform::follow_options { milliseconds(0), milliseconds(1000) }, std::move(callbacks));
    }

    fakes::platform_store store;
    platform::store_client client;
    std::map<std::string, std::string> values;
    time_point freshAsOf {};
    std::optional<platform::topic_follower> follower;
};
}

Test(topic_follower, an_interrupted_snapshot_is_continued)
{
    list_fixture list({ testHost(), 25990 });
    size_t interruptions = 0;
    timer interruption;
    const time_point startedAt = monotonicNow();
    interruption.startEvery(interruptionPeriod, [&] {
        ++interruptions;
        list.follower->restartRead();
    });
    runUntil([&] { return !list.values.empty(); }, testTimeout, "the target list");
    interruption.stop();
    cr_assert_lt(monotonicNow() - startedAt, serveBound);
    cr_assert_eq(list.values.size(), targets);
    cr_assert_gt(interruptions, 0u);
    // Each interruption repeats one call at most.
    cr_assert_leq(list.store.readCount(), pages + interruptions);
}

Test(topic_follower, changes_during_an_interrupted_snapshot_are_not_missed)
{
    list_fixture list({ testHost(), 25991 });
    runUntil([&] { return list.store.readCount() == 4; }, testTimeout, "the fourth page");
    list.follower->restartRead();
    // Both are in pages that were read already.
    const std::string& removed = keyOf(0);
    list.store.put("keyed.servers", removed, "");
    list.store.put("keyed.servers", keyOf(1), "2");
    const time_point changedAt = monotonicNow();
    runUntil([&] { return !list.values.empty(); }, testTimeout, "the target list");
    runUntil([&] { return list.freshAsOf >= changedAt; }, testTimeout, "a list that is up to date");
    cr_assert(!list.values.contains(removed), "the removal of a target was missed");
    cr_assert_eq(list.values.at(keyOf(1)), "2");
}

Test(topic_follower, a_failed_page_is_read_again_without_those_before_it)
{
    list_fixture list({ testHost(), 25992 });
    runUntil([&] { return list.store.readCount() == 4; }, testTimeout, "the fourth page");
    list.store.setFaults({ .status = 503, .delay = pageDelay });
    runFor(milliseconds(100));
    const size_t readsBefore = list.store.readCount();
    list.store.setFaults({ .delay = pageDelay });
    runUntil([&] { return !list.values.empty(); }, testTimeout, "the target list");
    cr_assert_eq(list.values.size(), targets);
    cr_assert_leq(list.store.readCount() - readsBefore, pages - 3, "pages were read again");
}
