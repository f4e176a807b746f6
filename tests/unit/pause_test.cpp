/// Pauses that targets ask for.
#include "policy/pause.hpp"

#include <algorithm>
#include <criterion/criterion.h>
#include <vector>

using namespace bilberryseam;
using namespace bilberryseam::policy;

namespace {
const time_point start { seconds(1000) };
}

Test(target_pause, the_end_of_a_pause_is_the_later_one)
{
    target_pause pause;
    cr_assert(!isPaused(pause, start));
    cr_assert(applyPause(pause, seconds(3), start) == pause_change::Begun);
    cr_assert(applyPause(pause, seconds(1), start + seconds(1)) == pause_change::None);
    cr_assert(isPaused(pause, start + milliseconds(2999)));
    cr_assert(applyPause(pause, seconds(3), start + seconds(1)) == pause_change::Lengthened);
    cr_assert(pause.since == start);
    cr_assert(isPaused(pause, start + milliseconds(3999)));
    cr_assert(!isPaused(pause, start + seconds(4)));
    cr_assert(applyPause(pause, seconds(0), start + seconds(5)) == pause_change::None);
}

Test(target_pause, requests_return_one_at_a_time_and_then_twice_as_many_after_each_response)
{
    target_pause pause;
    applyPause(pause, seconds(3), start);
    const time_point end = start + seconds(3);
    cr_assert(!mayReturn(pause, end - milliseconds(1)));
    for (uint32_t bound = 1; bound < unboundedReturn; bound *= 2) {
        cr_assert(mayReturn(pause, end));
        for (uint32_t i = 0; i < bound; ++i)
            cr_assert(beginTrial(pause));
        cr_assert(!mayReturn(pause, end), "%u", bound);
        for (uint32_t i = 1; i < bound; ++i)
            endTrial(pause, start, trial_outcome::Unknown, end);
        endTrial(pause, start, trial_outcome::Served, end);
    }
    cr_assert(!beginTrial(pause));
    cr_assert(mayReturn(pause, end));
}

Test(target_pause, a_target_that_refuses_again_gets_one_request_after_its_next_pause)
{
    target_pause pause;
    applyPause(pause, seconds(3), start);
    const time_point end = start + seconds(3);
    cr_assert(beginTrial(pause));
    endTrial(pause, start, trial_outcome::Served, end);
    cr_assert(beginTrial(pause));
    cr_assert(beginTrial(pause));
    endTrial(pause, start, trial_outcome::Refused, end);
    applyPause(pause, seconds(3), end);
    // The response to a request that was sent before the newer pause does not count.
    endTrial(pause, start, trial_outcome::Served, end + seconds(1));
    cr_assert(!mayReturn(pause, end + milliseconds(2999)));
    cr_assert(mayReturn(pause, end + seconds(3)));
    cr_assert(beginTrial(pause));
    cr_assert(!mayReturn(pause, end + seconds(3)));
}

Test(target_pause, a_target_that_does_not_respond_gets_more_requests_after_some_time)
{
    target_pause pause;
    applyPause(pause, seconds(3), start);
    const time_point end = start + seconds(3);
    cr_assert(beginTrial(pause));
    cr_assert(!mayReturn(pause, end + milliseconds(999)));
    cr_assert(mayReturn(pause, end + seconds(1)));
    cr_assert(mayReturn(pause, end + std::chrono::hours(24)));
}

Test(target_pause, entries_return_one_after_the_other)
{
    for (const unsigned entries : { 4u, 30u, 300u }) {
        std::vector<target_pause> pauses(entries);
        for (unsigned i = 0; i < entries; ++i)
            applyPause(pauses[i], seconds(3) + returnDelay(entries, static_cast<double>(i) / entries), start);
        // Entries whose pause ends within the same tenth of a second send their first request together.
        for (auto from = start; from < start + seconds(10); from += milliseconds(100)) {
            const auto returned = [&](time_point at) { return std::count_if(pauses.begin(), pauses.end(), [at](const auto& pause) { return mayReturn(pause, at); }); };
            cr_assert_leq(returned(from + milliseconds(100)) - returned(from), 6, "%u entries", entries);
        }
    }
}
