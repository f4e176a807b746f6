/// Requests at each stage while configurations, SIGHUP and SIGTERM come in series within a second.
#include "support/deployment_fixture.hpp"

#include <criterion/criterion.h>
#include <csignal>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
using exchange_ptr = std::shared_ptr<http1::exchange>;

const json stages = json::array({ { { "service", "encode" }, { "after", json::array() }, { "bytes", 1000 } }, { { "service", "rank" }, { "after", json::array({ 0 }) }, { "bytes", 1000 } } });

json poolService(const std::string& name)
{
    return { { "name", name }, { "pieces", { { "slots", 1 }, { "queue", 2 }, { "batch", 8 }, { "call_ms", 20 }, { "item_ms", 1 }, { "headroom_mb", 10 }, { "handle_s", 20 } } } };
}

json accountWith(const std::string& key)
{
    return json::array({ { { "name", "acme" }, { "api_keys", json::array({ key }) } } });
}

/// Keeps the exchanges that a target receives until they are released.
struct held_exchanges {
    [[nodiscard]] fakes::platform_target::exchange_handler handler()
    {
        return [this](exchange_ptr exchange) { exchanges.push_back(std::move(exchange)); };
    }

    std::vector<exchange_ptr> exchanges;
};

/// One gateway that serves `/m/` with a model and two pools.
struct planned_work {
    planned_work(int slot, std::string newKind, size_t modelCount = 1)
        : deployment(slot)
        , kind(std::move(newKind))
        , encoder(deployment.addTarget("e-1", "encode"))
        , ranker(deployment.addTarget("k-1", "rank"))
        , other(deployment.addTarget("o-1", "other"))
    {
        for (size_t i = 0; i < modelCount; ++i)
            models.push_back(&deployment.addTarget("t-" + std::to_string(i), "model"));
        configure("model", 9000);
        deployment.startGateway({ { "revocationMs", 20000 }, { "stopSeconds", 8 } });
        deployment.waitUntilReady();
    }

    void configure(const std::string& service, int timeoutMs)
    {
        const json changes { { "timeout_ms", timeoutMs }, { "target_latency_ms", 3000 }, { "stages", stages } };
        deployment.configure(++version, json::array({ deployment_fixture::route("/m/", kind, service, changes) }), json::array({ poolService("encode"), poolService("rank") }), accountWith("key-1"));
    }

    caller_ptr send(const std::string& tasks = "0,0", http1::header_list headers = {})
    {
        headers.insert(headers.end(), { { "X-Api-Key", "key-1" }, { "X-Pieces", tasks }, { "X-Piece-Key", "piece-key" }, { "X-Deadline-Ms", "8000" } });
        callers.push_back(deployment.send("POST", "/m/" + std::to_string(callers.size()), std::move(headers)));
        return callers.back();
    }

    void waitForLog(const std::string& text)
    {
        deployment.waitUntil([&] { return deployment.logOf(0).find(text) != std::string::npos; }, text.c_str());
    }

    /// @return How many requests the gateway has accepted.
    [[nodiscard]] size_t acceptedCount() const
    {
        const std::string log = deployment.logOf(0);
        size_t count = 0;
        for (size_t at = log.find("The request was accepted."); at != std::string::npos; at = log.find("The request was accepted.", at + 1))
            ++count;
        return count;
    }

    void waitForAccepted(size_t count)
    {
        deployment.waitUntil([&] { return acceptedCount() >= count; }, "the acceptance of the requests");
    }

    /// @param isPaced  Waits until each configuration is in force before the next one is written.
    void doPlannedWork(bool isPaced)
    {
        const auto pace = [&] {
            if (isPaced)
                waitForLog("\"A newer configuration came into force.\",\"version\":\"" + std::to_string(version) + "\"");
        };
        configure("other", 9000);
        pace();
        deployment.configure(++version, json::array({ deployment_fixture::route("/unrelated/", "idempotent", "other") }), json::array(), accountWith("key-2"));
        pace();
        configure("model", 9000);
        pace();
        configure("other", 200);
        pace();
        configure("other", 20000);
        pace();
        deployment.changeSettings(0, { { "bounds", { { "retryRatio", 0.3 } } } });
        deployment.signal(0, SIGHUP);
        if (isPaced)
            waitForLog("The settings were reloaded.");
        deployment.signal(0, SIGTERM);
        if (isPaced)
            waitForLog("The gateway received a termination signal");
    }

    /// Checks that all callers have a complete response of the service to which the first configuration leads.
    void checkServed()
    {
        deployment.waitUntil([&] { return std::all_of(callers.begin(), callers.end(), [](const auto& item) { return item->isFinished; }); }, "the responses");
        for (const auto& caller : callers) {
            cr_assert(caller->outcome == http1::call_outcome::Complete, "a response is not complete");
            cr_assert_eq(caller->head.status, 200u, "status %u", caller->head.status);
            cr_assert_neq(caller->header("X-Response-Seal"), "");
        }
        checkStopped();
    }

    /// Checks that nothing was sent elsewhere and that the gateway ends with no open request.
    void checkStopped()
    {
        cr_assert_eq(other.requests().size(), 0u, "a request was sent as a newer configuration leads");
        deployment.waitUntil([&] { return deployment.hasExited(0); }, "the end of the gateway");
        cr_assert_neq(deployment.logOf(0).find("\"The gateway stopped.\",\"open_requests\":\"0\""), std::string::npos);
    }

    deployment_fixture deployment;
    std::string kind;
    fakes::platform_target& encoder;
    fakes::platform_target& ranker;
    fakes::platform_target& other;
    std::vector<fakes::platform_target*> models;
    std::vector<caller_ptr> callers;
    int version = 2;
};

/// Does the planned work while a pool keeps its first call.
void workBesidePool(planned_work& work, fakes::platform_target& pool, size_t requestCount)
{
    held_exchanges held;
    pool.setBatchCallHandler(held.handler());
    for (size_t i = 0; i < requestCount; ++i) {
        work.send("1,1");
        work.deployment.waitUntil([&] { return !held.exchanges.empty(); }, "the first batch call");
    }
    work.waitForAccepted(requestCount);
    work.doPlannedWork(true);
    cr_assert_eq(held.exchanges.size(), 1u);
    pool.setBatchCallHandler({});
    pool.respondToBatchCall(*held.exchanges.front());
    work.checkServed();
}
}

Test(gateway_planned_work_stages, a_request_that_is_queued_for_a_pool_is_served)
{
    planned_work work(97, "idempotent");
    workBesidePool(work, work.encoder, 2);
}

Test(gateway_planned_work_stages, a_request_in_a_batch_call_is_served)
{
    planned_work work(98, "idempotent");
    workBesidePool(work, work.encoder, 1);
}

Test(gateway_planned_work_stages, a_request_that_waits_for_the_results_of_its_last_stage_is_served)
{
    planned_work work(99, "idempotent");
    workBesidePool(work, work.ranker, 1);
    cr_assert_eq(work.encoder.batchCalls().size(), 1u);
}

Test(gateway_planned_work_stages, a_request_that_waits_for_the_limit_of_a_target_is_served_or_refused)
{
    planned_work work(85, "idempotent");
    auto& model = *work.models.front();
    model.setRequestHandler([&](exchange_ptr exchange) {
        auto headers = model.responseHeaders(*exchange);
        headers.emplace_back("Server-Limit", "2");
        exchange->respond(200, std::move(headers), "t-0");
    });
    work.send();
    work.deployment.waitUntil([&] { return work.callers.front()->isFinished; }, "the first response with a limit");
    const size_t sentBefore = model.requests().size();
    work.send();
    work.send();
    work.waitForAccepted(3);
    cr_assert_lt(model.requests().size(), sentBefore + 2, "no request waits");
    work.doPlannedWork(false);
    work.deployment.waitUntil([&] { return std::all_of(work.callers.begin(), work.callers.end(), [](const auto& item) { return item->isFinished; }); }, "the responses");
    size_t served = 0;
    for (const auto& caller : work.callers) {
        cr_assert(caller->outcome == http1::call_outcome::Complete);
        cr_assert(caller->head.status == 200 || (caller->head.status == 503 && !caller->header("Retry-After").empty()), "status %u", caller->head.status);
        served += caller->head.status == 200 ? 1 : 0;
    }
    cr_assert_eq(model.requests().size(), served, "a refused request was sent");
    work.checkStopped();
}

Test(gateway_planned_work_stages, a_request_that_waits_for_a_crash_verdict_is_served)
{
    planned_work work(86, "idempotent", 2);
    bool isFirst = true;
    for (auto* model : work.models) {
        model->setRequestHandler([&work, &isFirst, model](exchange_ptr exchange) {
            if (!std::exchange(isFirst, false)) {
                exchange->respond(200, model->responseHeaders(*exchange), model->id());
                return;
            }
            exchange->abort();
            work.doPlannedWork(false);
        });
    }
    work.send("0,0", { { "X-Model", "m" }, { "X-Token-Counts", "80,10" }, { "X-Prompt-Prefix", "system:40,own:40" } });
    work.checkServed();
    cr_assert_neq(work.deployment.logOf(0).find("The request is suspected of crashing its target."), std::string::npos);
}

Test(gateway_planned_work_stages, a_request_that_waits_for_the_target_list_after_a_freeze_is_served)
{
    planned_work work(87, "idempotent");
    work.deployment.signal(0, SIGSTOP);
    work.deployment.runLoopFor(milliseconds(1000));
    work.deployment.store().setFaults({ .delay = milliseconds(300) });
    for (int i = 0; i < 3; ++i)
        work.send();
    work.deployment.runLoopFor(milliseconds(50));
    work.deployment.signal(0, SIGCONT);
    work.waitForAccepted(3);
    cr_assert_eq(work.models.front()->requests().size(), 0u, "no request waits");
    work.doPlannedWork(false);
    work.checkServed();
}

Test(gateway_planned_work_stages, a_request_whose_target_has_not_responded_is_served)
{
    planned_work work(88, "non_idempotent");
    auto& model = *work.models.front();
    held_exchanges held;
    model.setRequestHandler(held.handler());
    work.send();
    work.deployment.waitUntil([&] { return held.exchanges.size() == 1; }, "the request at its target");
    work.doPlannedWork(true);
    held.exchanges.front()->respond(200, model.responseHeaders(*held.exchanges.front()), "whole");
    work.checkServed();
    cr_assert_eq(work.callers.front()->body, "whole");
}

Test(gateway_planned_work_stages, a_response_that_is_relayed_is_completed)
{
    planned_work work(89, "streaming");
    auto& model = *work.models.front();
    held_exchanges held;
    model.setRequestHandler([&](exchange_ptr exchange) {
        exchange->startChunked(200, model.responseHeaders(*exchange));
        exchange->writeChunk("id: 1\ndata: first\n\n");
        held.exchanges.push_back(std::move(exchange));
    });
    const auto caller = work.send();
    work.deployment.waitUntil([&] { return caller->body.find("first") != std::string::npos; }, "the first event");
    work.doPlannedWork(true);
    held.exchanges.front()->writeChunk("id: 2\ndata: last\n\n");
    held.exchanges.front()->finishChunked();
    work.checkServed();
    cr_assert_eq(caller->body, "id: 1\ndata: first\n\nid: 2\ndata: last\n\n");
}
