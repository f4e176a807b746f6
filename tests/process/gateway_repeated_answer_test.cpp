/// Targets that write an earlier answer once more on a kept connection, and targets that answer with an error where a stream
/// is to go on.
#include "support/deployment_fixture.hpp"

#include <criterion/criterion.h>
#include <list>

using namespace bilberryseam;
using namespace bilberryseam::tests;

namespace {
/// A target that refuses the first request, and writes that refusal once more in front of its response to the second one.
struct repeating_target {
    explicit repeating_target(fakes::platform_target& newTarget)
        : target(newTarget)
    {
        target.setRequestHandler([this](std::shared_ptr<http1::exchange> exchange) { handle(std::move(exchange)); });
    }

    void handle(std::shared_ptr<http1::exchange> exchange)
    {
        const std::string id(http1::findHeader(exchange->head().headers, "X-Attempt-Id").value_or(""));
        if (refusedId.empty())
            refusedId = id;
        if (id == refusedId) {
            exchange->respond(503, { { "X-Attempt-Id", id }, { "X-Not-Executed", "1" } }, "full");
            return;
        }
        if (runIds.empty()) {
            runIds.push_back(id);
            const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: " + refusedId + "\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull";
            connections.push_back(exchange->releaseConnection());
            connections.back()->write(refusal);
            answer.startOnce(milliseconds(100), [this, id] { connections.back()->write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: s\r\nContent-Length: 3\r\n\r\nran"); });
            return;
        }
        runIds.push_back(id);
        exchange->respond(200, target.responseHeaders(*exchange), "ran");
    }

    fakes::platform_target& target;
    std::string refusedId;
    std::vector<std::string> runIds;
    std::list<std::shared_ptr<http1::tcp_stream>> connections;
    timer answer;
};

/// @return The response to a request behind one that the target refused.
caller_ptr sendBehindRefusal(deployment_fixture& deployment, repeating_target& target, const std::string& kind)
{
    deployment.configure(3, { deployment_fixture::route("/p/", kind, "pages", { { "max_attempts", 1 } }) });
    deployment.startGateway();
    deployment.waitUntilReady();
    const std::string method = kind == "idempotent" ? "GET" : "POST";
    cr_assert_eq(deployment.sendAndWait(method, "/p/1", { { "X-Deadline-Ms", "400" } })->head.status, 503);
    cr_assert(!target.refusedId.empty());
    return deployment.sendAndWait(method, "/p/2");
}
}

// Guards against a refusal of another request that tells the caller that its own did not run.
Test(gateway_repeated_answer, a_repeated_refusal_is_not_taken_for_that_of_the_next_request)
{
    deployment_fixture deployment(405);
    repeating_target target(deployment.addTarget("t-1", "pages"));
    const auto response = sendBehindRefusal(deployment, target, "idempotent");
    cr_assert_eq(target.runIds.size(), 1u, "the request was sent %zu times", target.runIds.size());
    cr_assert_eq(response->head.status, 502, "the caller was told status %u for a request that ran", response->head.status);
    // The response that came late belongs to no request.
    for (int i = 0; i < 5; ++i)
        cr_assert_eq(deployment.sendAndWait("GET", "/p/3")->body, "ran");
}

Test(gateway_repeated_answer, a_request_that_may_run_once_is_never_told_a_repeated_refusal)
{
    deployment_fixture deployment(406);
    repeating_target target(deployment.addTarget("t-1", "pages"));
    const auto response = sendBehindRefusal(deployment, target, "non_idempotent");
    cr_assert_leq(target.runIds.size(), 1u, "the request ran %zu times", target.runIds.size());
    cr_assert_neq(response->head.status, 503, "the caller was told that a request did not run that ran");
    cr_assert_neq(response->head.status, 429);
}

// Guards against the text or the head of an error inside a stream, and against a broken stream that ends as if it were complete.
Test(gateway_repeated_answer, an_error_behind_a_broken_stream_is_not_passed_on)
{
    struct error_case {
        unsigned status;
        http1::header_list headers;
        std::string body;
    };
    const std::vector<error_case> cases {
        { 500, { { "X-Response-Seal", "s" } }, "id: 2\ndata: internal error\n\n" },
        { 503, { { "X-Not-Executed", "1" } }, "full" },
        { 503, { { "X-Response-Seal", "s" } }, "overloaded" },
        { 404, { { "X-Response-Seal", "s" } }, "no such stream" },
        { 204, { { "X-Response-Seal", "s" } }, "" },
        { 206, { { "X-Response-Seal", "s" } }, "id: 2\ndata: a part\n\n" },
        { 302, { { "X-Response-Seal", "s" }, { "Location", "/elsewhere" } }, "moved" },
        { 200, {}, "id: 2\ndata: not sealed\n\n" },
    };
    deployment_fixture deployment(407);
    deployment.configure(3, { deployment_fixture::route("/m/", "streaming", "model", { { "resumable", true }, { "max_attempts", 3 } }) });
    size_t current = 0;
    const std::string start = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Response-Seal: s\r\nX-Attempt-Id: ";
    const std::string event = "id: 1\ndata: first\n\n";
    std::list<std::shared_ptr<http1::tcp_stream>> connections;
    size_t errors = 0;
    const auto handle = [&](std::shared_ptr<http1::exchange> exchange) {
        const std::string id(http1::findHeader(exchange->head().headers, "X-Attempt-Id").value_or(""));
        if (!http1::findHeader(exchange->head().headers, "Last-Event-Id")) {
            connections.push_back(exchange->releaseConnection());
            connections.back()->write(start + id + "\r\n\r\n13\r\n" + event + "\r\n");
            connections.back()->finishWriting();
            return;
        }
        ++errors;
        http1::header_list headers = cases[current].headers;
        headers.emplace_back("X-Attempt-Id", id);
        exchange->respond(cases[current].status, headers, cases[current].body);
    };
    // A target whose connection broke continues no stream for some seconds, so each case has targets of its own.
    const auto replaceTargets = [&](size_t index) {
        for (const std::string name : { "a-", "b-" }) {
            deployment.addTarget(name + std::to_string(index), "model").setRequestHandler(handle);
            if (index > 0)
                deployment.unlistTarget(name + std::to_string(index - 1));
        }
    };
    replaceTargets(0);
    deployment.startGateway();
    deployment.waitUntilReady();
    for (current = 0; current < cases.size(); ++current) {
        if (current > 0) {
            replaceTargets(current);
            deployment.runLoopFor(milliseconds(1400));
        }
        errors = 0;
        // A request that seems to crash targets is refused, so each case has a path of its own.
        const auto stream = deployment.sendAndWait("POST", "/m/" + std::to_string(current), { { "X-Deadline-Ms", "1500" } });
        cr_assert_eq(stream->head.status, 200, "status %u", stream->head.status);
        cr_assert_str_eq(stream->body.c_str(), event.c_str(), "behind status %u", cases[current].status);
        cr_assert_neq(stream->outcome, http1::call_outcome::Complete, "the stream behind status %u looks complete", cases[current].status);
        cr_assert_geq(errors, 1u, "no target was asked to go on");
    }
}

// Guards against the results of other tasks as inputs of a request.
Test(gateway_repeated_answer, a_repeated_response_of_a_pool_is_not_taken_for_that_of_the_next_call)
{
    deployment_fixture deployment(408);
    auto& pool = deployment.addTarget("e-1", "encode");
    auto& model = deployment.addTarget("m-1", "model");
    size_t calls = 0;
    std::list<std::shared_ptr<http1::tcp_stream>> connections;
    std::list<timer> answers;
    const auto bodyOf = [&pool](size_t call) { return nlohmann::json { { "items", { { { "handle", pool.endpoint().toString() + "/" + std::to_string(call) } } } } }.dump(); };
    pool.setBatchCallHandler([&](std::shared_ptr<http1::exchange> exchange) {
        const size_t call = ++calls;
        if (call % 3 != 2) {
            exchange->respond(200, { { "Content-Type", "application/json" } }, bodyOf(call));
            return;
        }
        const auto respond = [](http1::tcp_stream& connection, const std::string& body) { connection.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body); };
        const auto connection = connections.emplace_back(exchange->releaseConnection());
        respond(*connection, bodyOf(call - 1));
        answers.emplace_back().startOnce(milliseconds(200), [=] { respond(*connection, bodyOf(call)); });
    });
    const nlohmann::json stages { { { "service", "encode" }, { "after", nlohmann::json::array() }, { "bytes", 1000 } } };
    const nlohmann::json profile { { "name", "encode" }, { "pieces", { { "slots", 1 }, { "queue", 2 }, { "batch", 4 }, { "call_ms", 5 }, { "item_ms", 1 }, { "headroom_mb", 10 }, { "handle_s", 4 } } } };
    deployment.configure(3, { deployment_fixture::route("/m/", "idempotent", "model", { { "stages", stages } }) }, { profile });
    deployment.startGateway();
    deployment.waitUntilReady();
    for (int i = 0; i < 8; ++i)
        cr_assert_eq(deployment.sendAndWait("GET", "/m/" + std::to_string(i), { { "X-Pieces", "1" }, { "X-Piece-Key", "k" } })->head.status, 200, "request %d", i);
    cr_assert_geq(connections.size(), 2u, "no response was repeated");
    std::map<std::string, std::string> requestsByInput;
    for (const auto& request : model.requests()) {
        const std::string input(http1::findHeader(request.head.headers, "X-Inputs").value_or(""));
        const auto [position, isNew] = requestsByInput.emplace(input, request.id);
        cr_assert(isNew || position->second == request.id, "%s was given to two requests", input.c_str());
    }
}
