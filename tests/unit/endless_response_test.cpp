/// Bytes without end on each reader of foreign responses: a bounded part of them is read, and the call ends.
#include "gateway/event_stream.hpp"
#include "http1/client.hpp"
#include "loop/gobject_ptr.hpp"
#include "loop/http.hpp"
#include "platform/store_client.hpp"
#include "support/endless_sender.hpp"
#include "support/test_host.hpp"
#include "support/wait.hpp"
#include "wire/websocket.hpp"

#include <criterion/criterion.h>
#include <csignal>
#include <list>

using namespace bilberryseam;
using namespace bilberryseam::tests;

namespace {
constexpr milliseconds testTimeout { 10000 };
/// Bytes that a reader may take before it closes, including the buffers of the sockets.
constexpr size_t maxHeadBytes = 8 * 1024 * 1024;
constexpr size_t maxBodyBytes = 24 * 1024 * 1024;

const std::string blockOfText(16 * 1024, 'x');

/// Sends the same start and blocks to each client that connects and sends a request.
struct endless_server {
    endless_server(uint16_t port, std::string newStart, std::string newBlock)
        : endpoint { tests::testHost(), port }
        , start(std::move(newStart))
        , block(std::move(newBlock))
        , listener(endpoint, [this](std::shared_ptr<http1::tcp_stream> stream) {
            http1::tcp_stream::callbacks callbacks;
            callbacks.onBytes = [this, raw = stream.get()](std::string_view) {
                const auto position = std::find_if(waiting.begin(), waiting.end(), [raw](const auto& item) { return item.get() == raw; });
                if (position == waiting.end())
                    return;
                const auto accepted = *position;
                waiting.erase(position);
                senders.emplace_back(accepted, start, block);
            };
            stream->setCallbacks(std::move(callbacks));
            waiting.push_back(std::move(stream));
        })
    {
        std::signal(SIGPIPE, SIG_IGN);
    }

    [[nodiscard]] size_t sentBytes() const { return senders.empty() ? 0 : senders.front().sentBytes(); }

    ip_endpoint endpoint;
    std::string start;
    std::string block;
    std::list<std::shared_ptr<http1::tcp_stream>> waiting;
    std::list<endless_sender> senders;
    http1::tcp_listener listener;
};

/// @return The outcome of a request at the server, which must end while the server still sends.
http1::call_outcome outcomeAt(endless_server& server)
{
    http1::client client;
    std::optional<http1::call_outcome> outcome;
    http1::client_call::callbacks callbacks;
    callbacks.onEnd = [&](http1::call_outcome end) { outcome = end; };
    const auto call = client.send(server.endpoint, { "GET", "/", { { "Host", "h" } }, "" }, { true }, std::move(callbacks));
    tests::runUntil([&] { return outcome.has_value() || server.sentBytes() > maxBodyBytes; }, testTimeout, "the end of the call");
    cr_assert(outcome.has_value(), "the client still reads after %zu bytes", server.sentBytes());
    return *outcome;
}
}

Test(endless_response, a_head_without_end_is_malformed)
{
    endless_server server(1560, "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n");
    cr_assert_eq(outcomeAt(server), http1::call_outcome::Malformed);
    cr_assert_leq(server.sentBytes(), maxHeadBytes);
}

Test(endless_response, interim_responses_without_end_are_malformed)
{
    std::string interim;
    for (int i = 0; i < 100; ++i)
        interim += "HTTP/1.1 100 Continue\r\n\r\n";
    endless_server server(1561, "", interim);
    cr_assert_eq(outcomeAt(server), http1::call_outcome::Malformed);
    cr_assert_leq(server.sentBytes(), maxHeadBytes);
}

Test(endless_response, bytes_that_are_no_response_are_malformed)
{
    endless_server server(1562, "", blockOfText);
    cr_assert_eq(outcomeAt(server), http1::call_outcome::Malformed);
    cr_assert_leq(server.sentBytes(), maxHeadBytes);
}

Test(endless_response, a_head_without_end_ends_a_call_of_the_product_s_own_client)
{
    endless_server server(1563, "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n");
    http_client client;
    std::optional<http_response> response;
    const auto call = client.send({ "GET", urlOf(server.endpoint, "/") }, [&](http_response end) { response = std::move(end); });
    tests::runUntil([&] { return response.has_value() || server.sentBytes() > maxHeadBytes; }, testTimeout, "the end of the call");
    cr_assert(response.has_value(), "the client still reads after %zu bytes", server.sentBytes());
    cr_assert_neq(response->outcome, exchange_outcome::Complete);
}

Test(endless_response, a_body_without_end_ends_a_call_of_the_product_s_own_client)
{
    endless_server server(1564, "HTTP/1.1 200 OK\r\n\r\n", blockOfText);
    http_client client;
    std::optional<http_response> response;
    const auto call = client.send({ "GET", urlOf(server.endpoint, "/") }, [&](http_response end) { response = std::move(end); });
    tests::runUntil([&] { return response.has_value() || server.sentBytes() > maxBodyBytes; }, testTimeout, "the end of the call");
    cr_assert(response.has_value(), "the client still reads after %zu bytes", server.sentBytes());
    cr_assert_eq(response->outcome, exchange_outcome::Truncated);
}

// Guards against a response that is buffered without limit because its framing never ends.
Test(endless_response, a_chunk_line_without_end_is_malformed)
{
    endless_server server(1566, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", blockOfText);
    cr_assert_eq(outcomeAt(server), http1::call_outcome::Malformed);
    cr_assert_leq(server.sentBytes(), maxHeadBytes);
}

Test(endless_response, a_chunk_extension_without_end_behind_sound_chunks_is_malformed)
{
    endless_server server(1567, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n4;name=", blockOfText);
    cr_assert_eq(outcomeAt(server), http1::call_outcome::Malformed);
    cr_assert_leq(server.sentBytes(), maxHeadBytes);
}

Test(endless_response, a_trailer_without_end_is_malformed)
{
    endless_server server(1568, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", "X-Field: value\r\n");
    cr_assert_eq(outcomeAt(server), http1::call_outcome::Malformed);
    cr_assert_leq(server.sentBytes(), maxHeadBytes);
}

Test(endless_response, a_chunk_line_without_end_ends_a_call_of_the_product_s_own_client)
{
    endless_server server(1569, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", blockOfText);
    http_client client;
    std::optional<http_response> response;
    const auto call = client.send({ "GET", urlOf(server.endpoint, "/") }, [&](http_response end) { response = std::move(end); });
    tests::runUntil([&] { return response.has_value() || server.sentBytes() > maxHeadBytes; }, testTimeout, "the end of the call");
    cr_assert(response.has_value(), "the client still reads after %zu bytes", server.sentBytes());
    cr_assert_neq(response->outcome, exchange_outcome::Complete);
}

Test(endless_response, a_chunk_line_without_end_ends_a_read_of_the_store)
{
    endless_server server(1570, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", blockOfText);
    platform::store_client store(server.endpoint);
    std::optional<platform::topic_read_result> result;
    const auto call = store.read("topic", 0, { milliseconds(0), testTimeout }, [&](platform::topic_read_result end) { result = std::move(end); });
    tests::runUntil([&] { return result.has_value() || server.sentBytes() > maxHeadBytes; }, testTimeout, "the end of the read");
    cr_assert(result.has_value(), "the client still reads after %zu bytes", server.sentBytes());
    cr_assert_eq(result->outcome, platform::read_outcome::Failed);
}

Test(endless_response, a_read_of_the_store_without_end_fails)
{
    endless_server server(1565, "HTTP/1.1 200 OK\r\n\r\n", blockOfText);
    platform::store_client store(server.endpoint);
    std::optional<platform::topic_read_result> result;
    const auto call = store.read("topic", 0, { milliseconds(0), testTimeout }, [&](platform::topic_read_result end) { result = std::move(end); });
    tests::runUntil([&] { return result.has_value() || server.sentBytes() > maxBodyBytes; }, testTimeout, "the end of the read");
    cr_assert(result.has_value(), "the client still reads after %zu bytes", server.sentBytes());
    cr_assert_eq(result->outcome, platform::read_outcome::Failed);
}

Test(endless_response, a_handshake_response_without_end_ends_a_connection_to_a_peer)
{
    endless_server server(1571, "HTTP/1.1 101 Switching Protocols\r\nX-Field: ", blockOfText);
    const auto client = gobject_ptr<GSocketClient>::adopt(g_socket_client_new());
    const auto address = gobject_ptr<GSocketAddress>::adopt(g_inet_socket_address_new_from_string(server.endpoint.address.c_str(), server.endpoint.port));
    const auto connection = gobject_ptr<GSocketConnection>::adopt(g_socket_client_connect(client.get(), G_SOCKET_CONNECTABLE(address.get()), nullptr, nullptr));
    bool isClosed = false;
    wire::websocket::callbacks callbacks;
    callbacks.onClose = [&](std::string_view) { isClosed = true; };
    const auto websocket = wire::websocket::connect(connection.get(), std::move(callbacks));
    tests::runUntil([&] { return isClosed || server.sentBytes() > maxHeadBytes; }, testTimeout, "the end of the connection");
    cr_assert(isClosed, "the peer still reads after %zu bytes", server.sentBytes());
}

Test(endless_response, one_event_without_end_is_given_up)
{
    gateway::event_stream events;
    std::string out;
    size_t bytes = 0;
    while (events.append(blockOfText, out) == gateway::event_stream::state::Good && bytes < maxHeadBytes)
        bytes += blockOfText.size();
    cr_assert_lt(bytes, maxHeadBytes, "an event of %zu bytes is still buffered", bytes);
    cr_assert(out.empty());
}
