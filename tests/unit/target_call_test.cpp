/// Calls of a side to a target that breaks off its response.
#include "http1/tcp_stream.hpp"
#include "side/target_call.hpp"
#include "support/test_host.hpp"
#include "support/wait.hpp"

#include <algorithm>
#include <criterion/criterion.h>

using namespace bilberryseam;

namespace {
constexpr milliseconds testTimeout { 10000 };

/// A target that sends the given bytes as its response to each request and, unless they say `keep-alive`, closes its side in
/// an orderly way.
struct breaking_target {
    breaking_target(const ip_endpoint& newAddress, std::vector<std::string> newResponses)
        : address(newAddress)
        , responses(std::move(newResponses))
        , listener(newAddress, [this](std::shared_ptr<http1::tcp_stream> stream) { accept(std::move(stream)); })
    {
    }

    void accept(std::shared_ptr<http1::tcp_stream> stream)
    {
        http1::tcp_stream* const connection = stream.get();
        http1::tcp_stream::callbacks callbacks;
        callbacks.onBytes = [this, connection](std::string_view bytes) {
            if (!bytes.ends_with("}"))
                return;
            const std::string& response = responses[std::min(requestCount++, responses.size() - 1)];
            connection->write(response);
            if (response.find("keep-alive") == std::string::npos)
                connection->finishWriting();
        };
        stream->setCallbacks(std::move(callbacks));
        streams.push_back(std::move(stream));
    }

    side::call_result call(http1::client& http, bool isRetryable, configuration::service_kind kind = configuration::service_kind::Pool)
    {
        configuration::service service;
        service.kind = kind;
        service.isRetryable = isRetryable;
        configuration::target target;
        target.address = address;
        wire::start_call call;
        call.body = R"({"input":1})";
        std::optional<side::call_result> result;
        side::target_call::callbacks callbacks;
        callbacks.onOutput = [this](std::string_view text) { output += text; };
        callbacks.onEnd = [&](side::call_result end) { result = std::move(end); };
        side::target_call running(http, service, target, call, testTimeout, std::move(callbacks));
        tests::runUntil([&] { return result.has_value(); }, testTimeout, "the end of the call");
        return *result;
    }

    ip_endpoint address;
    std::vector<std::string> responses;
    size_t requestCount = 0;
    std::string output;
    std::vector<std::shared_ptr<http1::tcp_stream>> streams;
    http1::tcp_listener listener;
};

side::call_result callTargetThatSends(const ip_endpoint& address, const std::string& response, bool isRetryable)
{
    http1::client http;
    return breaking_target(address, { response }).call(http, isRetryable);
}
}

Test(target_call, truncated_json_without_length_is_not_a_response)
{
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"rows\": [1, 2";
    cr_assert_eq(callTargetThatSends({ tests::testHost(), 1540 }, response, true).end, wire::call_end::TargetCrashed);
    cr_assert_eq(callTargetThatSends({ tests::testHost(), 1541 }, response, false).end, wire::call_end::Unknown);
}

Test(target_call, response_shorter_than_its_length_is_not_a_response)
{
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 100\r\n\r\n{}";
    cr_assert_eq(callTargetThatSends({ tests::testHost(), 1543 }, response, true).end, wire::call_end::TargetCrashed);
    cr_assert_eq(callTargetThatSends({ tests::testHost(), 1544 }, response, false).end, wire::call_end::Unknown);
}

Test(target_call, truncated_json_without_its_last_chunk_is_not_a_response)
{
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{\"rows\": \r\n";
    cr_assert_eq(callTargetThatSends({ tests::testHost(), 1545 }, response, true).end, wire::call_end::TargetCrashed);
    cr_assert_eq(callTargetThatSends({ tests::testHost(), 1546 }, response, false).end, wire::call_end::Unknown);
}

Test(target_call, response_without_its_last_chunk_is_not_a_response)
{
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n";
    cr_assert_eq(callTargetThatSends({ tests::testHost(), 1549 }, response, true).end, wire::call_end::TargetCrashed);
    cr_assert_eq(callTargetThatSends({ tests::testHost(), 1550 }, response, false).end, wire::call_end::Unknown);
}

Test(target_call, response_without_a_body_is_a_response)
{
    cr_assert_eq(callTargetThatSends({ tests::testHost(), 1547 }, "HTTP/1.1 204 No Content\r\n\r\n", false).end, wire::call_end::Answered);
    cr_assert_eq(callTargetThatSends({ tests::testHost(), 1548 }, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntext", false).body, "text");
}

Test(target_call, whole_json_without_length_is_a_response)
{
    const auto result = callTargetThatSends({ tests::testHost(), 1542 }, "HTTP/1.1 200 OK\r\n\r\n{\"rows\": [1, 2]}", false);
    cr_assert_eq(result.end, wire::call_end::Answered);
    cr_assert_eq(result.body, R"({"rows": [1, 2]})");
}

// Guards against a client that sends a request again because a connection that served an earlier call broke.
Test(target_call, call_without_a_response_is_not_sent_again)
{
    for (const bool isRetryable : { true, false }) {
        http1::client http;
        breaking_target target({ tests::testHost(), static_cast<uint16_t>(isRetryable ? 1551 : 1552) }, { "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\n{}", "" });
        cr_assert_eq(target.call(http, isRetryable).end, wire::call_end::Answered);
        const side::call_result result = target.call(http, isRetryable);
        cr_assert_eq(result.end, isRetryable ? wire::call_end::TargetCrashed : wire::call_end::Unknown);
        cr_assert_not(result.isNotStarted);
        cr_assert_eq(target.requestCount, 2u);
    }
}

// Guards against a second run of a call whose output is whole.
Test(target_call, stream_with_its_end_marker_needs_no_last_chunk)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string event = "26\r\ndata: {\"choices\": [{\"text\": \"one\"}]}\n\n\r\n";
    http1::client http;
    breaking_target whole({ tests::testHost(), 1553 }, { head + event + "e\r\ndata: [DONE]\n\n\r\n" });
    cr_assert_eq(whole.call(http, true, configuration::service_kind::Engine).end, wire::call_end::Answered);
    cr_assert_eq(whole.output, "one");
    breaking_target partial({ tests::testHost(), 1554 }, { head + event });
    cr_assert_eq(partial.call(http, true, configuration::service_kind::Engine).end, wire::call_end::TargetCrashed);
    cr_assert_eq(partial.output, "one");
}
