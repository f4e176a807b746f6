/// HTTP/1.1 on real sockets in one loop: hostile clients at the server, faulty servers at the client.
#include "http1/client.hpp"
#include "http1/server.hpp"
#include "support/wait.hpp"

#include <criterion/criterion.h>
#include <csignal>
#include <functional>

using namespace bilberryseam;
using namespace bilberryseam::http1;

namespace {
constexpr milliseconds patience { 10000 };

/// A port for each test, below those of outgoing connections.
ip_endpoint endpointOf(uint16_t test)
{
    std::signal(SIGPIPE, SIG_IGN);
    return { "127.0.0.1", static_cast<uint16_t>(1500 + test) };
}

void runUntil(const std::function<bool()>& condition, const char* what)
{
    tests::runUntil(condition, patience, what);
}

/// A client that sends bytes as they are.
struct raw_client {
    explicit raw_client(const ip_endpoint& server)
        : stream(tcp_stream::connectTo(server))
    {
        tcp_stream::callbacks calls;
        calls.onBytes = [this](std::string_view bytes) { received.append(bytes); };
        calls.onEnd = [this](close_reason) { isClosed = true; };
        stream->setCallbacks(std::move(calls));
    }

    ~raw_client() { stream->close(); }

    std::shared_ptr<tcp_stream> stream;
    std::string received;
    bool isClosed = false;
};

/// What a server with small limits says to the given bytes before it closes the connection.
struct told {
    std::string answer;
    size_t handled = 0;
};

told tell(uint16_t test, const std::string& bytes)
{
    told result;
    server_limits limits;
    limits.maxHeaderBytes = 1000;
    limits.maxBodyBytes = 100;
    limits.headerTimeout = milliseconds(200);
    server served(
        endpointOf(test), [limits] { return limits; }, [&](std::shared_ptr<exchange> opened) {
        ++result.handled;
        opened->respond(200, {}, "handled"); });
    raw_client client(endpointOf(test));
    client.stream->write(bytes);
    runUntil([&] { return client.isClosed; }, "the close");
    result.answer = client.received;
    return result;
}

void expectRefusal(uint16_t test, const std::string& bytes, const std::string& status)
{
    const told answer = tell(test, bytes);
    cr_assert_eq(answer.handled, 0u, "the request was handled");
    cr_assert(answer.answer.starts_with("HTTP/1.1 " + status + " "), "answered: %s", answer.answer.c_str());
}

/// A server that writes the given bytes to each request, and counts connections and requests.
struct raw_server {
    raw_server(uint16_t test, std::function<void(tcp_stream&, size_t request)> answer)
        : listener(endpointOf(test), [this, answer](std::shared_ptr<tcp_stream> stream) {
            ++connections;
            streams.push_back(stream);
            tcp_stream* const raw = stream.get();
            tcp_stream::callbacks calls;
            calls.onBytes = [this, answer, raw](std::string_view bytes) {
                received.append(bytes);
                if (received.ends_with("\r\n\r\n"))
                    answer(*raw, ++requests);
            };
            stream->setCallbacks(std::move(calls));
        })
    {
    }

    std::vector<std::shared_ptr<tcp_stream>> streams;
    std::string received;
    size_t connections = 0;
    size_t requests = 0;
    tcp_listener listener;
};

struct answered {
    response_head head;
    std::string body;
    call_outcome end = call_outcome::NoResponse;
    bool isOver = false;
    std::shared_ptr<client_call> call;
};

void send(client& sender, uint16_t test, answered& result, call_options options = {})
{
    client_call::callbacks calls;
    calls.onHead = [&result](const response_head& head) { result.head = head; };
    calls.onBody = [&result](std::string_view bytes) { result.body.append(bytes); };
    calls.onEnd = [&result](call_outcome end) {
        result.end = end;
        result.isOver = true;
    };
    result.call = sender.send(endpointOf(test), { "GET", "/x", { { "Host", "a" } }, "" }, options, std::move(calls));
}

answered ask(client& sender, uint16_t test, call_options options = {})
{
    answered result;
    send(sender, test, result, options);
    runUntil([&] { return result.isOver; }, "the end of a call");
    return result;
}

const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
}

Test(http1_server, two_lengths_are_refused)
{
    expectRefusal(0, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400");
}

Test(http1_server, a_length_beside_chunks_is_refused)
{
    expectRefusal(1, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400");
}

Test(http1_server, an_unknown_encoding_is_refused)
{
    expectRefusal(2, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n", "400");
    expectRefusal(2, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "400");
}

Test(http1_server, bad_chunk_sizes_are_refused)
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

Test(http1_server, a_slow_header_is_refused)
{
    expectRefusal(6, "GET / HTTP/1.1\r\nHost:", "408");
}

Test(http1_server, a_client_that_never_finishes_its_body_is_refused)
{
    expectRefusal(7, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 50\r\n\r\nhalf", "408");
}

Test(http1_server, requests_on_one_connection_are_answered_in_order)
{
    size_t handled = 0;
    server served(
        endpointOf(8), [] { return server_limits(); }, [&](std::shared_ptr<exchange> opened) { opened->respond(200, {}, std::to_string(++handled) + opened->body()); });
    raw_client client(endpointOf(8));
    client.stream->write("POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\nPOST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nyGET /3 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    runUntil([&] { return client.isClosed; }, "the close");
    const size_t first = client.received.find("\r\n\r\n1x");
    const size_t second = client.received.find("\r\n\r\n2y");
    const size_t third = client.received.find("\r\n\r\n3");
    cr_assert(first != std::string::npos && first < second && second < third && third != std::string::npos);
}

Test(http1_server, a_chunked_answer_that_is_cut_has_no_last_chunk)
{
    server served(
        endpointOf(9), [] { return server_limits(); }, [](std::shared_ptr<exchange> opened) {
        opened->startChunked(200, {});
        opened->writeChunk("half");
        static timer later;
        later.startOnce(milliseconds(50), [opened] { opened->abort(); }); });
    raw_client client(endpointOf(9));
    client.stream->write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    runUntil([&] { return client.isClosed; }, "the cut");
    cr_assert_neq(client.received.find("half"), std::string::npos);
    cr_assert_eq(client.received.find("\r\n0\r\n"), std::string::npos);
}

Test(http1_server, closed_connections_do_not_count_against_the_limit)
{
    server_limits limits;
    limits.maxConnections = 5;
    server served(
        endpointOf(10), [limits] { return limits; }, [](std::shared_ptr<exchange> opened) { opened->respond(200, {}, "ok"); });
    client sender;
    for (int i = 0; i < 50; ++i)
        cr_assert_eq(ask(sender, 10, { true }).end, call_outcome::Complete);
}

Test(http1_client, a_kept_connection_that_dies_does_not_send_the_request_again)
{
    raw_server served(20, [](tcp_stream& stream, size_t request) {
        if (request == 1)
            stream.write(whole);
        else
            stream.reset();
    });
    client sender;
    cr_assert_eq(ask(sender, 20).body, "ok");
    const answered second = ask(sender, 20);
    cr_assert_eq(second.end, call_outcome::NoResponse);
    cr_assert_eq(served.requests, 2u);
    cr_assert_eq(served.connections, 1u);
}

Test(http1_client, bytes_after_an_answer_belong_to_nobody)
{
    raw_server served(21, [](tcp_stream& stream, size_t request) { stream.write(request == 1 ? whole + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong" : whole); });
    client sender;
    for (int i = 0; i < 2; ++i)
        cr_assert_eq(ask(sender, 21).body, "ok");
    cr_assert_eq(served.connections, 2u, "the connection was used again");
}

Test(http1_client, an_answer_that_comes_on_an_idle_connection_belongs_to_nobody)
{
    raw_server served(22, [](tcp_stream& stream, size_t) { stream.write(whole); });
    client sender;
    cr_assert_eq(ask(sender, 22).body, "ok");
    served.streams.front()->write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
    timer later;
    bool isLater = false;
    later.startOnce(milliseconds(50), [&] { isLater = true; });
    runUntil([&] { return isLater; }, "the bytes to arrive");
    cr_assert_eq(ask(sender, 22).body, "ok");
    cr_assert_eq(served.connections, 2u);
}

Test(http1_client, an_answer_without_a_length_ends_with_its_connection)
{
    raw_server served(23, [](tcp_stream& stream, size_t) {
        stream.write("HTTP/1.1 200 OK\r\n\r\nto the end");
        stream.finishWriting();
    });
    client sender;
    const answered answer = ask(sender, 23);
    cr_assert_eq(answer.end, call_outcome::Complete);
    cr_assert_eq(answer.body, "to the end");
}

Test(http1_client, an_answer_without_a_length_that_is_reset_is_cut)
{
    raw_server served(24, [](tcp_stream& stream, size_t) {
        stream.write("HTTP/1.1 200 OK\r\n\r\nto the");
        static timer later;
        later.startOnce(milliseconds(50), [&stream] { stream.reset(); });
    });
    client sender;
    cr_assert_eq(ask(sender, 24).end, call_outcome::Truncated);
}

Test(http1_client, an_answer_that_is_too_short_is_cut)
{
    raw_server served(25, [](tcp_stream& stream, size_t) {
        stream.write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
        stream.finishWriting();
    });
    client sender;
    cr_assert_eq(ask(sender, 25).end, call_outcome::Truncated);
}

Test(http1_client, what_is_not_an_answer_is_malformed)
{
    raw_server served(26, [](tcp_stream& stream, size_t) { stream.write("\x16\x03\x01 nonsense\r\n\r\n"); });
    client sender;
    cr_assert_eq(ask(sender, 26).end, call_outcome::Malformed);
}

Test(http1_client, nobody_there_is_not_sent)
{
    client sender;
    cr_assert_eq(ask(sender, 27).end, call_outcome::NotSent);
}

Test(http1_client, silence_ends_with_the_time_set)
{
    raw_server served(28, [](tcp_stream&, size_t) {});
    client sender;
    call_options options;
    options.timeout = milliseconds(100);
    cr_assert_eq(ask(sender, 28, options).end, call_outcome::TimedOut);
}

Test(http1_client, a_dropped_call_is_told_nothing)
{
    raw_server served(29, [](tcp_stream& stream, size_t) { stream.write(whole); });
    client sender;
    answered result;
    send(sender, 29, result);
    result.call.reset();
    timer later;
    bool isLater = false;
    later.startOnce(milliseconds(100), [&] { isLater = true; });
    runUntil([&] { return isLater; }, "a while");
    cr_assert(!result.isOver);
}

Test(http1_client, an_answer_before_the_request_is_sent_whole_closes_the_connection)
{
    size_t connections = 0;
    std::vector<std::shared_ptr<tcp_stream>> streams;
    tcp_listener listener(endpointOf(30), [&](std::shared_ptr<tcp_stream> stream) {
        ++connections;
        tcp_stream* const raw = stream.get();
        tcp_stream::callbacks calls;
        calls.onBytes = [raw](std::string_view) {
            raw->setReading(false);
            raw->write("HTTP/1.1 403 No\r\nContent-Length: 0\r\n\r\n");
        };
        stream->setCallbacks(std::move(calls));
        streams.push_back(std::move(stream));
    });
    client sender;
    for (int i = 0; i < 2; ++i) {
        answered result;
        client_call::callbacks calls;
        calls.onHead = [&result](const response_head& head) { result.head = head; };
        calls.onEnd = [&result](call_outcome end) {
            result.end = end;
            result.isOver = true;
        };
        const auto call = sender.send(endpointOf(30), { "POST", "/x", { { "Host", "a" } }, std::string(16 * 1024 * 1024, 'x') }, {}, std::move(calls));
        runUntil([&] { return result.isOver; }, "the early answer");
        cr_assert_eq(result.head.status, 403u);
    }
    cr_assert_eq(connections, 2u, "the rest of a body would have been read as a request");
}
