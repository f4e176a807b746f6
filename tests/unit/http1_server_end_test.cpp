/// How the HTTP/1.1 server ends connections, on real sockets in one event loop.
#include "http1/server.hpp"
#include "support/raw_client.hpp"
#include "support/test_host.hpp"
#include "support/wait.hpp"

#include <algorithm>
#include <criterion/criterion.h>
#include <csignal>
#include <functional>
#include <string>
#include <thread>
#include <vector>

using namespace bilberryseam;
using namespace bilberryseam::http1;
using tests::raw_client;

namespace {
constexpr milliseconds testTimeout { 10000 };

/// More than the kernel buffers of one connection hold.
constexpr size_t largeBodyBytes = 24 * 1024 * 1024;

/// Longer than the timeouts of a server, shorter than the time after which an unresponsive peer is given up.
constexpr milliseconds slowClientPause { 1800 };

const std::string getRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

/// @return A separate port for each test, below the range of ephemeral ports.
ip_endpoint endpointOf(uint16_t test)
{
    std::signal(SIGPIPE, SIG_IGN);
    return { tests::testHost(), static_cast<uint16_t>(1600 + test) };
}

void runUntil(const std::function<bool()>& condition, const char* what)
{
    tests::runUntil(condition, testTimeout, what);
}

/// Expects that a client gets a whole large response although it does not read for a while.
void expectWholeResponse(uint16_t test, const server_limits& limits, const std::string& headers, const std::function<void(raw_client&)>& whilePaused = {})
{
    const std::string body(largeBodyBytes, 'x');
    server testServer(
        endpointOf(test), [limits] { return limits; }, [&](std::shared_ptr<exchange> request) { request->respond(200, {}, body); });
    raw_client client(endpointOf(test));
    client.stream->write("GET / HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n");
    runUntil([&] { return !client.received.empty(); }, "the begin of the response");
    client.stream->setReading(false);
    if (whilePaused)
        whilePaused(client);
    tests::runFor(slowClientPause);
    client.stream->setReading(true);
    runUntil([&] { return client.isClosed || client.received.size() >= largeBodyBytes; }, "the response");
    cr_assert(client.received.size() > largeBodyBytes, "the response was cut after %zu bytes", client.received.size());
}
}

Test(http1_server_end, a_connection_that_ends_before_its_response_is_reported)
{
    std::shared_ptr<exchange> held;
    server testServer(
        endpointOf(40), [] { return server_limits(); }, [&](std::shared_ptr<exchange> request) { held = std::move(request); });
    std::vector<std::string> reports;
    testServer.setOnUnfinished([&](const unfinished_connection& connection) {
        reports.push_back(std::string(connection.reason) + " " + (connection.openRequest ? connection.openRequest->target : "") + " " + std::to_string(connection.unansweredBytes) + " " + std::to_string(connection.unsentBytes));
    });
    raw_client idle(endpointOf(40));
    raw_client open(endpointOf(40));
    raw_client halfRead(endpointOf(40));
    open.stream->write(getRequest);
    halfRead.stream->write("GET /half");
    runUntil([&] { return held != nullptr && testServer.connectionCount() == 3; }, "the requests");
    tests::runFor(milliseconds(50));
    testServer.reportUnfinished("stop");
    std::sort(reports.begin(), reports.end());
    cr_assert_eq(reports.size(), 2u);
    cr_assert_str_eq(reports[0].c_str(), "stop  9 0");
    cr_assert_str_eq(reports[1].c_str(), ("stop / " + std::to_string(getRequest.size()) + " 0").c_str());
}

Test(http1_server_end, a_request_behind_a_response_that_announced_no_close_is_answered)
{
    std::shared_ptr<exchange> first;
    server testServer(
        endpointOf(41), [] { return server_limits(); }, [&](std::shared_ptr<exchange> request) {
        if (request->head().target == "/stream") {
            first = std::move(request);
            first->startChunked(200, {});
        } else {
            request->respond(200, {}, "second");
        } });
    for (const bool isSentBeforeTheEnd : { true, false }) {
        first.reset();
        testServer.setCloseAfterResponse(false);
        raw_client client(endpointOf(41));
        client.stream->write("GET /stream HTTP/1.1\r\nHost: a\r\n\r\n");
        runUntil([&] { return client.received.ends_with("\r\n\r\n"); }, "the head of the first response");
        testServer.setCloseAfterResponse(true);
        if (isSentBeforeTheEnd) {
            client.stream->write(getRequest);
            tests::runFor(milliseconds(50));
        }
        first->finishChunked();
        if (!isSentBeforeTheEnd)
            client.stream->write(getRequest);
        runUntil([&] { return client.isClosed; }, "the close");
        cr_assert(client.received.ends_with("second"), "received: %s", client.received.c_str());
        cr_assert_eq(client.count("Connection: close"), 1u);
    }
}

Test(http1_server_end, a_pipelined_request_is_answered_when_closing_begins_before_its_turn)
{
    std::shared_ptr<exchange> held;
    server testServer(
        endpointOf(42), [] { return server_limits(); }, [&](std::shared_ptr<exchange> request) { held = std::move(request); });
    raw_client client(endpointOf(42));
    client.stream->write(getRequest + getRequest);
    runUntil([&] { return held != nullptr; }, "the first request");
    tests::runFor(milliseconds(50));
    testServer.setCloseAfterResponse(true);
    for (int i = 0; i < 2; ++i) {
        runUntil([&] { return held != nullptr || client.isClosed; }, "the request");
        cr_assert(held, "the connection was closed before the second request");
        const auto current = std::exchange(held, nullptr);
        current->respond(200, {}, "ok");
    }
    runUntil([&] { return client.isClosed; }, "the close");
    cr_assert_eq(client.count("200 OK"), 2u);
    cr_assert_eq(client.count("Connection: close"), 1u);
}

Test(http1_server_end, a_pipelined_request_that_was_not_read_yet_is_answered_before_the_close)
{
    raw_client* sender = nullptr;
    server testServer(
        endpointOf(51), [] { return server_limits(); }, [&](std::shared_ptr<exchange> request) {
        // The second request arrives while the handler of the first one runs.
        if (request->head().target == "/first")
            sender->stream->write(getRequest);
        request->respond(200, {}, "ok"); });
    testServer.setCloseAfterResponse(true);
    raw_client client(endpointOf(51));
    sender = &client;
    client.stream->write("GET /first HTTP/1.1\r\nHost: a\r\n\r\n");
    runUntil([&] { return client.isClosed; }, "the close");
    cr_assert_eq(client.count("200 OK"), 2u, "received: %s", client.received.c_str());
    cr_assert_eq(client.count("Connection: close"), 1u);
}

Test(http1_server_end, an_announced_close_does_not_cut_the_response_to_a_slow_client)
{
    expectWholeResponse(43, server_limits(), "Connection: close\r\n");
}

Test(http1_server_end, an_idle_timeout_does_not_cut_the_response_to_a_slow_client)
{
    server_limits limits;
    limits.idleTimeout = milliseconds(300);
    expectWholeResponse(44, limits, "");
}

Test(http1_server_end, a_client_that_ends_its_sending_side_gets_the_rest_of_a_complete_response)
{
    expectWholeResponse(45, server_limits(), "", [](raw_client& client) { client.stream->finishWriting(); });
}

Test(http1_server_end, a_request_that_arrived_during_a_stall_is_not_cut_by_the_idle_timeout)
{
    server_limits limits;
    limits.idleTimeout = milliseconds(300);
    server testServer(
        endpointOf(46), [limits] { return limits; }, [](std::shared_ptr<exchange> request) { request->respond(200, {}, "ok"); });
    raw_client client(endpointOf(46));
    client.stream->write(getRequest);
    runUntil([&] { return client.count("200 OK") == 1; }, "the first response");
    client.stream->write(getRequest);
    std::this_thread::sleep_for(milliseconds(700));
    runUntil([&] { return client.isClosed || client.count("200 OK") == 2; }, "the second response");
    cr_assert_eq(client.count("200 OK"), 2u);
}

Test(http1_server_end, a_request_that_arrived_during_a_stall_is_not_refused_by_the_header_timeout)
{
    server_limits limits;
    limits.headerTimeout = milliseconds(300);
    server testServer(
        endpointOf(47), [limits] { return limits; }, [](std::shared_ptr<exchange> request) { request->respond(200, {}, "ok"); });
    for (const std::string begin : { "GET / HTTP/1.1\r\nHost", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab" }) {
        raw_client client(endpointOf(47));
        client.stream->write(begin);
        tests::runFor(milliseconds(50));
        client.stream->write(begin.starts_with("GET") ? ": a\r\n\r\n" : "cd");
        std::this_thread::sleep_for(milliseconds(700));
        runUntil([&] { return client.received.ends_with("\r\n\r\nok") || client.isClosed; }, "the response");
        cr_assert_eq(client.count("200 OK"), 1u, "received: %s", client.received.c_str());
    }
}

Test(http1_server_end, a_request_keeps_the_limits_with_which_it_began)
{
    server_limits limits;
    server testServer(
        endpointOf(48), [&limits] { return limits; }, [](std::shared_ptr<exchange> request) { request->respond(200, {}, request->body()); });
    const std::vector<std::pair<std::string, std::string>> parts {
        { "Content-Length: 10\r\n\r\nhello", "world" },
        { "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n5\r\nwo", "rld\r\n0\r\n\r\n" },
        { "X-Long: " + std::string(500, 'x'), "\r\nContent-Length: 10\r\n\r\nhelloworld" },
    };
    for (const auto& [begin, end] : parts) {
        limits = server_limits();
        raw_client client(endpointOf(48));
        client.stream->write("POST / HTTP/1.1\r\nHost: a\r\n" + begin);
        tests::runFor(milliseconds(100));
        limits.headerTimeout = milliseconds(100);
        limits.maxBodyBytes = 1;
        limits.maxHeaderBytes = 100;
        tests::runFor(milliseconds(600));
        client.stream->write(end);
        runUntil([&] { return client.isClosed || client.received.ends_with("helloworld"); }, "the response");
        cr_assert_eq(client.count("200 OK"), 1u, "begin: %s received: %s", begin.c_str(), client.received.c_str());
    }
}

Test(http1_server_end, a_refusal_arrives_although_the_body_is_still_on_its_way)
{
    server_limits limits;
    limits.maxBodyBytes = 100;
    server testServer(
        endpointOf(49), [limits] { return limits; }, [](std::shared_ptr<exchange> request) { request->respond(200, {}, "ok"); });
    raw_client client(endpointOf(49));
    client.stream->setReading(false);
    client.stream->write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 25165824\r\n\r\n" + std::string(largeBodyBytes, 'x'));
    runUntil([&] { return client.stream->pendingBytes() == 0; }, "the end of the request");
    client.stream->setReading(true);
    runUntil([&] { return client.isClosed; }, "the close");
    cr_assert(client.received.starts_with("HTTP/1.1 413 "), "received: %s", client.received.c_str());
    cr_assert_eq(client.closeReason, close_reason::Closed);
}

Test(http1_server_end, a_client_that_reads_nothing_does_not_keep_its_connection)
{
    server testServer(
        endpointOf(50), [] { return server_limits(); }, [](std::shared_ptr<exchange> request) { request->respond(200, {}, std::string(largeBodyBytes, 'x')); });
    std::vector<std::string> reasons;
    testServer.setOnUnfinished([&](const unfinished_connection& connection) { reasons.emplace_back(connection.reason); });
    raw_client client(endpointOf(50));
    client.stream->write("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    client.stream->setReading(false);
    runUntil([&] { return !reasons.empty(); }, "the end of the connection");
    cr_assert_eq(reasons.size(), 1u);
}
