/// Streams and the software versions of their targets: a stream goes on only at the version that began it.
#include "support/versioned_fleet.hpp"

#include <criterion/criterion.h>
#include <csignal>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

Test(gateway_software_version, a_stream_that_breaks_off_is_not_continued_at_another_version)
{
    versioned_fleet fleet(210);
    auto& first = fleet.add("t-1", "v1");
    first.behaviour().eventPeriod = milliseconds(2500);
    fleet.waitUntilReady();
    const auto stream = fleet.begin("a-1");
    fleet.release("v2", 2);
    first.crash();
    fleet.deployment.waitUntil([&] { return stream->isFinished; }, "the end of the stream");
    cr_assert_eq(stream->outcome, http1::call_outcome::Truncated);
    cr_assert(versionsIn(stream->body) == std::set<std::string> { "v1" }, "the caller received: %s", stream->body.c_str());
}

Test(gateway_software_version, a_stream_that_breaks_off_is_continued_at_another_target_of_its_version)
{
    versioned_fleet fleet(211);
    auto& first = fleet.add("t-1", "v1");
    first.behaviour().eventPeriod = milliseconds(2000);
    fleet.waitUntilReady();
    const auto stream = fleet.begin("a-1");
    fleet.release("v2", 2);
    fleet.add("t-2", "v1");
    fleet.deployment.runLoopFor(milliseconds(1500));
    first.crash();
    fleet.deployment.waitUntil([&] { return stream->isFinished; }, "the end of the stream");
    cr_assert(isWholeStreamOf(*stream, "v1"), "the caller received: %s", stream->body.c_str());
}

Test(gateway_software_version, a_caller_that_comes_back_at_another_gateway_gets_the_version_that_began_its_stream)
{
    versioned_fleet fleet(212, 3);
    fleet.add("t-1", "v1");
    fleet.waitUntilReady();
    fleet.begin("a-1")->call.reset();
    fleet.release("v2", 3);
    for (size_t gateway = 0; gateway < 3; ++gateway) {
        for (int i = 0; i < 3; ++i) {
            const auto resumed = fleet.resume("a-1", gateway);
            cr_assert(isWholeStreamOf(*resumed, "v1"), "gateway %zu, status %u: %s", gateway, resumed->head.status, resumed->body.c_str());
        }
    }
}

Test(gateway_software_version, a_stream_goes_on_after_the_gateway_that_began_it_was_killed_at_its_first_event)
{
    versioned_fleet fleet(213, 3);
    fleet.add("t-1", "v1");
    fleet.waitUntilReady();
    fleet.release("v2", 3);
    // Until one of them is placed at the only target of v1.
    caller_ptr stream;
    std::string id;
    for (int i = 0; i < 40; ++i) {
        id = "a-" + std::to_string(i);
        stream = fleet.begin(id);
        if (versionsIn(stream->body) == std::set<std::string> { "v1" })
            break;
    }
    const std::string version = *versionsIn(stream->body).begin();
    fleet.deployment.signal(0, SIGKILL);
    for (size_t gateway : { 1, 2 }) {
        const auto resumed = fleet.resume(id, gateway);
        cr_assert(isWholeStreamOf(*resumed, version), "gateway %zu, status %u: %s", gateway, resumed->head.status, resumed->body.c_str());
    }
}

Test(gateway_software_version, a_stream_of_unknown_origin_is_refused_at_once_while_two_versions_serve)
{
    versioned_fleet fleet(214, 2);
    fleet.add("t-1", "v1");
    fleet.add("t-2", "v2");
    fleet.waitUntilReady();
    const std::vector<std::pair<std::string, http1::header_list>> requests {
        { "forged", { { "Last-Event-Id", "1" } } },
        { "", { { "Last-Event-Id", "1" } } },
        { "forged", {} },
        { std::string(4000, 'x'), { { "Last-Event-Id", "1" } } },
    };
    for (const auto& [continued, headers] : requests) {
        const auto response = fleet.resume(continued, 0, headers);
        cr_assert_eq(response->head.status, 503, "status %u for a stream that began as '%s'", response->head.status, continued.substr(0, 20).c_str());
        cr_assert(response->body.find("version") != std::string::npos, "the response does not say why: %s", response->body.c_str());
    }
    size_t runs = 0;
    for (const auto& engine : fleet.engines)
        runs += engine.arrivals().size();
    cr_assert_eq(runs, 0u);
}

Test(gateway_software_version, a_stream_of_unknown_origin_goes_on_while_one_version_serves)
{
    versioned_fleet fleet(215);
    fleet.add("t-1", "v1");
    fleet.add("t-2", "v1");
    fleet.waitUntilReady();
    cr_assert(isWholeStreamOf(*fleet.resume("", 0), "v1"));
    cr_assert(isWholeStreamOf(*fleet.resume("forged", 0), "v1"));
}

Test(gateway_software_version, a_stream_whose_version_has_left_is_refused_at_once)
{
    versioned_fleet fleet(216, 2);
    fleet.add("t-1", "v1");
    fleet.waitUntilReady();
    fleet.begin("a-1")->call.reset();
    fleet.release("v2");
    fleet.deployment.listTarget(fleet.engines.front().target(), "model", "draining");
    fleet.deployment.runLoopFor(milliseconds(1500));
    for (size_t gateway = 0; gateway < 2; ++gateway) {
        const auto response = fleet.resume("a-1", gateway);
        cr_assert_eq(response->head.status, 503, "status %u: %s", response->head.status, response->body.c_str());
        cr_assert(response->body.find("version") != std::string::npos);
    }
}

Test(gateway_software_version, a_target_that_restarted_with_another_version_under_its_identifier_continues_no_stream)
{
    versioned_fleet fleet(217, 2);
    auto& first = fleet.add("t-1", "v1");
    fleet.add("t-2", "v1");
    fleet.waitUntilReady();
    // The record says v1 for another second, so the stream that begins meanwhile at t-1 is one of v2.
    fleet.deployment.unlistTarget("t-2");
    fleet.deployment.runLoopFor(milliseconds(1500));
    fleet.deployment.restartEngine(first, "model", "v2", milliseconds(1000));
    fleet.deployment.waitUntil([&] { return first.isUp(); }, "the restart");
    const auto stream = fleet.begin("a-1");
    cr_assert(versionsIn(stream->body) == std::set<std::string> { "v2" });
    stream->call.reset();
    fleet.deployment.listTarget(std::next(fleet.engines.begin())->target(), "model", "ready", "north-1", "v1");
    fleet.deployment.runLoopFor(milliseconds(1500));
    fleet.deployment.listTarget(first.target(), "model", "draining", "north-1", "v2");
    fleet.deployment.runLoopFor(milliseconds(1500));
    for (size_t gateway = 0; gateway < 2; ++gateway) {
        const auto resumed = fleet.resume("a-1", gateway);
        cr_assert(!versionsIn(resumed->body).contains("v1"), "gateway %zu joined v2 and v1", gateway);
        cr_assert(resumed->head.status == 503 || isWholeStreamOf(*resumed, "v2"), "status %u", resumed->head.status);
    }
}

Test(gateway_software_version, a_stream_goes_on_after_its_gateways_were_restarted_one_after_the_other)
{
    versioned_fleet fleet(218, 4);
    fleet.add("t-1", "v1");
    fleet.waitUntilReady();
    fleet.begin("a-1")->call.reset();
    fleet.release("v2");
    for (size_t gateway = 0; gateway < 3; ++gateway) {
        fleet.deployment.signal(gateway, SIGKILL);
        fleet.deployment.waitUntil([&] { return fleet.deployment.hasExited(gateway); }, "the end of a gateway");
        fleet.deployment.restartGateway(gateway);
        fleet.deployment.waitUntilReady(gateway);
        fleet.deployment.runLoopFor(milliseconds(2000));
    }
    for (size_t gateway = 0; gateway < 4; ++gateway) {
        const auto resumed = fleet.resume("a-1", gateway);
        cr_assert(isWholeStreamOf(*resumed, "v1"), "gateway %zu, status %u: %s", gateway, resumed->head.status, resumed->body.c_str());
    }
}

namespace {
/// A stream of v1 began at `t-1`, which then leaves; `t-2` restarts at the further versions, of which its record names all but
/// the last, v2, all while the last gateway is blind. By its list, `t-2` is then the only target of v1 in service,
/// beside one of v2.
/// @param versions  Version of `t-2` at first, and of each restart.
/// @param startsBlind, endsBlind  Begin and end a time in which the last gateway does not notice restarts.
void restartWhileBlind(versioned_fleet& fleet, size_t gatewayCount, const std::vector<std::string>& versions, const std::function<void()>& startsBlind, const std::function<void()>& endsBlind)
{
    auto& first = fleet.add("t-1", "v1");
    fleet.waitUntilReady();
    fleet.begin("a-1")->call.reset();
    auto& second = fleet.add("t-2", versions.front());
    second.behaviour().restartDelay = milliseconds(200);
    fleet.add("t-3", "v2");
    // The target list is read every 1.25 s at the default bounds.
    fleet.deployment.runLoopFor(milliseconds(1500));
    startsBlind();
    fleet.deployment.listTarget(first.target(), "model", "draining", "north-1", "v1");
    constexpr milliseconds lateRecord { 20000 };
    for (size_t i = 1; i < versions.size(); ++i) {
        fleet.deployment.restartEngine(second, "model", versions[i], i + 1 < versions.size() ? milliseconds(0) : lateRecord);
        fleet.deployment.waitUntil([&] { return second.isUp(); }, "a restart");
        fleet.deployment.runLoopFor(milliseconds(50));
    }
    endsBlind();
    const auto resumed = fleet.resume("a-1", gatewayCount - 1);
    cr_assert(!versionsIn(resumed->body).contains("v2"), "the gateway joined v1 and v2: %s", resumed->body.c_str());
    cr_assert_eq(resumed->head.status, 503, "status %u: %s", resumed->head.status, resumed->body.c_str());
    // Streams that begin at `t-2` now are of v2, and must not be continued as streams of v1.
    const size_t arrivalsBefore = second.arrivals().size();
    constexpr int streamCount = 8;
    for (int i = 0; i < streamCount; ++i)
        fleet.begin("b-" + std::to_string(i), gatewayCount - 1)->call.reset();
    cr_assert_gt(second.arrivals().size(), arrivalsBefore);
    fleet.add("t-4", "v1");
    fleet.deployment.runLoopFor(milliseconds(1500));
    for (int i = 0; i < streamCount; ++i) {
        const auto continued = fleet.resume("b-" + std::to_string(i), gatewayCount - 1);
        cr_assert(!versionsIn(continued->body).contains("v1"), "the gateway joined v2 and v1: %s", continued->body.c_str());
    }
}
}

namespace {
void restartDuringFreeze(int slot, const std::vector<std::string>& versions)
{
    versioned_fleet fleet(slot);
    const auto freeze = [&] { fleet.deployment.signal(0, SIGSTOP); };
    const auto wake = [&] {
        // Long enough that the gateway takes it for a freeze.
        fleet.deployment.runLoopFor(milliseconds(1500));
        fleet.deployment.signal(0, SIGCONT);
    };
    restartWhileBlind(fleet, 1, versions, freeze, wake);
}
}

// Guards against streams of two versions after a freeze: the gateway reads the record of a restart, but has not noticed the
// next one (silence_soak, seed 208).
Test(gateway_software_version, a_gateway_that_was_frozen_while_a_target_restarted_twice_joins_no_versions)
{
    restartDuringFreeze(274, { "v2", "v1", "v2" });
}

// Guards against the same after one restart whose record is late (silence_soak, seed 206).
Test(gateway_software_version, a_gateway_that_was_frozen_while_a_target_restarted_joins_no_versions)
{
    restartDuringFreeze(276, { "v1", "v2" });
}

// Guards against the same at a gateway that has just started.
Test(gateway_software_version, a_gateway_that_started_while_a_target_restarted_twice_joins_no_versions)
{
    versioned_fleet fleet(275, 2);
    const auto stop = [&] {
        fleet.deployment.signal(1, SIGKILL);
        fleet.deployment.waitUntil([&] { return fleet.deployment.hasExited(1); }, "the end of a gateway");
    };
    const auto start = [&] {
        fleet.deployment.restartGateway(1);
        fleet.deployment.waitUntilReady(1);
        fleet.deployment.runLoopFor(milliseconds(500));
    };
    restartWhileBlind(fleet, 2, { "v2", "v1", "v2" }, stop, start);
}

// Guards against streams of two versions after a restart whose record is late: the gateway's connections to the target have
// broken, yet streams that begin there were recorded with the version in its record (silence_soak, seed 211).
Test(gateway_software_version, streams_that_begin_at_a_target_whose_connections_broke_are_not_joined_to_the_version_in_its_record)
{
    versioned_fleet fleet(277);
    auto& restarted = fleet.add("t-1", "v1");
    fleet.add("t-2", "v2");
    fleet.deployment.changeRecord("t-2", { { "slots", 1 } });
    fleet.waitUntilReady();
    std::vector<caller_ptr> open;
    // Few, since a target is avoided for longer after many failures.
    for (int i = 0; i < 3; ++i)
        open.push_back(fleet.deployment.send("POST", "/m/a" + std::to_string(i)));
    fleet.deployment.waitUntil([&] { return restarted.runningCount() > 0; }, "a stream at the target");
    restarted.behaviour().restartDelay = milliseconds(200);
    fleet.deployment.restartEngine(restarted, "model", "v2", milliseconds(20000));
    // A target is avoided for a time after its connections broke.
    fleet.deployment.runLoopFor(milliseconds(2000));
    const size_t arrivalsBefore = restarted.arrivals().size();
    constexpr int streamCount = 12;
    // All at once, so that the other target has no place for each.
    std::vector<caller_ptr> begun;
    for (int i = 0; i < streamCount; ++i)
        begun.push_back(fleet.deployment.send("POST", "/m/b" + std::to_string(i), { { "X-Attempt-Id", "b-" + std::to_string(i) } }));
    fleet.deployment.waitUntil([&] { return std::none_of(begun.begin(), begun.end(), [](const auto& item) { return item->body.empty(); }); }, "the first events");
    for (const auto& stream : begun)
        stream->call.reset();
    cr_assert_gt(restarted.arrivals().size(), arrivalsBefore);
    fleet.add("t-3", "v1");
    fleet.deployment.runLoopFor(milliseconds(1500));
    for (int i = 0; i < streamCount; ++i) {
        const auto continued = fleet.resume("b-" + std::to_string(i), 0);
        cr_assert_leq(versionsIn(begun[static_cast<size_t>(i)]->body + continued->body).size(), 1u, "the gateway joined versions: %s%s", begun[static_cast<size_t>(i)]->body.c_str(), continued->body.c_str());
    }
}

Test(gateway_software_version, records_name_usable_targets_unless_their_version_is_no_text)
{
    deployment_fixture deployment(219);
    const std::vector<json> versions { nullptr, std::string(10000, 'v'), "" };
    auto& odd = deployment.addTarget("t-odd", "pages", "north-1", 7);
    for (size_t i = 0; i < versions.size(); ++i)
        deployment.addTarget("t-" + std::to_string(i), "pages", "north-1", versions[i]);
    deployment.configure(3, { deployment.route("/p/", "idempotent", "pages") });
    deployment.startGateway();
    deployment.waitUntilReady();
    for (int i = 0; i < 8; ++i)
        cr_assert_eq(deployment.sendAndWait("GET", "/p/" + std::to_string(i))->head.status, 200);
    cr_assert(odd.requests().empty());
    for (size_t i = 0; i < versions.size(); ++i)
        deployment.unlistTarget("t-" + std::to_string(i));
    deployment.runLoopFor(milliseconds(1500));
    cr_assert_eq(deployment.sendAndWait("GET", "/p/9")->head.status, 503);
    for (size_t i = 0; i < versions.size(); ++i) {
        deployment.addTarget("u-" + std::to_string(i), "pages", "north-1", versions[i]);
        deployment.waitUntil([&] { return deployment.sendAndWait("GET", "/p/1")->head.status == 200; }, "the target");
        deployment.unlistTarget("u-" + std::to_string(i));
        deployment.waitUntil([&] { return deployment.sendAndWait("GET", "/p/1")->head.status == 503; }, "the removal");
    }
}
