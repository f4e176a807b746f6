/// Guards against a heartbeat of a target that is recognised by its text although its record says something else, and against
/// one whose target is not renewed. Heartbeats are nearly all records of the target list.
#include "gateway/target_registry.hpp"
#include "platform/records.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::gateway;

namespace {
const time_point start { seconds(1000) };
const std::string id = "t-1";

std::string recordOf(const std::string& sequence, const std::string& state = "ready", const std::string& version = "v1")
{
    return R"({"service":"pages","address":"10.0.0.1:80","zone":"a","slots":4,"state":")" + state + R"(","seq":)" + sequence + R"(,"born":1,"version":")" + version + R"("})";
}

void apply(target_registry& registry, const std::string& text, time_point now)
{
    registry.apply(platform::decodeTarget(id, text).value(), now, platform::withoutSequence(text));
}
}

Test(heartbeat_record, records_with_the_same_remaining_text_describe_the_same_target)
{
    const std::vector<std::string> texts { recordOf("1"), recordOf("22"), recordOf("123456789012345678"), recordOf("0"), recordOf("1", "draining"), recordOf("22", "draining"),
        recordOf("1", "ready", R"(\"seq\":1,)"), recordOf("2", "ready", R"(\"seq\":2,)"), recordOf("1", "ready", "v2"), R"({"seq":7,"service":"pages","address":"10.0.0.1:80","zone":"a","slots":4,"state":"ready"})" };
    size_t equalTexts = 0;
    for (const auto& left : texts) {
        for (const auto& right : texts) {
            const std::string text = platform::withoutSequence(left);
            if (text.empty() || text != platform::withoutSequence(right))
                continue;
            equalTexts += left != right ? 1 : 0;
            // The number of a record is part of its cold time, where it counts only while the target is cold.
            const auto leftTarget = platform::decodeTarget(id, left).value();
            const auto rightTarget = platform::decodeTarget(id, right).value();
            cr_assert(leftTarget.isSameApartFromCold(rightTarget) && leftTarget.cold.isRepetitionOf(rightTarget.cold), "%s and %s", left.c_str(), right.c_str());
        }
    }
    // Four heartbeats of one record, and two of another, in both orders.
    cr_assert_eq(equalTexts, 4u * 3u + 2u);
}

Test(heartbeat_record, a_number_that_may_be_invalid_or_inside_a_text_must_be_decoded)
{
    for (const char* sequence : { "01", "1.5", "1e400", "-1", "", "null", "1234567890123456789", "1]" })
        cr_assert(platform::withoutSequence(recordOf(sequence)).empty(), "%s", sequence);
    cr_assert(platform::withoutSequence("").empty());
    cr_assert(platform::withoutSequence(R"("seq":)").empty());
    cr_assert(platform::withoutSequence(R"({"seq":1)").empty());
    cr_assert(platform::withoutSequence(R"({"version":"\"seq\":1,"})").empty());
}

Test(heartbeat_record, a_heartbeat_renews_its_target_and_withdraws_a_deferred_removal)
{
    target_registry registry([](const target_state&, std::string_view) {});
    apply(registry, recordOf("1"), start);
    registry.onStoreUnreachable();
    registry.remove(id, start);
    const std::string text = platform::withoutSequence(recordOf("2"));
    cr_assert(!registry.isKnownRecord(id, text), "peers must get a record that withdraws a removal");
    cr_assert(registry.renew(id, text, start + seconds(1)));
    cr_assert(registry.isKnownRecord(id, text));
    cr_assert(registry.ofService("pages").front()->listedAt == start + seconds(1));
    registry.onStoreReachable(start + seconds(1));
    registry.tick(start + seconds(10));
    cr_assert_eq(registry.size(), 1u);
}

Test(heartbeat_record, a_record_that_differs_from_the_last_one_is_not_taken_for_a_heartbeat)
{
    target_registry registry([](const target_state&, std::string_view) {});
    const std::string text = platform::withoutSequence(recordOf("2"));
    cr_assert(!registry.renew(id, text, start));
    apply(registry, recordOf("1"), start);
    // A list that was read anew says something else than the last record.
    auto leaving = platform::decodeTarget(id, recordOf("3", "draining")).value();
    registry.applyAll({ leaving }, start);
    cr_assert(!registry.renew(id, text, start));
    apply(registry, recordOf("4"), start);
    cr_assert(registry.renew(id, text, start));
    registry.remove(id, start);
    cr_assert(!registry.renew(id, text, start));
    cr_assert(!registry.renew(id, "", start));
}
