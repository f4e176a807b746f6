/// A peer that acknowledges segments is alive, however slowly it reads; one that acknowledges nothing is dead.
#include "http1/server.hpp"
#include "support/plain_socket.hpp"
#include "support/test_host.hpp"
#include "support/wait.hpp"

#include <criterion/criterion.h>
#include <csignal>

using namespace bilberryseam;
using namespace bilberryseam::http1;
using tests::plain_socket;

namespace {
constexpr milliseconds testTimeout { 20000 };

/// Longer than the time after which a peer that acknowledges nothing is given up.
constexpr milliseconds longPause { 5000 };
constexpr milliseconds readPeriod { 1000 };
constexpr size_t slowReadBytes = 1024;

/// More than the kernel buffers of one connection hold.
constexpr size_t bodyBytes = 24 * 1024 * 1024;
constexpr int smallBufferBytes = 4096;
constexpr size_t readBlockBytes = 1024 * 1024;

/// A server whose responses stay open once the body is written, unless the client closes the connection after its response.
struct slow_peer_server {
    explicit slow_peer_server(uint16_t test)
        : endpoint { tests::testHost(), static_cast<uint16_t>(1600 + test) }
        , httpServer(
              endpoint, [] { return server_limits(); }, [this](std::shared_ptr<exchange> request) {
              open = std::move(request);
              open->setOnDisconnect([this] { isDisconnected = true; });
              open->startChunked(statusOk, {});
              open->writeChunk(std::string(bodyBytes, 'x'));
              if (findHeader(open->head().headers, "Connection"))
                  open->finishChunked(); })
    {
        std::signal(SIGPIPE, SIG_IGN);
    }

    void waitForRequest()
    {
        tests::runUntil([this] { return open != nullptr; }, testTimeout, "the request");
    }

    void waitForDisconnect()
    {
        tests::runUntil([this] { return isDisconnected; }, testTimeout, "the end of the connection");
        cr_assert_eq(open->disconnectReason().value_or(close_reason::Closed), close_reason::TimedOut);
    }

    void expectWholeBody(plain_socket& client)
    {
        tests::runUntil([&] { return !client.read(readBlockBytes) || client.received.size() > bodyBytes || isDisconnected; }, testTimeout, "the rest of the body");
        cr_assert_gt(client.received.size(), bodyBytes, "the response was cut after %zu bytes", client.received.size());
        cr_assert_not(isDisconnected);
    }

    ip_endpoint endpoint;
    bool isDisconnected = false;
    std::shared_ptr<exchange> open;
    server httpServer;
};

const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

void readSlowly(plain_socket& client, milliseconds time)
{
    for (milliseconds elapsed {}; elapsed < time; elapsed += readPeriod) {
        client.read(slowReadBytes);
        tests::runFor(readPeriod);
    }
}
}

Test(slow_peer, a_client_that_stops_reading_for_over_three_seconds_gets_the_rest_of_its_response)
{
    slow_peer_server server(60);
    plain_socket client(server.endpoint);
    client.write(request);
    server.waitForRequest();
    tests::runFor(longPause);
    server.expectWholeBody(client);
}

Test(slow_peer, a_client_that_stops_reading_for_over_three_seconds_gets_the_rest_of_its_last_response)
{
    slow_peer_server server(66);
    plain_socket client(server.endpoint);
    client.write("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    server.waitForRequest();
    tests::runFor(longPause);
    server.expectWholeBody(client);
}

Test(slow_peer, a_client_that_reads_a_kilobyte_a_second_keeps_its_response)
{
    slow_peer_server server(61);
    plain_socket client(server.endpoint);
    client.write(request);
    server.waitForRequest();
    readSlowly(client, 2 * longPause);
    server.expectWholeBody(client);
}

Test(slow_peer, a_client_with_a_small_window_that_reads_a_kilobyte_a_second_keeps_its_response)
{
    slow_peer_server server(62);
    plain_socket client(server.endpoint, smallBufferBytes);
    client.write(request);
    server.waitForRequest();
    readSlowly(client, 2 * longPause);
    cr_assert_not(server.isDisconnected);
}

Test(slow_peer, a_client_that_acknowledges_nothing_is_found_while_segments_are_on_their_way)
{
    slow_peer_server server(63);
    plain_socket client(server.endpoint);
    client.dropIncoming();
    client.write(request);
    server.waitForRequest();
    server.waitForDisconnect();
}

Test(slow_peer, a_client_that_acknowledges_nothing_is_found_while_its_window_is_closed)
{
    slow_peer_server server(64);
    plain_socket client(server.endpoint);
    client.write(request);
    server.waitForRequest();
    tests::runFor(milliseconds(1000));
    client.dropIncoming();
    server.waitForDisconnect();
}

Test(slow_peer, a_client_that_stops_acknowledging_after_a_long_pause_is_found)
{
    slow_peer_server server(65);
    plain_socket client(server.endpoint);
    client.write(request);
    server.waitForRequest();
    tests::runFor(longPause);
    cr_assert_not(server.isDisconnected);
    client.dropIncoming();
    server.waitForDisconnect();
}
