/// Stages of a request, and the pools that entries share.
#include "base/hash.hpp"
#include "policy/ownership.hpp"
#include "support/deployment_fixture.hpp"

#include <criterion/criterion.h>
#include <csignal>
#include <set>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
json poolService(const std::string& name)
{
    return { { "name", name }, { "pieces", { { "slots", 1 }, { "queue", 2 }, { "batch", 8 }, { "call_ms", 20 }, { "item_ms", 1 }, { "headroom_mb", 10 }, { "handle_s", 4 } } } };
}

json stagedRoute()
{
    const json stages { { { "service", "encode" }, { "after", json::array() }, { "bytes", 1000 } }, { { "service", "rank" }, { "after", { 0 } }, { "bytes", 1000 } } };
    return deployment_fixture::route("/m/", "idempotent", "model", { { "stages", stages } });
}

http1::header_list stageHeaders(const std::string& pieces)
{
    return { { "X-Pieces", pieces }, { "X-Piece-Key", "piece-key" } };
}

/// @return True once each entry is connected to the first two owners of each pool.
bool areConnected(const deployment_fixture& deployment, const std::vector<std::string>& pools, size_t entries)
{
    std::vector<policy::owner_candidate> candidates;
    for (size_t i = 0; i < entries; ++i)
        candidates.push_back({ hashOf("gateway-" + std::to_string(i)), 1 });
    for (const auto& pool : pools) {
        const auto ranked = policy::rankOwners(candidates, hashOf(pool));
        for (size_t i = 0; i < entries; ++i) {
            for (const size_t owner : { ranked[0], ranked[1] }) {
                const std::string line = "\"The connection to a pool owner is established.\",\"entry\":\"gateway-" + std::to_string(owner) + "\"";
                if (owner != i && deployment.logOf(i).find(line) == std::string::npos)
                    return false;
            }
        }
    }
    return true;
}

std::vector<json> taskItemsOf(const fakes::platform_target& target)
{
    std::vector<json> items;
    for (const auto& call : target.batchCalls()) {
        const json request = json::parse(call);
        for (const json& item : request.at("items"))
            items.push_back(item);
    }
    return items;
}
}

Test(gateway_stage, each_stage_gets_the_results_of_the_one_before)
{
    deployment_fixture deployment(186);
    auto& encoder = deployment.addTarget("e-1", "encode");
    auto& ranker = deployment.addTarget("k-1", "rank");
    auto& model = deployment.addTarget("t-1", "model");
    deployment.configure(3, { stagedRoute() }, { poolService("encode"), poolService("rank") });
    deployment.startGateway();
    deployment.waitUntilReady();
    cr_assert_eq(deployment.sendAndWait("POST", "/m/1", stageHeaders("2,3"))->head.status, 200);

    const auto encodeTasks = taskItemsOf(encoder);
    cr_assert_eq(encodeTasks.size(), 2u);
    for (const auto& item : encodeTasks) {
        cr_assert_eq(item.at("stage"), 0);
        cr_assert_eq(item.at("key"), "piece-key");
        cr_assert(!item.contains("inputs"));
    }
    const auto rankTasks = taskItemsOf(ranker);
    cr_assert_eq(rankTasks.size(), 3u);
    for (const auto& item : rankTasks)
        cr_assert_eq(item.at("inputs").size(), 2u);
    const auto inputs = http1::findHeader(model.requests().front().head.headers, "X-Inputs");
    cr_assert(inputs && std::count(inputs->begin(), inputs->end(), ',') == 2);
    cr_assert_eq(inputs->substr(0, inputs->find('/')), ranker.endpoint().toString());
    deployment.waitUntil([&] { return encoder.releasedResults().size() == 2 && ranker.releasedResults().size() == 3; }, "the release of the results");
}

Test(gateway_stage, a_failed_task_is_retried_at_another_target)
{
    deployment_fixture deployment(187);
    auto& broken = deployment.addTarget("e-1", "encode");
    auto& healthy = deployment.addTarget("e-2", "encode");
    deployment.addTarget("k-1", "rank");
    deployment.addTarget("t-1", "model");
    broken.setBatchCallHandler([](std::shared_ptr<http1::exchange> exchange) { exchange->abort(); });
    deployment.configure(3, { stagedRoute() }, { poolService("encode"), poolService("rank") });
    deployment.startGateway();
    deployment.waitUntilReady();
    for (int i = 0; i < 3; ++i)
        cr_assert_eq(deployment.sendAndWait("POST", "/m/" + std::to_string(i), stageHeaders("1,1"))->head.status, 200);
    cr_assert_geq(healthy.batchCalls().size(), 3u);
}

Test(gateway_stage, a_missing_input_restarts_the_stages)
{
    deployment_fixture deployment(188);
    auto& encoder = deployment.addTarget("e-1", "encode");
    auto& ranker = deployment.addTarget("k-1", "rank");
    deployment.addTarget("t-1", "model");
    int calls = 0;
    ranker.setBatchCallHandler([&](std::shared_ptr<http1::exchange> exchange) {
        if (++calls == 1)
            exchange->respond(200, {}, R"({"items":[{"reason":"gone"}]})");
        else
            ranker.respondToBatchCall(*exchange);
    });
    deployment.configure(3, { stagedRoute() }, { poolService("encode"), poolService("rank") });
    deployment.startGateway();
    deployment.waitUntilReady();
    cr_assert_eq(deployment.sendAndWait("POST", "/m/1", stageHeaders("1,1"))->head.status, 200);
    cr_assert_eq(taskItemsOf(encoder).size(), 2u);
}

// Guards against tasks that wait until their inputs have expired and then take a slot to find this out.
Test(gateway_stage, a_task_whose_inputs_have_expired_is_not_sent)
{
    deployment_fixture deployment(299);
    auto& encoder = deployment.addTarget("e-1", "encode");
    auto& ranker = deployment.addTarget("k-1", "rank");
    deployment.addTarget("t-1", "model");
    json route = stagedRoute();
    route["target_latency_ms"] = 6000;
    json encode = poolService("encode");
    encode["pieces"]["handle_s"] = 1;
    json rank = poolService("rank");
    rank["pieces"]["queue"] = 0;
    deployment.configure(3, { route }, { encode, rank });
    deployment.startGateway();
    deployment.waitUntilReady();

    std::vector<std::shared_ptr<http1::exchange>> held;
    ranker.setBatchCallHandler([&held](std::shared_ptr<http1::exchange> exchange) { held.push_back(std::move(exchange)); });
    const auto first = deployment.send("POST", "/m/1", stageHeaders("1,1"));
    deployment.waitUntil([&] { return held.size() == 1; }, "the call that occupies the pool");
    const auto second = deployment.send("POST", "/m/2", stageHeaders("1,1"));
    deployment.waitUntil([&] { return encoder.batchCalls().size() == 2; }, "the inputs of the second request");
    const std::string expiredHandle = encoder.endpoint().toString() + "/2";
    // Longer than results live, and shorter than the time after which the call counts as overdue and its tasks as lost.
    deployment.runLoopFor(milliseconds(1300));
    ranker.setBatchCallHandler({});
    ranker.respondToBatchCall(*held.front());
    deployment.waitUntil([&] { return first->isFinished && second->isFinished; }, "the responses");
    cr_assert_eq(second->head.status, 200);
    for (const auto& item : taskItemsOf(ranker)) {
        for (const json& input : item.at("inputs"))
            cr_assert_neq(input.get<std::string>(), expiredHandle, "a task was sent with an expired result");
    }
}

Test(gateway_stage, a_request_whose_stages_cannot_finish_in_time_is_refused_at_once)
{
    deployment_fixture deployment(154);
    auto& encoder = deployment.addTarget("e-1", "encode");
    deployment.addTarget("k-1", "rank");
    deployment.addTarget("t-1", "model");
    json slow = poolService("rank");
    slow["pieces"]["call_ms"] = 3000;
    deployment.configure(3, { stagedRoute() }, { poolService("encode"), slow });
    deployment.startGateway();
    deployment.waitUntilReady();
    http1::header_list headers = stageHeaders("1,1");
    headers.emplace_back("X-Deadline-Ms", "2500");
    const auto response = deployment.sendAndWait("POST", "/m/1", headers);
    cr_assert_eq(response->head.status, 503);
    cr_assert_neq(response->header("Retry-After"), "");
    cr_assert_eq(encoder.batchCalls().size(), 0u, "no task may run for the request");
    cr_assert_eq(deployment.sendAndWait("POST", "/m/2", stageHeaders("1,0"))->head.status, 200, "a stage without tasks must take no time");
}

Test(gateway_stage, results_are_released_once_they_were_fetched)
{
    deployment_fixture deployment(152);
    auto& encoder = deployment.addTarget("e-1", "encode");
    auto& ranker = deployment.addTarget("k-1", "rank");
    auto& model = deployment.addTarget("t-1", "model");
    std::shared_ptr<http1::exchange> heldExchange;
    model.setRequestHandler([&](std::shared_ptr<http1::exchange> exchange) { heldExchange = std::move(exchange); });
    deployment.configure(3, { stagedRoute() }, { poolService("encode"), poolService("rank") });
    deployment.startGateway();
    deployment.waitUntilReady();
    const auto caller = deployment.send("POST", "/m/1", stageHeaders("2,3"));
    deployment.waitUntil([&] { return heldExchange != nullptr; }, "the request at its target");
    deployment.waitUntil([&] { return encoder.releasedResults().size() == 2 && ranker.releasedResults().size() == 3; }, "the release of the results before the first byte");
    heldExchange->respond(200, model.responseHeaders(*heldExchange), "whole");
    deployment.waitUntil([&] { return caller->isFinished; }, "the response");
    cr_assert_eq(caller->body, "whole");
}

Test(gateway_stage, a_target_that_misses_a_result_is_tried_again_with_new_results)
{
    deployment_fixture deployment(153);
    auto& encoder = deployment.addTarget("e-1", "encode");
    auto& ranker = deployment.addTarget("k-1", "rank");
    auto& model = deployment.addTarget("t-1", "model");
    int requests = 0;
    model.setRequestHandler([&](std::shared_ptr<http1::exchange> exchange) {
        if (++requests == 1)
            exchange->respond(409, { { "X-Not-Executed", "1" } }, "");
        else
            exchange->respond(200, model.responseHeaders(*exchange), "whole");
    });
    deployment.configure(3, { stagedRoute() }, { poolService("encode"), poolService("rank") });
    deployment.startGateway();
    deployment.waitUntilReady();
    const auto response = deployment.sendAndWait("POST", "/m/1", stageHeaders("1,1"));
    cr_assert_eq(response->head.status, 200);
    cr_assert_eq(response->body, "whole");
    cr_assert_eq(taskItemsOf(encoder).size(), 2u);

    deployment.waitUntil([&] { return ranker.releasedResults().size() == 2; }, "the release of the results of both runs");

    // From then on, results are kept until a response shows that they were fetched.
    std::shared_ptr<http1::exchange> heldExchange;
    model.setRequestHandler([&](std::shared_ptr<http1::exchange> exchange) { heldExchange = std::move(exchange); });
    const auto second = deployment.send("POST", "/m/2", stageHeaders("1,1"));
    deployment.waitUntil([&] { return heldExchange != nullptr; }, "the second request at its target");
    deployment.runLoopFor(milliseconds(300));
    cr_assert_eq(ranker.releasedResults().size(), 2u);
    heldExchange->respond(200, model.responseHeaders(*heldExchange), "whole");
    deployment.waitUntil([&] { return second->isFinished && ranker.releasedResults().size() == 3; }, "the end of the second request");
}

Test(gateway_stage, tasks_of_a_disconnected_caller_are_cancelled)
{
    deployment_fixture deployment(189);
    auto& encoder = deployment.addTarget("e-1", "encode");
    deployment.addTarget("k-1", "rank");
    deployment.addTarget("t-1", "model");
    std::vector<std::shared_ptr<http1::exchange>> heldExchanges;
    encoder.setBatchCallHandler([&](std::shared_ptr<http1::exchange> exchange) { heldExchanges.push_back(std::move(exchange)); });
    deployment.configure(3, { stagedRoute() }, { poolService("encode"), poolService("rank") });
    deployment.startGateway();
    deployment.waitUntilReady();
    const auto first = deployment.send("POST", "/m/1", stageHeaders("1,1"));
    deployment.waitUntil([&] { return heldExchanges.size() == 1; }, "the first task");
    auto second = deployment.send("POST", "/m/2", { { "X-Attempt-Id", "gone" }, { "X-Pieces", "1,1" }, { "X-Piece-Key", "k" } });
    deployment.waitUntil([&] { return deployment.logOf(0).find("\"gone\"") != std::string::npos; }, "the second request");
    second->call.reset();
    deployment.waitUntil([&] { return deployment.logOf(0).find("caller_gone") != std::string::npos; }, "the disconnect of the caller");
    encoder.setBatchCallHandler({});
    encoder.respondToBatchCall(*heldExchanges.front());
    deployment.waitUntil([&] { return first->isFinished; }, "the first response");
    cr_assert_eq(first->head.status, 200);
    for (const auto& item : taskItemsOf(encoder))
        cr_assert_neq(item.at("id"), "gone");
}

Test(gateway_stage, entries_share_the_batch_calls_of_a_pool_and_survive_its_owner)
{
    deployment_fixture deployment(190);
    auto& encoder = deployment.addTarget("e-1", "encode");
    deployment.addTarget("k-1", "rank");
    deployment.addTarget("t-1", "model");
    deployment.configure(3, { stagedRoute() }, { poolService("encode"), poolService("rank") });
    for (size_t i = 0; i < 3; ++i)
        deployment.startGateway();
    for (size_t i = 0; i < 3; ++i)
        deployment.waitUntilReady(i);
    deployment.waitUntil([&] { return areConnected(deployment, { "encode", "rank" }, 3); }, "the connections between the entries");
    std::vector<std::shared_ptr<http1::exchange>> heldExchanges;
    encoder.setBatchCallHandler([&](std::shared_ptr<http1::exchange> exchange) { heldExchanges.push_back(std::move(exchange)); });
    const auto first = deployment.send("POST", "/m/first", stageHeaders("1,1"), "", 0);
    deployment.waitUntil([&] { return heldExchanges.size() == 1; }, "the first call");
    std::vector<caller_ptr> others;
    for (size_t i = 0; i < 3; ++i)
        others.push_back(deployment.send("POST", "/m/" + std::to_string(i), stageHeaders("1,1"), "", i));
    // All three tasks wait at the owner of the pool: the target has one slot, and only the owner counts its use.
    deployment.runLoopFor(milliseconds(300));
    cr_assert_eq(encoder.batchCalls().size(), 1u);
    encoder.setBatchCallHandler({});
    encoder.respondToBatchCall(*heldExchanges.front());
    deployment.waitUntil([&] { return first->isFinished && std::all_of(others.begin(), others.end(), [](const auto& item) { return item->isFinished; }); }, "the responses");
    for (const auto& item : others)
        cr_assert_eq(item->head.status, 200);
    cr_assert_eq(json::parse(encoder.batchCalls().at(1)).at("items").size(), 3u, "the owner did not put the tasks of all entries into one batch call");

    // Any one entry may fail, also the owner: the others still respond.
    deployment.signal(0, SIGKILL);
    deployment.waitUntil([&] { return deployment.hasExited(0); }, "the end of an entry");
    for (size_t i = 1; i < 3; ++i)
        cr_assert_eq(deployment.sendAndWait("POST", "/m/after", stageHeaders("1,1"), "", i)->head.status, 200);
}
