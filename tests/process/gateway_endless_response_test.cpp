/// Targets that send bytes without end: the caller gets a final response, and the gateway's memory stays bounded.
#include "support/deployment_fixture.hpp"
#include "support/endless_sender.hpp"

#include <criterion/criterion.h>
#include <fstream>
#include <list>

using namespace bilberryseam;
using namespace bilberryseam::tests;

namespace {
/// Largest resident memory of a gateway, in KiB.
constexpr size_t maxResidentKib = 100 * 1024;

const std::string blockOfText(16 * 1024, 'x');

/// A gateway and one target that sends a start and then blocks without end.
struct endless_test {
    endless_test(int slot, const std::string& kind, std::string newStart, const nlohmann::json& routeChanges = nlohmann::json::object())
        : deployment(slot)
        , target(deployment.addTarget("t-1", "model"))
        , start(std::move(newStart))
    {
        deployment.configure(3, { deployment_fixture::route("/m/", kind, "model", routeChanges) });
        target.setRequestHandler([this](std::shared_ptr<http1::exchange> exchange) { send(*exchange); });
        deployment.startGateway();
        deployment.waitUntilReady();
    }

    void send(http1::exchange& exchange)
    {
        std::string head = start;
        if (const size_t position = head.find("ID"); position != std::string::npos)
            head.replace(position, 2, std::string(*http1::findHeader(exchange.head().headers, "X-Attempt-Id")));
        senders.emplace_back(exchange.releaseConnection(), head, blockOfText);
    }

    /// @return Resident memory of the gateway at its peak, in KiB.
    [[nodiscard]] size_t peakResidentKib() const
    {
        std::ifstream status("/proc/" + deployment.processId(0) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmHWM:"))
                return std::stoul(line.substr(6));
        }
        return 0;
    }

    deployment_fixture deployment;
    fakes::platform_target& target;
    std::string start;
    std::list<endless_sender> senders;
};
}

Test(gateway_endless_response, a_body_without_end_that_cannot_be_relayed_is_a_failure)
{
    endless_test test(134, "non_idempotent", "HTTP/1.1 200 OK\r\nX-Attempt-Id: another\r\nX-Response-Seal: s\r\n\r\n");
    const auto response = test.deployment.sendAndWait("POST", "/m/1", { { "X-Deadline-Ms", "3000" } });
    cr_assert_eq(response->head.status, 502);
    cr_assert_leq(test.peakResidentKib(), maxResidentKib, "%zu KiB", test.peakResidentKib());
    test.deployment.waitUntil([&] { return test.senders.front().isClosed(); }, "the end of the connection to the target");
}

Test(gateway_endless_response, an_error_with_a_body_without_end_is_a_failure)
{
    endless_test test(135, "idempotent", "HTTP/1.1 500 Oops\r\nX-Attempt-Id: ID\r\nX-Response-Seal: s\r\n\r\n", { { "max_attempts", 1 } });
    const auto response = test.deployment.sendAndWait("GET", "/m/1", { { "X-Deadline-Ms", "3000" } });
    cr_assert_eq(response->head.status, 502);
    cr_assert_leq(test.peakResidentKib(), maxResidentKib, "%zu KiB", test.peakResidentKib());
}

Test(gateway_endless_response, one_event_without_end_is_a_failure)
{
    endless_test test(136, "streaming", "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Seal: s\r\n\r\nid: 1\ndata: ", { { "resumable", true }, { "max_attempts", 1 } });
    const auto response = test.deployment.sendAndWait("POST", "/m/1", { { "X-Deadline-Ms", "3000" } });
    cr_assert_eq(response->head.status, 502);
    cr_assert_leq(test.peakResidentKib(), maxResidentKib, "%zu KiB", test.peakResidentKib());
    test.deployment.waitUntil([&] { return test.senders.front().isClosed(); }, "the end of the connection to the target");
}

// Guards against a stream without an end of a chunk's line, which took the gateway over its memory.
Test(gateway_endless_response, a_stream_with_a_chunk_line_without_end_is_a_failure)
{
    endless_test test(393, "streaming", "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", { { "resumable", true }, { "max_attempts", 1 } });
    const auto response = test.deployment.sendAndWait("POST", "/m/1", { { "X-Deadline-Ms", "3000" } });
    cr_assert_eq(response->head.status, 502);
    cr_assert_leq(test.peakResidentKib(), maxResidentKib, "%zu KiB", test.peakResidentKib());
    test.deployment.waitUntil([&] { return test.senders.front().isClosed(); }, "the end of the connection to the target");
}

Test(gateway_endless_response, a_batch_call_with_a_chunk_line_without_end_is_a_failure)
{
    deployment_fixture deployment(394);
    auto& endless = deployment.addTarget("e-1", "encode");
    deployment.addTarget("m-1", "model");
    std::list<endless_sender> senders;
    endless.setBatchCallHandler([&](std::shared_ptr<http1::exchange> exchange) {
        senders.emplace_back(exchange->releaseConnection(), "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n", blockOfText);
    });
    const nlohmann::json stages { { { "service", "encode" }, { "after", nlohmann::json::array() }, { "bytes", 1000 } } };
    const nlohmann::json pool { { "name", "encode" }, { "pieces", { { "slots", 1 }, { "queue", 2 }, { "batch", 4 }, { "call_ms", 5 }, { "item_ms", 1 }, { "headroom_mb", 10 }, { "handle_s", 4 } } } };
    deployment.configure(3, { deployment_fixture::route("/m/", "idempotent", "model", { { "stages", stages } }) }, { pool });
    deployment.startGateway();
    deployment.waitUntilReady();
    const auto response = deployment.sendAndWait("GET", "/m/1", { { "X-Deadline-Ms", "3000" }, { "X-Pieces", "1" }, { "X-Piece-Key", "k" } });
    cr_assert_neq(response->head.status, 200);
    deployment.waitUntil([&] { return !senders.empty() && senders.front().isClosed(); }, "the end of the connection to the target");
    cr_assert_lt(senders.front().sentBytes(), 24u * 1024 * 1024, "%zu bytes were read", senders.front().sentBytes());
}

Test(gateway_endless_response, a_body_that_is_relayed_without_end_ends_at_the_deadline)
{
    endless_test test(137, "non_idempotent", "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Seal: s\r\n\r\n");
    const auto response = test.deployment.sendAndWait("POST", "/m/1", { { "X-Deadline-Ms", "700" } });
    cr_assert_neq(response->outcome, http1::call_outcome::Complete);
    cr_assert_leq(test.peakResidentKib(), maxResidentKib, "%zu KiB", test.peakResidentKib());
    test.deployment.waitUntil([&] { return test.senders.front().isClosed(); }, "the end of the connection to the target");
}

Test(gateway_endless_response, a_head_of_one_byte_at_a_time_ends_at_the_deadline)
{
    deployment_fixture deployment(138);
    auto& target = deployment.addTarget("t-1", "model");
    std::shared_ptr<http1::tcp_stream> connection;
    timer sender;
    target.setRequestHandler([&](std::shared_ptr<http1::exchange> exchange) {
        connection = exchange->releaseConnection();
        connection->write("HTTP/1.1 200 OK\r\nX-Field: ");
        sender.startEvery(milliseconds(100), [&] { connection->write("x"); });
    });
    deployment.configure(3, { deployment_fixture::route("/m/", "non_idempotent", "model") });
    deployment.startGateway();
    deployment.waitUntilReady();
    cr_assert_eq(deployment.sendAndWait("POST", "/m/1", { { "X-Deadline-Ms", "700" } })->head.status, 504);
}

Test(gateway_endless_response, a_batch_call_without_end_fails_and_its_tasks_run_elsewhere)
{
    deployment_fixture deployment(139);
    auto& endless = deployment.addTarget("e-1", "encode");
    auto& sound = deployment.addTarget("e-2", "encode");
    deployment.addTarget("m-1", "model");
    std::list<endless_sender> senders;
    const auto sendEndlessly = [&](std::shared_ptr<http1::exchange> exchange) {
        senders.emplace_back(exchange->releaseConnection(), "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"items\":[\"", blockOfText);
    };
    endless.setBatchCallHandler(sendEndlessly);
    const nlohmann::json stages { { { "service", "encode" }, { "after", nlohmann::json::array() }, { "bytes", 1000 } } };
    const nlohmann::json pool { { "name", "encode" }, { "pieces", { { "slots", 1 }, { "queue", 2 }, { "batch", 4 }, { "call_ms", 5 }, { "item_ms", 1 }, { "headroom_mb", 10 }, { "handle_s", 4 } } } };
    deployment.configure(3, { deployment_fixture::route("/m/", "idempotent", "model", { { "stages", stages } }) }, { pool });
    deployment.startGateway();
    deployment.waitUntilReady();
    for (int i = 0; i < 8; ++i)
        cr_assert_eq(deployment.sendAndWait("GET", "/m/1", { { "X-Pieces", "1" }, { "X-Piece-Key", "k" } })->head.status, 200);
    cr_assert_geq(senders.size(), 1u);
    cr_assert_geq(sound.batchCalls().size(), 1u);
    deployment.waitUntil([&] { return senders.front().isClosed(); }, "the end of the connection to the target");
    cr_assert_lt(senders.front().sentBytes(), 24u * 1024 * 1024, "%zu bytes were read", senders.front().sentBytes());
}

Test(gateway_endless_response, a_large_response_arrives_whole)
{
    deployment_fixture deployment(179);
    auto& target = deployment.addTarget("t-1", "model");
    const std::string body(3 * 1024 * 1024 + 17, 'y');
    target.setRequestHandler([&](std::shared_ptr<http1::exchange> exchange) { exchange->respond(200, target.responseHeaders(*exchange), body); });
    deployment.configure(3, { deployment_fixture::route("/m/", "idempotent", "model") });
    deployment.startGateway();
    deployment.waitUntilReady();
    const auto response = deployment.sendAndWait("GET", "/m/1");
    cr_assert_eq(response->outcome, http1::call_outcome::Complete);
    cr_assert_eq(response->head.status, 200);
    cr_assert_eq(response->body.size(), body.size());
    cr_assert(response->body == body);
}
