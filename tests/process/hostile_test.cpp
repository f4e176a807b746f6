/// Malformed requests and frames, slow readers and bursts of connections must not affect other requests.
#include "support/check.hpp"
#include "support/cluster.hpp"
#include "wire/wire.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
cluster_spec oneEngine(int slot, const json& behaviour = json::object())
{
    cluster_spec spec;
    spec.slot = slot;
    spec.targets = { { .name = "llm-1", .service = "generate", .kind = "engine", .capacity = 64, .behaviour = behaviour } };
    spec.pipelines = json::array({ pipelineOf("assistant", { "generate" }, 16) });
    return spec;
}

struct raw_response {
    unsigned status = 0;
    json body;
};

raw_response postRaw(cluster& cluster, const std::string& path, const std::string& body, std::vector<std::pair<std::string, std::string>> headers)
{
    http_client http;
    http_request request;
    request.method = "POST";
    request.url = "http://" + cluster.entryAddress() + path;
    request.body = body;
    request.headers = std::move(headers);
    bool isDone = false;
    raw_response response;
    const auto handle = http.send(request, [&](http_response reply) {
        response = { reply.status, json::parse(reply.body, nullptr, false) };
        isDone = true;
    });
    cluster.waitUntil([&] { return isDone; }, "the response");
    return response;
}

/// Opens a WebSocket to the side, sends the messages and waits until the side closes the connection.
void sendToSide(cluster& cluster, const std::string& sideAddress, const std::vector<std::string>& messages)
{
    const ip_endpoint side = ip_endpoint::parse(sideAddress).value();
    const auto client = gobject_ptr<GSocketClient>::adopt(g_socket_client_new());
    GSocketAddress* address = g_inet_socket_address_new_from_string(side.address.c_str(), side.port);
    const auto connection = gobject_ptr<GSocketConnection>::adopt(g_socket_client_connect(client.get(), G_SOCKET_CONNECTABLE(address), nullptr, nullptr));
    g_object_unref(address);
    bool isClosed = false;
    std::unique_ptr<wire::websocket> websocket;
    wire::websocket::callbacks callbacks;
    callbacks.onOpen = [&] {
        for (const std::string& message : messages)
            websocket->send(message);
    };
    callbacks.onClose = [&](std::string_view) { isClosed = true; };
    websocket = wire::websocket::connect(connection.get(), std::move(callbacks));
    cluster.waitUntil([&] { return isClosed; }, "the side to close the connection");
}
}

Test(hostile, invalid_requests_get_4xx_and_do_not_run)
{
    cluster cluster(oneEngine(60));
    const std::string path = "/v1/pipelines/assistant";
    const std::pair<std::string, std::string> acme { "Bilberryseam-Account", "acme" };
    const std::string validBody = R"({"input":{"prompt":"x"}})";
    struct invalid_case {
        std::string path;
        std::string body;
        std::vector<std::pair<std::string, std::string>> headers;
        unsigned status;
        const char* reason;
    };
    const std::vector<invalid_case> cases {
        { path, "{", { acme }, 400, "bad_request" },
        { path, "[]", { acme }, 400, "bad_request" },
        { path, R"({"input":1,"stream":"yes"})", { acme }, 400, "bad_request" },
        { path, validBody, { acme, { "Bilberryseam-Deadline-Ms", "soon" } }, 400, "bad_request" },
        { path, validBody, { acme, { "Bilberryseam-Deadline-Ms", "-5" } }, 400, "deadline_passed" },
        { path, validBody, { acme, { "Bilberryseam-Priority", "99" } }, 400, "bad_request" },
        { path, validBody, { acme, { "Idempotency-Key", "no-time" } }, 400, "bad_request" },
        { path, validBody, { acme, { "Idempotency-Key", "99999999999999-future" } }, 400, "bad_request" },
        { path, validBody, {}, 403, "unknown_account" },
        { path, validBody, { { "Bilberryseam-Account", "nobody" } }, 403, "unknown_account" },
        { "/v1/pipelines/none", validBody, { acme }, 404, "unknown_pipeline" },
        { "/", validBody, { acme }, 404, "unknown_pipeline" },
        { path, R"({"input":")" + std::string(1100000, 'a') + "\"}", { acme }, 413, "body_too_large" },
    };
    for (const invalid_case& invalidCase : cases) {
        const raw_response response = postRaw(cluster, invalidCase.path, invalidCase.body, invalidCase.headers);
        cr_assert_eq(response.status, invalidCase.status, "%s: %u", invalidCase.reason, response.status);
        checkEqual(response.body["outcome"], "not_run");
        checkEqual(response.body["reason"], invalidCase.reason);
    }
    cr_assert_eq(cluster.targetCounts("llm-1")["runs"], 0);
    cr_assert_eq(cluster.entryMetric("bilberryseam_requests_total{outcome=\"not_run\""), static_cast<double>(cases.size()));
}

Test(hostile, unusual_inputs_are_answered)
{
    cluster cluster(oneEngine(61));
    for (const char* body : { R"({"input":null})", R"({"input":{"prompt":5}})", R"({"input":[1,[2,[3]]]})", R"({"input":{"prompt":{"a":null}}})", R"({"input":"\u0000\ud83d\ude00"})" }) {
        const raw_response response = postRaw(cluster, "/v1/pipelines/assistant", body, { { "Bilberryseam-Account", "acme" } });
        cr_assert_eq(response.status, 200u, "%s", body);
    }
    const raw_response response = postRaw(cluster, "/v1/pipelines/assistant", R"({"input":{"prompt":"x","max_tokens":"many"}})", { { "Bilberryseam-Account", "acme" } });
    cr_assert_neq(response.status, 0u);
    checkEqual(cluster.sendAndWait({ .pipeline = "assistant" })->outcomeName(), "answered");
}

Test(hostile, malformed_frames_close_only_their_session)
{
    cluster cluster(oneEngine(62, { { "tokenMs", 30 } }));
    const auto request = cluster.send({ .pipeline = "assistant", .isStreamed = true });
    cluster.waitUntil([&] { return !request->text().empty(); }, "the first token");
    const std::string hello = wire::encodeHello({ wire::protocolVersion, { 9, 9 }, "attacker", {}, 0 });
    const std::vector<std::vector<std::string>> frameSequences {
        { "nonsense" },
        { wire::encodeHello({ 99, { 9, 1 }, "newer", {}, 0 }) },
        { hello, "nonsense" },
        { hello, std::string("\x84\x01\x00\xf4\x81\x81\x18\x63", 8) },
        { hello, std::string("\x9b\x01\x00\x00\x00\x00\x00\x00\x00", 9) },
        { hello, wire::encodeFrame({ 5, 0, false, {} }) },
        { hello, wire::encodeFrame({ 1, 77, false, {} }) },
        { hello, wire::encodeFrame({ 1, 0, false, { wire::cancel_call {} } }).substr(0, 10) },
    };
    for (const auto& messages : frameSequences)
        sendToSide(cluster, cluster.sideAddress("llm-1"), messages);
    cluster.waitUntil([&] { return request->isDone; }, "the response");
    checkEqual(request->text(), wordsFor("hello", 16));
    cr_assert_eq(cluster.metric(cluster.sideOperator("llm-1"), "bilberryseam_protocol_violations_total"), static_cast<double>(frameSequences.size()));
}

Test(hostile, a_slow_reader_is_cancelled_at_the_unread_limit)
{
    cluster_spec spec = oneEngine(63);
    spec.pipelines = json::array({ pipelineOf("assistant", { "generate" }, 200000) });
    spec.entryLimits = { { "maxUnreadBytes", 65536 } };
    cluster cluster(spec);
    const ip_endpoint entry = ip_endpoint::parse(cluster.entryAddress()).value();
    const auto client = gobject_ptr<GSocketClient>::adopt(g_socket_client_new());
    GSocketAddress* address = g_inet_socket_address_new_from_string(entry.address.c_str(), entry.port);
    const auto connection = gobject_ptr<GSocketConnection>::adopt(g_socket_client_connect(client.get(), G_SOCKET_CONNECTABLE(address), nullptr, nullptr));
    g_object_unref(address);
    const std::string body = R"({"input":{"prompt":"much"},"stream":true})";
    const std::string request = "POST /v1/pipelines/assistant HTTP/1.1\r\nHost: x\r\nBilberryseam-Account: acme\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    g_output_stream_write_all(g_io_stream_get_output_stream(G_IO_STREAM(connection.get())), request.data(), request.size(), nullptr, nullptr, nullptr);
    cluster.waitUntil([&] { return cluster.entryMetric("bilberryseam_requests_total{outcome=\"failed\",reason=\"slow_reader\"}") == 1; }, "the request of the slow reader to be cancelled");
    cluster.waitUntil([&] { return cluster.sideStatus("llm-1")["targets"][0]["running"] == 0; }, "the call to be cancelled");
}

Test(hostile, an_error_status_of_a_target_fails_only_its_call)
{
    cluster cluster(oneEngine(64));
    cluster.switchFakes({ { "targets", { { "llm-1", { { "failStatus", 500 } } } } } });
    const auto failedResponse = cluster.sendAndWait({ .pipeline = "assistant" });
    checkEqual(failedResponse->outcomeName(), "failed");
    checkEqual(failedResponse->reason(), "target_rejected");
    cluster.switchFakes({ { "targets", { { "llm-1", { { "failStatus", 0 } } } } } });
    checkEqual(cluster.sendAndWait({ .pipeline = "assistant" })->outcomeName(), "answered");
}

Test(hostile, a_burst_of_new_connections_is_accepted)
{
    cluster cluster(oneEngine(65));
    std::vector<std::shared_ptr<sent_request>> requests;
    for (int i = 0; i < 200; ++i)
        requests.push_back(cluster.send({ .pipeline = "assistant", .input = { { "prompt", "burst " + std::to_string(i) } } }));
    for (const auto& request : requests) {
        cluster.waitUntil([&] { return request->isDone; }, "the response");
        cr_assert_eq(request->reply.outcome, exchange_outcome::Complete, "a request got no response: %s", request->reply.detail.c_str());
    }
}
