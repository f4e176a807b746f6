/// Exceptions in callbacks of the main loop: they end what the callback worked on, and not the process (review/9).
#include "http1/client.hpp"
#include "http1/server.hpp"
#include "loop/callback_guard.hpp"
#include "loop/main_loop.hpp"
#include "loop/timer.hpp"
#include "support/raw_client.hpp"
#include "support/test_host.hpp"
#include "support/wait.hpp"

#include <criterion/criterion.h>
#include <csignal>
#include <stdexcept>

using namespace bilberryseam;
using tests::raw_client;

namespace {
constexpr milliseconds testTimeout { 5000 };

/// Counts the exceptions that the main loop reports.
struct exception_counter {
    exception_counter()
    {
        std::signal(SIGPIPE, SIG_IGN);
        setExceptionHandler([this](std::string_view, const std::exception&) { ++count; });
    }
    exception_counter(const exception_counter&) = delete;
    ~exception_counter() { setExceptionHandler({}); }

    size_t count = 0;
};

ip_endpoint endpointOf(uint16_t port) { return { tests::testHost(), port }; }
}

// Guards against an exception between the main loop and `main`, which ends the process with all requests in it.
Test(callback_guard, a_timer_goes_on_after_an_exception)
{
    exception_counter exceptions;
    timer repeating;
    timer once;
    size_t calls = 0;
    repeating.startEvery(milliseconds(5), [&] {
        ++calls;
        throw std::length_error("field value too large");
    });
    once.startOnce(milliseconds(1), [] { throw std::runtime_error("once"); });
    tests::runUntil([&] { return calls >= 3; }, testTimeout, "calls of the timer");
    cr_assert_geq(exceptions.count, 4u);
}

// Guards against the end of a process by an exception while it reloads its settings.
Test(callback_guard, a_hangup_is_handled_again_after_an_exception)
{
    exception_counter exceptions;
    size_t calls = 0;
    onHangup([&] {
        ++calls;
        throw std::runtime_error("hangup");
    });
    for (size_t i = 1; i <= 2; ++i) {
        std::raise(SIGHUP);
        tests::runUntil([&] { return calls == i; }, testTimeout, "the hangup");
    }
    cr_assert_eq(exceptions.count, 2u);
}

Test(callback_guard, an_exception_of_a_request_handler_ends_its_connection_alone)
{
    exception_counter exceptions;
    http1::server server(
        endpointOf(1591), [] { return http1::server_limits {}; }, [](std::shared_ptr<http1::exchange> exchange) {
        if (exchange->head().target == "/bad")
            throw std::length_error("field value too large");
        exchange->respond(200, {}, "good"); });
    raw_client good(endpointOf(1591));
    raw_client bad(endpointOf(1591));
    bad.stream->write("GET /bad HTTP/1.1\r\nHost: h\r\n\r\n");
    tests::runUntil([&] { return bad.isClosed; }, testTimeout, "the close");
    cr_assert_eq(exceptions.count, 1u);
    good.stream->write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    tests::runUntil([&] { return good.received.ends_with("good"); }, testTimeout, "the response");
}

Test(callback_guard, a_call_whose_callback_throws_still_ends)
{
    exception_counter exceptions;
    http1::server server(
        endpointOf(1592), [] { return http1::server_limits {}; }, [](std::shared_ptr<http1::exchange> exchange) { exchange->respond(200, {}, "body"); });
    http1::client client;
    std::optional<http1::call_outcome> outcome;
    http1::client_call::callbacks callbacks;
    callbacks.onHead = [](const http1::response_head&) { throw std::runtime_error("head"); };
    callbacks.onEnd = [&](http1::call_outcome result) { outcome = result; };
    const auto call = client.send(endpointOf(1592), { "GET", "/", { { "Host", "h" } }, "" }, {}, std::move(callbacks));
    tests::runUntil([&] { return outcome.has_value(); }, testTimeout, "the end of the call");
    cr_assert_eq(*outcome, http1::call_outcome::Truncated);
    cr_assert_eq(exceptions.count, 1u);
}

// Guards against the limit of a library for one field, which is far below what a request with many pieces needs.
Test(callback_guard, a_field_of_hundreds_of_kilobytes_is_sent_whole)
{
    exception_counter exceptions;
    std::shared_ptr<http1::tcp_stream> accepted;
    std::string received;
    http1::tcp_listener listener(endpointOf(1593), [&](std::shared_ptr<http1::tcp_stream> stream) {
        accepted = std::move(stream);
        http1::tcp_stream::callbacks callbacks;
        callbacks.onBytes = [&](std::string_view bytes) { received.append(bytes); };
        accepted->setCallbacks(std::move(callbacks));
    });
    http1::client client;
    const std::string value(300'000, 'x');
    const auto call = client.send(endpointOf(1593), { "POST", "/", { { "Host", "h" }, { "X-Inputs", value } }, "body" }, {}, {});
    tests::runUntil([&] { return received.ends_with("\r\n\r\nbody"); }, testTimeout, "the request");
    cr_assert(received.find("\r\nX-Inputs: " + value + "\r\n") != std::string::npos);
    cr_assert_eq(exceptions.count, 0u);
}
