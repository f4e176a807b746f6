/// Crowds of clients that ignore the limits, at each port of a gateway. The gateway stays within the memory of its machine and
/// answers an ordinary request while the crowd stays.
#include "support/client_crowd.hpp"
#include "support/deployment_fixture.hpp"
#include "wire/wire.hpp"

#include <criterion/criterion.h>
#include <list>

using namespace bilberryseam;
using namespace bilberryseam::tests;

namespace {
constexpr size_t maxBody = 2 * 1024 * 1024;
constexpr int maxConnections = 1000;

const std::string callerHead = "POST /m/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: crowd\r\nX-Deadline-Ms: 30000\r\n";
const std::string slowHead = "POST /slow/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: crowd\r\nX-Deadline-Ms: 30000\r\n";
const std::string operatorHead = "POST /v1/ready HTTP/1.1\r\nHost: gateway\r\n";

/// A gateway with low limits and a target.
struct gateway_crowd_test {
    explicit gateway_crowd_test(int slot, int connections = maxConnections)
        : deployment(slot)
        , target(deployment.addTarget("t-1", "model"))
        , slowTarget(deployment.addTarget("t-2", "slow"))
    {
        slowTarget.setRequestHandler([this](std::shared_ptr<http1::exchange> exchange) { slowExchanges.push_back(std::move(exchange)); });
        deployment.configure(3, { deployment_fixture::route("/m/", "idempotent", "model"), deployment_fixture::route("/slow/", "non_idempotent", "slow", { { "timeout_ms", 30000 }, { "max_attempts", 1 } }) }, nlohmann::json::array(), nullptr,
            { { "max_body_bytes", maxBody }, { "header_timeout_ms", 30000 }, { "idle_timeout_ms", 30000 } });
        deployment.startGateway(nlohmann::json::object(), { { "limits", { { "maxHeldBytes", 16 * 1024 * 1024 }, { "maxConnections", connections } } } });
        deployment.waitUntilReady();
        watch.emplace(deployment.processId(0), std::vector<uint16_t> { deployment.listenAddress(0).port, deployment.operatorAddress(0).port, deployment.peerAddress(0).port });
    }

    void run(client_crowd& crowd)
    {
        crowd.run([this] { watch->sample(); });
    }

    /// @param maxDescriptors  Descriptors that the clients may have the gateway open.
    void check(size_t maxDescriptors)
    {
        cr_assert(!deployment.hasExited(0));
        cr_assert_eq(deployment.sendAndWait("POST", "/m/ordinary", {}, std::string(1000, 'y'))->head.status, 200);
        cr_assert(deployment.isReady(0));
        watch->sample();
        watch->log();
        cr_assert(watch->isAlive());
        cr_assert_leq(watch->peakBytes(), maxProcessBytes, "%zu bytes, %zu of them unread", watch->peakBytes(), watch->peakUnreadBytes());
        cr_assert_leq(watch->peakDescriptors(), maxDescriptors + otherDescriptors, "%zu descriptors", watch->peakDescriptors());
    }

    deployment_fixture deployment;
    fakes::platform_target& target;
    fakes::platform_target& slowTarget;
    std::list<std::shared_ptr<http1::exchange>> slowExchanges;
    std::optional<process_watch> watch;
};

void runCallers(body_kind kind, int slot)
{
    gateway_crowd_test test(slot);
    client_crowd crowd(test.deployment.listenAddress(0), 120, bodyScript(kind, callerHead, maxBody));
    test.run(crowd);
    test.check(120);
}

void runOperators(body_kind kind, int slot)
{
    gateway_crowd_test test(slot);
    client_crowd crowd(test.deployment.operatorAddress(0), 120, bodyScript(kind, operatorHead, maxBody));
    test.run(crowd);
    test.check(120);
}

void runPeers(body_kind kind, int slot)
{
    gateway_crowd_test test(slot);
    client_crowd crowd(test.deployment.peerAddress(0), 120, bodyScript(kind, operatorHead, maxBody));
    test.run(crowd);
    test.check(120);
}
}

BILBERRYSEAM_BODY_CROWD_TESTS(gateway_caller_crowd, runCallers, 210)
BILBERRYSEAM_BODY_CROWD_TESTS(gateway_operator_crowd, runOperators, 215)
BILBERRYSEAM_BODY_CROWD_TESTS(gateway_peer_crowd, runPeers, 220)

Test(gateway_caller_crowd, whole_bodies_that_wait_for_a_slow_target)
{
    gateway_crowd_test test(225);
    client_crowd crowd(test.deployment.listenAddress(0), 120, lengthScript(slowHead, maxBody, maxBody));
    test.run(crowd);
    // A descriptor for each client, and one for its connection to the target.
    test.check(240);
}

Test(gateway_caller_crowd, responses_that_are_not_read)
{
    gateway_crowd_test test(226);
    const std::string body(1024 * 1024, 'z');
    test.slowTarget.setRequestHandler([&](std::shared_ptr<http1::exchange> exchange) { exchange->respond(200, test.slowTarget.responseHeaders(*exchange), body); });
    client_script script = lengthScript(slowHead, 0, 0);
    script.isUnread = true;
    client_crowd crowd(test.deployment.listenAddress(0), 500, std::move(script));
    test.run(crowd);
    test.check(1000);
}

Test(gateway_caller_crowd, requests_behind_one_another)
{
    gateway_crowd_test test(227);
    client_script script = lengthScript(slowHead, 0, 0);
    script.unit = script.start;
    script.repetitions = 400 * 1024 / script.unit.size();
    client_crowd crowd(test.deployment.listenAddress(0), 800, std::move(script));
    test.run(crowd);
    test.check(1600);
}

Test(gateway_caller_crowd, unfinished_bodies_do_not_keep_all_connections)
{
    constexpr int connections = 100;
    gateway_crowd_test test(228, connections);
    client_crowd crowd(test.deployment.listenAddress(0), 200, chunkedScript(callerHead, 64, 8));
    test.run(crowd);
    test.check(connections + 128);
}

Test(gateway_caller_crowd, idle_connections_do_not_keep_all_connections)
{
    constexpr int connections = 100;
    gateway_crowd_test test(229, connections);
    client_crowd crowd(test.deployment.listenAddress(0), 200, {});
    test.run(crowd);
    test.check(connections + 128);
}

Test(gateway_caller_crowd, the_largest_request_is_served_in_calm)
{
    gateway_crowd_test test(230);
    const auto response = test.deployment.sendAndWait("POST", "/m/1", {}, std::string(maxBody, 'y'));
    cr_assert_eq(response->head.status, 200);
    cr_assert_eq(test.target.requests().back().body.size(), maxBody);
    client_script script = chunkedScript(callerHead, maxBody, 8);
    script.end = "0\r\n\r\n";
    client_crowd chunked(test.deployment.listenAddress(0), 1, std::move(script));
    test.run(chunked);
    cr_assert_eq(chunked.countResponses("HTTP/1.1 200"), 1u);
    test.check(1);
}

Test(gateway_operator_crowd, connections_that_stay)
{
    gateway_crowd_test test(231);
    client_crowd crowd(test.deployment.operatorAddress(0), 600, {});
    test.run(crowd);
    test.check(400);
}

Test(gateway_peer_crowd, unfinished_messages)
{
    gateway_crowd_test test(232);
    client_crowd crowd(test.deployment.peerAddress(0), 40, unfinishedMessageScript("", 7 * 1024 * 1024));
    test.run(crowd);
    test.check(40);
}

Test(gateway_peer_crowd, unfinished_messages_after_a_hello)
{
    gateway_crowd_test test(233);
    client_crowd crowd(test.deployment.peerAddress(0), 40, unfinishedMessageScript("", 7 * 1024 * 1024), [](size_t index) {
        return unfinishedMessageScript(wire::encodeHello({ wire::protocolVersion, { 9, index }, "crowd", {}, 0 }), 7 * 1024 * 1024).start;
    });
    test.run(crowd);
    test.check(40);
}

Test(gateway_peer_crowd, sessions_that_stay)
{
    // In waves, since connections without a hello are limited, too.
    constexpr size_t waves = 10;
    constexpr size_t wave = 200;
    gateway_crowd_test test(237);
    std::list<client_crowd> crowds;
    for (size_t i = 0; i < waves; ++i) {
        crowds.emplace_back(test.deployment.peerAddress(0), wave, client_script(), [i](size_t index) {
            return webSocketStart(wire::encodeHello({ wire::protocolVersion, { 9, i * wave + index }, "crowd", {}, 0 }));
        });
        test.run(crowds.back());
    }
    // Half of the bytes that clients may have the gateway hold, and connections that have sent no hello yet.
    test.check(16 * 1024 * 1024 / 2 / (10 * 1024) + 256);
}

Test(gateway_peer_crowd, a_deeply_nested_message)
{
    gateway_crowd_test test(234);
    const std::string hello = wire::encodeHello({ wire::protocolVersion, { 9, 1 }, "crowd", {}, 0 });
    client_crowd crowd(test.deployment.peerAddress(0), 1, wholeMessageScript(hello, std::string(1024 * 1024, '\x81')));
    test.run(crowd);
    test.check(1);
}

namespace {
/// A gateway with a route of one stage.
struct stage_crowd_test {
    explicit stage_crowd_test(int slot)
        : test(slot)
    {
        test.deployment.addTarget("e-1", "encode");
        const nlohmann::json stages { { { "service", "encode" }, { "after", nlohmann::json::array() }, { "bytes", 1000 } } };
        const nlohmann::json pool { { "name", "encode" }, { "pieces", { { "slots", 1 }, { "queue", 2 }, { "batch", 4 }, { "call_ms", 5 }, { "item_ms", 1 }, { "headroom_mb", 10 }, { "handle_s", 4 } } } };
        test.deployment.configure(4, { deployment_fixture::route("/m/", "idempotent", "model"), deployment_fixture::route("/staged/", "idempotent", "model", { { "stages", stages }, { "timeout_ms", 30000 } }) }, { pool });
        const http1::header_list onePiece { { "X-Pieces", "1" }, { "X-Piece-Key", "k" } };
        test.deployment.waitUntil([&] { return test.deployment.sendAndWait("GET", "/staged/1", onePiece)->head.status == 200; }, "the route with a stage");
    }

    /// @param pieces  Number of tasks that each client states.
    [[nodiscard]] static client_script scriptOf(const std::string& pieces)
    {
        return { .start = "GET /staged/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: crowd\r\nX-Deadline-Ms: 30000\r\nX-Piece-Key: k\r\nX-Pieces: " + pieces + "\r\n\r\n" };
    }

    gateway_crowd_test test;
};
}

Test(gateway_caller_crowd, one_request_with_four_billion_tasks)
{
    stage_crowd_test stages(235);
    client_crowd crowd(stages.test.deployment.listenAddress(0), 1, stage_crowd_test::scriptOf("4000000000"));
    stages.test.run(crowd);
    cr_assert_eq(crowd.countResponses("HTTP/1.1 400"), 1u);
    stages.test.check(1);
}

Test(gateway_caller_crowd, requests_with_many_tasks)
{
    stage_crowd_test stages(236);
    client_crowd crowd(stages.test.deployment.listenAddress(0), 200, stage_crowd_test::scriptOf("10000"));
    stages.test.run(crowd);
    stages.test.check(200);
}
