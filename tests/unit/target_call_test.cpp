/// Calls of a side to a target that breaks off its response.
#include "http1/tcp_stream.hpp"
#include "side/target_call.hpp"
#include "support/test_host.hpp"
#include "support/wait.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;

namespace {
constexpr milliseconds testTimeout { 10000 };

/// Runs a call to a service at a target that sends these bytes and then closes its side in an orderly way.
side::call_result callTargetThatSends(const ip_endpoint& address, const std::string& response, bool isRetryable)
{
    std::vector<std::shared_ptr<http1::tcp_stream>> streams;
    http1::tcp_listener listener(address, [&](std::shared_ptr<http1::tcp_stream> stream) {
        http1::tcp_stream* const connection = stream.get();
        http1::tcp_stream::callbacks callbacks;
        callbacks.onBytes = [connection, &response](std::string_view bytes) {
            if (!bytes.ends_with("}"))
                return;
            connection->write(response);
            connection->finishWriting();
        };
        stream->setCallbacks(std::move(callbacks));
        streams.push_back(std::move(stream));
    });
    configuration::service service;
    service.kind = configuration::service_kind::Pool;
    service.isRetryable = isRetryable;
    configuration::target target;
    target.address = address;
    wire::start_call call;
    call.body = R"({"input":1})";
    http_client http;
    std::optional<side::call_result> result;
    side::target_call::callbacks callbacks;
    callbacks.onEnd = [&](side::call_result end) { result = std::move(end); };
    side::target_call running(http, service, target, call, testTimeout, std::move(callbacks));
    tests::runUntil([&] { return result.has_value(); }, testTimeout, "the end of the call");
    return *result;
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
