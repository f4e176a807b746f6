/// What a gateway has read is answered: in a planned stop with a short grace or a long one, and beyond the limit of connections.
#include "support/deployment_fixture.hpp"
#include "support/raw_client.hpp"

#include <criterion/criterion.h>
#include <csignal>
#include <list>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
std::string requestHead(const std::string& id, const std::string& headers)
{
    return "POST /p/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 30000\r\n" + headers + "\r\n";
}

std::string wholeRequest(const std::string& id)
{
    return requestHead(id, "Content-Length: 2\r\n") + "hi";
}

void startDeployment(deployment_fixture& deployment, double stopSeconds)
{
    deployment.configure(3, { deployment.route("/p/", "non_idempotent", "pages", { { "timeout_ms", 30000 } }) }, json::array(), nullptr, { { "header_timeout_ms", 3000 } });
    deployment.startGateway({ { "stopSeconds", stopSeconds } });
    deployment.waitUntilReady();
}

void waitForClose(deployment_fixture& deployment, const raw_client& caller)
{
    deployment.waitUntil([&] { return caller.isClosed; }, "the close");
}
}

Test(gateway_stop, a_stop_with_a_grace_of_a_second_answers_each_request)
{
    deployment_fixture deployment(245);
    deployment.addTarget("t-1", "pages");
    startDeployment(deployment, 1);
    std::list<raw_client> callers;
    for (int i = 0; i < 40; ++i)
        callers.emplace_back(deployment.listenAddress(0));
    deployment.runLoopFor(milliseconds(100));
    deployment.signal(0, SIGTERM);
    // Callers send on connections that they have open until these are closed.
    int sent = 0;
    for (auto& caller : callers) {
        deployment.runLoopFor(milliseconds(25));
        if (caller.isClosed)
            continue;
        const std::string id = "caller-" + std::to_string(sent++);
        caller.stream->write(wholeRequest(id));
        deployment.waitUntil([&] { return caller.isClosed || caller.count("HTTP/1.1 ") == 1; }, "the response");
        cr_assert(caller.count("HTTP/1.1 ") == 1 || deployment.logOf(0).find('"' + id + '"') == std::string::npos, "the request %s was read and got no response", id.c_str());
    }
    deployment.waitUntil([&] { return deployment.hasExited(0); }, "the exit of the gateway");
    cr_assert_gt(sent, 0);
    cr_assert_eq(deployment.logOf(0).find("A connection ended before"), std::string::npos);
}

Test(gateway_stop, a_request_late_in_a_short_grace_is_refused_and_not_sent)
{
    deployment_fixture deployment(250);
    auto& target = deployment.addTarget("t-1", "pages");
    std::vector<std::shared_ptr<http1::exchange>> held;
    target.setRequestHandler([&](std::shared_ptr<http1::exchange> exchange) { held.push_back(std::move(exchange)); });
    startDeployment(deployment, 2);
    raw_client caller(deployment.listenAddress(0));
    deployment.runLoopFor(milliseconds(100));
    deployment.signal(0, SIGTERM);
    deployment.runLoopFor(milliseconds(1200));
    if (!caller.isClosed) {
        caller.stream->write(wholeRequest("late"));
        deployment.waitUntil([&] { return caller.isClosed; }, "the close");
    }
    cr_assert(held.empty(), "the request was sent to its target, received: %s", caller.received.c_str());
}

Test(gateway_stop, a_stop_with_a_grace_of_a_second_refuses_a_request_whose_body_is_not_complete)
{
    deployment_fixture deployment(246);
    deployment.addTarget("t-1", "pages");
    startDeployment(deployment, 1);
    raw_client caller(deployment.listenAddress(0));
    caller.stream->write(requestHead("half", "Content-Length: 10\r\n") + "hello");
    deployment.runLoopFor(milliseconds(100));
    deployment.signal(0, SIGTERM);
    waitForClose(deployment, caller);
    cr_assert(caller.received.starts_with("HTTP/1.1 503 "), "received: %s", caller.received.c_str());
}

Test(gateway_stop, a_stop_with_a_long_grace_ends_soon_after_its_last_request)
{
    deployment_fixture deployment(247);
    auto& target = deployment.addTarget("t-1", "pages");
    std::shared_ptr<http1::exchange> held;
    target.setRequestHandler([&](std::shared_ptr<http1::exchange> exchange) { held = std::move(exchange); });
    startDeployment(deployment, 60);
    raw_client caller(deployment.listenAddress(0));
    caller.stream->write(wholeRequest("long"));
    deployment.waitUntil([&] { return held != nullptr; }, "the request at its target");
    raw_client idle(deployment.listenAddress(0));
    deployment.signal(0, SIGTERM);
    deployment.runLoopFor(milliseconds(9000));
    cr_assert_not(caller.isClosed);
    held->respond(200, target.responseHeaders(*held), "long");
    waitForClose(deployment, caller);
    cr_assert(caller.received.starts_with("HTTP/1.1 200 "), "received: %s", caller.received.c_str());
    deployment.waitUntil([&] { return deployment.hasExited(0); }, "the exit of the gateway");
}

Test(gateway_stop, a_stop_serves_the_requests_that_are_being_read)
{
    deployment_fixture deployment(248);
    deployment.addTarget("t-1", "pages");
    startDeployment(deployment, 8);
    raw_client halfBody(deployment.listenAddress(0));
    raw_client expecting(deployment.listenAddress(0));
    raw_client twoPackets(deployment.listenAddress(0));
    raw_client twoInOne(deployment.listenAddress(0));
    raw_client expectingLater(deployment.listenAddress(0));
    halfBody.stream->write(requestHead("half", "Content-Length: 10\r\n") + "hello");
    expecting.stream->write(requestHead("expecting", "Content-Length: 5\r\nExpect: 100-continue\r\n"));
    twoPackets.stream->write("POST /p/1 HTTP/1.1\r\nHost: shop.exa");
    deployment.waitUntil([&] { return expecting.count("100 Continue") == 1; }, "the interim response");
    deployment.signal(0, SIGTERM);
    deployment.runLoopFor(milliseconds(300));
    twoInOne.stream->write(wholeRequest("first") + wholeRequest("second"));
    expectingLater.stream->write(requestHead("later", "Content-Length: 5\r\nExpect: 100-continue\r\n"));
    halfBody.stream->write("world");
    expecting.stream->write("hello");
    twoPackets.stream->write("mple\r\nX-Attempt-Id: packets\r\nContent-Length: 2\r\n\r\nhi");
    deployment.waitUntil([&] { return expectingLater.count("100 Continue") == 1; }, "the interim response");
    expectingLater.stream->write("hello");
    for (raw_client* caller : { &halfBody, &expecting, &twoPackets, &twoInOne, &expectingLater }) {
        waitForClose(deployment, *caller);
        cr_assert_eq(caller->count("HTTP/1.1 200 "), caller == &twoInOne ? 2u : 1u, "received: %s", caller->received.c_str());
        cr_assert_eq(caller->closeReason, http1::close_reason::Closed);
    }
}

Test(gateway_stop, a_request_on_a_connection_beyond_the_limit_is_refused)
{
    deployment_fixture deployment(249);
    deployment.addTarget("t-1", "pages");
    startDeployment(deployment, 8);
    deployment.changeSettings(0, { { "limits", { { "maxConnections", 10 } } } });
    deployment.signal(0, SIGHUP);
    deployment.waitUntil([&] { return deployment.logOf(0).find("The settings were reloaded") != std::string::npos; }, "the reload");
    std::list<raw_client> callers;
    for (int i = 0; i < 10; ++i)
        callers.emplace_back(deployment.listenAddress(0));
    deployment.runLoopFor(milliseconds(200));
    raw_client extra(deployment.listenAddress(0));
    deployment.runLoopFor(milliseconds(50));
    extra.stream->write(wholeRequest("extra"));
    waitForClose(deployment, extra);
    cr_assert(extra.received.starts_with("HTTP/1.1 503 "), "received: %s", extra.received.c_str());
    cr_assert_eq(extra.count("Retry-After: "), 1u);
    cr_assert_eq(extra.closeReason, http1::close_reason::Closed);
    // A place becomes free.
    callers.pop_front();
    raw_client next(deployment.listenAddress(0));
    next.stream->write(wholeRequest("next"));
    deployment.waitUntil([&] { return next.isClosed || next.count("HTTP/1.1 ") == 1; }, "the response");
    cr_assert(next.received.starts_with("HTTP/1.1 200 "), "received: %s", next.received.c_str());
}
