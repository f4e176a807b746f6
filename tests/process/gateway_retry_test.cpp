/// Which requests the gateway retries, which it never retries, and what it returns to the caller.
#include "loop/timer.hpp"
#include "support/deployment_fixture.hpp"

#include <criterion/criterion.h>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
void cutConnection(std::shared_ptr<http1::exchange> exchange)
{
    exchange->abort();
}

size_t countRequests(const fakes::platform_target& left, const fakes::platform_target& right)
{
    return left.requests().size() + right.requests().size();
}
}

Test(gateway_retry, a_non_idempotent_request_is_never_sent_again)
{
    deployment_fixture deployment(170);
    auto& first = deployment.addTarget("t-1", "booking");
    auto& second = deployment.addTarget("t-2", "booking");
    deployment.configure(3, { deployment.route("/book/", "non_idempotent", "booking", { { "max_attempts", 3 } }) });
    deployment.startGateway();
    deployment.waitUntilReady();
    // An earlier request leaves a persistent connection behind, if the gateway keeps one.
    cr_assert_eq(deployment.sendAndWait("POST", "/book/1")->head.status, 200);
    first.setRequestHandler(cutConnection);
    second.setRequestHandler(cutConnection);
    const size_t before = countRequests(first, second);
    const auto response = deployment.sendAndWait("POST", "/book/2");
    cr_assert_eq(response->head.status, 502);
    cr_assert_eq(response->header("X-Response-Seal"), "");
    cr_assert_eq(countRequests(first, second), before + 1);
}

Test(gateway_retry, an_idempotent_request_is_retried_at_another_target)
{
    deployment_fixture deployment(171);
    auto& first = deployment.addTarget("t-1", "pages");
    auto& second = deployment.addTarget("t-2", "pages");
    first.setRequestHandler(cutConnection);
    deployment.configure(3, { deployment.route("/p/", "idempotent", "pages") });
    deployment.startGateway();
    deployment.waitUntilReady();
    for (int i = 0; i < 6; ++i)
        cr_assert_eq(deployment.sendAndWait("GET", "/p/" + std::to_string(i))->body, "t-2");
    cr_assert_leq(first.requests().size(), 6u);
    cr_assert_geq(second.requests().size(), 6u);
}

Test(gateway_retry, max_attempts_limits_the_attempts)
{
    deployment_fixture deployment(172);
    auto& first = deployment.addTarget("t-1", "pages");
    auto& second = deployment.addTarget("t-2", "pages");
    auto& third = deployment.addTarget("t-3", "pages");
    for (auto* target : { &first, &second, &third })
        target->setRequestHandler(cutConnection);
    deployment.configure(3, { deployment.route("/p/", "idempotent", "pages", { { "max_attempts", 2 } }) });
    deployment.startGateway();
    deployment.waitUntilReady();
    cr_assert_eq(deployment.sendAndWait("GET", "/p/1")->head.status, 502);
    cr_assert_eq(countRequests(first, second) + third.requests().size(), 2u);
}

Test(gateway_retry, a_request_that_a_target_did_not_run_is_sent_to_another)
{
    deployment_fixture deployment(173);
    auto& full = deployment.addTarget("t-1", "booking");
    auto& other = deployment.addTarget("t-2", "booking");
    full.setRequestHandler([](std::shared_ptr<http1::exchange> exchange) { exchange->respond(503, { { "X-Not-Executed", "1" } }, {}); });
    deployment.configure(3, { deployment.route("/book/", "non_idempotent", "booking") });
    deployment.startGateway();
    deployment.waitUntilReady();
    for (int i = 0; i < 4; ++i)
        cr_assert_eq(deployment.sendAndWait("POST", "/book/" + std::to_string(i))->body, "t-2");
    cr_assert_eq(other.requests().size(), 4u);
}

Test(gateway_retry, a_503_is_returned_only_if_the_request_did_not_run)
{
    deployment_fixture deployment(174);
    auto& target = deployment.addTarget("t-1", "booking");
    deployment.configure(3, { deployment.route("/book/", "non_idempotent", "booking") });
    deployment.startGateway();
    deployment.waitUntilReady();
    // The target ran the request but returns 503, which would tell the caller that it did not run.
    target.setRequestHandler([&](std::shared_ptr<http1::exchange> exchange) { exchange->respond(503, target.responseHeaders(*exchange), "ran"); });
    const auto response = deployment.sendAndWait("POST", "/book/1");
    cr_assert_eq(response->head.status, 502);
    cr_assert_eq(response->header("X-Response-Seal"), "");
    // The only target reports that it did not run the request.
    target.setRequestHandler([](std::shared_ptr<http1::exchange> exchange) { exchange->respond(503, { { "X-Not-Executed", "1" } }, {}); });
    const auto refusal = deployment.sendAndWait("POST", "/book/2");
    cr_assert_eq(refusal->head.status, 503);
    cr_assert_neq(refusal->header("Retry-After"), "");
}

Test(gateway_retry, a_response_to_another_request_is_not_relayed)
{
    deployment_fixture deployment(175);
    auto& target = deployment.addTarget("t-1", "booking");
    deployment.configure(3, { deployment.route("/book/", "non_idempotent", "booking"), deployment.route("/p/", "idempotent", "booking") });
    deployment.startGateway();
    deployment.waitUntilReady();
    target.setRequestHandler([](std::shared_ptr<http1::exchange> exchange) { exchange->respond(200, { { "X-Attempt-Id", "another" }, { "X-Response-Seal", "s" } }, "another's"); });
    for (const char* path : { "/book/1", "/p/1" }) {
        const auto response = deployment.sendAndWait("POST", path);
        cr_assert_eq(response->head.status, 502);
        cr_assert_eq(response->body, "");
    }
    target.setRequestHandler([](std::shared_ptr<http1::exchange> exchange) { exchange->respond(200, { { "X-Attempt-Id", std::string(*http1::findHeader(exchange->head().headers, "X-Attempt-Id")) } }, "without a seal"); });
    cr_assert_eq(deployment.sendAndWait("POST", "/book/2")->head.status, 502);
}

Test(gateway_retry, an_address_reused_by_another_target_gets_no_requests)
{
    deployment_fixture deployment(176);
    auto& newTarget = deployment.addTarget("t-new", "booking");
    deployment.unlistTarget("t-new");
    deployment.store().put("keyed.servers", "t-old", json { { "service", "pages" }, { "address", newTarget.endpoint().toString() }, { "zone", "north-1" }, { "slots", 4 }, { "state", "ready" } }.dump());
    deployment.addTarget("t-2", "pages");
    deployment.configure(3, { deployment.route("/p/", "non_idempotent", "pages") });
    deployment.startGateway();
    deployment.waitUntilReady();
    for (int i = 0; i < 5; ++i)
        cr_assert_eq(deployment.sendAndWait("POST", "/p/" + std::to_string(i))->body, "t-2");
    cr_assert_eq(newTarget.requests().size(), 0u);
}

Test(gateway_retry, a_server_error_of_a_target_keeps_its_status_and_seal)
{
    deployment_fixture deployment(177);
    auto& target = deployment.addTarget("t-1", "booking");
    target.setRequestHandler([&](std::shared_ptr<http1::exchange> exchange) { exchange->respond(500, target.responseHeaders(*exchange), "broken"); });
    deployment.configure(3, { deployment.route("/book/", "non_idempotent", "booking") });
    deployment.startGateway();
    deployment.waitUntilReady();
    const auto response = deployment.sendAndWait("POST", "/book/1");
    cr_assert_eq(response->head.status, 500);
    cr_assert_eq(response->header("X-Response-Seal"), "seal-t-1");
    cr_assert_eq(response->body, "broken");
}

Test(gateway_retry, a_request_that_crashes_targets_is_refused_and_reported_to_peers)
{
    deployment_fixture deployment(178);
    auto& pool = deployment.addTarget("p-1", "pool");
    static_cast<void>(pool);
    auto& first = deployment.addTarget("t-1", "pages");
    auto& second = deployment.addTarget("t-2", "pages");
    first.setRequestHandler(cutConnection);
    second.setRequestHandler(cutConnection);
    const json poolService { { "name", "pool" }, { "pieces", { { "slots", 1 }, { "queue", 2 }, { "batch", 4 }, { "call_ms", 10 }, { "item_ms", 1 }, { "headroom_mb", 10 }, { "handle_s", 4 } } } };
    deployment.configure(3, { deployment.route("/p/", "non_idempotent", "pages") }, { poolService });
    const size_t left = deployment.startGateway();
    const size_t right = deployment.startGateway();
    deployment.waitUntilReady(left);
    deployment.waitUntilReady(right);
    deployment.waitUntil([&] { return (deployment.logOf(left) + deployment.logOf(right)).find("The connection to a pool owner is established.") != std::string::npos; }, "a connection between the entries");
    for (int i = 0; i < 2; ++i)
        cr_assert_eq(deployment.sendAndWait("POST", "/p/bad", {}, "poison", left)->head.status, 502);
    const size_t before = countRequests(first, second);
    cr_assert_eq(deployment.sendAndWait("POST", "/p/bad", {}, "poison", left)->head.status, 503);
    deployment.waitUntil([&] { return deployment.logOf(right).find("\"quarantined\":\"true\"") != std::string::npos; }, "the quarantine at the other entry");
    cr_assert_eq(deployment.sendAndWait("POST", "/p/bad", {}, "poison", right)->head.status, 503);
    cr_assert_eq(countRequests(first, second), before);
    cr_assert_eq(deployment.sendAndWait("POST", "/p/good", {}, "harmless", right)->head.status, 502);
}

Test(gateway_retry, a_large_plain_response_that_breaks_off_is_not_continued_with_the_start_of_another)
{
    deployment_fixture deployment(19);
    // Larger than what the gateway buffers, so that the caller has the first part when the target breaks off.
    const std::string part(300 * 1024, 'a');
    std::vector<std::unique_ptr<timer>> timers;
    for (const char* id : { "t-1", "t-2" }) {
        auto& target = deployment.addTarget(id, "pages");
        target.setRequestHandler([&](std::shared_ptr<http1::exchange> exchange) {
            exchange->startChunked(200, target.responseHeaders(*exchange));
            exchange->writeChunk(part);
            const bool isFirst = timers.empty();
            timers.push_back(std::make_unique<timer>());
            timers.back()->startOnce(milliseconds(300), [exchange, isFirst] {
                if (isFirst)
                    exchange->abort();
                else
                    exchange->finishChunked();
            });
        });
    }
    deployment.configure(3, { deployment.route("/p/", "idempotent", "pages") });
    deployment.startGateway();
    deployment.waitUntilReady();
    const auto response = deployment.sendAndWait("GET", "/p/1");
    cr_assert_eq(response->outcome, http1::call_outcome::Truncated);
    cr_assert_eq(response->body.size(), part.size());
}
