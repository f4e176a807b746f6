/// Streams through the gateway: whole, visibly cut, or resumed.
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
    http1::header_list headers = target.answerHeaders(exchange);
    headers.emplace_back("Content-Type", "text/event-stream");
    return headers;
}
}

Test(gateway_stream, events_pass_as_they_come)
{
    deployment_fixture deployment(180);
    auto& target = deployment.addTarget("t-1", "model");
    std::shared_ptr<http1::exchange> held;
    target.setBehaviour([&](std::shared_ptr<http1::exchange> exchange) { held = std::move(exchange); });
    deployment.configure(3, { deployment.route("/m/", "streaming", "model") });
    deployment.startGateway();
    deployment.waitUntilReady();
    const auto stream = deployment.send("POST", "/m/1");
    deployment.waitUntil([&] { return held != nullptr; }, "the request at its target");
    held->startChunked(200, streamHeaders(target, *held));
    held->writeChunk(event(1));
    deployment.waitUntil([&] { return stream->body == event(1); }, "the first event");
    held->writeChunk(event(2));
    held->finishChunked();
    deployment.waitUntil([&] { return stream->isOver; }, "the end");
    cr_assert_eq(stream->end, http1::call_outcome::Complete);
    cr_assert_eq(stream->body, event(1) + event(2));
    cr_assert_eq(stream->header("X-Response-Seal"), "seal-t-1");
}

Test(gateway_stream, a_stream_that_breaks_off_does_not_look_whole)
{
    deployment_fixture deployment(181);
    auto& target = deployment.addTarget("t-1", "model");
    target.setBehaviour([&](std::shared_ptr<http1::exchange> exchange) {
        exchange->startChunked(200, streamHeaders(target, *exchange));
        exchange->writeChunk(event(1));
        static std::vector<std::shared_ptr<timer>> timers;
        timers.push_back(std::make_shared<timer>());
        timers.back()->startOnce(milliseconds(100), [exchange] { exchange->abort(); });
    });
    deployment.configure(3, { deployment.route("/m/", "streaming", "model") });
    deployment.startGateway();
    deployment.waitUntilReady();
    const auto stream = deployment.ask("POST", "/m/1");
    cr_assert_eq(stream->end, http1::call_outcome::Truncated);
    cr_assert_eq(stream->body, event(1));
    cr_assert_eq(target.requests().size(), 1u);
}

Test(gateway_stream, a_stream_that_may_be_resumed_goes_on_at_another_target)
{
    deployment_fixture deployment(182);
    auto& first = deployment.addTarget("t-1", "model");
    auto& second = deployment.addTarget("t-2", "model");
    std::vector<std::string> resumedFrom;
    size_t runs = 0;
    const auto behaviour = [&](fakes::platform_target& target) {
        return [&](std::shared_ptr<http1::exchange> exchange) {
            resumedFrom.emplace_back(http1::findHeader(exchange->head().headers, "Last-Event-Id").value_or("none"));
            exchange->startChunked(200, streamHeaders(target, *exchange));
            if (++runs > 1) {
                // A repeated event must not reach the caller again.
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
    first.setBehaviour(behaviour(first));
    second.setBehaviour(behaviour(second));
    deployment.configure(3, { deployment.route("/m/", "streaming", "model", { { "resumable", true } }) });
    deployment.startGateway();
    deployment.waitUntilReady();
    const auto stream = deployment.ask("POST", "/m/1");
    cr_assert_eq(stream->end, http1::call_outcome::Complete);
    cr_assert_eq(stream->body, event(1) + event(2) + event(3));
    cr_assert_eq(resumedFrom.size(), 2u);
    cr_assert_eq(resumedFrom[0], "none");
    cr_assert_eq(resumedFrom[1], "2");
}

Test(gateway_stream, a_resumed_stream_with_a_gap_is_cut)
{
    deployment_fixture deployment(183);
    auto& target = deployment.addTarget("t-1", "model");
    target.setBehaviour([&](std::shared_ptr<http1::exchange> exchange) {
        exchange->startChunked(200, streamHeaders(target, *exchange));
        exchange->writeChunk(event(1));
        exchange->writeChunk(event(3));
        exchange->finishChunked();
    });
    deployment.configure(3, { deployment.route("/m/", "streaming", "model", { { "resumable", true }, { "max_attempts", 1 } }) });
    deployment.startGateway();
    deployment.waitUntilReady();
    const auto stream = deployment.ask("POST", "/m/1");
    cr_assert_eq(stream->end, http1::call_outcome::Truncated);
    cr_assert_eq(stream->body, event(1));
}

Test(gateway_stream, a_caller_that_leaves_stops_the_work)
{
    deployment_fixture deployment(184);
    auto& target = deployment.addTarget("t-1", "model");
    std::shared_ptr<http1::exchange> held;
    bool isCallerGone = false;
    target.setBehaviour([&](std::shared_ptr<http1::exchange> exchange) {
        held = std::move(exchange);
        held->setOnDisconnect([&] { isCallerGone = true; });
    });
    deployment.configure(3, { deployment.route("/m/", "streaming", "model") });
    deployment.startGateway();
    deployment.waitUntilReady();
    auto stream = deployment.send("POST", "/m/1");
    deployment.waitUntil([&] { return held != nullptr; }, "the request at its target");
    stream->call.reset();
    deployment.waitUntil([&] { return isCallerGone; }, "the end of the work");
    // The line is written after the connection to the target is closed.
    deployment.waitUntil([&] { return deployment.logOf(0).find("caller_gone") != std::string::npos; }, "the line about it");
}

Test(gateway_stream, the_route_s_time_ends_a_request)
{
    deployment_fixture deployment(185);
    auto& target = deployment.addTarget("t-1", "model");
    std::shared_ptr<http1::exchange> held;
    target.setBehaviour([&](std::shared_ptr<http1::exchange> exchange) { held = std::move(exchange); });
    deployment.configure(3, { deployment.route("/m/", "streaming", "model", { { "timeout_ms", 300 } }) });
    deployment.startGateway();
    deployment.waitUntilReady();
    cr_assert_eq(deployment.ask("POST", "/m/1")->head.status, 504);
    cr_assert(held && held->isFinished());
}

Test(gateway_stream, a_route_that_states_no_pauses_does_not_make_a_target_silent)
{
    deployment_fixture deployment(195);
    auto& target = deployment.addTarget("t-1", "model");
    std::shared_ptr<http1::exchange> held;
    target.setBehaviour([&](std::shared_ptr<http1::exchange> exchange) { held = std::move(exchange); });
    deployment.configure(3, { deployment.route("/m/", "streaming", "model", { { "resumable", true } }) });
    deployment.startGateway();
    deployment.waitUntilReady();
    const auto stream = deployment.send("POST", "/m/1");
    deployment.waitUntil([&] { return held != nullptr; }, "the request at its target");
    held->startChunked(200, streamHeaders(target, *held));
    held->writeChunk(event(1));
    deployment.pass(milliseconds(200));
    held->writeChunk(event(2));
    held->finishChunked();
    deployment.waitUntil([&] { return stream->isOver; }, "the end");
    cr_assert_eq(stream->end, http1::call_outcome::Complete);
    cr_assert_eq(target.requests().size(), 1u);
}
