/// Targets that are silent for a while and then go on: no response may be ended for silence alone.
#include "support/scripted_target.hpp"

#include <criterion/criterion.h>
#include <csignal>
#include <deque>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
/// Longer than the gateway waits for a byte before it treats a target as silent.
constexpr milliseconds silence { 1500 };

constexpr std::string_view wholeStream = "id: 1\ndata: text 1\n\nid: 2\ndata: text 2\n\n";

void checkWhole(const caller_exchange& stream)
{
    cr_assert_eq(stream.outcome, http1::call_outcome::Complete);
    cr_assert_eq(stream.head.status, 200);
    cr_assert_eq(stream.body, std::string(wholeStream), "the caller received: %s", stream.body.c_str());
}
}

Test(gateway_silence, a_stream_that_is_silent_between_events_is_not_cut_if_no_other_target_is_listed)
{
    deployment_fixture deployment(9);
    auto& target = deployment.addTarget("t-1", "model");
    scripted_target script(target, {});
    script.setSteps({ script.head(milliseconds(0)), bytes(milliseconds(10), event(1)), bytes(silence, event(2)), end() });
    deployment.configure(3, { resumableRoute() });
    deployment.startGateway();
    deployment.waitUntilReady();
    checkWhole(*deployment.sendAndWait("POST", "/m/1"));
    cr_assert_eq(script.requestCount(), 1u);
}

Test(gateway_silence, a_stream_that_is_silent_inside_an_event_is_not_cut_if_no_other_target_is_listed)
{
    deployment_fixture deployment(10);
    auto& target = deployment.addTarget("t-1", "model");
    scripted_target script(target, {});
    script.setSteps({ script.head(milliseconds(0)), bytes(milliseconds(10), event(1) + "id: 2\nda"), bytes(silence, "ta: text 2\n\n"), end() });
    deployment.configure(3, { resumableRoute() });
    deployment.startGateway();
    deployment.waitUntilReady();
    checkWhole(*deployment.sendAndWait("POST", "/m/1"));
    cr_assert_eq(script.requestCount(), 1u);
}

Test(gateway_silence, a_request_whose_target_is_silent_before_the_head_is_not_failed_if_no_other_target_is_listed)
{
    deployment_fixture deployment(11);
    auto& target = deployment.addTarget("t-1", "model");
    scripted_target script(target, {});
    // Longer than a request without a usable target waits.
    script.setSteps({ script.head(silence + milliseconds(700)), bytes(milliseconds(10), event(1)), bytes(milliseconds(10), event(2)), end() });
    deployment.configure(3, { resumableRoute() });
    deployment.startGateway();
    deployment.waitUntilReady();
    checkWhole(*deployment.sendAndWait("POST", "/m/1"));
    cr_assert_eq(script.requestCount(), 1u);
}

Test(gateway_silence, a_stream_that_is_silent_between_head_and_body_is_not_cut_if_no_other_target_is_listed)
{
    deployment_fixture deployment(12);
    auto& target = deployment.addTarget("t-1", "model");
    scripted_target script(target, {});
    script.setSteps({ script.head(milliseconds(0)), bytes(silence + milliseconds(700), event(1)), bytes(milliseconds(10), event(2)), end() });
    deployment.configure(3, { resumableRoute() });
    deployment.startGateway();
    deployment.waitUntilReady();
    checkWhole(*deployment.sendAndWait("POST", "/m/1"));
    cr_assert_eq(script.requestCount(), 1u);
}

Test(gateway_silence, a_silent_stream_is_not_cut_if_the_retry_budget_is_spent)
{
    deployment_fixture deployment(13);
    std::deque<scripted_target> scripts;
    for (const char* id : { "t-1", "t-2" }) {
        auto& script = scripts.emplace_back(deployment.addTarget(id, "model"), std::vector<step>());
        script.setSteps({ script.head(milliseconds(0)), bytes(milliseconds(10), event(1)), bytes(silence, event(2)), end() });
    }
    deployment.configure(3, { resumableRoute() });
    deployment.startGateway({ { "retrySlack", 0 }, { "retryRatio", 0 } });
    deployment.waitUntilReady();
    checkWhole(*deployment.sendAndWait("POST", "/m/1"));
    cr_assert_eq(scripts[0].requestCount() + scripts[1].requestCount(), 1u);
}

Test(gateway_silence, a_silent_stream_goes_on_if_the_other_target_refuses_breaks_off_or_fails)
{
    deployment_fixture deployment(14);
    deployment.configure(3, { resumableRoute() });
    std::vector<std::function<void(std::shared_ptr<http1::exchange>)>> failures;
    auto& target = deployment.addTarget("t-1", "model");
    auto& other = deployment.addTarget("t-2", "model");
    failures.emplace_back([](std::shared_ptr<http1::exchange> exchange) { exchange->respond(503, { { "X-Not-Executed", "1" } }, {}); });
    failures.emplace_back([](std::shared_ptr<http1::exchange> exchange) { exchange->abort(); });
    failures.emplace_back([&](std::shared_ptr<http1::exchange> exchange) { exchange->respond(500, other.responseHeaders(*exchange), "failed"); });
    deployment.startGateway();
    deployment.waitUntilReady();
    scripted_target script(target, {});
    script.setSteps({ script.head(milliseconds(0)), bytes(milliseconds(10), event(1)), bytes(silence, event(2)), end() });
    for (size_t i = 0; i < failures.size(); ++i) {
        // The first send goes to the scripted target, since the other one refuses it.
        other.setRequestHandler([&](std::shared_ptr<http1::exchange> exchange) {
            if (http1::findHeader(exchange->head().headers, "Last-Event-Id"))
                failures[i](std::move(exchange));
            else
                exchange->respond(503, { { "X-Not-Executed", "1" } }, {});
        });
        checkWhole(*deployment.sendAndWait("POST", "/m/" + std::to_string(i)));
        // The target is not blocked for the next request.
        deployment.runLoopFor(milliseconds(300));
    }
    cr_assert_eq(script.requestCount(), failures.size());
    cr_assert_eq(script.closedCount(), 0u);
}

Test(gateway_silence, a_target_that_goes_on_before_the_other_one_delivers_keeps_its_stream)
{
    deployment_fixture deployment(15);
    std::deque<scripted_target> scripts;
    for (const char* id : { "t-1", "t-2" }) {
        auto& script = scripts.emplace_back(deployment.addTarget(id, "model"), std::vector<step>());
        script.setSteps({ script.head(milliseconds(0)), bytes(milliseconds(10), event(1)), bytes(silence, event(2)), end() });
    }
    deployment.configure(3, { resumableRoute() });
    deployment.startGateway();
    deployment.waitUntilReady();
    checkWhole(*deployment.sendAndWait("POST", "/m/1"));
    // The second run began when the first was silent for a second, and would have delivered only its duplicate first event.
    cr_assert_eq(scripts[0].requestCount(), 1u);
    cr_assert_eq(scripts[1].requestCount(), 1u);
    deployment.waitUntil([&] { return scripts[0].closedCount() + scripts[1].closedCount() == 1; }, "the end of the second run");
}

Test(gateway_silence, the_first_run_of_a_silent_stream_continues_until_the_second_has_delivered)
{
    deployment_fixture deployment(16);
    std::deque<scripted_target> scripts;
    std::vector<bool> wasFirstOpen;
    for (const char* id : { "t-1", "t-2" }) {
        auto& target = deployment.addTarget(id, "model");
        scripts.emplace_back(target, std::vector<step>());
        target.setRequestHandler([&, answers = std::make_shared<std::deque<timer>>()](std::shared_ptr<http1::exchange> exchange) {
            const bool isResumed = http1::findHeader(exchange->head().headers, "Last-Event-Id").has_value();
            exchange->startChunked(200, target.responseHeaders(*exchange));
            static std::shared_ptr<http1::exchange> first;
            if (!isResumed) {
                exchange->writeChunk(event(1));
                first = exchange;
                return;
            }
            answers->emplace_back().startOnce(milliseconds(300), [&, exchange] {
                wasFirstOpen.push_back(!first->isFinished());
                exchange->writeChunk(event(2));
                exchange->finishChunked();
            });
        });
    }
    deployment.configure(3, { resumableRoute() });
    deployment.startGateway();
    deployment.waitUntilReady();
    checkWhole(*deployment.sendAndWait("POST", "/m/1"));
    cr_assert_eq(wasFirstOpen.size(), 1u);
    cr_assert(wasFirstOpen[0], "the first run was ended before the second had delivered");
}

Test(gateway_silence, an_idempotent_request_is_answered_by_whichever_target_goes_on_first)
{
    deployment_fixture deployment(17);
    std::deque<scripted_target> scripts;
    for (const char* id : { "t-1", "t-2" }) {
        auto& target = deployment.addTarget(id, "pages");
        scripts.emplace_back(target, std::vector<step> { { milliseconds(1000), [&target](http1::exchange& exchange) { exchange.respond(200, target.responseHeaders(exchange), target.id()); } } });
    }
    deployment.configure(3, { deployment.route("/p/", "idempotent", "pages", { { "target_latency_ms", 300 } }) });
    deployment.startGateway();
    deployment.waitUntilReady();
    const time_point sentAt = monotonicNow();
    const auto response = deployment.sendAndWait("GET", "/p/1");
    cr_assert_eq(response->head.status, 200);
    // The second request is sent after 450 ms and answered 1000 ms later; the first one answers earlier.
    const std::string first = scripts[0].closedCount() == 0 && scripts[0].requestCount() == 1 ? "t-1" : "t-2";
    cr_assert_eq(response->header("X-Response-Seal"), "seal-" + response->body);
    cr_assert_eq(scripts[0].requestCount() + scripts[1].requestCount(), 2u);
    cr_assert(monotonicNow() - sentAt < milliseconds(3500));
}

Test(gateway_silence, a_silent_stream_whose_stage_results_are_released_is_not_cut)
{
    deployment_fixture deployment(18);
    std::deque<scripted_target> scripts;
    for (const char* id : { "t-1", "t-2" }) {
        auto& script = scripts.emplace_back(deployment.addTarget(id, "model"), std::vector<step>());
        script.setSteps({ script.head(milliseconds(0)), bytes(milliseconds(10), event(1)), bytes(silence, event(2)), end() });
    }
    const auto& encoder = deployment.addTarget("e-1", "encode");
    const json pool { { "name", "encode" }, { "pieces", { { "slots", 1 }, { "queue", 2 }, { "batch", 8 }, { "call_ms", 5 }, { "item_ms", 1 }, { "headroom_mb", 10 }, { "handle_s", 4 } } } };
    const json stages { { { "service", "encode" }, { "after", json::array() }, { "bytes", 1000 } } };
    deployment.configure(3, { resumableRoute({ { "stages", stages } }) }, { pool });
    deployment.startGateway();
    deployment.waitUntilReady();
    checkWhole(*deployment.sendAndWait("POST", "/m/1", { { "X-Pieces", "1" }, { "X-Piece-Key", "k" } }));
    cr_assert_eq(scripts[0].requestCount() + scripts[1].requestCount(), 1u);
    cr_assert_eq(encoder.batchCalls().size(), 1u, "the stages were repeated for a target that went on");
}

Test(gateway_silence, a_begun_stream_is_not_ended_by_another_status_of_its_second_run)
{
    deployment_fixture deployment(225);
    deployment.configure(3, { resumableRoute() });
    auto& target = deployment.addTarget("t-1", "model");
    auto& other = deployment.addTarget("t-2", "model");
    deployment.startGateway();
    deployment.waitUntilReady();
    scripted_target script(target, {});
    script.setSteps({ script.head(milliseconds(0)), bytes(milliseconds(10), event(1)), bytes(silence, event(2)), end() });
    for (const unsigned status : { 404u, 429u, 204u }) {
        other.setRequestHandler([&](std::shared_ptr<http1::exchange> exchange) {
            // The first send goes to the scripted target, since the other one refuses it.
            if (http1::findHeader(exchange->head().headers, "Last-Event-Id"))
                exchange->respond(status, other.responseHeaders(*exchange), {});
            else
                exchange->respond(503, { { "X-Not-Executed", "1" } }, {});
        });
        checkWhole(*deployment.sendAndWait("POST", "/m/" + std::to_string(status)));
    }
    cr_assert_eq(script.closedCount(), 0u);
}

Test(gateway_silence, a_broken_stream_whose_second_run_gets_another_status_does_not_end_as_complete)
{
    deployment_fixture deployment(226);
    deployment.configure(3, { resumableRoute() });
    std::deque<timer> ends;
    unsigned status = 0;
    for (const char* id : { "t-1", "t-2" }) {
        auto& target = deployment.addTarget(id, "model");
        target.setRequestHandler([&](std::shared_ptr<http1::exchange> exchange) {
            if (http1::findHeader(exchange->head().headers, "Last-Event-Id")) {
                exchange->respond(status, target.responseHeaders(*exchange), {});
                return;
            }
            exchange->startChunked(200, target.responseHeaders(*exchange));
            exchange->writeChunk(event(1));
            ends.emplace_back().startOnce(milliseconds(100), [exchange] { exchange->abort(); });
        });
    }
    deployment.startGateway();
    deployment.waitUntilReady();
    for (const unsigned nextStatus : { 404u, 429u }) {
        status = nextStatus;
        const auto stream = deployment.sendAndWait("POST", "/m/" + std::to_string(status));
        cr_assert_eq(stream->body, event(1));
        cr_assert_eq(stream->outcome, http1::call_outcome::Truncated, "status %u of the second run ended the stream as %s", status, std::string(nameOf(stream->outcome)).c_str());
        deployment.runLoopFor(milliseconds(1500));
    }
}

Test(gateway_silence, a_silent_target_is_not_given_up_when_the_other_one_answers_with_a_status_that_is_not_passed_on)
{
    deployment_fixture deployment(227);
    std::deque<timer> answers;
    size_t received = 0;
    for (const char* id : { "t-1", "t-2" }) {
        auto& target = deployment.addTarget(id, "pages");
        target.setRequestHandler([&](std::shared_ptr<http1::exchange> exchange) {
            if (++received == 2)
                exchange->respond(429, target.responseHeaders(*exchange), {});
            else
                answers.emplace_back().startOnce(silence, [&target, exchange] { exchange->respond(200, target.responseHeaders(*exchange), "whole"); });
        });
    }
    deployment.configure(3, { deployment.route("/p/", "idempotent", "pages", { { "target_latency_ms", 300 }, { "max_attempts", 2 } }) });
    deployment.startGateway();
    deployment.waitUntilReady();
    const auto response = deployment.sendAndWait("GET", "/p/1");
    cr_assert_eq(received, 2u);
    cr_assert_eq(response->head.status, 200, "the caller received status %u", response->head.status);
    cr_assert_eq(response->body, "whole");
}

Test(gateway_silence, a_request_that_a_target_has_run_and_failed_is_not_refused_as_unrun)
{
    deployment_fixture deployment(228);
    std::shared_ptr<http1::exchange> held;
    auto& target = deployment.addTarget("t-1", "pages");
    target.setRequestHandler([&](std::shared_ptr<http1::exchange> exchange) { held = std::move(exchange); });
    deployment.configure(3, { deployment.route("/p/", "idempotent", "pages", { { "target_latency_ms", 6000 }, { "max_attempts", 2 } }) });
    deployment.startGateway();
    deployment.waitUntilReady();
    const caller_ptr caller = deployment.send("GET", "/p/1");
    deployment.waitUntil([&] { return held != nullptr; }, "the request");
    deployment.unlistTarget("t-1");
    deployment.waitUntil([&] { return deployment.logOf(0).find("removed") != std::string::npos; }, "the removal of the target");
    held->respond(500, target.responseHeaders(*held), {});
    deployment.waitUntil([&] { return caller->isFinished; }, "the response");
    cr_assert_eq(target.requests().size(), 1u);
    cr_assert_eq(caller->head.status, 502, "the caller received status %u", caller->head.status);
}

Test(gateway_silence, a_target_that_is_not_read_for_a_slow_caller_does_not_count_as_silent)
{
    deployment_fixture deployment(229);
    std::string events;
    for (int i = 1; i <= 24 * 1024; ++i)
        events.append("id: " + std::to_string(i) + "\ndata: " + std::string(1000, 'x') + "\n\n");
    std::deque<scripted_target> scripts;
    for (const char* id : { "t-1", "t-2" }) {
        auto& script = scripts.emplace_back(deployment.addTarget(id, "model"), std::vector<step>());
        script.setSteps({ script.head(milliseconds(0)), bytes(milliseconds(10), events), end() });
    }
    deployment.configure(3, { resumableRoute() });
    deployment.startGateway();
    deployment.waitUntilReady();
    const caller_ptr caller = deployment.send("POST", "/m/1");
    deployment.waitUntil([&] { return caller->hasHead; }, "the head");
    caller->call->setReading(false);
    deployment.runLoopFor(silence + milliseconds(500));
    caller->call->setReading(true);
    deployment.waitUntil([&] { return caller->isFinished; }, "the stream");
    cr_assert_eq(caller->outcome, http1::call_outcome::Complete);
    cr_assert_eq(caller->body.size(), events.size());
    cr_assert_eq(deployment.logOf(0).find("The target of a request is silent."), std::string::npos, "the target counted as silent");
    cr_assert_eq(scripts[0].requestCount() + scripts[1].requestCount(), 1u, "the request ran a second time");
}

Test(gateway_silence, a_freeze_of_the_gateway_does_not_count_as_silence_of_its_targets)
{
    deployment_fixture deployment(231);
    auto& target = deployment.addTarget("t-1", "model");
    scripted_target script(target, {});
    script.setSteps({ script.head(milliseconds(0)), bytes(milliseconds(10), event(1)), bytes(milliseconds(500), event(2)), end(milliseconds(1700)) });
    deployment.configure(3, { resumableRoute() });
    deployment.startGateway();
    deployment.waitUntilReady();
    const auto stream = deployment.send("POST", "/m/1");
    deployment.waitUntil([&] { return !stream->body.empty(); }, "the first event");
    deployment.signal(0, SIGSTOP);
    deployment.runLoopFor(milliseconds(1500));
    deployment.signal(0, SIGCONT);
    deployment.waitUntil([&] { return stream->isFinished; }, "the end");
    checkWhole(*stream);
    cr_assert_eq(deployment.logOf(0).find("The target of a request is silent."), std::string::npos);
}
