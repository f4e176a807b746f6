/// Planned stops and changes of the configuration cut no request, whatever its connection is doing at that moment.
#include "support/deployment_fixture.hpp"
#include "support/raw_client.hpp"

#include <criterion/criterion.h>
#include <csignal>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
/// A stopping gateway accepts requests for 3 s; this moment is shortly before the end of that.
constexpr milliseconds lateInTheStop { 2800 };

std::string requestHead(const std::string& path, const std::string& id, const std::string& headers = "")
{
    return "POST " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 15000\r\n" + headers + "\r\n";
}

std::string wholeRequest(const std::string& path, const std::string& id)
{
    return requestHead(path, id, "Content-Length: 2\r\n") + "hi";
}

/// Writes a configuration with one route and these limits.
void configure(deployment_fixture& deployment, int version, const json& limits)
{
    json allLimits { { "max_header_bytes", 8192 }, { "max_body_bytes", 100000 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 3000 } };
    allLimits.update(limits);
    const json document { { "version", version }, { "routes", { deployment.route("/p/", "non_idempotent", "pages", { { "timeout_ms", 15000 } }) } }, { "services", json::array() }, { "limits", allLimits } };
    deployment.store().put("keyed.op", "config", document.dump());
}

void waitUntilInForce(deployment_fixture& deployment, int version)
{
    deployment.waitUntil([&] { return deployment.metricsOf(0).find("bilberryseam_configuration_version " + std::to_string(version) + "\n") != std::string::npos; }, "the configuration to be in force");
}

void startDeployment(deployment_fixture& deployment, const json& limits = json::object())
{
    configure(deployment, 3, limits);
    deployment.startGateway();
    deployment.waitUntilReady();
}

void stopGateway(deployment_fixture& deployment)
{
    deployment.signal(0, SIGTERM);
    deployment.waitUntil([&] { return !deployment.isReady(); }, "the end of readiness");
}

void waitForResponses(deployment_fixture& deployment, const raw_client& caller, size_t count)
{
    deployment.waitUntil([&] { return caller.isClosed || caller.count("HTTP/1.1 ") >= count; }, "the response");
    cr_assert_eq(caller.count("HTTP/1.1 "), count, "received: %s", caller.received.c_str());
}
}

Test(gateway_planned_work, a_shorter_idle_timeout_closes_no_connection_whose_caller_relies_on_the_longer_one)
{
    deployment_fixture deployment(60);
    deployment.addTarget("t-1", "pages");
    startDeployment(deployment);
    raw_client caller(deployment.listenAddress(0));
    caller.stream->write(wholeRequest("/p/1", "first"));
    waitForResponses(deployment, caller, 1);
    configure(deployment, 4, { { "idle_timeout_ms", 300 } });
    waitUntilInForce(deployment, 4);
    deployment.runLoopFor(milliseconds(1500));
    caller.stream->write(wholeRequest("/p/2", "second"));
    waitForResponses(deployment, caller, 2);
    // The shorter timeout applies once nobody can rely on the longer one.
    deployment.runLoopFor(milliseconds(3000));
    raw_client later(deployment.listenAddress(0));
    later.stream->write(wholeRequest("/p/3", "third"));
    waitForResponses(deployment, later, 1);
    deployment.runLoopFor(milliseconds(1200));
    cr_assert(later.isClosed);
    cr_assert_eq(caller.count("200 OK"), 2u);
}

Test(gateway_planned_work, configurations_in_quick_succession_do_not_cut_a_request_that_is_being_read)
{
    deployment_fixture deployment(61);
    deployment.addTarget("t-1", "pages");
    startDeployment(deployment);
    raw_client withLength(deployment.listenAddress(0));
    withLength.stream->write(requestHead("/p/1", "length", "Content-Length: 10\r\n") + "hello");
    raw_client chunked(deployment.listenAddress(0));
    chunked.stream->write(requestHead("/p/1", "chunked", "Transfer-Encoding: chunked\r\n") + "5\r\nhello\r\n5\r\nwo");
    deployment.runLoopFor(milliseconds(50));
    configure(deployment, 4, { { "header_timeout_ms", 100 }, { "max_body_bytes", 4 }, { "max_header_bytes", 60 } });
    deployment.signal(0, SIGHUP);
    deployment.runLoopFor(milliseconds(400));
    configure(deployment, 7, { { "header_timeout_ms", 120 }, { "max_body_bytes", 3 }, { "max_header_bytes", 50 } });
    deployment.signal(0, SIGHUP);
    waitUntilInForce(deployment, 7);
    deployment.runLoopFor(milliseconds(600));
    withLength.stream->write("world");
    chunked.stream->write("rld\r\n0\r\n\r\n");
    waitForResponses(deployment, withLength, 1);
    waitForResponses(deployment, chunked, 1);
    cr_assert_eq(withLength.count("200 OK"), 1u, "received: %s", withLength.received.c_str());
    cr_assert_eq(chunked.count("200 OK"), 1u, "received: %s", chunked.received.c_str());
}

Test(gateway_planned_work, a_planned_stop_answers_the_request_behind_a_response_that_announced_no_close)
{
    deployment_fixture deployment(62);
    auto& target = deployment.addTarget("t-1", "pages");
    std::shared_ptr<http1::exchange> stream;
    target.setRequestHandler([&](std::shared_ptr<http1::exchange> exchange) {
        if (exchange->head().target == "/m/1") {
            stream = std::move(exchange);
            http1::header_list headers = target.responseHeaders(*stream);
            headers.emplace_back("Content-Type", "text/event-stream");
            stream->startChunked(200, headers);
            stream->writeChunk("id: 1\ndata: a\n\n");
        } else {
            exchange->respond(200, target.responseHeaders(*exchange), "second");
        }
    });
    deployment.configure(3, { deployment.route("/m/", "streaming", "pages"), deployment.route("/p/", "non_idempotent", "pages") });
    deployment.startGateway();
    deployment.waitUntilReady();
    raw_client caller(deployment.listenAddress(0));
    caller.stream->write(wholeRequest("/m/1", "first"));
    deployment.waitUntil([&] { return caller.count("data: a") == 1; }, "the first event");
    stopGateway(deployment);
    caller.stream->write(wholeRequest("/p/2", "second"));
    deployment.runLoopFor(milliseconds(100));
    stream->finishChunked();
    waitForResponses(deployment, caller, 2);
    deployment.waitUntil([&] { return caller.isClosed; }, "the close");
    cr_assert_eq(caller.closeReason, http1::close_reason::Closed);
    cr_assert_eq(caller.count("Connection: close"), 1u);
}

Test(gateway_planned_work, a_planned_stop_answers_a_request_that_is_being_read)
{
    deployment_fixture deployment(63);
    deployment.addTarget("t-1", "pages");
    startDeployment(deployment);
    stopGateway(deployment);
    raw_client caller(deployment.listenAddress(0));
    deployment.runLoopFor(lateInTheStop);
    caller.stream->write(requestHead("/p/1", "slow", "Content-Length: 10\r\n") + "hello");
    deployment.runLoopFor(milliseconds(400));
    caller.stream->write("world");
    waitForResponses(deployment, caller, 1);
    cr_assert_eq(caller.count("408"), 0u, "received: %s", caller.received.c_str());
    deployment.waitUntil([&] { return caller.isClosed; }, "the close");
    deployment.waitUntil([&] { return deployment.hasExited(0); }, "the exit of the gateway");
    cr_assert_eq(caller.closeReason, http1::close_reason::Closed);
}

Test(gateway_planned_work, a_planned_stop_closes_idle_connections_without_a_reset)
{
    deployment_fixture deployment(64);
    deployment.addTarget("t-1", "pages");
    startDeployment(deployment, { { "idle_timeout_ms", 15000 } });
    raw_client caller(deployment.listenAddress(0));
    caller.stream->write(wholeRequest("/p/1", "first"));
    waitForResponses(deployment, caller, 1);
    stopGateway(deployment);
    deployment.waitUntil([&] { return caller.isClosed; }, "the close");
    cr_assert_eq(caller.closeReason, http1::close_reason::Closed);
    deployment.waitUntil([&] { return deployment.hasExited(0); }, "the exit of the gateway");
    cr_assert_eq(deployment.logOf(0).find("A connection ended before"), std::string::npos);
}

Test(gateway_planned_work, a_request_that_is_open_at_the_end_of_a_planned_stop_gets_a_response)
{
    deployment_fixture deployment(65);
    auto& target = deployment.addTarget("t-1", "pages");
    std::vector<std::shared_ptr<http1::exchange>> held;
    target.setRequestHandler([&](std::shared_ptr<http1::exchange> exchange) { held.push_back(std::move(exchange)); });
    configure(deployment, 3, json::object());
    deployment.startGateway({ { "stopSeconds", 4.5 } });
    deployment.waitUntilReady();
    raw_client caller(deployment.listenAddress(0));
    caller.stream->write(wholeRequest("/p/1", "held"));
    deployment.waitUntil([&] { return !held.empty(); }, "the request at its target");
    stopGateway(deployment);
    waitForResponses(deployment, caller, 1);
    cr_assert_eq(caller.count("HTTP/1.1 50"), 1u, "received: %s", caller.received.c_str());
}

Test(gateway_planned_work, a_request_that_waits_for_a_target_at_the_end_of_a_planned_stop_is_refused)
{
    deployment_fixture deployment(66);
    startDeployment(deployment);
    deployment.signal(0, SIGTERM);
    deployment.runLoopFor(milliseconds(500));
    raw_client caller(deployment.listenAddress(0));
    caller.stream->write(wholeRequest("/p/1", "waiting"));
    waitForResponses(deployment, caller, 1);
    cr_assert_eq(caller.count("HTTP/1.1 503"), 1u, "received: %s", caller.received.c_str());
}

Test(gateway_planned_work, a_planned_stop_delivers_the_last_response_to_a_slow_caller)
{
    deployment_fixture deployment(67);
    auto& target = deployment.addTarget("t-1", "pages");
    // Slightly more than the kernel buffers of the caller's connection hold, so that the gateway keeps the last bytes.
    const std::string body(4'050'000, 'x');
    target.setRequestHandler([&](std::shared_ptr<http1::exchange> exchange) { exchange->respond(200, target.responseHeaders(*exchange), body); });
    startDeployment(deployment);
    raw_client caller(deployment.listenAddress(0));
    stopGateway(deployment);
    deployment.runLoopFor(lateInTheStop - milliseconds(500));
    caller.stream->write(wholeRequest("/p/1", "large"));
    deployment.waitUntil([&] { return !caller.received.empty(); }, "the begin of the response");
    caller.stream->setReading(false);
    deployment.runLoopFor(milliseconds(1800));
    caller.stream->setReading(true);
    deployment.waitUntil([&] { return caller.isClosed; }, "the close");
    cr_assert(caller.received.size() > body.size(), "the response was cut after %zu bytes", caller.received.size());
}
