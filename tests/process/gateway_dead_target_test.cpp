/// Targets that are gone without ending their connections: requests go on elsewhere if their kind allows it.
#include "support/scripted_target.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
using exchange_ptr = std::shared_ptr<http1::exchange>;

/// Two targets; the one that receives the first request does not respond to it, or sends only the first event of a stream.
struct dead_target {
    dead_target(int slot, const json& routes, const json& services = json::array())
        : deployment(slot)
        , encoder(deployment.addTarget("e-1", "encode"))
    {
        for (const char* id : { "t-1", "t-2" }) {
            auto& target = deployment.addTarget(id, "model");
            target.setRequestHandler([this, &target](const exchange_ptr& exchange) { handle(target, exchange); });
        }
        deployment.configure(3, routes, services);
        deployment.startGateway();
        deployment.waitUntilReady();
    }

    void handle(fakes::platform_target& target, const exchange_ptr& exchange)
    {
        targetIds.push_back(target.id());
        const bool isFirst = !held;
        if (isFirst) {
            held = exchange;
            heldTarget = &target;
        }
        if (http1::pathOf(exchange->head().target).starts_with("/s/")) {
            exchange->startChunked(200, target.responseHeaders(*exchange));
            exchange->writeChunk(event(isFirst ? 1 : 2));
            if (!isFirst)
                exchange->finishChunked();
        } else if (!isFirst)
            exchange->respond(200, target.responseHeaders(*exchange), target.id());
    }

    void sendFirst(const std::string& method, http1::header_list headers = {})
    {
        headers.emplace_back("X-Deadline-Ms", "15000");
        caller = deployment.send(method, "/m/1", std::move(headers));
        deployment.waitUntil([&] { return held != nullptr; }, "the request at its target");
    }

    void checkServedByOther()
    {
        deployment.waitUntil([&] { return caller->isFinished; }, "the response");
        cr_assert_eq(caller->head.status, 200u, "status %u", caller->head.status);
        cr_assert_eq(targetIds.size(), 2u);
        cr_assert_neq(targetIds[0], targetIds[1]);
        cr_assert_eq(caller->body, targetIds[1]);
    }

    deployment_fixture deployment;
    fakes::platform_target& encoder;
    exchange_ptr held;
    fakes::platform_target* heldTarget = nullptr;
    std::vector<std::string> targetIds;
    caller_ptr caller;
};

/// Longer than all that the tests do before a target counts as silent on this route.
const json patientRoute = deployment_fixture::route("/m/", "idempotent", "model", { { "timeout_ms", 15000 }, { "target_latency_ms", 14000 } });

/// Accepts connections, and refuses new ones later while the accepted ones stay open.
class closing_listener {
public:
    explicit closing_listener(const ip_endpoint& listen)
        : m_service(gobject_ptr<GSocketService>::adopt(g_socket_service_new()))
    {
        const auto address = gobject_ptr<GSocketAddress>::adopt(g_inet_socket_address_new_from_string(listen.address.c_str(), listen.port));
        cr_assert(g_socket_listener_add_address(G_SOCKET_LISTENER(m_service.get()), address.get(), G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr, nullptr, nullptr));
        g_signal_connect(m_service.get(), "incoming", G_CALLBACK(onIncoming), this);
    }

    [[nodiscard]] size_t acceptedCount() const noexcept { return m_connections.size(); }
    void close()
    {
        g_socket_service_stop(m_service.get());
        g_socket_listener_close(G_SOCKET_LISTENER(m_service.get()));
    }

private:
    static gboolean onIncoming(GSocketService*, GSocketConnection* connection, GObject*, gpointer data)
    {
        static_cast<closing_listener*>(data)->m_connections.push_back(gobject_ptr<GSocketConnection>::share(connection));
        return TRUE;
    }

    gobject_ptr<GSocketService> m_service;
    std::vector<gobject_ptr<GSocketConnection>> m_connections;
};
}

Test(gateway_dead_target, requests_whose_stage_results_are_released_go_on_at_another_target)
{
    const json pool { { "name", "encode" }, { "pieces", { { "slots", 1 }, { "queue", 2 }, { "batch", 8 }, { "call_ms", 5 }, { "item_ms", 1 }, { "headroom_mb", 10 }, { "handle_s", 20 } } } };
    const json stages = json::array({ { { "service", "encode" }, { "after", json::array() }, { "bytes", 1000 } } });
    const json changes { { "timeout_ms", 15000 }, { "target_latency_ms", 300 }, { "gap_aim_ms", 100 }, { "stages", stages }, { "resumable", true } };
    const json routes = json::array({ deployment_fixture::route("/m/", "idempotent", "model", changes), deployment_fixture::route("/s/", "streaming", "model", changes) });
    dead_target work(265, routes, json::array({ pool }));
    work.sendFirst("POST", { { "X-Pieces", "1" }, { "X-Piece-Key", "k" } });
    work.checkServedByOther();
    cr_assert_eq(work.encoder.batchCalls().size(), 2u);

    // A stream whose target is dead, and one whose target goes on while the stages run again.
    for (const bool goesOn : { false, true }) {
        work.held.reset();
        work.targetIds.clear();
        const size_t tasksBefore = work.encoder.batchCalls().size();
        exchange_ptr repeatedTask;
        work.encoder.setBatchCallHandler([&](const exchange_ptr& exchange) {
            if (goesOn && work.held)
                repeatedTask = exchange;
            else
                work.encoder.respondToBatchCall(*exchange);
        });
        work.caller = work.deployment.send("POST", "/s/1", { { "X-Pieces", "1" }, { "X-Piece-Key", "k" }, { "X-Deadline-Ms", "15000" } });
        if (goesOn) {
            work.deployment.waitUntil([&] { return repeatedTask != nullptr; }, "the repeated task");
            work.held->writeChunk(event(2));
            work.deployment.waitUntil([&] { return work.caller->body == event(1) + event(2); }, "the second event");
            work.encoder.respondToBatchCall(*repeatedTask);
            work.deployment.waitUntil([&] { return work.encoder.releasedResults().size() == tasksBefore + 2; }, "the release of the results");
            work.held->finishChunked();
        }
        work.deployment.waitUntil([&] { return work.caller->isFinished; }, "the stream");
        cr_assert_eq(work.caller->outcome, http1::call_outcome::Complete);
        cr_assert_eq(work.caller->body, event(1) + event(2), "the caller received: %s", work.caller->body.c_str());
        cr_assert_eq(work.targetIds.size(), goesOn ? 1u : 2u);
        cr_assert_eq(work.encoder.batchCalls().size(), tasksBefore + 2);
    }
}

Test(gateway_dead_target, a_request_goes_on_when_the_record_of_its_silent_target_is_removed)
{
    dead_target work(266, json::array({ patientRoute }));
    work.sendFirst("GET");
    work.deployment.unlistTarget(work.targetIds[0]);
    work.checkServedByOther();
}

Test(gateway_dead_target, a_request_goes_on_when_its_silent_target_refuses_other_connections)
{
    deployment_fixture deployment(267);
    auto& target = deployment.addTarget("t-1", "model");
    target.setEndpoint(deployment.allocateAddress());
    deployment.listTarget(target, "model");
    closing_listener listener(target.endpoint());
    deployment.configure(3, json::array({ patientRoute }));
    deployment.startGateway();
    deployment.waitUntilReady();
    const caller_ptr first = deployment.send("GET", "/m/1", { { "X-Deadline-Ms", "15000" } });
    deployment.waitUntil([&] { return listener.acceptedCount() == 1; }, "the connection");
    listener.close();
    const caller_ptr second = deployment.send("GET", "/m/2");
    deployment.waitUntil([&] { return deployment.logOf(0).find("\"unreachable\"") != std::string::npos; }, "the refused connection");
    deployment.addTarget("t-2", "model");
    deployment.waitUntil([&] { return first->isFinished && second->isFinished; }, "the responses");
    cr_assert_eq(first->head.status, 200u, "status %u", first->head.status);
    cr_assert_eq(first->body, "t-2");
}

Test(gateway_dead_target, a_non_idempotent_request_stays_when_the_record_of_its_silent_target_is_removed)
{
    dead_target work(268, json::array({ deployment_fixture::route("/m/", "non_idempotent", "model", { { "timeout_ms", 15000 }, { "target_latency_ms", 14000 } }) }));
    work.sendFirst("POST");
    work.deployment.unlistTarget(work.targetIds[0]);
    work.deployment.waitUntil([&] { return work.deployment.logOf(0).find("removed") != std::string::npos; }, "the removal of the target");
    work.deployment.runLoopFor(milliseconds(500));
    work.held->respond(200, work.heldTarget->responseHeaders(*work.held), "whole");
    work.deployment.waitUntil([&] { return work.caller->isFinished; }, "the response");
    cr_assert_eq(work.caller->head.status, 200u, "status %u", work.caller->head.status);
    cr_assert_eq(work.caller->body, "whole");
    cr_assert_eq(work.targetIds.size(), 1u);
}

Test(gateway_dead_target, stages_that_fail_when_they_run_again_are_repeated_once_more)
{
    const json pool { { "name", "encode" }, { "pieces", { { "slots", 1 }, { "queue", 2 }, { "batch", 8 }, { "call_ms", 5 }, { "item_ms", 1 }, { "headroom_mb", 10 }, { "handle_s", 20 } } } };
    const json stages = json::array({ { { "service", "encode" }, { "after", json::array() }, { "bytes", 1000 } } });
    const json changes { { "timeout_ms", 15000 }, { "target_latency_ms", 300 }, { "stages", stages } };
    dead_target work(333, json::array({ deployment_fixture::route("/m/", "idempotent", "model", changes) }), json::array({ pool }));
    size_t calls = 0;
    work.encoder.setBatchCallHandler([&](const exchange_ptr& exchange) {
        if (++calls == 2)
            exchange->respond(200, { { "Content-Type", "application/json" } }, R"({"items":[{"reason":"gone"}]})");
        else
            work.encoder.respondToBatchCall(*exchange);
    });
    work.sendFirst("POST", { { "X-Pieces", "1" }, { "X-Piece-Key", "k" } });
    work.checkServedByOther();
    cr_assert_eq(calls, 3u);
}
