/// Guards against a target that returns by its record in an older copy of the store after its removal was read, and against one
/// that lives and does not return.
#include "gateway/target_registry.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::gateway;

namespace {
deployment::target runOf(int64_t startedAtMs, const std::string& version = "v1")
{
    deployment::target target;
    target.id = "t-1";
    target.service = "pages";
    target.endpoint = { "10.0.0.1", 80 };
    target.startedAtMs = startedAtMs;
    target.softwareVersion = version;
    return target;
}

/// A registry that knows a target, and a store that keeps a copy with its record.
struct older_removal_fixture {
    explicit older_removal_fixture(const deployment::target& listed = runOf(7))
        : registry([](const target_state&, std::string_view) {})
        , first(listed)
    {
        read({ first });
    }

    void read(const std::vector<deployment::target>& records)
    {
        now += seconds(1);
        registry.onStoreReachable(now, now);
        for (const auto& record : records)
            registry.apply(record, now);
        registry.tick(now);
    }

    void remove()
    {
        now += seconds(1);
        registry.onStoreReachable(now, now);
        registry.remove("t-1", now);
        registry.tick(now);
    }

    /// The store returns from the copy, and the list is read anew.
    void returnFromCopy() { returnWith({ first }); }

    void returnWith(const std::vector<deployment::target>& records)
    {
        now += seconds(1);
        registry.onStoreUnreachable();
        registry.onStoreReachable(now, now);
        registry.setRecovering(true);
        registry.applyAll(records, now);
        registry.tick(now);
    }

    void recover()
    {
        now += seconds(3);
        registry.onStoreReachable(now, now);
        registry.setRecovering(false);
        registry.tick(now);
    }

    [[nodiscard]] bool isUsed() const
    {
        const auto& targets = registry.ofService("pages");
        return !targets.empty() && targets[0]->isInService();
    }

    target_registry registry;
    deployment::target first;
    time_point now { seconds(1000) };
};
}

Test(older_removal, a_record_whose_removal_was_read_does_not_count_while_the_store_recovers)
{
    older_removal_fixture fixture;
    fixture.remove();
    for (int i = 0; i < 2; ++i) {
        fixture.returnFromCopy();
        cr_assert(!fixture.isUsed());
    }
    fixture.recover();
    cr_assert(!fixture.isUsed(), "it is not renewed");
    // A list does not show when its records were written.
    fixture.registry.applyAll({ fixture.first }, fixture.now);
    cr_assert(!fixture.isUsed());
}

Test(older_removal, it_does_not_count_if_a_whole_list_without_it_was_read)
{
    older_removal_fixture fixture;
    fixture.registry.applyAll({}, fixture.now);
    fixture.returnFromCopy();
    fixture.recover();
    cr_assert(!fixture.isUsed());
}

Test(older_removal, it_does_not_count_with_another_version_or_address)
{
    older_removal_fixture fixture;
    fixture.remove();
    auto changed = runOf(7, "v2");
    changed.endpoint = { "10.0.0.2", 80 };
    fixture.returnWith({ changed });
    cr_assert(!fixture.isUsed());
}

// Guards against records that are written again on behalf of a target that has left, before its removal is.
Test(older_removal, a_renewed_record_counts_once_the_store_has_recovered)
{
    older_removal_fixture fixture;
    fixture.remove();
    fixture.returnFromCopy();
    fixture.read({ fixture.first });
    cr_assert(!fixture.isUsed());
    fixture.remove();
    fixture.recover();
    cr_assert(!fixture.isUsed(), "its removal was written again");
    fixture.returnFromCopy();
    fixture.recover();
    cr_assert(!fixture.isUsed(), "it was not renewed after the last return");
    fixture.returnFromCopy();
    fixture.read({ fixture.first });
    fixture.recover();
    cr_assert(fixture.isUsed());
    fixture.returnFromCopy();
    cr_assert(fixture.isUsed(), "it was not removed again");
}

Test(older_removal, a_record_that_is_renewed_later_counts_at_once)
{
    older_removal_fixture fixture;
    fixture.remove();
    fixture.returnFromCopy();
    fixture.recover();
    fixture.read({ fixture.first });
    cr_assert(fixture.isUsed());
}

Test(older_removal, a_removed_target_keeps_its_state)
{
    older_removal_fixture fixture;
    const target_ptr state = fixture.registry.ofService("pages")[0];
    fixture.remove();
    fixture.returnFromCopy();
    fixture.read({ fixture.first });
    fixture.recover();
    cr_assert(fixture.isUsed());
    cr_assert(fixture.registry.ofService("pages")[0] == state);
}

// A peer may relay no record that repeats what it knows, and the store drops the record of a target that is silent.
Test(older_removal, a_record_that_the_store_keeps_counts_after_the_lag_of_records)
{
    older_removal_fixture fixture;
    fixture.remove();
    fixture.returnFromCopy();
    fixture.recover();
    fixture.now += milliseconds(policy::targetRecordLag) - seconds(1);
    fixture.registry.tick(fixture.now);
    cr_assert(!fixture.isUsed());
    fixture.now += seconds(2);
    fixture.registry.tick(fixture.now);
    cr_assert(fixture.isUsed());
}

Test(older_removal, a_record_does_not_count_by_the_time_of_an_outage)
{
    older_removal_fixture fixture;
    fixture.remove();
    fixture.returnFromCopy();
    fixture.recover();
    fixture.registry.onStoreUnreachable();
    fixture.now += seconds(30);
    fixture.registry.tick(fixture.now);
    cr_assert(!fixture.isUsed());
}

Test(older_removal, a_later_start_counts_at_once)
{
    older_removal_fixture fixture;
    fixture.remove();
    fixture.returnFromCopy();
    fixture.read({ runOf(8) });
    cr_assert(fixture.isUsed());
    fixture.recover();
    cr_assert_eq(fixture.registry.ofService("pages")[0]->listed.startedAtMs, 8);
}

Test(older_removal, a_record_whose_removal_was_deferred_counts_at_once)
{
    older_removal_fixture fixture;
    fixture.registry.onStoreUnreachable();
    fixture.remove();
    cr_assert(fixture.isUsed());
    fixture.returnFromCopy();
    cr_assert(fixture.isUsed());
    fixture.recover();
    cr_assert(fixture.isUsed());
}

Test(older_removal, a_record_that_lapsed_in_an_outage_counts_at_once)
{
    older_removal_fixture fixture;
    fixture.registry.onStoreUnreachable();
    fixture.remove();
    fixture.recover();
    cr_assert(!fixture.isUsed());
    fixture.returnFromCopy();
    cr_assert(fixture.isUsed());
}

Test(older_removal, a_record_that_is_removed_while_the_store_recovers_counts_as_soon_as_it_is_back)
{
    older_removal_fixture fixture;
    fixture.registry.setRecovering(true);
    fixture.remove();
    cr_assert(!fixture.isUsed());
    fixture.read({ fixture.first });
    cr_assert(fixture.isUsed());
}

Test(older_removal, a_record_that_returned_before_the_store_went_counts)
{
    older_removal_fixture fixture;
    fixture.remove();
    fixture.read({ fixture.first });
    cr_assert(fixture.isUsed());
    fixture.returnFromCopy();
    cr_assert(fixture.isUsed());
}

// Without a start, a restarted target cannot be told from one that has left.
Test(older_removal, a_record_without_a_start_counts_at_once)
{
    older_removal_fixture fixture(runOf(0));
    fixture.remove();
    fixture.returnFromCopy();
    cr_assert(fixture.isUsed());
}

// Guards against heartbeats that a process with the target in use keeps from one that waits for them.
Test(older_removal, heartbeats_are_no_repetitions_while_the_store_recovers)
{
    older_removal_fixture fixture;
    fixture.registry.apply(fixture.first, fixture.now, "text");
    cr_assert(fixture.registry.isListed(fixture.first));
    cr_assert(fixture.registry.isKnownRecord("t-1", "text"));
    fixture.registry.setRecovering(true);
    cr_assert(!fixture.registry.isListed(fixture.first));
    cr_assert(!fixture.registry.isKnownRecord("t-1", "text"));
    fixture.registry.setRecovering(false);
    cr_assert(fixture.registry.isListed(fixture.first));
    cr_assert(fixture.registry.isKnownRecord("t-1", "text"));
}
