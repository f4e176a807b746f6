/// Tests for the HTTP/1.1 server with hostile clients and for the client with faulty servers, on real sockets in one event loop.
#include "http1/client.hpp"
#include "http1/server.hpp"
#include "support/raw_client.hpp"
#include "support/test_host.hpp"
#include "support/wait.hpp"

#include <criterion/criterion.h>
#include <csignal>
#include <functional>

using namespace bilberryseam;
using namespace bilberryseam::http1;
using tests::raw_client;

namespace {
constexpr milliseconds testTimeout { 10000 };

/// @return A separate port for each test, below the range of ephemeral ports.
ip_endpoint endpointOf(uint16_t test)
{
    std::signal(SIGPIPE, SIG_IGN);
    return { tests::testHost(), static_cast<uint16_t>(1500 + test) };
}

void runUntil(const std::function<bool()>& condition, const char* what)
{
    tests::runUntil(condition, testTimeout, what);
}

struct raw_exchange_result {
    std::string response;
    size_t handledRequests = 0;
};

/// Sends bytes to a server with small limits and waits until the server closes the connection.
raw_exchange_result exchangeRawBytes(uint16_t test, const std::string& bytes)
{
    raw_exchange_result result;
    server_limits limits;
    limits.maxHeaderBytes = 1000;
    limits.maxBodyBytes = 100;
    limits.headerTimeout = milliseconds(200);
    server testServer(
        endpointOf(test), [limits] { return limits; }, [&](std::shared_ptr<exchange> request) {
        ++result.handledRequests;
        request->respond(200, {}, "handled"); });
    raw_client client(endpointOf(test));
    client.stream->write(bytes);
    runUntil([&] { return client.isClosed; }, "the close");
    result.response = client.received;
    return result;
}

void expectRefusal(uint16_t test, const std::string& bytes, const std::string& status)
{
    const raw_exchange_result result = exchangeRawBytes(test, bytes);
    cr_assert_eq(result.handledRequests, 0u, "the request was handled");
    cr_assert(result.response.starts_with("HTTP/1.1 " + status + " "), "response: %s", result.response.c_str());
}

/// A server that calls a function for each request header, and counts connections and requests.
struct raw_server {
    raw_server(uint16_t test, std::function<void(tcp_stream&, size_t requestNumber)> respond)
        : listener(endpointOf(test), [this, respond](std::shared_ptr<tcp_stream> stream) {
            ++connections;
            streams.push_back(stream);
            tcp_stream* const raw = stream.get();
            tcp_stream::callbacks callbacks;
            callbacks.onBytes = [this, respond, raw](std::string_view bytes) {
                received.append(bytes);
                if (received.ends_with("\r\n\r\n"))
                    respond(*raw, ++requests);
            };
            stream->setCallbacks(std::move(callbacks));
        })
    {
    }

    std::vector<std::shared_ptr<tcp_stream>> streams;
    std::string received;
    size_t connections = 0;
    size_t requests = 0;
    tcp_listener listener;
};

struct call_result {
    response_head head;
    std::string body;
    call_outcome outcome = call_outcome::NoResponse;
    bool isFinished = false;
    std::shared_ptr<client_call> call;
};

void send(client& httpClient, uint16_t test, call_result& result, call_options options = {})
{
    client_call::callbacks callbacks;
    callbacks.onHead = [&result](const response_head& head) { result.head = head; };
    callbacks.onBody = [&result](std::string_view bytes) { result.body.append(bytes); };
    callbacks.onEnd = [&result](call_outcome outcome) {
        result.outcome = outcome;
        result.isFinished = true;
    };
    result.call = httpClient.send(endpointOf(test), { "GET", "/x", { { "Host", "a" } }, "" }, options, std::move(callbacks));
}

call_result sendAndWait(client& httpClient, uint16_t test, call_options options = {})
{
    call_result result;
    send(httpClient, test, result, options);
    runUntil([&] { return result.isFinished; }, "the end of the call");
    return result;
}

const std::string okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
}

Test(http1_server, conflicting_content_lengths_are_refused)
{
    expectRefusal(0, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400");
}

Test(http1_server, content_length_with_chunked_encoding_is_refused)
{
    expectRefusal(1, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400");
}

Test(http1_server, unsupported_transfer_encodings_are_refused)
{
    expectRefusal(2, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n", "400");
    expectRefusal(2, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "400");
}

Test(http1_server, invalid_chunk_sizes_are_refused)
{
    expectRefusal(3, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n", "400");
    expectRefusal(3, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nabc\r\n", "400");
}

Test(http1_server, bare_line_feeds_and_spaces_before_colons_are_refused)
{
    expectRefusal(4, "GET / HTTP/1.1\nHost: a\n\n", "400");
    expectRefusal(4, "GET / HTTP/1.1\r\nHost : a\r\n\r\n", "400");
}

Test(http1_server, headers_and_bodies_over_the_limit_are_refused)
{
    expectRefusal(5, "GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(2000, 'x') + "\r\n\r\n", "431");
    expectRefusal(5, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n", "413");
    expectRefusal(5, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + std::string(101, 'x') + "\r\n0\r\n\r\n", "413");
}

// Guards against a request that is buffered without limit because its framing never ends.
Test(http1_server, chunk_lines_and_trailers_over_the_limit_are_refused)
{
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string endless(100000, 'a');
    expectRefusal(52, head + endless, "400");
    expectRefusal(52, head + "1\r\na\r\n1;name=" + endless, "400");
    expectRefusal(52, head + "1\r\na\r\n0\r\nX-Field: " + endless, "400");
}

Test(http1_server, chunk_lines_and_trailers_within_the_limit_are_read)
{
    const std::string bytes = "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n1;name=" + std::string(900, 'a') + "\r\na\r\n0\r\nX-Field: " + std::string(900, 'a') + "\r\n\r\n";
    const raw_exchange_result result = exchangeRawBytes(53, bytes);
    cr_assert_eq(result.handledRequests, 1u, "response: %s", result.response.c_str());
}

Test(http1_server, incomplete_header_times_out)
{
    expectRefusal(6, "GET / HTTP/1.1\r\nHost:", "408");
}

Test(http1_server, incomplete_body_times_out)
{
    expectRefusal(7, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 50\r\n\r\nhalf", "408");
}

Test(http1_server, pipelined_requests_are_answered_in_order)
{
    size_t handledRequests = 0;
    server testServer(
        endpointOf(8), [] { return server_limits(); }, [&](std::shared_ptr<exchange> request) { request->respond(200, {}, std::to_string(++handledRequests) + request->body()); });
    raw_client client(endpointOf(8));
    client.stream->write("POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\nPOST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nyGET /3 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    runUntil([&] { return client.isClosed; }, "the close");
    const size_t first = client.received.find("\r\n\r\n1x");
    const size_t second = client.received.find("\r\n\r\n2y");
    const size_t third = client.received.find("\r\n\r\n3");
    cr_assert(first != std::string::npos && first < second && second < third && third != std::string::npos);
}

Test(http1_server, aborted_chunked_response_has_no_last_chunk)
{
    server testServer(
        endpointOf(9), [] { return server_limits(); }, [](std::shared_ptr<exchange> request) {
        request->startChunked(200, {});
        request->writeChunk("half");
        static timer delay;
        delay.startOnce(milliseconds(50), [request] { request->abort(); }); });
    raw_client client(endpointOf(9));
    client.stream->write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    runUntil([&] { return client.isClosed; }, "the reset");
    cr_assert_neq(client.received.find("half"), std::string::npos);
    cr_assert_eq(client.received.find("\r\n0\r\n"), std::string::npos);
}

Test(http1_server, closed_connections_do_not_count_against_the_limit)
{
    server_limits limits;
    limits.maxConnections = 5;
    server testServer(
        endpointOf(10), [limits] { return limits; }, [](std::shared_ptr<exchange> request) { request->respond(200, {}, "ok"); });
    client httpClient;
    for (int i = 0; i < 50; ++i)
        cr_assert_eq(sendAndWait(httpClient, 10, { true }).outcome, call_outcome::Complete);
}

Test(http1_client, request_is_not_retried_after_reset_of_reused_connection)
{
    raw_server testServer(20, [](tcp_stream& stream, size_t requestNumber) {
        if (requestNumber == 1)
            stream.write(okResponse);
        else
            stream.reset();
    });
    client httpClient;
    cr_assert_eq(sendAndWait(httpClient, 20).body, "ok");
    const call_result second = sendAndWait(httpClient, 20);
    cr_assert_eq(second.outcome, call_outcome::NoResponse);
    cr_assert_eq(testServer.requests, 2u);
    cr_assert_eq(testServer.connections, 1u);
}

Test(http1_client, connection_with_extra_bytes_is_not_reused)
{
    raw_server testServer(21, [](tcp_stream& stream, size_t requestNumber) { stream.write(requestNumber == 1 ? okResponse + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong" : okResponse); });
    client httpClient;
    for (int i = 0; i < 2; ++i)
        cr_assert_eq(sendAndWait(httpClient, 21).body, "ok");
    cr_assert_eq(testServer.connections, 2u, "the connection was reused");
}

Test(http1_client, unsolicited_response_on_idle_connection_is_discarded)
{
    raw_server testServer(22, [](tcp_stream& stream, size_t) { stream.write(okResponse); });
    client httpClient;
    cr_assert_eq(sendAndWait(httpClient, 22).body, "ok");
    testServer.streams.front()->write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
    timer delay;
    bool isElapsed = false;
    delay.startOnce(milliseconds(50), [&] { isElapsed = true; });
    runUntil([&] { return isElapsed; }, "the arrival of the bytes");
    cr_assert_eq(sendAndWait(httpClient, 22).body, "ok");
    cr_assert_eq(testServer.connections, 2u);
}

Test(http1_client, response_without_length_ends_at_connection_close)
{
    raw_server testServer(23, [](tcp_stream& stream, size_t) {
        stream.write("HTTP/1.1 200 OK\r\n\r\nto the end");
        stream.finishWriting();
    });
    client httpClient;
    const call_result response = sendAndWait(httpClient, 23);
    cr_assert_eq(response.outcome, call_outcome::Unframed);
    cr_assert_eq(response.body, "to the end");
}

Test(http1_client, reset_response_without_length_is_truncated)
{
    raw_server testServer(24, [](tcp_stream& stream, size_t) {
        stream.write("HTTP/1.1 200 OK\r\n\r\nto the");
        static timer delay;
        delay.startOnce(milliseconds(50), [&stream] { stream.reset(); });
    });
    client httpClient;
    cr_assert_eq(sendAndWait(httpClient, 24).outcome, call_outcome::Truncated);
}

Test(http1_client, short_response_is_truncated)
{
    raw_server testServer(25, [](tcp_stream& stream, size_t) {
        stream.write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
        stream.finishWriting();
    });
    client httpClient;
    cr_assert_eq(sendAndWait(httpClient, 25).outcome, call_outcome::Truncated);
}

Test(http1_client, chunked_response_without_its_last_chunk_is_truncated)
{
    raw_server testServer(32, [](tcp_stream& stream, size_t) {
        stream.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
        stream.finishWriting();
    });
    client httpClient;
    cr_assert_eq(sendAndWait(httpClient, 32).outcome, call_outcome::Truncated);
}

Test(http1_client, invalid_response_is_malformed)
{
    raw_server testServer(26, [](tcp_stream& stream, size_t) { stream.write("\x16\x03\x01 nonsense\r\n\r\n"); });
    client httpClient;
    cr_assert_eq(sendAndWait(httpClient, 26).outcome, call_outcome::Malformed);
}

Test(http1_client, request_is_not_sent_when_connecting_fails)
{
    client httpClient;
    cr_assert_eq(sendAndWait(httpClient, 27).outcome, call_outcome::NotSent);
}

Test(http1_client, unresponsive_server_times_out)
{
    raw_server testServer(28, [](tcp_stream&, size_t) {});
    client httpClient;
    call_options options;
    options.timeout = milliseconds(100);
    cr_assert_eq(sendAndWait(httpClient, 28, options).outcome, call_outcome::TimedOut);
}

Test(http1_client, cancelled_call_runs_no_callback)
{
    raw_server testServer(29, [](tcp_stream& stream, size_t) { stream.write(okResponse); });
    client httpClient;
    call_result result;
    send(httpClient, 29, result);
    result.call.reset();
    timer delay;
    bool isElapsed = false;
    delay.startOnce(milliseconds(100), [&] { isElapsed = true; });
    runUntil([&] { return isElapsed; }, "the delay");
    cr_assert(!result.isFinished);
}

Test(http1_client, connection_is_not_reused_after_early_response)
{
    size_t connections = 0;
    std::vector<std::shared_ptr<tcp_stream>> streams;
    tcp_listener listener(endpointOf(30), [&](std::shared_ptr<tcp_stream> stream) {
        ++connections;
        tcp_stream* const raw = stream.get();
        tcp_stream::callbacks callbacks;
        callbacks.onBytes = [raw](std::string_view) {
            raw->setReading(false);
            raw->write("HTTP/1.1 403 No\r\nContent-Length: 0\r\n\r\n");
        };
        stream->setCallbacks(std::move(callbacks));
        streams.push_back(std::move(stream));
    });
    client httpClient;
    for (int i = 0; i < 2; ++i) {
        call_result result;
        client_call::callbacks callbacks;
        callbacks.onHead = [&result](const response_head& head) { result.head = head; };
        callbacks.onEnd = [&result](call_outcome outcome) {
            result.outcome = outcome;
            result.isFinished = true;
        };
        const auto call = httpClient.send(endpointOf(30), { "POST", "/x", { { "Host", "a" } }, std::string(16 * 1024 * 1024, 'x') }, {}, std::move(callbacks));
        runUntil([&] { return result.isFinished; }, "the early response");
        cr_assert_eq(result.head.status, 403u);
    }
    cr_assert_eq(connections, 2u, "the rest of a body would have been read as a request");
}

Test(http1_client, reset_response_without_length_is_truncated_while_the_request_is_being_sent)
{
    std::shared_ptr<tcp_stream> accepted;
    timer delay;
    tcp_listener listener(endpointOf(31), [&](std::shared_ptr<tcp_stream> stream) {
        accepted = std::move(stream);
        tcp_stream::callbacks callbacks;
        callbacks.onBytes = [&](std::string_view) {
            accepted->setReading(false);
            accepted->write("HTTP/1.1 200 OK\r\n\r\nhalf");
            delay.startOnce(milliseconds(50), [&] { accepted->reset(); });
        };
        accepted->setCallbacks(std::move(callbacks));
    });
    client httpClient;
    call_result result;
    client_call::callbacks callbacks;
    callbacks.onBody = [&result](std::string_view bytes) { result.body.append(bytes); };
    callbacks.onEnd = [&result](call_outcome outcome) {
        result.outcome = outcome;
        result.isFinished = true;
    };
    const auto call = httpClient.send(endpointOf(31), { "POST", "/x", { { "Host", "a" } }, std::string(16 * 1024 * 1024, 'x') }, {}, std::move(callbacks));
    runUntil([&] { return result.isFinished; }, "the reset");
    cr_assert_eq(result.body, "half");
    cr_assert_eq(result.outcome, call_outcome::Truncated, "the reset was taken for the end of the response");
    cr_assert(call->trace().unsentBytes > 0);
}
