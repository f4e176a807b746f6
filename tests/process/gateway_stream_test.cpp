/// Streams through the gateway: complete, visibly truncated, or resumed.
#include "support/deployment_fixture.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::tests;

namespace {
std::string event(int number)
{
    return "id: " + std::to_string(number) + "\ndata: text " + std::to_string(number) + "\n\n";
}

http1::header_list streamHeaders(const fakes::platform_target& target, const http1::exchange& exchange)
{
    http1::header_list headers = target.responseHeaders(exchange);
    headers.emplace_back("Content-Type", "text/event-stream");
    return headers;
}
}

Test(gateway_stream, events_are_relayed_as_they_arrive)
{
    deployment_fixture deployment(180);
    auto& target = deployment.addTarget("t-1", "model");
    std::shared_ptr<http1::exchange> heldExchange;
    target.setRequestHandler([&](std::shared_ptr<http1::exchange> exchange) { heldExchange = std::move(exchange); });
    deployment.configure(3, { deployment.route("/m/", "streaming", "model") });
    deployment.startGateway();
    deployment.waitUntilReady();
    const auto stream = deployment.send("POST", "/m/1");
    deployment.waitUntil([&] { return heldExchange != nullptr; }, "the request at its target");
    heldExchange->startChunked(200, streamHeaders(target, *heldExchange));
    heldExchange->writeChunk(event(1));
    deployment.waitUntil([&] { return stream->body == event(1); }, "the first event");
    heldExchange->writeChunk(event(2));
    heldExchange->finishChunked();
    deployment.waitUntil([&] { return stream->isFinished; }, "the end");
    cr_assert_eq(stream->outcome, http1::call_outcome::Complete);
    cr_assert_eq(stream->body, event(1) + event(2));
    cr_assert_eq(stream->header("X-Response-Seal"), "seal-t-1");
}

Test(gateway_stream, a_truncated_stream_does_not_look_complete)
{
    deployment_fixture deployment(181);
    auto& target = deployment.addTarget("t-1", "model");
    target.setRequestHandler([&](std::shared_ptr<http1::exchange> exchange) {
        exchange->startChunked(200, streamHeaders(target, *exchange));
        exchange->writeChunk(event(1));
        static std::vector<std::shared_ptr<timer>> timers;
        timers.push_back(std::make_shared<timer>());
        timers.back()->startOnce(milliseconds(100), [exchange] { exchange->abort(); });
    });
    deployment.configure(3, { deployment.route("/m/", "streaming", "model") });
    deployment.startGateway();
    deployment.waitUntilReady();
    const auto stream = deployment.sendAndWait("POST", "/m/1");
    cr_assert_eq(stream->outcome, http1::call_outcome::Truncated);
    cr_assert_eq(stream->body, event(1));
    cr_assert_eq(target.requests().size(), 1u);
}

Test(gateway_stream, a_resumable_stream_continues_at_another_target)
{
    deployment_fixture deployment(182);
    auto& first = deployment.addTarget("t-1", "model");
    auto& second = deployment.addTarget("t-2", "model");
    std::vector<std::string> resumedFrom;
    size_t attempts = 0;
    const auto behaviour = [&](fakes::platform_target& target) {
        return [&](std::shared_ptr<http1::exchange> exchange) {
            resumedFrom.emplace_back(http1::findHeader(exchange->head().headers, "Last-Event-Id").value_or("none"));
            exchange->startChunked(200, streamHeaders(target, *exchange));
            if (++attempts > 1) {
                // A duplicate event must not reach the caller.
                exchange->writeChunk(event(2) + event(3));
                exchange->finishChunked();
                return;
            }
            exchange->writeChunk(event(1) + event(2) + "id: 3\ndata: ha");
            static std::vector<std::shared_ptr<timer>> timers;
            timers.push_back(std::make_shared<timer>());
            timers.back()->startOnce(milliseconds(100), [exchange] { exchange->abort(); });
        };
    };
    first.setRequestHandler(behaviour(first));
    second.setRequestHandler(behaviour(second));
    deployment.configure(3, { deployment.route("/m/", "streaming", "model", { { "resumable", true } }) });
    deployment.startGateway();
    deployment.waitUntilReady();
    const auto stream = deployment.sendAndWait("POST", "/m/1");
    cr_assert_eq(stream->outcome, http1::call_outcome::Complete);
    cr_assert_eq(stream->body, event(1) + event(2) + event(3));
    cr_assert_eq(resumedFrom.size(), 2u);
    cr_assert_eq(resumedFrom[0], "none");
    cr_assert_eq(resumedFrom[1], "2");
}

Test(gateway_stream, a_resumed_stream_with_a_gap_is_cut)
{
    deployment_fixture deployment(183);
    auto& target = deployment.addTarget("t-1", "model");
    target.setRequestHandler([&](std::shared_ptr<http1::exchange> exchange) {
        exchange->startChunked(200, streamHeaders(target, *exchange));
        exchange->writeChunk(event(1));
        exchange->writeChunk(event(3));
        exchange->finishChunked();
    });
    deployment.configure(3, { deployment.route("/m/", "streaming", "model", { { "resumable", true }, { "max_attempts", 1 } }) });
    deployment.startGateway();
    deployment.waitUntilReady();
    const auto stream = deployment.sendAndWait("POST", "/m/1");
    cr_assert_eq(stream->outcome, http1::call_outcome::Truncated);
    cr_assert_eq(stream->body, event(1));
}

Test(gateway_stream, a_disconnected_caller_stops_the_request)
{
    deployment_fixture deployment(184);
    auto& target = deployment.addTarget("t-1", "model");
    std::shared_ptr<http1::exchange> heldExchange;
    bool isCallerDisconnected = false;
    target.setRequestHandler([&](std::shared_ptr<http1::exchange> exchange) {
        heldExchange = std::move(exchange);
        heldExchange->setOnDisconnect([&] { isCallerDisconnected = true; });
    });
    deployment.configure(3, { deployment.route("/m/", "streaming", "model") });
    deployment.startGateway();
    deployment.waitUntilReady();
    auto stream = deployment.send("POST", "/m/1");
    deployment.waitUntil([&] { return heldExchange != nullptr; }, "the request at its target");
    stream->call.reset();
    deployment.waitUntil([&] { return isCallerDisconnected; }, "the end of the request at the target");
    // The gateway writes the log line after it closes the connection to the target.
    deployment.waitUntil([&] { return deployment.logOf(0).find("caller_gone") != std::string::npos; }, "the log line about the disconnect");
}

Test(gateway_stream, the_route_timeout_ends_a_request)
{
    deployment_fixture deployment(185);
    auto& target = deployment.addTarget("t-1", "model");
    std::shared_ptr<http1::exchange> heldExchange;
    target.setRequestHandler([&](std::shared_ptr<http1::exchange> exchange) { heldExchange = std::move(exchange); });
    deployment.configure(3, { deployment.route("/m/", "streaming", "model", { { "timeout_ms", 300 } }) });
    deployment.startGateway();
    deployment.waitUntilReady();
    cr_assert_eq(deployment.sendAndWait("POST", "/m/1")->head.status, 504);
    cr_assert(heldExchange && heldExchange->isFinished());
}

Test(gateway_stream, a_route_without_a_gap_objective_does_not_make_a_target_unresponsive)
{
    deployment_fixture deployment(195);
    auto& target = deployment.addTarget("t-1", "model");
    std::shared_ptr<http1::exchange> heldExchange;
    target.setRequestHandler([&](std::shared_ptr<http1::exchange> exchange) { heldExchange = std::move(exchange); });
    deployment.configure(3, { deployment.route("/m/", "streaming", "model", { { "resumable", true } }) });
    deployment.startGateway();
    deployment.waitUntilReady();
    const auto stream = deployment.send("POST", "/m/1");
    deployment.waitUntil([&] { return heldExchange != nullptr; }, "the request at its target");
    heldExchange->startChunked(200, streamHeaders(target, *heldExchange));
    heldExchange->writeChunk(event(1));
    deployment.runLoopFor(milliseconds(200));
    heldExchange->writeChunk(event(2));
    heldExchange->finishChunked();
    deployment.waitUntil([&] { return stream->isFinished; }, "the end");
    cr_assert_eq(stream->outcome, http1::call_outcome::Complete);
    cr_assert_eq(target.requests().size(), 1u);
}
