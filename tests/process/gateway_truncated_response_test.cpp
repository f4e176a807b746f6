/// Responses that a target breaks off: none may reach the caller as complete, whatever delimits it.
#include "base/hash.hpp"
#include "support/deployment_fixture.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::tests;

namespace {
const std::string firstEvent = "id: 1\ndata: one\n\n";
const std::string secondEvent = "id: 2\ndata: two\n\n";
const std::string partialEvent = "id: 3\ndata: thr";

/// Time for the gateway to relay what the target has sent before its connection ends.
constexpr milliseconds relayTime { 100 };

/// A deployment with one target and one route.
struct truncation_test {
    truncation_test(int slot, const std::string& kind, const nlohmann::json& routeChanges = nlohmann::json::object())
        : deployment(slot)
        , target(deployment.addTarget("t-1", "model"))
    {
        deployment.configure(3, { deployment_fixture::route("/m/", kind, "model", routeChanges) });
    }

    /// Makes the target respond without a length and then close its side in an orderly way.
    void respondUnframed(const std::string& body)
    {
        target.setRequestHandler([this, body](std::shared_ptr<http1::exchange> exchange) {
            connection = target.startUnframed(*exchange);
            connection->write(body);
            connection->finishWriting();
        });
    }

    /// Makes the target respond without a length and then reset the connection.
    void respondUnframedAndReset(const std::string& body)
    {
        target.setRequestHandler([this, body](std::shared_ptr<http1::exchange> exchange) {
            connection = target.startUnframed(*exchange);
            connection->write(body);
            delay.startOnce(relayTime, [this] { connection->reset(); });
        });
    }

    caller_ptr run()
    {
        deployment.startGateway();
        deployment.waitUntilReady();
        return deployment.sendAndWait("POST", "/m/1");
    }

    deployment_fixture deployment;
    fakes::platform_target& target;
    std::shared_ptr<http1::tcp_stream> connection;
    timer delay;
};
}

Test(gateway_truncated_response, a_stream_without_length_that_ends_inside_an_event_does_not_look_complete)
{
    truncation_test test(140, "streaming");
    test.respondUnframed(firstEvent + partialEvent);
    const auto stream = test.run();
    cr_assert_eq(stream->outcome, http1::call_outcome::Truncated, "the caller got a complete response: %s", stream->body.c_str());
    cr_assert_eq(test.target.requests().size(), 1u);
}

Test(gateway_truncated_response, a_chunked_stream_that_ends_inside_an_event_does_not_look_complete)
{
    truncation_test test(141, "streaming");
    test.target.setRequestHandler([&](std::shared_ptr<http1::exchange> exchange) {
        exchange->startChunked(200, test.target.responseHeaders(*exchange));
        exchange->writeChunk(firstEvent + partialEvent);
        exchange->finishChunked();
    });
    const auto stream = test.run();
    cr_assert_eq(stream->outcome, http1::call_outcome::Truncated, "the caller got a complete response: %s", stream->body.c_str());
}

Test(gateway_truncated_response, a_stream_that_ends_without_length_before_its_first_event_is_a_failure)
{
    truncation_test test(142, "streaming");
    test.respondUnframed("");
    const auto stream = test.run();
    cr_assert_eq(stream->outcome, http1::call_outcome::Complete);
    cr_assert_eq(stream->head.status, 502);
    cr_assert_eq(test.target.requests().size(), 1u);
}

Test(gateway_truncated_response, a_resumable_stream_that_ends_without_length_before_its_first_event_is_sent_again)
{
    truncation_test test(143, "streaming", { { "resumable", true } });
    test.respondUnframed("");
    auto& second = test.deployment.addTarget("t-2", "model");
    const auto respond = [&](fakes::platform_target& target) {
        return [&](std::shared_ptr<http1::exchange> exchange) {
            if (test.target.requests().size() + second.requests().size() == 1) {
                test.connection = target.startUnframed(*exchange);
                test.connection->finishWriting();
                return;
            }
            exchange->respond(200, target.responseHeaders(*exchange), firstEvent);
        };
    };
    test.target.setRequestHandler(respond(test.target));
    second.setRequestHandler(respond(second));
    const auto stream = test.run();
    cr_assert_eq(stream->outcome, http1::call_outcome::Complete);
    cr_assert_eq(stream->body, firstEvent);
}

Test(gateway_truncated_response, the_log_and_the_metrics_show_how_a_response_ended)
{
    truncation_test test(150, "streaming");
    test.respondUnframed(firstEvent + partialEvent);
    test.run();
    const std::string line = R"("end":"unframed","status":"200","framing":"connection","connection":"closed","body_bytes":"32","inside_event":"true","unsent_bytes":"0")";
    test.deployment.waitUntil([&] { return test.deployment.logOf(0).find(line) != std::string::npos; }, "the log line about the end of the response");
    cr_assert_neq(test.deployment.metricsOf(0).find(R"(bilberryseam_responses_total{connection="closed",end="unframed",framing="connection"} 1)"), std::string::npos);
}

Test(gateway_truncated_response, the_log_names_the_prompt_segments_of_a_request_that_may_have_crashed_its_target)
{
    truncation_test test(151, "streaming");
    test.respondUnframed(partialEvent);
    test.deployment.startGateway();
    test.deployment.waitUntilReady();
    test.deployment.sendAndWait("POST", "/m/1", { { "X-Token-Counts", "90,10" }, { "X-Prompt-Prefix", "aa:40,bb:30,cc:20" } });
    const std::string line = R"("strikes":"1","segments":")" + textOfHash(hashOf("aa")) + "," + textOfHash(hashOf("bb")) + R"(","first_event_ms_ago":")";
    test.deployment.waitUntil([&] { return test.deployment.logOf(0).find(line) != std::string::npos; }, "the log line about the suspected crash");
    cr_assert_neq(test.deployment.metricsOf(0).find(R"(bilberryseam_crash_strikes_total{begun="true"} 1)"), std::string::npos);
}

Test(gateway_truncated_response, a_request_whose_streams_are_truncated_repeatedly_is_refused)
{
    truncation_test test(149, "streaming");
    test.respondUnframed(partialEvent);
    cr_assert_eq(test.run()->outcome, http1::call_outcome::Truncated);
    cr_assert_eq(test.deployment.sendAndWait("POST", "/m/1")->outcome, http1::call_outcome::Truncated);
    cr_assert_eq(test.deployment.sendAndWait("POST", "/m/1")->head.status, 503);
    cr_assert_eq(test.target.requests().size(), 2u);
}

Test(gateway_truncated_response, a_whole_stream_without_length_is_complete)
{
    truncation_test test(144, "streaming");
    test.respondUnframed(firstEvent + secondEvent);
    const auto stream = test.run();
    cr_assert_eq(stream->outcome, http1::call_outcome::Complete);
    cr_assert_eq(stream->head.status, 200);
    cr_assert_eq(stream->body, firstEvent + secondEvent);
}

Test(gateway_truncated_response, a_stream_without_length_that_is_reset_between_events_does_not_look_complete)
{
    truncation_test test(145, "streaming");
    test.respondUnframedAndReset(firstEvent);
    cr_assert_eq(test.run()->outcome, http1::call_outcome::Truncated);
}

Test(gateway_truncated_response, a_resumable_stream_without_length_that_ends_inside_an_event_continues_at_another_target)
{
    truncation_test test(146, "streaming", { { "resumable", true } });
    auto& second = test.deployment.addTarget("t-2", "model");
    const auto respond = [&](fakes::platform_target& target) {
        return [&](std::shared_ptr<http1::exchange> exchange) {
            const bool isResumed = http1::findHeader(exchange->head().headers, "Last-Event-Id").has_value();
            test.connection = target.startUnframed(*exchange);
            test.connection->write(isResumed ? secondEvent : firstEvent + "id: 2\nda");
            test.connection->finishWriting();
        };
    };
    test.target.setRequestHandler(respond(test.target));
    second.setRequestHandler(respond(second));
    const auto stream = test.run();
    cr_assert_eq(stream->outcome, http1::call_outcome::Complete);
    cr_assert_eq(stream->body, firstEvent + secondEvent);
}

Test(gateway_truncated_response, a_plain_response_without_length_ends_with_its_connection)
{
    truncation_test test(147, "non_idempotent");
    test.respondUnframed("booked");
    const auto response = test.run();
    cr_assert_eq(response->outcome, http1::call_outcome::Complete);
    cr_assert_eq(response->head.status, 200);
    cr_assert_eq(response->body, "booked");
}

Test(gateway_truncated_response, a_plain_response_without_length_that_is_reset_is_a_failure)
{
    truncation_test test(148, "non_idempotent");
    test.respondUnframedAndReset("boo");
    cr_assert_eq(test.run()->head.status, 502);
    cr_assert_eq(test.target.requests().size(), 1u);
}
