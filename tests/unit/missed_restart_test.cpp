/// Guards against streams of two software versions through a target that may have restarted without this process noticing:
/// its record then names an earlier run.
#include "gateway/target_registry.hpp"

#include <criterion/criterion.h>
#include <limits>

using namespace bilberryseam;
using namespace bilberryseam::gateway;

namespace {
int64_t unixMilliseconds(milliseconds ago)
{
    return (wallNow().time_since_epoch() - ago).count();
}

deployment::target runOf(const std::string& version, int64_t startedAtMs)
{
    deployment::target target;
    target.id = "t-1";
    target.service = "model";
    target.endpoint = { "10.0.0.1", 80 };
    target.startedAtMs = startedAtMs;
    target.softwareVersion = version;
    return target;
}

struct registry_fixture {
    registry_fixture()
        : registry([](const target_state&, std::string_view) {})
        , now(monotonicNow())
    {
    }

    /// Applies the records of one successful read.
    const target_state& read(const deployment::target& listed)
    {
        registry.onStoreReachable(now);
        registry.apply(listed, now);
        return *registry.ofService("model").at(0);
    }

    target_registry registry;
    time_point now;
};
}

Test(missed_restart, a_run_that_began_shortly_before_the_first_read_is_doubtful_for_the_lag_of_records)
{
    registry_fixture fixture;
    const auto& state = fixture.read(runOf("v1", unixMilliseconds(seconds(3))));
    cr_assert(state.mayHaveMissedRestart(fixture.now));
    cr_assert(state.isInService(), "the target must not lose its other requests");
    cr_assert(!state.mayHaveMissedRestart(fixture.now + policy::targetRecordLag));
}

Test(missed_restart, a_run_that_began_long_before_the_first_read_is_not_doubtful)
{
    registry_fixture fixture;
    cr_assert(!fixture.read(runOf("v1", unixMilliseconds(seconds(60)))).mayHaveMissedRestart(fixture.now));
}

Test(missed_restart, a_run_is_doubtful_after_a_freeze_and_not_after_a_usual_read)
{
    registry_fixture fixture;
    fixture.read(runOf("v1", unixMilliseconds(seconds(60))));
    cr_assert(!fixture.read(runOf("v2", unixMilliseconds(seconds(3)))).mayHaveMissedRestart(fixture.now));
    fixture.registry.onFrozen(fixture.now);
    cr_assert(fixture.read(runOf("v1", unixMilliseconds(seconds(2)))).mayHaveMissedRestart(fixture.now));
    const auto& blind = fixture.read(runOf("v2", unixMilliseconds(seconds(1))));
    cr_assert(blind.mayHaveMissedRestart(fixture.now), "this run began during the freeze as well");
    fixture.now += seconds(2);
    cr_assert(!fixture.read(runOf("v3", unixMilliseconds(milliseconds(500)))).mayHaveMissedRestart(fixture.now), "this run began after the freeze");
}

Test(missed_restart, a_listed_target_is_doubtful_after_a_freeze_until_a_later_read_renews_its_record)
{
    registry_fixture fixture;
    const auto listed = runOf("v1", unixMilliseconds(seconds(60)));
    fixture.read(listed);
    fixture.registry.onFrozen(fixture.now);
    const auto& state = fixture.read(listed);
    cr_assert(state.mayHaveMissedRestart(fixture.now), "the record may have been written during the freeze");
    cr_assert(!state.mayHaveMissedRestart(fixture.now + policy::targetRecordLag));
    fixture.read(listed);
    cr_assert(!state.mayHaveMissedRestart(fixture.now));
}

Test(missed_restart, a_connection_that_broke_after_the_start_in_a_new_record_counts_against_the_new_run)
{
    registry_fixture fixture;
    fixture.read(runOf("v1", unixMilliseconds(seconds(60))));
    const auto former = fixture.registry.ofService("model").at(0);
    former->lastBrokenAt = fixture.now - milliseconds(500);
    const auto& state = fixture.read(runOf("v2", unixMilliseconds(milliseconds(1500))));
    cr_assert(state.mayHaveRestarted(fixture.now));
    const auto& next = fixture.read(runOf("v3", unixMilliseconds(milliseconds(100))));
    cr_assert(!next.mayHaveRestarted(fixture.now), "the connection broke before this run");
}

Test(missed_restart, malformed_starts_make_no_run_doubtful_for_longer)
{
    for (const int64_t startedAtMs : { std::numeric_limits<int64_t>::min(), int64_t { -1 }, int64_t { 0 }, std::numeric_limits<int64_t>::max() }) {
        registry_fixture fixture;
        const auto& state = fixture.read(runOf("v1", startedAtMs));
        cr_assert(!state.mayHaveMissedRestart(fixture.now + policy::targetRecordLag));
        cr_assert_eq(state.mayHaveMissedRestart(fixture.now), startedAtMs > 0);
    }
}
