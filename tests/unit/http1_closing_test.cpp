/// Requests that arrive while the HTTP/1.1 server closes its listener or connections, on real sockets in one event loop.
#include "http1/server.hpp"
#include "support/plain_socket.hpp"
#include "support/raw_client.hpp"
#include "support/test_host.hpp"
#include "support/wait.hpp"

#include <algorithm>
#include <criterion/criterion.h>
#include <csignal>
#include <list>

using namespace bilberryseam;
using namespace bilberryseam::http1;
using tests::plain_socket;
using tests::raw_client;

namespace {
constexpr milliseconds testTimeout { 10000 };

/// More connections than the listener accepts in one run of the loop.
constexpr size_t waitingConnections = 100;

const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

ip_endpoint endpointOf(uint16_t test)
{
    std::signal(SIGPIPE, SIG_IGN);
    return { tests::testHost(), static_cast<uint16_t>(1600 + test) };
}

void respondOk(const std::shared_ptr<exchange>& request)
{
    request->respond(statusOk, {}, "ok");
}
}

Test(http1_closing, connections_that_wait_to_be_accepted_are_served_when_the_listener_closes)
{
    const ip_endpoint endpoint = endpointOf(70);
    server testServer(
        endpoint, [] { return server_limits(); }, respondOk);
    std::list<plain_socket> clients;
    for (size_t i = 0; i < waitingConnections; ++i) {
        clients.emplace_back(endpoint);
        if (i % 2 == 0)
            clients.back().write(request);
    }
    testServer.stopListening();
    size_t i = 0;
    for (auto& client : clients) {
        if (i++ % 2 != 0)
            client.write(request);
    }
    const auto isAnswered = [](plain_socket& client) { return !client.read(1024) || client.received.ends_with("ok"); };
    tests::runUntil([&] { return std::all_of(clients.begin(), clients.end(), isAnswered); }, testTimeout, "the responses");
    const auto answered = std::count_if(clients.begin(), clients.end(), [](const auto& client) { return client.received.starts_with("HTTP/1.1 200"); });
    cr_assert_eq(static_cast<size_t>(answered), waitingConnections, "answered: %zd", static_cast<ssize_t>(answered));
}

Test(http1_closing, a_request_that_crosses_the_close_of_its_idle_connection_is_not_read)
{
    const ip_endpoint endpoint = endpointOf(71);
    server testServer(
        endpoint, [] { return server_limits(); }, respondOk);
    size_t readBytes = 0;
    testServer.setOnUnfinished([&](const unfinished_connection& connection) { readBytes += connection.unansweredBytes; });
    raw_client client(endpoint);
    client.stream->write(request);
    tests::runUntil([&] { return client.count("200 OK") == 1; }, testTimeout, "the response");
    // Until the response is acknowledged.
    tests::runFor(milliseconds(200));
    client.stream->setReading(false);
    const bool isClosed = testServer.closeIdleConnections();
    client.stream->write(request);
    tests::runFor(milliseconds(1500));
    cr_assert_eq(readBytes, 0u, "%zu bytes were read and dropped", readBytes);
    cr_assert(isClosed || testServer.closeIdleConnections());
    client.stream->setReading(true);
    tests::runUntil([&] { return client.isClosed; }, testTimeout, "the close");
    cr_assert_eq(client.count("HTTP/1.1 "), 1u);
}

Test(http1_closing, an_idle_connection_whose_client_has_not_the_whole_response_yet_stays_open)
{
    constexpr size_t bodyBytes = 24 * 1024 * 1024;
    const ip_endpoint endpoint = endpointOf(72);
    server testServer(
        endpoint, [] { return server_limits(); }, [](const std::shared_ptr<exchange>& received) { received->respond(statusOk, {}, std::string(bodyBytes, 'x')); });
    raw_client client(endpoint);
    client.stream->write(request);
    tests::runUntil([&] { return !client.received.empty(); }, testTimeout, "the begin of the response");
    client.stream->setReading(false);
    tests::runFor(milliseconds(200));
    cr_assert_not(testServer.closeIdleConnections());
    client.stream->setReading(true);
    tests::runUntil([&] { return testServer.closeIdleConnections(); }, testTimeout, "the end of all connections");
    tests::runUntil([&] { return client.isClosed; }, testTimeout, "the close");
    cr_assert_gt(client.received.size(), bodyBytes);
    cr_assert_eq(client.closeReason, close_reason::Closed);
}

Test(http1_closing, a_connection_beyond_the_limit_is_served_once_another_one_has_closed)
{
    const ip_endpoint endpoint = endpointOf(73);
    server_limits limits;
    limits.maxConnections = 1;
    server testServer(
        endpoint, [limits] { return limits; }, respondOk);
    auto first = std::make_unique<raw_client>(endpoint);
    raw_client second(endpoint);
    tests::runUntil([&] { return testServer.connectionCount() == 2; }, testTimeout, "both connections");
    first.reset();
    // Shorter than the period at which closed connections are removed.
    tests::runFor(milliseconds(20));
    second.stream->write(request);
    tests::runUntil([&] { return second.count("HTTP/1.1 ") == 1; }, testTimeout, "the response");
    cr_assert_eq(second.count("200 OK"), 1u, "received: %s", second.received.c_str());
}
