/// Pools whose targets or owners send nothing for a while, and pools that a configuration drops while tasks wait.
#include "base/hash.hpp"
#include "policy/ownership.hpp"
#include "support/deployment_fixture.hpp"

#include <criterion/criterion.h>
#include <csignal>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
using exchange_ptr = std::shared_ptr<http1::exchange>;

const json noRetries { { "retryRatio", 0 }, { "retrySlack", 0 } };

json poolService(const std::string& name)
{
    return { { "name", name }, { "pieces", { { "slots", 1 }, { "queue", 2 }, { "batch", 8 }, { "call_ms", 20 }, { "item_ms", 1 }, { "headroom_mb", 10 }, { "handle_s", 20 } } } };
}

json routeWithStages(const json& stages)
{
    return deployment_fixture::route("/m/", "idempotent", "model", { { "timeout_ms", 12000 }, { "stages", stages } });
}

const json encodeStage { { "service", "encode" }, { "after", json::array() }, { "bytes", 1000 } };
const json rankStage { { "service", "rank" }, { "after", { 0 } }, { "bytes", 1000 } };

http1::header_list stageHeaders(const std::string& pieces)
{
    return { { "X-Pieces", pieces }, { "X-Piece-Key", "piece-key" }, { "X-Deadline-Ms", "10000" } };
}

/// A model, a pool with some targets, and gateways in front of them.
struct pool_deployment {
    pool_deployment(int slot, size_t encoderCount, const json& bounds = json::object(), size_t gatewayCount = 1)
        : deployment(slot)
    {
        for (size_t i = 0; i < encoderCount; ++i)
            encoders.push_back(&deployment.addTarget("e-" + std::to_string(i), "encode"));
        model = &deployment.addTarget("t-1", "model");
        deployment.configure(3, json::array({ routeWithStages(json::array({ encodeStage })) }), json::array({ poolService("encode") }));
        for (size_t i = 0; i < gatewayCount; ++i)
            deployment.startGateway(bounds);
        for (size_t i = 0; i < gatewayCount; ++i)
            deployment.waitUntilReady(i);
    }

    /// Has all encoders keep the batch calls that they receive.
    void holdCalls()
    {
        for (auto* encoder : encoders)
            encoder->setBatchCallHandler([this, encoder](exchange_ptr exchange) { heldCalls.emplace_back(encoder, std::move(exchange)); });
    }

    void respondToHeldCall(size_t index) const { heldCalls.at(index).first->respondToBatchCall(*heldCalls.at(index).second); }

    void waitForHeldCalls(size_t count)
    {
        deployment.waitUntil([&] { return heldCalls.size() >= count; }, "the batch calls");
    }

    void waitForLog(const std::string& text, size_t gateway = 0)
    {
        deployment.waitUntil([&] { return deployment.logOf(gateway).find(text) != std::string::npos; }, text.c_str());
    }

    deployment_fixture deployment;
    std::vector<fakes::platform_target*> encoders;
    fakes::platform_target* model = nullptr;
    std::vector<std::pair<fakes::platform_target*, exchange_ptr>> heldCalls;
};

void checkServed(deployment_fixture& deployment, const caller_ptr& caller)
{
    deployment.waitUntil([&] { return caller->isFinished; }, "the response");
    cr_assert(caller->outcome == http1::call_outcome::Complete);
    cr_assert_eq(caller->head.status, 200u, "status %u", caller->head.status);
}

/// @return Index of the gateway that owns a pool.
size_t ownerOf(const std::string& pool, size_t gatewayCount)
{
    std::vector<policy::owner_candidate> candidates;
    for (size_t i = 0; i < gatewayCount; ++i)
        candidates.push_back({ hashOf("gateway-" + std::to_string(i)), 1 });
    return policy::rankOwners(candidates, hashOf(pool)).front();
}
}

Test(gateway_silent_pool, a_batch_call_is_kept_while_its_tasks_have_time)
{
    pool_deployment pool(91, 1, noRetries);
    pool.holdCalls();
    const auto caller = pool.deployment.send("POST", "/m/1", stageHeaders("1"));
    pool.waitForHeldCalls(1);
    pool.deployment.runLoopFor(milliseconds(4000));
    cr_assert(!caller->isFinished, "the request ended with status %u for the silence of a target", caller->head.status);
    // Only the response may be lost, so the target gets the tasks of other requests.
    const auto second = pool.deployment.send("POST", "/m/2", stageHeaders("1"));
    pool.deployment.runLoopFor(milliseconds(1000));
    cr_assert_eq(pool.heldCalls.size(), 2u, "the silent call keeps its target from work");
    pool.respondToHeldCall(1);
    checkServed(pool.deployment, second);
    pool.respondToHeldCall(0);
    checkServed(pool.deployment, caller);
}

Test(gateway_silent_pool, a_second_run_of_a_task_that_fails_does_not_fail_the_first)
{
    pool_deployment pool(92, 2);
    size_t brokenCalls = 0;
    for (auto* encoder : pool.encoders) {
        encoder->setBatchCallHandler([&pool, &brokenCalls, encoder](exchange_ptr exchange) {
            if (pool.heldCalls.empty())
                pool.heldCalls.emplace_back(encoder, std::move(exchange));
            else {
                ++brokenCalls;
                exchange->abort();
            }
        });
    }
    const auto caller = pool.deployment.send("POST", "/m/1", stageHeaders("1"));
    pool.deployment.waitUntil([&] { return brokenCalls >= 1; }, "a second run");
    // The other target is tried until no further send is allowed.
    pool.deployment.runLoopFor(milliseconds(2500));
    cr_assert(!caller->isFinished, "the request ended with status %u while the first run goes on", caller->head.status);
    cr_assert_eq(pool.deployment.logOf(0).find("A task of the request ended without a result."), std::string::npos);
    pool.respondToHeldCall(0);
    checkServed(pool.deployment, caller);
}

Test(gateway_silent_pool, the_last_allowed_run_of_a_task_is_reported_when_it_breaks_after_a_silence)
{
    pool_deployment pool(93, 1);
    size_t calls = 0;
    // The first three calls are broken off, the fourth is kept, and later ones get results.
    pool.encoders.front()->setBatchCallHandler([&](exchange_ptr exchange) {
        ++calls;
        if (calls < 4)
            exchange->abort();
        else if (calls == 4)
            pool.heldCalls.emplace_back(pool.encoders.front(), std::move(exchange));
        else
            pool.encoders.front()->respondToBatchCall(*exchange);
    });
    const auto caller = pool.deployment.send("POST", "/m/1", stageHeaders("1"));
    pool.waitForHeldCalls(1);
    pool.waitForLog("A batch call is overdue at its target.");
    pool.heldCalls.front().second->abort();
    pool.waitForLog("A task of the request ended without a result.");
    pool.deployment.waitUntil([&] { return caller->isFinished; }, "the end of the request");
    cr_assert_eq(pool.deployment.logOf(0).find(R"("reason":"stage_late")"), std::string::npos, "nobody reported that the task had failed");
    cr_assert_eq(pool.deployment.logOf(0).find(R"("reason":"deadline")"), std::string::npos, "nobody reported that the task had failed");
}

Test(gateway_silent_pool, tasks_of_a_pool_that_a_configuration_dropped_are_run)
{
    pool_deployment pool(94, 1, noRetries);
    auto& ranker = pool.deployment.addTarget("k-1", "rank");
    pool.deployment.configure(4, json::array({ routeWithStages(json::array({ encodeStage, rankStage })) }), json::array({ poolService("encode"), poolService("rank") }));
    pool.waitForLog(R"("version":"4")");
    pool.holdCalls();
    const auto running = pool.deployment.send("POST", "/m/1", stageHeaders("1,1"));
    pool.waitForHeldCalls(1);
    const auto queued = pool.deployment.send("POST", "/m/2", stageHeaders("1,1"));
    pool.waitForLog("attempt-2\",\"route");
    pool.deployment.configure(5, json::array({ deployment_fixture::route("/other/", "idempotent", "model") }));
    pool.waitForLog(R"("version":"5")");
    pool.respondToHeldCall(0);
    pool.waitForHeldCalls(2);
    pool.respondToHeldCall(1);
    checkServed(pool.deployment, running);
    checkServed(pool.deployment, queued);
    size_t tasks = 0;
    for (const auto& call : ranker.batchCalls())
        tasks += json::parse(call).at("items").size();
    cr_assert_eq(tasks, 2u);
}

Test(gateway_silent_pool, a_result_that_a_paused_owner_delivers_late_is_used)
{
    pool_deployment pool(95, 1, json::object(), 2);
    const size_t owner = ownerOf("encode", 2);
    const size_t other = 1 - owner;
    pool.waitForLog("The connection to a pool owner is established.", other);
    pool.holdCalls();
    const auto caller = pool.deployment.send("POST", "/m/1", stageHeaders("1"), "", other);
    pool.waitForHeldCalls(1);
    pool.deployment.signal(owner, SIGSTOP);
    pool.waitForLog("The connection to a pool owner was lost; the jobs delegated to it are run elsewhere.", other);
    pool.deployment.runLoopFor(milliseconds(200));
    pool.deployment.signal(owner, SIGCONT);
    pool.respondToHeldCall(0);
    checkServed(pool.deployment, caller);
    const auto inputs = http1::findHeader(pool.model->requests().front().head.headers, "X-Inputs");
    cr_assert(inputs && inputs->ends_with("/1"), "the result of the first run was not used");
}

Test(gateway_silent_pool, a_job_at_an_owner_that_is_late_for_a_moment_runs_once)
{
    // Without a retry budget, a second run costs more than a late first one.
    pool_deployment pool(332, 1, noRetries, 2);
    const size_t owner = ownerOf("encode", 2);
    const size_t other = 1 - owner;
    pool.waitForLog("The connection to a pool owner is established.", other);
    pool.holdCalls();
    const auto caller = pool.deployment.send("POST", "/m/1", stageHeaders("1"), "", other);
    pool.waitForHeldCalls(1);
    pool.deployment.signal(owner, SIGSTOP);
    pool.deployment.runLoopFor(milliseconds(1200));
    pool.deployment.signal(owner, SIGCONT);
    pool.deployment.runLoopFor(milliseconds(300));
    cr_assert_eq(pool.heldCalls.size(), 1u, "the job runs %zu times", pool.heldCalls.size());
    pool.respondToHeldCall(0);
    checkServed(pool.deployment, caller);
}

Test(gateway_silent_pool, a_job_at_an_owner_that_stops_is_finished_there)
{
    // Without a retry budget, only an entry that takes the job back can start a second call.
    pool_deployment pool(96, 1, { { "stopSeconds", 8 }, { "retryRatio", 0 }, { "retrySlack", 0 } }, 2);
    const size_t owner = ownerOf("encode", 2);
    const size_t other = 1 - owner;
    pool.waitForLog("The connection to a pool owner is established.", other);
    pool.holdCalls();
    const auto caller = pool.deployment.send("POST", "/m/1", stageHeaders("1"), "", other);
    pool.waitForHeldCalls(1);
    pool.deployment.signal(owner, SIGTERM);
    pool.deployment.runLoopFor(milliseconds(4500));
    cr_assert_eq(pool.heldCalls.size(), 1u, "the stopping owner gave up a job in progress");
    pool.respondToHeldCall(0);
    checkServed(pool.deployment, caller);
    pool.deployment.waitUntil([&] { return pool.deployment.hasExited(owner); }, "the end of the owner");
}

Test(gateway_silent_pool, a_job_at_an_owner_that_moves_to_another_address_is_run)
{
    pool_deployment pool(230, 1, noRetries, 2);
    const size_t owner = ownerOf("encode", 2);
    const size_t other = 1 - owner;
    pool.waitForLog("The connection to a pool owner is established.", other);
    pool.holdCalls();
    const auto caller = pool.deployment.send("POST", "/m/1", stageHeaders("1"), "", other);
    pool.waitForHeldCalls(1);
    // The connection to the former address is up when the new one, where a gateway listens too, is listed.
    const std::string listed = "\"entry\":\"gateway-" + std::to_string(other) + "\",\"address\":\"";
    pool.waitForLog(listed, owner);
    const std::string log = pool.deployment.logOf(owner);
    const size_t begin = log.find(listed) + listed.size();
    const json record { { "peerListen", log.substr(begin, log.find('"', begin) - begin) }, { "weight", 1.0 }, { "startedAtMs", 1 } };
    pool.deployment.store().put("keyed.entries", "gateway-" + std::to_string(owner), record.dump());
    const std::string moved = "\"entry\":\"gateway-" + std::to_string(owner) + "\",\"address\":\"" + record.at("peerListen").get<std::string>();
    pool.waitForLog(moved, other);
    pool.waitForHeldCalls(2);
    pool.respondToHeldCall(1);
    checkServed(pool.deployment, caller);
}
