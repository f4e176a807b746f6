/// Requests that share one prompt segment crash each target that starts to respond to them; no two of them are alike.
#include "support/engine_fleet.hpp"

#include <criterion/criterion.h>
#include <csignal>

using namespace bilberryseam;
using namespace bilberryseam::tests;

namespace {
/// Targets that one segment may crash before the gateways refuse it.
constexpr size_t maxCrashes = 5;

const prompt soundPrompt { "system", "subject", "session" };

fakes::engine_behaviour crashingOn(std::set<std::string> segments)
{
    fakes::engine_behaviour behaviour;
    behaviour.crashingSegments = std::move(segments);
    return behaviour;
}

/// Sends crashing and sound requests in turn, through all gateways, and checks that only the crashing ones are refused.
void checkContainment(engine_fleet& fleet, const std::vector<prompt>& crashingPrompts, const prompt& soundPromptOfRoute, size_t gatewayCount)
{
    constexpr int rounds = 10;
    std::vector<caller_ptr> crashing;
    std::vector<caller_ptr> sound;
    for (int i = 0; i < rounds; ++i) {
        for (const auto& crashingPrompt : crashingPrompts)
            crashing.push_back(fleet.sendAndWait(crashingPrompt, crashing.size() % gatewayCount));
        for (size_t gateway = 0; gateway < gatewayCount; ++gateway)
            sound.push_back(fleet.sendAndWait(soundPromptOfRoute, gateway));
    }
    cr_assert_geq(fleet.crashCount(), 1u);
    cr_assert_leq(fleet.crashCount(), maxCrashes * crashingPrompts.size(), "%zu targets crashed", fleet.crashCount());
    cr_assert_eq(crashing.back()->head.status, 503);
    for (size_t i = 0; i < sound.size(); ++i)
        cr_assert(engine_fleet::isServed(*sound[i]), "sound request %zu got status %u", i, sound[i]->head.status);
}
}

Test(gateway_crashing_segment, a_segment_in_the_middle_of_the_prompt_is_refused_and_sound_requests_are_served)
{
    engine_fleet fleet(100, 8, 2, crashingOn({ "bad" }));
    checkContainment(fleet, { { "system", "subject", "bad" } }, soundPrompt, 2);
}

Test(gateway_crashing_segment, the_first_segment_of_the_prompt_is_refused_and_sound_requests_are_served)
{
    engine_fleet fleet(101, 8, 2, crashingOn({ "bad" }));
    checkContainment(fleet, { { "bad", "subject", "session" } }, soundPrompt, 2);
}

Test(gateway_crashing_segment, the_only_shared_segment_is_refused_and_sound_requests_are_served)
{
    engine_fleet fleet(102, 8, 2, crashingOn({ "bad" }));
    checkContainment(fleet, { { "bad" } }, { "subject" }, 2);
}

Test(gateway_crashing_segment, two_segments_at_a_time_are_both_refused)
{
    engine_fleet fleet(103, 10, 2, crashingOn({ "bad1", "bad2" }));
    checkContainment(fleet, { { "system", "bad1", "session" }, { "system", "subject", "bad2" } }, soundPrompt, 2);
}

Test(gateway_crashing_segment, gateways_without_stage_pools_tell_each_other)
{
    constexpr size_t gatewayCount = 3;
    engine_fleet fleet(104, 8, gatewayCount, crashingOn({ "bad" }), false);
    checkContainment(fleet, { { "system", "bad" } }, { "system", "subject" }, gatewayCount);
}

Test(gateway_crashing_segment, gateways_tell_each_other_while_the_store_is_away)
{
    engine_fleet fleet(105, 8, 2, crashingOn({ "bad" }));
    fleet.deployment.store().setFaults({ .isDown = true });
    checkContainment(fleet, { { "system", "subject", "bad" } }, soundPrompt, 2);
}

Test(gateway_crashing_segment, a_gateway_that_starts_later_refuses_the_segment_at_once)
{
    engine_fleet fleet(106, 8, 1, crashingOn({ "bad" }));
    checkContainment(fleet, { { "system", "subject", "bad" } }, soundPrompt, 1);
    const size_t crashes = fleet.crashCount();
    const size_t newcomer = fleet.deployment.startGateway();
    fleet.deployment.waitUntilReady(newcomer);
    cr_assert_eq(fleet.sendAndWait({ "system", "subject", "bad" }, newcomer)->head.status, 503);
    cr_assert_eq(fleet.crashCount(), crashes);
}

Test(gateway_crashing_segment, all_gateways_refuse_the_segment_after_they_were_killed_at_once)
{
    engine_fleet fleet(107, 8, 2, crashingOn({ "bad" }));
    checkContainment(fleet, { { "system", "subject", "bad" } }, soundPrompt, 2);
    const size_t crashes = fleet.crashCount();
    for (const size_t gateway : { 0, 1 }) {
        fleet.deployment.signal(gateway, SIGKILL);
        fleet.deployment.waitUntil([&] { return fleet.deployment.hasExited(gateway); }, "the end of a gateway");
    }
    for (const size_t gateway : { 0, 1 }) {
        fleet.deployment.restartGateway(gateway);
        fleet.deployment.waitUntilReady(gateway);
        cr_assert_eq(fleet.sendAndWait({ "system", "subject", "bad" }, gateway)->head.status, 503);
    }
    cr_assert_eq(fleet.crashCount(), crashes);
}

Test(gateway_crashing_segment, requests_that_wait_for_their_stages_are_refused_with_the_verdict)
{
    engine_fleet fleet(108, 8, 1, crashingOn({ "bad" }));
    std::vector<std::shared_ptr<http1::exchange>> heldCalls;
    const auto hold = [&](std::shared_ptr<http1::exchange> exchange) { heldCalls.push_back(std::move(exchange)); };
    fleet.encoder->setBatchCallHandler(hold);
    const caller_ptr waiting = fleet.send({ "system", "bad" }, 0, { { "X-Pieces", "1" }, { "X-Piece-Key", "k" } });
    fleet.deployment.waitUntil([&] { return !heldCalls.empty(); }, "the first task");
    for (size_t i = 0; i < maxCrashes; ++i)
        fleet.sendAndWait({ "system", "bad" });
    fleet.deployment.waitUntil([&] { return waiting->isFinished; }, "the refusal of the waiting request");
    cr_assert_eq(waiting->head.status, 503);
    // The log reaches its file a little later than the response its caller.
    fleet.deployment.waitUntil([&] { return fleet.deployment.logOf(0).find(R"("reason":"crashes_targets","status":"503","sends":"0")") != std::string::npos; }, "the line about the refusal by the verdict");
    cr_assert_leq(fleet.crashCount(), maxCrashes);
}

Test(gateway_crashing_segment, a_burst_of_requests_ends_with_those_in_flight)
{
    constexpr size_t burst = 20;
    engine_fleet fleet(109, 10, 2, crashingOn({ "bad" }));
    std::vector<caller_ptr> callers;
    for (size_t i = 0; i < burst; ++i)
        callers.push_back(fleet.send({ "system", "bad" }, i % 2));
    fleet.deployment.waitUntil([&] { return std::all_of(callers.begin(), callers.end(), [](const auto& item) { return item->isFinished; }); }, "the end of the burst");
    fleet.deployment.waitUntil([&] { return std::all_of(fleet.engines.begin(), fleet.engines.end(), [](const auto& engine) { return engine.isUp(); }); }, "the restart of the engines");
    const size_t crashes = fleet.crashCount();
    for (size_t i = 0; i < burst; ++i)
        fleet.sendAndWait({ "system", "bad" }, i % 2);
    cr_assert_leq(fleet.crashCount(), crashes + 3, "%zu targets crashed after the burst", fleet.crashCount() - crashes);
}
