/// Routing of requests through the gateway, and the state on which it depends.
#include "support/deployment_fixture.hpp"

#include <criterion/criterion.h>
#include <csignal>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
const json accounts { { { "name", "acme" }, { "api_keys", { "key-1", "key-2" } }, { "priority", 1 } } };

std::string headerOf(const fakes::received_request& request, std::string_view name)
{
    return std::string(http1::findHeader(request.head.headers, name).value_or(""));
}
}

Test(gateway_path, bytes_pass_unchanged_and_the_gateway_sets_its_own_headers)
{
    deployment_fixture deployment(160);
    auto& target = deployment.addTarget("t-1", "booking");
    deployment.configure(3, { deployment.route("/book/", "non_idempotent", "booking") }, json::array(), accounts);
    deployment.startGateway();
    deployment.waitUntilReady();
    const auto response = deployment.sendAndWait("POST", "/book/a%2Fb/../c?x=%20y&z", { { "X-Attempt-Id", "id-1" }, { "X-Api-Key", "key-1" }, { "X-Tenant", "forged" }, { "X-Hold", "h" }, { "X-Own", "kept" }, { "Connection", "X-Own-Hop" }, { "X-Own-Hop", "1" }, { "X-Deadline-Ms", "3000" } }, std::string("by\0tes", 6));
    cr_assert_eq(response->head.status, 200);
    cr_assert_eq(response->body, "t-1");
    cr_assert_eq(response->header("X-Response-Seal"), "seal-t-1");
    cr_assert_eq(response->header("X-Attempt-Id"), "id-1");
    cr_assert_eq(target.requests().size(), 1u);
    const auto& received = target.requests().front();
    cr_assert_eq(received.head.method, "POST");
    cr_assert_eq(received.head.target, "/book/a%2Fb/../c?x=%20y&z");
    cr_assert_eq(received.body, std::string("by\0tes", 6));
    cr_assert_eq(headerOf(received, "X-Tenant"), "acme");
    cr_assert_eq(headerOf(received, "X-Expect-Instance"), "t-1");
    cr_assert_eq(headerOf(received, "X-Own"), "kept");
    for (const char* removed : { "X-Api-Key", "X-Hold", "X-Own-Hop" })
        cr_assert_eq(headerOf(received, removed), "", "%s was forwarded", removed);
    const int remainingMs = std::stoi(headerOf(received, "X-Deadline-Ms"));
    cr_assert(remainingMs > 0 && remainingMs <= 3000);
}

Test(gateway_path, a_connection_header_cannot_remove_the_request_identifier)
{
    deployment_fixture deployment(161);
    auto& target = deployment.addTarget("t-1", "booking");
    deployment.configure(3, { deployment.route("/book/", "non_idempotent", "booking") });
    deployment.startGateway();
    deployment.waitUntilReady();
    const auto response = deployment.sendAndWait("POST", "/book/1", { { "X-Attempt-Id", "id-1" }, { "X-Model", "m" }, { "Connection", "X-Attempt-Id, X-Model" } });
    cr_assert_eq(response->head.status, 200);
    cr_assert_eq(headerOf(target.requests().front(), "X-Attempt-Id"), "id-1");
    cr_assert_eq(headerOf(target.requests().front(), "X-Model"), "m");
}

Test(gateway_path, the_longest_matching_path_prefix_selects_the_route)
{
    deployment_fixture deployment(162);
    deployment.addTarget("t-short", "short");
    deployment.addTarget("t-long", "long");
    deployment.configure(3, { deployment.route("/a/", "idempotent", "short"), deployment.route("/a/b/", "idempotent", "long") });
    deployment.startGateway();
    deployment.waitUntilReady();
    cr_assert_eq(deployment.sendAndWait("GET", "/a/x")->body, "t-short");
    cr_assert_eq(deployment.sendAndWait("GET", "/a/b/x")->body, "t-long");
    cr_assert_eq(deployment.sendAndWait("GET", "/a/bx")->body, "t-short");
    cr_assert_eq(deployment.sendAndWait("GET", "/other")->head.status, 404);
    cr_assert_eq(deployment.sendAndWait("GET", "/a/x", { { "Host", "other.example" } })->head.status, 404);
}

Test(gateway_path, api_keys_are_required_unless_the_route_is_public)
{
    deployment_fixture deployment(163);
    auto& target = deployment.addTarget("t-1", "pages");
    deployment.configure(3, { deployment.route("/p/", "idempotent", "pages"), deployment.route("/open/", "idempotent", "pages", { { "public", true } }) }, json::array(), accounts);
    deployment.startGateway();
    deployment.waitUntilReady();
    cr_assert_eq(deployment.sendAndWait("GET", "/p/1", { { "X-Api-Key", "wrong" } })->head.status, 401);
    cr_assert_eq(deployment.sendAndWait("GET", "/p/1")->head.status, 401);
    cr_assert_eq(target.requests().size(), 0u);
    cr_assert_eq(deployment.sendAndWait("GET", "/p/1", { { "X-Api-Key", "key-2" } })->head.status, 200);
    cr_assert_eq(deployment.sendAndWait("GET", "/open/1", { { "X-Tenant", "forged" } })->head.status, 200);
    cr_assert_eq(headerOf(target.requests().back(), "X-Tenant"), "");
}

Test(gateway_path, without_a_configuration_the_gateway_is_not_ready_and_responds_503)
{
    deployment_fixture deployment(164);
    deployment.addTarget("t-1", "pages");
    deployment.startGateway();
    deployment.waitUntil([&] { return deployment.logOf(0).find("The gateway started.") != std::string::npos; }, "the start of the gateway");
    const auto response = deployment.sendAndWait("GET", "/p/1");
    cr_assert_eq(response->head.status, 503);
    cr_assert_neq(response->header("Retry-After"), "");
    cr_assert(!deployment.isReady());
    deployment.configure(1, { deployment.route("/p/", "idempotent", "pages") });
    deployment.waitUntilReady();
    cr_assert_eq(deployment.sendAndWait("GET", "/p/1")->head.status, 200);
}

Test(gateway_path, a_newer_configuration_comes_into_force_and_an_older_one_never)
{
    deployment_fixture deployment(165);
    deployment.addTarget("t-old", "old");
    deployment.addTarget("t-new", "new");
    deployment.configure(5, { deployment.route("/p/", "idempotent", "old") });
    deployment.startGateway();
    deployment.waitUntilReady();
    cr_assert_eq(deployment.sendAndWait("GET", "/p/1")->body, "t-old");
    deployment.configure(9, { deployment.route("/p/", "idempotent", "new") });
    deployment.waitUntil([&] { return deployment.sendAndWait("GET", "/p/1")->body == "t-new"; }, "the newer configuration");
    deployment.configure(7, { deployment.route("/p/", "idempotent", "old") });
    deployment.store().put("keyed.op", "config", "{ this is no configuration");
    deployment.store().put("keyed.op", "other", "x");
    deployment.runLoopFor(milliseconds(300));
    cr_assert_eq(deployment.sendAndWait("GET", "/p/1")->body, "t-new");
    deployment.store().truncateHistory("keyed.op");
    deployment.configure(11, { deployment.route("/p/", "idempotent", "old") });
    deployment.waitUntil([&] { return deployment.sendAndWait("GET", "/p/1")->body == "t-old"; }, "the configuration after the history was deleted");
}

Test(gateway_path, a_leaving_target_gets_no_new_requests)
{
    deployment_fixture deployment(166);
    auto& leavingTarget = deployment.addTarget("t-1", "pages");
    auto& remainingTarget = deployment.addTarget("t-2", "pages");
    deployment.configure(3, { deployment.route("/p/", "idempotent", "pages") });
    deployment.startGateway();
    deployment.waitUntilReady();
    deployment.listTarget(leavingTarget, "pages", "draining");
    deployment.waitUntil([&] { return deployment.logOf(0).find("\"leaving\"") != std::string::npos; }, "the log line about the leaving target");
    const size_t before = leavingTarget.requests().size();
    for (int i = 0; i < 10; ++i)
        cr_assert_eq(deployment.sendAndWait("GET", "/p/1")->body, "t-2");
    cr_assert_eq(leavingTarget.requests().size(), before);
    cr_assert_eq(remainingTarget.requests().size(), 10u);
}

Test(gateway_path, an_undecodable_target_record_is_ignored)
{
    deployment_fixture deployment(167);
    auto& target = deployment.addTarget("t-1", "pages");
    const std::string address = target.endpoint().toString();
    deployment.store().put("keyed.servers", "t-bytes", "\xff\xfe");
    deployment.store().put("keyed.servers", "t-state", json { { "service", "pages" }, { "address", address }, { "zone", "north-1" }, { "slots", 4 }, { "state", "resting" } }.dump());
    deployment.store().put("keyed.servers", "t-type", json { { "service", "pages" }, { "address", 7 }, { "zone", "north-1" }, { "slots", 4 }, { "state", "ready" } }.dump());
    deployment.configure(3, { deployment.route("/p/", "idempotent", "pages") });
    deployment.startGateway();
    deployment.waitUntilReady();
    for (int i = 0; i < 10; ++i)
        cr_assert_eq(deployment.sendAndWait("GET", "/p/1")->body, "t-1");
    for (const auto& received : target.requests())
        cr_assert_eq(headerOf(received, "X-Expect-Instance"), "t-1");
}

Test(gateway_path, a_request_without_any_target_is_refused_at_once)
{
    deployment_fixture deployment(168);
    deployment.configure(3, { deployment.route("/p/", "non_idempotent", "pages") });
    deployment.startGateway();
    deployment.waitUntilReady();
    const auto response = deployment.sendAndWait("POST", "/p/1");
    cr_assert_eq(response->head.status, 503);
    cr_assert_neq(response->header("Retry-After"), "");
    // The gateway writes the log line after it responds.
    deployment.waitUntil([&] { return deployment.logOf(0).find("no_target") != std::string::npos; }, "the log line about the refusal");
    cr_assert_neq(deployment.metricsOf(0).find("reason=\"no_target\""), std::string::npos);
}

Test(gateway_path, a_planned_stop_finishes_open_requests)
{
    deployment_fixture deployment(169);
    auto& target = deployment.addTarget("t-1", "pages");
    std::shared_ptr<http1::exchange> heldExchange;
    target.setRequestHandler([&](std::shared_ptr<http1::exchange> exchange) { heldExchange = std::move(exchange); });
    deployment.configure(3, { deployment.route("/p/", "non_idempotent", "pages") });
    deployment.startGateway();
    deployment.waitUntilReady();
    const auto caller = deployment.send("POST", "/p/1");
    deployment.waitUntil([&] { return heldExchange != nullptr; }, "the request at its target");
    deployment.signal(0, SIGTERM);
    deployment.waitUntil([&] { return !deployment.isReady(); }, "the end of readiness");
    heldExchange->respond(200, target.responseHeaders(*heldExchange), "late but complete");
    deployment.waitUntil([&] { return caller->isFinished; }, "the response");
    cr_assert_eq(caller->body, "late but complete");
    cr_assert_eq(caller->header("Connection"), "close");
    deployment.waitUntil([&] { return deployment.hasExited(0); }, "the exit of the gateway");
    cr_assert_neq(deployment.logOf(0).find("The gateway stopped."), std::string::npos);
}
