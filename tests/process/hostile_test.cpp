/// Hostile callers and peers harm nobody but themselves.
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

struct raw_answer {
    unsigned status = 0;
    json body;
};

raw_answer postRaw(cluster& running, const std::string& path, const std::string& body, std::vector<std::pair<std::string, std::string>> headers)
{
    http_client http;
    http_request request;
    request.method = "POST";
    request.url = "http://" + running.entryAddress() + path;
    request.body = body;
    request.headers = std::move(headers);
    bool isDone = false;
    raw_answer answer;
    const auto handle = http.send(request, [&](http_reply reply) {
        answer = { reply.status, json::parse(reply.body, nullptr, false) };
        isDone = true;
    });
    running.waitUntil([&] { return isDone; }, "an answer");
    return answer;
}

/// Opens a WebSocket to the side and sends messages after the handshake.
void attackSide(cluster& running, const std::string& sideAddress, const std::vector<std::string>& messages)
{
    const ip_endpoint side = ip_endpoint::parse(sideAddress).value();
    const auto client = gobject_ptr<GSocketClient>::adopt(g_socket_client_new());
    GSocketAddress* address = g_inet_socket_address_new_from_string(side.address.c_str(), side.port);
    const auto connection = gobject_ptr<GSocketConnection>::adopt(g_socket_client_connect(client.get(), G_SOCKET_CONNECTABLE(address), nullptr, nullptr));
    g_object_unref(address);
    bool isOver = false;
    std::unique_ptr<wire::websocket> attacker;
    wire::websocket::callbacks calls;
    calls.onOpen = [&] {
        for (const std::string& message : messages)
            attacker->send(message);
    };
    calls.onClose = [&](std::string_view) { isOver = true; };
    attacker = wire::websocket::connect(connection.get(), std::move(calls));
    running.waitUntil([&] { return isOver; }, "the side to close the connection");
}
}

Test(hostile, bad_requests_get_a_clear_4xx_and_did_not_run)
{
    cluster running(oneEngine(60));
    const std::string path = "/v1/pipelines/assistant";
    const std::pair<std::string, std::string> acme { "Bilberryseam-Account", "acme" };
    const std::string good = R"({"input":{"prompt":"x"}})";
    struct bad_case {
        std::string path;
        std::string body;
        std::vector<std::pair<std::string, std::string>> headers;
        unsigned status;
        const char* reason;
    };
    const std::vector<bad_case> cases {
        { path, "{", { acme }, 400, "bad_request" },
        { path, "[]", { acme }, 400, "bad_request" },
        { path, R"({"input":1,"stream":"yes"})", { acme }, 400, "bad_request" },
        { path, good, { acme, { "Bilberryseam-Deadline-Ms", "soon" } }, 400, "bad_request" },
        { path, good, { acme, { "Bilberryseam-Deadline-Ms", "-5" } }, 400, "deadline_passed" },
        { path, good, { acme, { "Bilberryseam-Priority", "99" } }, 400, "bad_request" },
        { path, good, { acme, { "Idempotency-Key", "no-time" } }, 400, "bad_request" },
        { path, good, { acme, { "Idempotency-Key", "99999999999999-future" } }, 400, "bad_request" },
        { path, good, {}, 403, "unknown_account" },
        { path, good, { { "Bilberryseam-Account", "nobody" } }, 403, "unknown_account" },
        { "/v1/pipelines/none", good, { acme }, 404, "unknown_pipeline" },
        { "/", good, { acme }, 404, "unknown_pipeline" },
        { path, R"({"input":")" + std::string(1100000, 'a') + "\"}", { acme }, 413, "body_too_large" },
    };
    for (const bad_case& one : cases) {
        const raw_answer answer = postRaw(running, one.path, one.body, one.headers);
        cr_assert_eq(answer.status, one.status, "%s: %u", one.reason, answer.status);
        checkEqual(answer.body["outcome"], "not_run");
        checkEqual(answer.body["reason"], one.reason);
    }
    cr_assert_eq(running.targetCounts("llm-1")["runs"], 0);
    cr_assert_eq(running.entryMetric("bilberryseam_requests_total{outcome=\"not_run\""), static_cast<double>(cases.size()));
}

Test(hostile, strange_inputs_are_served)
{
    cluster running(oneEngine(61));
    for (const char* body : { R"({"input":null})", R"({"input":{"prompt":5}})", R"({"input":[1,[2,[3]]]})", R"({"input":{"prompt":{"a":null}}})", R"({"input":"\u0000\ud83d\ude00"})" }) {
        const raw_answer answer = postRaw(running, "/v1/pipelines/assistant", body, { { "Bilberryseam-Account", "acme" } });
        cr_assert_eq(answer.status, 200u, "%s", body);
    }
    const raw_answer odd = postRaw(running, "/v1/pipelines/assistant", R"({"input":{"prompt":"x","max_tokens":"many"}})", { { "Bilberryseam-Account", "acme" } });
    cr_assert_neq(odd.status, 0u);
    checkEqual(running.ask({ .pipeline = "assistant" })->kind(), "answered");
}

Test(hostile, broken_inner_frames_close_their_session_only)
{
    cluster running(oneEngine(62, { { "tokenMs", 30 } }));
    const auto sent = running.send({ .pipeline = "assistant", .isStreamed = true });
    running.waitUntil([&] { return !sent->text().empty(); }, "the first token");
    const std::string hello = wire::encodeHello({ wire::protocolVersion, { 9, 9 }, "attacker", {}, 0 });
    const std::vector<std::vector<std::string>> attacks {
        { "nonsense" },
        { wire::encodeHello({ 99, { 9, 1 }, "newer", {}, 0 }) },
        { hello, "nonsense" },
        { hello, std::string("\x84\x01\x00\xf4\x81\x81\x18\x63", 8) },
        { hello, std::string("\x9b\x01\x00\x00\x00\x00\x00\x00\x00", 9) },
        { hello, wire::encodeFrame({ 5, 0, false, {} }) },
        { hello, wire::encodeFrame({ 1, 77, false, {} }) },
        { hello, wire::encodeFrame({ 1, 0, false, { wire::cancel_call {} } }).substr(0, 10) },
    };
    for (const auto& messages : attacks)
        attackSide(running, running.sideAddress("llm-1"), messages);
    running.waitUntil([&] { return sent->isDone; }, "an answer");
    checkEqual(sent->text(), wordsFor("hello", 16));
    cr_assert_eq(running.metric(running.sideOperator("llm-1"), "bilberryseam_protocol_violations_total"), static_cast<double>(attacks.size()));
}

Test(hostile, a_slow_reader_is_given_up_before_it_holds_much_memory)
{
    cluster_spec spec = oneEngine(63);
    spec.pipelines = json::array({ pipelineOf("assistant", { "generate" }, 200000) });
    spec.entryLimits = { { "maxUnreadBytes", 65536 } };
    cluster running(spec);
    const ip_endpoint entry = ip_endpoint::parse(running.entryAddress()).value();
    const auto client = gobject_ptr<GSocketClient>::adopt(g_socket_client_new());
    GSocketAddress* address = g_inet_socket_address_new_from_string(entry.address.c_str(), entry.port);
    const auto connection = gobject_ptr<GSocketConnection>::adopt(g_socket_client_connect(client.get(), G_SOCKET_CONNECTABLE(address), nullptr, nullptr));
    g_object_unref(address);
    const std::string body = R"({"input":{"prompt":"much"},"stream":true})";
    const std::string request = "POST /v1/pipelines/assistant HTTP/1.1\r\nHost: x\r\nBilberryseam-Account: acme\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    g_output_stream_write_all(g_io_stream_get_output_stream(G_IO_STREAM(connection.get())), request.data(), request.size(), nullptr, nullptr, nullptr);
    running.waitUntil([&] { return running.entryMetric("bilberryseam_requests_total{outcome=\"failed\",reason=\"slow_reader\"}") == 1; }, "the slow reader to be given up");
    running.waitUntil([&] { return running.sideStatus("llm-1")["targets"][0]["running"] == 0; }, "the call to be cancelled");
}

Test(hostile, a_target_that_breaks_its_protocol_fails_its_call_only)
{
    cluster running(oneEngine(64));
    running.switchFakes({ { "targets", { { "llm-1", { { "failStatus", 500 } } } } } });
    const auto failed = running.ask({ .pipeline = "assistant" });
    checkEqual(failed->kind(), "failed");
    checkEqual(failed->reason(), "target_rejected");
    running.switchFakes({ { "targets", { { "llm-1", { { "failStatus", 0 } } } } } });
    checkEqual(running.ask({ .pipeline = "assistant" })->kind(), "answered");
}

Test(hostile, a_burst_of_new_connections_is_accepted)
{
    cluster running(oneEngine(65));
    std::vector<std::shared_ptr<sent_request>> sent;
    for (int i = 0; i < 200; ++i)
        sent.push_back(running.send({ .pipeline = "assistant", .input = { { "prompt", "burst " + std::to_string(i) } } }));
    for (const auto& one : sent) {
        running.waitUntil([&] { return one->isDone; }, "an answer");
        cr_assert_eq(one->reply.end, exchange_end::Complete, "a connection was not served: %s", one->reply.detail.c_str());
    }
}
