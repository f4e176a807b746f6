/// What the store tells about the origins of streams after all entries that knew them have ended.
#include "fakes/platform_store.hpp"
#include "gateway/stream_directory.hpp"
#include "platform/records.hpp"
#include "support/test_host.hpp"
#include "support/wait.hpp"

#include <criterion/criterion.h>
#include <csignal>
#include <memory>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using gateway::stream_directory;
using gateway::version_history;

namespace {
constexpr milliseconds testTimeout { 5000 };
const std::string service = "model";

/// The directory of one process, without other entries.
struct process {
    process(const ip_endpoint& storeAddress, version_history::version_set listedVersions)
        : store(storeAddress)
        , listed(std::move(listedVersions))
        , recovery(counters, store, "e-1", [] { return true; })
        , streams(counters, store, recovery, "e-1",
              stream_directory::callbacks { [](std::string_view, wire::message) { return false; }, [](std::string_view) {}, [] { return std::span<const std::string>(); },
                  [] { return size_t { 1 }; }, [this](std::string_view) {
                      version_history::listings listings;
                      for (const auto& version : listed)
                          listings[version] = { startsMs.contains(version) ? startsMs.at(version) : 0, true };
                      return listings; },
                  [](uint64_t) -> const policy::target_run* { return nullptr; } })
    {
        ticks.startEvery(milliseconds(25), [this] { streams.tick(monotonicNow()); });
    }

    stream_directory::found_origin find(uint64_t stream)
    {
        std::optional<stream_directory::found_origin> result;
        streams.find(stream, service, monotonicNow(), [&](const auto& found) { result = found; });
        tests::runUntil([&] { return result.has_value(); }, testTimeout, "the origin");
        return *result;
    }

    void begin(uint64_t stream, const std::string& version)
    {
        streams.record(stream, service, { .softwareVersion = version, .target = 7, .beganAt = monotonicNow() });
    }

    metrics counters;
    platform::store_client store;
    version_history::version_set listed;
    std::map<std::string, int64_t> startsMs;
    gateway::recovery_watch recovery;
    stream_directory streams;
    timer ticks;
};

struct archive_test {
    explicit archive_test(uint16_t port)
        : address { testHost(), port }
        , store(address)
    {
        std::signal(SIGPIPE, SIG_IGN);
    }

    std::unique_ptr<process> start(version_history::version_set listed) { return std::make_unique<process>(address, std::move(listed)); }
    /// Long enough for the writes that are due.
    static void settle() { tests::runFor(milliseconds(700)); }

    ip_endpoint address;
    fakes::platform_store store;
};
}

Test(stream_archive, an_origin_is_found_by_the_next_process_if_two_versions_were_listed)
{
    archive_test test(1572);
    auto first = test.start({ "v1" });
    first->begin(1, "v1");
    archive_test::settle();
    first->listed = { "v1", "v2" };
    archive_test::settle();
    first->begin(2, "v2");
    archive_test::settle();
    first.reset();
    auto second = test.start({ "v2" });
    cr_assert_eq(second->find(1).origin.value().softwareVersion, "v1");
    cr_assert_eq(second->find(2).origin.value().softwareVersion, "v2");
    const auto unknown = second->find(3);
    cr_assert(!unknown.origin && unknown.mayHaveHadOtherVersions, "two versions served a moment ago");
}

Test(stream_archive, origins_are_not_written_while_one_version_is_listed)
{
    archive_test test(1573);
    auto first = test.start({ "v1" });
    for (uint64_t stream = 0; stream < 20; ++stream)
        first->begin(stream, "v1");
    archive_test::settle();
    cr_assert_eq(test.store.counts()["appends"], 1, "only the versions are written");
    first.reset();
    auto second = test.start({ "v1" });
    const auto found = second->find(5);
    cr_assert(!found.origin && !found.mayHaveHadOtherVersions);
    archive_test::settle();
    cr_assert_eq(test.store.counts()["appends"], 1);
}

Test(stream_archive, streams_of_unknown_origin_began_at_the_only_version_that_was_listed_before_the_start)
{
    archive_test test(1574);
    auto first = test.start({ "v1" });
    first->begin(1, "v1");
    archive_test::settle();
    first.reset();
    for (const version_history::version_set& listed : { version_history::version_set { "v2" }, version_history::version_set { "v1", "v2" } }) {
        // The record of the versions before is replaced by the first of these processes.
        auto next = test.start(listed);
        const auto found = next->find(1);
        if (listed.contains("v1"))
            cr_assert(!found.origin && found.mayHaveHadOtherVersions);
        else
            cr_assert_eq(found.origin.value().softwareVersion, "v1");
        archive_test::settle();
    }
}

Test(stream_archive, a_stream_of_unknown_origin_is_in_doubt_if_the_store_cannot_be_read)
{
    archive_test test(1575);
    auto first = test.start({ "v1" });
    test.store.setFaults({ .isDown = true });
    const auto found = first->find(1);
    cr_assert(!found.origin && found.mayHaveHadOtherVersions);
    test.store.setFaults({});
    const auto later = first->find(1);
    cr_assert(!later.origin && !later.mayHaveHadOtherVersions);
}

Test(stream_archive, failed_writes_are_repeated_and_expired_records_are_passed_over)
{
    archive_test test(1576);
    auto first = test.start({ "v1", "v2" });
    first->begin(1, "v1");
    archive_test::settle();
    test.store.setFaults({ .refusedAppends = 1 });
    first->begin(2, "v2");
    tests::runFor(milliseconds(2000));
    test.store.truncateHistory("stream-origins");
    first->begin(3, "v2");
    archive_test::settle();
    first.reset();
    auto second = test.start({ "v1", "v2" });
    cr_assert(!second->find(1).origin);
    cr_assert_eq(second->find(3).origin.value().softwareVersion, "v2");
}

Test(stream_archive, a_doubtful_origin_is_doubtful_for_the_next_process)
{
    archive_test test(1577);
    auto first = test.start({ "v1", "v2" });
    first->begin(1, "v1");
    archive_test::settle();
    first->streams.onVersionChanged(7, service, monotonicNow());
    archive_test::settle();
    first.reset();
    auto second = test.start({ "v1", "v2" });
    cr_assert_eq(second->find(1).origin.value().softwareVersion, "");
}

// Guards against versions in records of the archive that are dropped for their length (review/11).
Test(stream_archive, an_origin_with_a_long_version_is_found_by_the_next_process)
{
    archive_test test(1606);
    const std::string version = platform::identityOfVersion(std::string(10000, 'v'));
    auto first = test.start({ "v1", version });
    first->begin(1, version);
    archive_test::settle();
    first.reset();
    auto second = test.start({ "v1", version });
    cr_assert_eq(second->find(1).origin.value().softwareVersion, version);
}

// Guards against a record of the versions that cannot be decoded and passes for one that was never written.
Test(stream_archive, a_record_that_cannot_be_decoded_may_have_named_several_versions)
{
    archive_test test(1607);
    test.store.put("keyed.versions", service, "{}");
    auto first = test.start({ "v1" });
    const auto found = first->find(1);
    cr_assert(!found.origin && found.mayHaveHadOtherVersions);
}

// A release with a second version makes as many records as there are batches, not one for each stream.
Test(stream_archive, origins_are_written_in_batches)
{
    archive_test test(1578);
    auto first = test.start({ "v1", "v2" });
    first->begin(0, "v1");
    archive_test::settle();
    const int before = test.store.counts()["appends"];
    for (uint64_t stream = 1; stream < 500; ++stream)
        first->begin(stream, "v1");
    archive_test::settle();
    const int after = test.store.counts()["appends"];
    cr_assert_leq(after - before, 3, "%d appends", after - before);
}

// Guards against beginning streams at a version that the store does not have, of which nothing is known after a restart.
Test(stream_archive, streams_begin_only_at_recorded_versions_while_one_is_in_service)
{
    archive_test test(1595);
    auto first = test.start({ "v1" });
    first->begin(1, "v1");
    archive_test::settle();
    test.store.setFaults({ .refusedTopics = { "keyed.versions" } });
    first->listed = { "v1", "v2" };
    cr_assert(first->streams.mayBegin(service, "v1", monotonicNow()));
    cr_assert(!first->streams.mayBegin(service, "v2", monotonicNow()));
    first->listed = { "v2" };
    cr_assert(first->streams.mayBegin(service, "v2", monotonicNow()), "no recorded version is in service");
    first->listed = { "v1", "v2" };
    test.store.setFaults({});
    archive_test::settle();
    cr_assert(first->streams.mayBegin(service, "v2", monotonicNow()));
}

Test(stream_archive, versions_are_recorded_again_after_the_store_returned_from_an_older_copy)
{
    archive_test test(1596);
    auto first = test.start({ "v1" });
    first->begin(1, "v1");
    archive_test::settle();
    first->listed = { "v1", "v2" };
    first->begin(2, "v2");
    archive_test::settle();
    test.store.restoreOlderCopy("keyed.versions", 1);
    cr_assert_eq(test.store.newest("keyed.versions", service).find("v2"), std::string::npos);
    // The answer to any call tells the era.
    first->find(99);
    archive_test::settle();
    cr_assert(first->streams.mayBegin(service, "v2", monotonicNow()));
    cr_assert_neq(test.store.newest("keyed.versions", service).find("v2"), std::string::npos);
    first.reset();
    auto second = test.start({ "v1" });
    cr_assert(!second->find(3).origin);
}

Test(stream_archive, a_process_that_cannot_read_the_versions_begins_streams_at_the_one_that_has_run_longest)
{
    archive_test test(1597);
    test.store.setFaults({ .refusedTopics = { "keyed.versions" } });
    auto first = test.start({ "v1", "v2" });
    first->startsMs = { { "v1", 2000 }, { "v2", 1000 } };
    cr_assert(first->streams.mayBegin(service, "v2", monotonicNow()));
    cr_assert(!first->streams.mayBegin(service, "v1", monotonicNow()));
}

Test(stream_archive, a_recorded_version_proves_nothing_if_another_one_has_run_longer)
{
    archive_test test(1598);
    auto first = test.start({ "v1" });
    first->begin(1, "v1");
    archive_test::settle();
    first.reset();
    auto second = test.start({ "v1", "v2" });
    second->startsMs = { { "v1", 2000 }, { "v2", 1000 } };
    const auto found = second->find(1);
    cr_assert(!found.origin && found.mayHaveHadOtherVersions);
}

// Guards against an older copy of the record that names the versions, which passes for the newest one (review/12).
Test(stream_archive, the_versions_of_an_older_copy_prove_nothing_about_streams_of_unknown_origin)
{
    archive_test test(1605);
    test.store.setEra(1);
    auto first = test.start({ "v1" });
    first->begin(1, "v1");
    archive_test::settle();
    test.store.put("keyed.recovery", "era", gateway::detail::encodeEraMark(1));
    test.store.keepCopy();
    first.reset();
    auto sound = test.start({ "v2" });
    cr_assert_eq(sound->find(9).origin.value().softwareVersion, "v1");
    archive_test::settle();
    sound.reset();
    test.store.returnFromCopy();
    auto second = test.start({ "v1" });
    const auto found = second->find(9);
    cr_assert(!found.origin && found.mayHaveHadOtherVersions);
    cr_assert_gt(second->streams.timeUntilConclusion(service, monotonicNow()).count(), 0);
    second->recovery.onTargetsRead(monotonicNow() + policy::recordRewriteTime, monotonicNow());
    const auto later = second->find(9);
    cr_assert(!later.origin && !later.mayHaveHadOtherVersions, "the records are back");
    second->listed = { "v1", "v2" };
    const auto joined = second->find(9);
    cr_assert(!joined.origin && joined.mayHaveHadOtherVersions);
    cr_assert_eq(second->streams.timeUntilConclusion(service, monotonicNow()).count(), 0);
}
