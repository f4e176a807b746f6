/// When the records of a store that returned from an older copy are back, also for a process that has just started.
#include "fakes/platform_store.hpp"
#include "gateway/recovery_watch.hpp"
#include "support/test_host.hpp"
#include "support/wait.hpp"

#include <criterion/criterion.h>
#include <csignal>
#include <memory>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using gateway::recovery_watch;
using policy::recordRewriteTime;
using policy::store_recovery;

namespace {
const time_point start = time_point(seconds(1000));

store_recovery metAt(uint64_t era, time_point now)
{
    store_recovery recovery;
    policy::observeEra(recovery, era, now);
    return recovery;
}
}

Test(store_recovery, a_store_without_eras_never_recovers)
{
    cr_assert(!policy::isRecovering(store_recovery {}));
    cr_assert_eq(policy::rewriteTimeLeft(store_recovery {}, start).count(), 0);
}

Test(store_recovery, an_era_that_is_met_first_may_have_begun_a_moment_ago)
{
    store_recovery recovery = metAt(7, start);
    cr_assert(policy::isRecovering(recovery));
    cr_assert_eq(policy::rewriteTimeLeft(recovery, start + milliseconds(300)), recordRewriteTime - milliseconds(300));
    cr_assert(!policy::observeTargetRead(recovery, start + recordRewriteTime - milliseconds(1)), "records may be written after this read");
    cr_assert(policy::isRecovering(recovery));
    cr_assert(policy::observeTargetRead(recovery, start + recordRewriteTime));
    cr_assert(!policy::isRecovering(recovery));
}

Test(store_recovery, a_mark_of_the_same_era_completes_a_recovery_and_one_of_another_era_does_not)
{
    store_recovery recovery = metAt(7, start);
    policy::observeMark(recovery, 6, start);
    cr_assert(policy::isRecovering(recovery));
    policy::observeMark(recovery, 7, start);
    cr_assert(!policy::isRecovering(recovery));
}

Test(store_recovery, each_further_return_begins_anew)
{
    store_recovery recovery = metAt(7, start);
    policy::observeMark(recovery, 7, start);
    cr_assert(!policy::observeEra(recovery, 7, start + seconds(5)));
    cr_assert(!policy::observeEra(recovery, 6, start + seconds(5)), "a late response");
    cr_assert(!policy::isRecovering(recovery));
    cr_assert(policy::observeEra(recovery, 8, start + seconds(5)));
    cr_assert(policy::observeEra(recovery, 9, start + seconds(6)));
    cr_assert(policy::isRecovering(recovery));
    cr_assert(!policy::observeTargetRead(recovery, start + seconds(5) + recordRewriteTime));
}

Test(store_recovery, reads_prove_nothing_about_the_time_before_a_return_until_records_are_back)
{
    cr_assert(policy::isReadComplete(store_recovery {}, start), "a store without eras");
    store_recovery recovery = metAt(7, start);
    cr_assert(!policy::isReadComplete(recovery, start + recordRewriteTime - milliseconds(1)));
    cr_assert(policy::isReadComplete(recovery, start + recordRewriteTime));
    policy::observeMark(recovery, 7, start + milliseconds(200));
    cr_assert(!policy::isReadComplete(recovery, start + milliseconds(199)), "the mark may have been written after the read");
    cr_assert(policy::isReadComplete(recovery, start + milliseconds(200)));
    policy::observeEra(recovery, 8, start + seconds(5));
    cr_assert(!policy::isReadComplete(recovery, start + seconds(5)));
}

namespace {
/// Processes that watch one store.
struct watch_test {
    explicit watch_test(uint16_t port)
        : address { testHost(), port }
        , store(address)
        , client(address)
    {
        std::signal(SIGPIPE, SIG_IGN);
        store.setEra(3);
    }

    std::unique_ptr<recovery_watch> startWatch()
    {
        auto watch = std::make_unique<recovery_watch>(counters, client, "e-1", [this] { return isRecorded; });
        bool isTried = false;
        watch->afterMarkRead([&] { isTried = true; });
        tests::runUntil([&] { return isTried; }, milliseconds(5000), "the read of the mark");
        return watch;
    }

    /// Lets a process read the target list as long as its records may come back, and the mark be written.
    static void recover(recovery_watch& watch)
    {
        timer ticks;
        ticks.startEvery(milliseconds(25), [&] {
            watch.onTargetsRead(monotonicNow(), monotonicNow());
            static_cast<void>(watch.tick(monotonicNow()));
        });
        tests::runFor(recordRewriteTime + milliseconds(1300));
    }

    [[nodiscard]] std::string mark() const { return store.newest("keyed.recovery", "era"); }

    metrics counters;
    ip_endpoint address;
    fakes::platform_store store;
    platform::store_client client;
    bool isRecorded = true;
};
}

// Guards against a process that starts beside an older copy and takes it for all there is (review/12).
Test(store_recovery, a_process_that_starts_trusts_the_store_only_if_a_mark_names_its_era)
{
    watch_test test(1602);
    const auto first = test.startWatch();
    cr_assert(first->isRecovering(monotonicNow()));
    cr_assert_gt(first->timeLeft(monotonicNow()), recordRewriteTime - milliseconds(500));
    test.store.keepCopy();
    watch_test::recover(*first);
    cr_assert(!first->isRecovering(monotonicNow()));
    cr_assert_eq(test.mark(), gateway::detail::encodeEraMark(3));
    const auto sound = test.startWatch();
    cr_assert(!sound->isRecovering(monotonicNow()) && sound->isMarked(3), "nothing was lost");
    test.store.returnFromCopy();
    const auto second = test.startWatch();
    cr_assert(second->isRecovering(monotonicNow()) && !second->isMarked(4));
    test.store.put("keyed.recovery", "era", "[]");
    cr_assert(test.startWatch()->isRecovering(monotonicNow()));
}

Test(store_recovery, the_mark_is_written_only_after_the_records_of_the_process)
{
    watch_test test(1603);
    test.isRecorded = false;
    const auto watch = test.startWatch();
    watch_test::recover(*watch);
    cr_assert(!watch->isRecovering(monotonicNow()));
    cr_assert_eq(test.mark(), "");
}

Test(store_recovery, a_store_without_eras_gets_no_mark)
{
    watch_test test(1604);
    test.store.setEra(0);
    const auto watch = test.startWatch();
    cr_assert(!watch->isRecovering(monotonicNow()) && watch->isMarked(platform::noEra));
    watch_test::recover(*watch);
    cr_assert_eq(test.mark(), "");
}
