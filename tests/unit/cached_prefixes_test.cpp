/// What a gateway remembers of the prompt prefixes that callers name, for each target.
#include "gateway/target_registry.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::gateway;

// Guards against a table that keeps each prefix that any caller has named.
Test(cached_prefixes, expired_ones_make_room)
{
    target_state target;
    time_point now(seconds(1000));
    uint64_t next = 0;
    for (int second = 0; second < 600; ++second, now += seconds(1)) {
        for (int i = 0; i < 1000; ++i)
            rememberPrefix(target, next++, now);
        cr_assert_leq(target.cachedPrefixes.size(), maxCachedPrefixes);
    }
    cr_assert(target.cachedPrefixes.contains(next - 1));
}

Test(cached_prefixes, a_known_prefix_is_renewed_when_the_table_is_full)
{
    target_state target;
    const time_point now(seconds(1000));
    for (uint64_t hash = 0; hash < 2 * maxCachedPrefixes; ++hash)
        rememberPrefix(target, hash, now);
    cr_assert_eq(target.cachedPrefixes.size(), maxCachedPrefixes);
    rememberPrefix(target, 1, now + seconds(1));
    cr_assert_eq(target.cachedPrefixes.at(1), now + seconds(1));
}
