/// Streams at targets whose software versions have long names, such as digests of images.
#include "support/killed_fleet.hpp"

using namespace bilberryseam;
using namespace bilberryseam::tests;

namespace {
const std::string digest = "sha256:9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";
const std::string otherDigest = "sha256:60303ae22b998861bce3b28f33eec1be758a213c86c93c076dbe9f558c11c752";

/// A stream that begins at the first version, whose target then crashes.
/// @param names  Versions of the target that crashes and of the others.
caller_ptr crashFirst(versioned_fleet& fleet, const std::vector<std::string>& names)
{
    auto& first = fleet.add("t-0", names[0], "label-0");
    first.behaviour().eventPeriod = milliseconds(2500);
    fleet.waitUntilReady();
    const auto stream = fleet.begin("a-1");
    for (size_t i = 1; i < names.size(); ++i)
        fleet.add("t-" + std::to_string(i), names[i], names[i] == names[0] ? "label-0" : "label-" + std::to_string(i));
    fleet.deployment.runLoopFor(milliseconds(1500));
    first.crash();
    fleet.deployment.waitUntil([&] { return stream->isFinished; }, "the end of the stream");
    return stream;
}

void expectBrokenOff(int slot, const std::vector<std::string>& names)
{
    versioned_fleet fleet(slot);
    const auto stream = crashFirst(fleet, names);
    cr_assert_eq(stream->outcome, http1::call_outcome::Truncated);
    cr_assert(versionsIn(stream->body) == std::set<std::string> { "label-0" }, "the caller received: %s", stream->body.c_str());
    cr_assert_eq(fleet.resume("a-1", 0)->head.status, 503);
}
}

// Guards against long versions that all count as none, so that a stream goes on at any of them (review/11).
Test(gateway_long_versions, a_stream_of_a_digest_is_not_continued_at_another_digest)
{
    expectBrokenOff(516, { digest, otherDigest, otherDigest });
}

Test(gateway_long_versions, a_stream_is_not_continued_at_a_version_that_differs_in_the_last_byte)
{
    expectBrokenOff(517, { std::string(10000, 'v') + "1", std::string(10000, 'v') + "2" });
}

Test(gateway_long_versions, a_stream_is_not_continued_at_another_version_of_the_largest_records)
{
    expectBrokenOff(518, { std::string(261000, 'v') + "1", std::string(261000, 'v') + "2" });
}

Test(gateway_long_versions, a_stream_is_not_continued_at_one_of_three_long_versions)
{
    expectBrokenOff(519, { digest, otherDigest, std::string(100, 'w') });
}

Test(gateway_long_versions, a_stream_of_a_long_version_is_not_continued_at_a_short_one)
{
    expectBrokenOff(520, { digest, "v1" });
}

// Guards against refusing streams because their version has a long name.
Test(gateway_long_versions, a_stream_goes_on_at_a_target_of_the_same_long_version)
{
    for (const auto& names : { std::vector { digest, digest }, std::vector { digest, otherDigest, digest } }) {
        versioned_fleet fleet(names.size() == 2 ? 521 : 522);
        const auto stream = crashFirst(fleet, names);
        cr_assert(isWholeStreamOf(*stream, "label-0"), "the caller received: %s", stream->body.c_str());
    }
}

// Guards against versions that are dropped for their length from what gateways write for one another (review/11).
Test(gateway_long_versions, streams_stay_at_their_digest_after_all_gateways_were_killed)
{
    killed_fleet test(523, digest);
    for (const std::string id : { "new-0", "new-1" })
        test.fleet.add(id, otherDigest);
    test.fleet.deployment.runLoopFor(milliseconds(1500));
    for (auto& engine : test.fleet.engines)
        engine.behaviour().eventPeriod = milliseconds(5000);
    // Streams that run at the same time spread over the targets.
    constexpr size_t count = 24;
    std::vector<caller_ptr> callers;
    for (size_t i = 0; i < count; ++i)
        callers.push_back(test.fleet.begin(killed_fleet::idOf(i), i % gatewayCount));
    test.fleet.deployment.runLoopFor(milliseconds(500));
    test.killGateways();
    for (auto& engine : test.fleet.engines)
        engine.behaviour().eventPeriod = milliseconds(10);
    for (const std::string id : { "t-1", "new-1" })
        test.fleet.deployment.unlistTarget(id);
    test.restartGateways();
    cr_assert_eq(test.resumeAtOneVersion(count), count);
}
