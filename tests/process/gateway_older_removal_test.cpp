/// Bookings beside a store that returns from a copy with the record of a target whose removal the gateway had read.
#include "support/deployment_fixture.hpp"

#include <algorithm>
#include <criterion/criterion.h>
#include <map>
#include <set>

using namespace bilberryseam;
using namespace bilberryseam::tests;

namespace {
constexpr milliseconds heartbeatPeriod { 1000 };
constexpr milliseconds requestPeriod { 20 };
constexpr milliseconds away { 1000 };
/// The target list is read every 1.25 s at the default bounds.
constexpr milliseconds applied { 1500 };
/// The platform's pages: what the copy lacks is written again within about two seconds of the store's return.
constexpr milliseconds writtenAgainAfter { 1900 };
/// Records are back by then, and were read.
constexpr milliseconds recovered { 3000 };

/// Bookings at two targets, one of which leaves without saying so, and a store that keeps a copy with its record.
struct leaving_fleet {
    explicit leaving_fleet(int slot)
        : deployment(slot)
    {
        deployment.store().setEra(1);
        for (const char* id : { "stays", "leaves" }) {
            targets[id] = &deployment.addTarget(id, "bookings");
            deployment.changeRecord(id, { { "born", wallNow().time_since_epoch().count() - 60000 } });
        }
        deployment.configure(3, { deployment_fixture::route("/b/", "non_idempotent", "bookings", { { "max_attempts", 1 } }) });
        deployment.startGateway();
        deployment.waitUntilReady();
        heartbeat.startEvery(heartbeatPeriod, [this] { renew(); });
        // The gateway has run for longer than records take to come back.
        deployment.runLoopFor(milliseconds(4000));
        load.startEvery(requestPeriod, [this] { calls.push_back(deployment.send("POST", "/b/" + std::to_string(calls.size()), { { "X-Attempt-Id", "a-" + std::to_string(calls.size()) } }, "seat")); });
        deployment.runLoopFor(milliseconds(1000));
        cr_assert_gt(arrivalsSince("leaves", {}), 0);
        deployment.store().keepCopy();
        deployment.runLoopFor(milliseconds(1000));
    }

    void renew()
    {
        for (const auto& id : listedIds)
            deployment.changeRecord(id, nlohmann::json::object());
    }

    /// Removes the record while the store is stable, and waits until the gateway has read that.
    void remove()
    {
        unlist();
        deployment.runLoopFor(applied);
        unlistedAt = monotonicNow();
        deployment.runLoopFor(milliseconds(1000));
        checkUnused();
    }

    void unlist()
    {
        listedIds.erase("leaves");
        deployment.unlistTarget("leaves");
    }

    void leave()
    {
        deployment.store().setFaults({ .isDown = true });
        heartbeat.stop();
        deployment.runLoopFor(away);
    }

    void comeBack()
    {
        deployment.store().setFaults({});
        heartbeat.startEvery(heartbeatPeriod, [this] { renew(); });
    }

    void comeBackFromCopy()
    {
        deployment.store().returnFromCopy();
        comeBack();
    }

    /// Returns from the copy; the removal is written again in time, and the store recovers.
    void recoverFromCopy()
    {
        comeBackFromCopy();
        deployment.runLoopFor(writtenAgainAfter);
        unlist();
        deployment.runLoopFor(recovered);
    }

    [[nodiscard]] size_t arrivalsSince(const std::string& id, time_point since) const
    {
        const auto& arrivals = targets.at(id)->arrivals();
        return static_cast<size_t>(std::count_if(arrivals.begin(), arrivals.end(), [since](const auto& arrival) { return arrival.at >= since; }));
    }

    /// Checks that the target got nothing since the gateway knows of its removal.
    void checkUnused() const
    {
        const size_t count = arrivalsSince("leaves", unlistedAt);
        cr_assert_eq(count, 0, "%zu bookings reached a target whose removal was read", count);
    }

    /// Waits for the end of all requests and checks that each was served.
    void finish()
    {
        load.stop();
        for (const auto& call : calls) {
            deployment.waitUntil([&] { return call->isFinished; }, "the end of a booking");
            cr_assert_eq(call->head.status, 200);
        }
    }

    deployment_fixture deployment;
    std::map<std::string, fakes::platform_target*> targets;
    /// Targets that renew their records.
    std::set<std::string> listedIds { "stays", "leaves" };
    std::vector<caller_ptr> calls;
    time_point unlistedAt {};
    timer heartbeat;
    timer load;
};
}

// Guards against bookings at a target that has left, by its record in an older copy (review/15).
Test(gateway_older_removal, a_target_whose_removal_was_read_gets_no_booking_again)
{
    leaving_fleet test(545);
    test.remove();
    test.leave();
    test.recoverFromCopy();
    test.checkUnused();
    test.finish();
}

Test(gateway_older_removal, it_gets_none_after_two_returns_from_the_same_copy)
{
    leaving_fleet test(546);
    test.remove();
    test.leave();
    test.recoverFromCopy();
    test.leave();
    test.comeBackFromCopy();
    test.deployment.runLoopFor(milliseconds(500));
    test.leave();
    test.recoverFromCopy();
    test.checkUnused();
    test.finish();
}

// Guards against a record that counts because the time for writing it again is over.
Test(gateway_older_removal, it_gets_none_if_its_removal_is_written_again_late)
{
    leaving_fleet test(547);
    test.remove();
    test.leave();
    test.comeBackFromCopy();
    test.deployment.runLoopFor(recovered + milliseconds(2000));
    test.unlist();
    test.deployment.runLoopFor(applied);
    test.checkUnused();
    test.finish();
}

// Guards against a target that lives and stays unused (LOST, RECOVER).
Test(gateway_older_removal, a_target_that_renews_its_record_after_the_return_is_used_once_the_store_has_recovered)
{
    leaving_fleet test(548);
    test.remove();
    test.leave();
    test.listedIds.insert("leaves");
    test.comeBackFromCopy();
    test.deployment.runLoopFor(recovered);
    const time_point recoveredAt = monotonicNow();
    test.deployment.runLoopFor(milliseconds(1000));
    cr_assert_gt(test.arrivalsSince("leaves", recoveredAt), 10);
    test.finish();
}

// Guards against a target that lives and stays unused because its record lapsed in an outage.
Test(gateway_older_removal, a_target_whose_record_lapsed_in_an_outage_is_used_at_once)
{
    leaving_fleet test(549);
    test.leave();
    test.unlist();
    test.comeBack();
    test.deployment.runLoopFor(recovered);
    const time_point lapsedAt = monotonicNow();
    test.deployment.runLoopFor(milliseconds(500));
    cr_assert_eq(test.arrivalsSince("leaves", lapsedAt), 0);
    test.leave();
    const time_point returnedAt = monotonicNow();
    test.comeBackFromCopy();
    test.deployment.runLoopFor(milliseconds(1500));
    cr_assert_gt(test.arrivalsSince("leaves", returnedAt), 10);
    test.finish();
}
