/// Explanations of placements: they agree with the next send, and nothing is sent, counted or logged for them.
#include "support/deployment_fixture.hpp"

#include <algorithm>
#include <cmath>
#include <criterion/criterion.h>
#include <fstream>
#include <list>
#include <random>
#include <set>
#include <sstream>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
/// A gateway answers four queries a second.
constexpr milliseconds queryPause { 260 };

struct tool_result {
    int exitCode = -1;
    std::string output;
    std::string errors;
};

tool_result explainPlacement(std::vector<std::string> arguments)
{
    const std::string binary = std::string(BILBERRYSEAM_BINARIES) + "/bilberryseam";
    std::vector<const char*> argv { binary.c_str(), "explain-placement" };
    for (const std::string& argument : arguments)
        argv.push_back(argument.c_str());
    argv.push_back(nullptr);
    const auto flags = static_cast<GSubprocessFlags>(G_SUBPROCESS_FLAGS_STDOUT_PIPE | G_SUBPROCESS_FLAGS_STDERR_PIPE);
    const auto process = gobject_ptr<GSubprocess>::adopt(g_subprocess_newv(argv.data(), flags, nullptr));
    char* output = nullptr;
    char* errors = nullptr;
    g_subprocess_communicate_utf8(process.get(), nullptr, nullptr, &output, &errors, nullptr);
    tool_result result { g_subprocess_get_exit_status(process.get()), output ? output : "", errors ? errors : "" };
    g_free(output);
    g_free(errors);
    return result;
}

void assertContains(const std::string& text, const std::string& part)
{
    cr_assert(text.find(part) != std::string::npos, "\"%s\" is missing in: %s", part.c_str(), text.c_str());
}

/// Engines in two regions that hold their requests for the whole test.
struct explained_fleet {
    explained_fleet(int slot, const json& settings)
        : deployment(slot)
    {
        fakes::engine_behaviour behaviour;
        behaviour.eventCount = 4000;
        behaviour.eventPeriod = milliseconds(50);
        for (size_t i = 0; i < 8; ++i)
            engines.emplace_back(deployment.addTarget("m-" + std::to_string(i), "model", i % 3 == 2 ? "south-1" : "north-1"), behaviour);
        deployment.configure(3, { deployment_fixture::route("/m/", "streaming", "model", { { "timeout_ms", 60000 } }) });
        deployment.startGateway(json::object(), settings);
        deployment.waitUntilReady();
    }

    [[nodiscard]] std::string operatorAddress(size_t gateway = 0) const { return deployment.operatorAddress(gateway).toString(); }

    /// @return The engine that has received a request; empty if none has.
    [[nodiscard]] std::string receiverOf(const std::string& id) const
    {
        for (const auto& engine : engines) {
            const auto& requests = const_cast<fakes::platform_engine&>(engine).target().requests();
            if (std::any_of(requests.begin(), requests.end(), [&id](const auto& request) { return request.id == id; }))
                return const_cast<fakes::platform_engine&>(engine).target().id();
        }
        return "";
    }

    deployment_fixture deployment;
    std::list<fakes::platform_engine> engines;
};

/// Results that the random states of a test have led to.
struct covered_results {
    std::set<std::string> receivers;
    size_t refusedCount = 0;
};

/// Explains and then sends requests in random states, and compares.
void compareWithNextSends(explained_fleet& fleet, unsigned seed, const std::string& basis, covered_results& covered)
{
    auto& [receivers, refusedCount] = covered;
    std::mt19937 random(seed);
    std::vector<caller_ptr> open;
    constexpr size_t steps = 12;
    std::set<std::string> evacuated;
    for (size_t i = 0; i < steps; ++i) {
        if (random() % 3 == 0) {
            const std::string domain = random() % 2 == 0 ? "north-1" : "south-1";
            const bool isWithdrawn = evacuated.erase(domain) > 0;
            if (!isWithdrawn)
                evacuated.insert(domain);
            fleet.deployment.store().put("keyed.op", "evacuate/" + domain, isWithdrawn ? "" : "{}");
            fleet.deployment.waitUntil([&] { return fleet.deployment.metricsOf(0).find("\nbilberryseam_evacuated_domains " + std::to_string(evacuated.size())) != std::string::npos; }, "the evacuations to be known");
        }
        const std::string name = "m-" + std::to_string(random() % 8);
        const auto engine = std::find_if(fleet.engines.begin(), fleet.engines.end(), [&name](auto& item) { return item.target().id() == name; });
        fleet.deployment.listTarget(engine->target(), "model", random() % 3 == 0 ? "draining" : "ready", (name.back() - '0') % 3 == 2 ? "south-1" : "north-1");
        // The gateway reads the target list, and the engines send the first events of the requests that they hold.
        fleet.deployment.runLoopFor(milliseconds(400) + queryPause);
        const uint32_t prefixTokens = 500 * (random() % 20);
        const std::string id = "explained-" + std::to_string(seed) + "-" + std::to_string(i);
        const std::string prompt = "prefix-" + std::to_string(random() % 3) + ":" + std::to_string(prefixTokens) + ",own-" + std::to_string(i) + ":400";
        const std::string tokens = std::to_string(prefixTokens + 400) + ",200";
        const tool_result result = explainPlacement({ "-d", fleet.operatorAddress(), "--host", "shop.example", "--path", "/m/1", "--model", "m", "--prompt", prompt, "--tokens", tokens, "--request-id", id, "--json" });
        cr_assert_eq(result.exitCode, 0, "%s", result.errors.c_str());
        const json explanation = json::parse(result.output);
        cr_assert_eq(explanation["basis"], basis, "%s", result.output.c_str());
        cr_assert_eq(fleet.receiverOf(id), "", "an explained request was sent");
        open.push_back(fleet.deployment.send("POST", "/m/1", { { "X-Attempt-Id", id }, { "X-Deadline-Ms", "55000" }, { "X-Model", "m" }, { "X-Token-Counts", tokens }, { "X-Prompt-Prefix", prompt } }, "question"));
        fleet.deployment.waitUntil([&] { return !fleet.receiverOf(id).empty() || open.back()->isFinished; }, "the request to reach an engine or to be refused");
        const std::string receiver = fleet.receiverOf(id);
        if (receiver.empty() && explanation["waits"].is_object()) {
            // All targets leave: the request has waited in vain.
            cr_assert_eq(explanation["waits"]["reason"], "no_target");
            cr_assert_eq(open.back()->head.status, 503);
            continue;
        }
        if (receiver.empty()) {
            const json& refusal = explanation["refusal"];
            cr_assert(refusal.is_object(), "seed %u, step %zu: refused with %u; explained: %s", seed, i, open.back()->head.status, result.output.c_str());
            cr_assert_eq(open.back()->head.status, refusal["status"].get<unsigned>());
            // The field has two decimals.
            const double shownMs = 1000 * std::stod(open.back()->header("Retry-After"));
            cr_assert_lt(std::abs(shownMs - refusal["retryAfterMs"].get<double>()), 10, "seed %u, step %zu: %s", seed, i, result.output.c_str());
            ++refusedCount;
            continue;
        }
        cr_assert(explanation["choice"].is_string(), "seed %u, step %zu: sent to %s; explained: %s", seed, i, receiver.c_str(), result.output.c_str());
        cr_assert_eq(explanation["targets"][0]["id"], explanation["choice"]);
        receivers.insert(receiver);
        cr_assert_eq(receiver, explanation["choice"].get<std::string>(), "seed %u, step %zu: sent to %s; explained: %s", seed, i, receiver.c_str(), result.output.c_str());
    }
    for (const auto& domain : evacuated)
        fleet.deployment.store().put("keyed.op", "evacuate/" + domain, "");
    fleet.deployment.waitUntil([&] { return fleet.deployment.metricsOf(0).find("\nbilberryseam_evacuated_domains 1") == std::string::npos && fleet.deployment.metricsOf(0).find("\nbilberryseam_evacuated_domains 2") == std::string::npos; }, "the evacuations to end");
}
}

// Guards against an explanation that decides otherwise than the send.
Test(gateway_explain, choice_is_the_target_of_the_next_send)
{
    explained_fleet fleet(290, json::object());
    covered_results covered;
    for (const unsigned seed : { 1u, 2u, 3u })
        compareWithNextSends(fleet, seed, "own_calls", covered);
    // Otherwise the states are too much alike for the comparison to show anything.
    cr_assert_gt(covered.receivers.size(), 2u);
    cr_assert_gt(covered.refusedCount, 0u);
}

// The same by the load of all gateways.
Test(gateway_explain, choice_by_load_is_the_target_of_the_next_send)
{
    explained_fleet fleet(291, { { "loadSharing", true } });
    fleet.deployment.waitUntil([&] { return fleet.deployment.metricsOf(0).find("\nbilberryseam_load_entries_counted 1") != std::string::npos; }, "the load to be known");
    covered_results covered;
    for (const unsigned seed : { 1u, 2u })
        compareWithNextSends(fleet, seed, "load_of_all_gateways", covered);
    cr_assert_gt(covered.receivers.size(), 2u);
}

// Guards against a query that changes what it explains, and against keys in logs and output.
Test(gateway_explain, nothing_is_sent_counted_or_logged)
{
    explained_fleet fleet(292, json::object());
    const std::string key = "secret-key-0815";
    fleet.deployment.configure(4, { deployment_fixture::route("/m/", "streaming", "model") }, json::array(), json::array({ { { "name", "acme" }, { "api_keys", json::array({ key }) }, { "priority", 1 } } }));
    fleet.deployment.waitUntil([&] { return fleet.deployment.metricsOf(0).find("bilberryseam_configuration_version 4") != std::string::npos; }, "the configuration");
    const auto linesOf = [&] {
        std::vector<std::string> lines;
        std::istringstream text(fleet.deployment.metricsOf(0));
        for (std::string line; std::getline(text, line);) {
            if (line.starts_with("bilberryseam_requests_total") || line.starts_with("bilberryseam_sends_total") || line.starts_with("bilberryseam_open_requests"))
                lines.push_back(line);
        }
        return lines;
    };
    const auto before = linesOf();
    const tool_result known = explainPlacement({ "-d", fleet.operatorAddress(), "--host", "shop.example", "--path", "/m/1", "--key", key });
    cr_assert_eq(known.exitCode, 0, "%s", known.errors.c_str());
    assertContains(known.output, "would be sent to m-");
    assertContains(known.output, "account acme");
    const tool_result unknown = explainPlacement({ "-d", fleet.operatorAddress(), "--host", "shop.example", "--path", "/m/1", "--key", key + "-other" });
    cr_assert_eq(unknown.exitCode, 0);
    assertContains(unknown.output, "would be refused: 401 unknown_key");
    cr_assert(before == linesOf());
    for (const std::string& text : { known.output, known.errors, unknown.output, unknown.errors, fleet.deployment.logOf(0) })
        cr_assert(text.find(key) == std::string::npos, "the key is in: %s", text.c_str());
    for (auto& engine : fleet.engines)
        cr_assert(engine.target().requests().empty());
}

// Guards against a command that ends at the first gateway which does not respond, and against wrong exit codes.
Test(gateway_explain, unreachable_gateways_and_unknown_routes)
{
    explained_fleet fleet(293, json::object());
    const ip_endpoint unreachable = fleet.deployment.allocateAddress();
    const tool_result result = explainPlacement({ "-d", unreachable.toString(), "-d", fleet.operatorAddress(), "--host", "shop.example", "--path", "/unknown" });
    cr_assert_eq(result.exitCode, 1);
    assertContains(result.errors, unreachable.toString());
    assertContains(result.errors, "Remedy:");
    assertContains(result.output, "would be refused: 404 no_route");
    cr_assert_eq(explainPlacement({ "-d", fleet.operatorAddress(), "--host", "shop.example", "--path", "/unknown" }).exitCode, 0);
    cr_assert_eq(explainPlacement({ "-d", fleet.operatorAddress(), "--path", "/m/1" }).exitCode, 2);
    cr_assert_eq(explainPlacement({ "--host", "shop.example", "--path", "/m/1" }).exitCode, 2);
    const tool_result malformed = explainPlacement({ "-d", fleet.operatorAddress(), "--host", "shop.example", "--path", "/m/1", "--tokens", "many" });
    assertContains(malformed.output, "would be refused: 400 malformed");
}

// Guards against queries that take the gateway's time from requests: it answers at most four a second.
Test(gateway_explain, a_fifth_query_within_a_second_is_refused)
{
    explained_fleet fleet(294, json::object());
    std::vector<caller_ptr> queries;
    for (size_t i = 0; i < 5; ++i)
        queries.push_back(fleet.deployment.sendToOperator("/explain?host=shop.example&path=/m/1"));
    fleet.deployment.waitUntil([&] { return std::all_of(queries.begin(), queries.end(), [](const auto& query) { return query->isFinished; }); }, "the responses");
    cr_assert_eq(std::count_if(queries.begin(), queries.end(), [](const auto& query) { return query->head.status == 200; }), 4);
    cr_assert_eq(std::count_if(queries.begin(), queries.end(), [](const auto& query) { return query->head.status == 429 && !query->header("Retry-After").empty(); }), 1);
    fleet.deployment.runLoopFor(milliseconds(1100));
    const auto later = fleet.deployment.sendToOperator("/explain?host=shop.example&path=/m/1");
    fleet.deployment.waitUntil([&] { return later->isFinished; }, "a later response");
    cr_assert_eq(later->head.status, 200);
}

// Guards against a list that is larger than the page allows.
Test(gateway_explain, at_most_200_targets_are_listed)
{
    explained_fleet fleet(295, json::object());
    for (int i = 0; i < 300; ++i)
        fleet.deployment.store().put("keyed.servers", "n-" + std::to_string(i), json { { "service", "model" }, { "address", "127.0.0.1:" + std::to_string(10000 + i) }, { "zone", "south-1" }, { "slots", 8 }, { "state", "ready" }, { "cold_left_ms", 0 }, { "seq", 1 }, { "version", "v1" } }.dump());
    json explanation;
    fleet.deployment.waitUntil([&] {
        fleet.deployment.runLoopFor(queryPause);
        explanation = json::parse(explainPlacement({ "-d", fleet.operatorAddress(), "--host", "shop.example", "--path", "/m/1", "--json" }).output);
        return explanation["targetCount"] == 308;
    },
        "all targets");
    cr_assert_eq(explanation["targets"].size(), 200u);
    cr_assert_eq(explanation["targets"][0]["id"], explanation["choice"]);
}

// Guards against a comparison that hides in what gateways differ.
Test(gateway_explain, differences_between_gateways_are_shown)
{
    explained_fleet fleet(296, json::object());
    fleet.deployment.startGateway(json::object(), { { "region", "south" }, { "failureDomain", "south-1" } });
    fleet.deployment.waitUntilReady(1);
    const tool_result result = explainPlacement({ "-d", fleet.operatorAddress(0), "-d", fleet.operatorAddress(1), "--host", "shop.example", "--path", "/m/1" });
    cr_assert_eq(result.exitCode, 0, "%s", result.errors.c_str());
    assertContains(result.output, "The gateways differ:");
    assertContains(result.output, "choice: gateway-0 m-");
    cr_assert(result.output.find("configurationVersion: gateway-0") == std::string::npos, "%s", result.output.c_str());
}

// Guards against a stage that is explained without its pool, and against a different owner than that of the jobs.
Test(gateway_explain, stages_show_the_owner_of_their_pool)
{
    deployment_fixture deployment(297);
    deployment.addTarget("m-1", "model");
    deployment.addTarget("r-1", "rank");
    const json stages { { { "service", "rank" }, { "after", json::array() }, { "bytes", 1000 } } };
    const json pool { { "name", "rank" }, { "pieces", { { "slots", 1 }, { "queue", 2 }, { "batch", 8 }, { "call_ms", 20 }, { "item_ms", 1 }, { "headroom_mb", 10 }, { "handle_s", 4 } } } };
    deployment.configure(3, { deployment_fixture::route("/m/", "idempotent", "model", { { "stages", stages } }) }, { pool });
    deployment.startGateway();
    deployment.waitUntilReady();
    const tool_result result = explainPlacement({ "-d", deployment.operatorAddress(0).toString(), "--host", "shop.example", "--path", "/m/1", "--tasks", "3", "--json" });
    cr_assert_eq(result.exitCode, 0, "%s", result.errors.c_str());
    const json stage = json::parse(result.output)["stages"][0];
    cr_assert_eq(stage["owner"], "gateway-0", "%s", result.output.c_str());
    cr_assert_eq(stage["tasks"], 3);
    cr_assert_eq(stage["waitingTasks"], 0);
    cr_assert_eq(stage["expectedWaitMs"], 0);
    cr_assert_eq(json::parse(result.output)["choice"], "m-1");
}

namespace {
/// @return Processor time that a gateway has used so far.
microseconds processorTimeOf(const deployment_fixture& deployment)
{
    std::ifstream file("/proc/" + deployment.processId(0) + "/schedstat");
    int64_t nanoseconds = 0;
    file >> nanoseconds;
    return microseconds(nanoseconds / 1000);
}
}

// Guards against queries that cost more than a request. The design must work with 3,000 targets; a response has 200 tokens, four
// in each event.
Test(gateway_explain, a_query_costs_no_more_than_a_request)
{
    explained_fleet fleet(298, json::object());
    for (auto& engine : fleet.engines) {
        engine.behaviour().eventCount = 50;
        engine.behaviour().eventPeriod = milliseconds(2);
    }
    for (int i = 0; i < 2992; ++i)
        fleet.deployment.store().put("keyed.servers", "n-" + std::to_string(i), json { { "service", "model" }, { "address", "127.0.0.1:" + std::to_string(10000 + i) }, { "zone", "south-1" }, { "slots", 8 }, { "state", "ready" }, { "cold_left_ms", 0 }, { "seq", 1 }, { "version", "v1" } }.dump());
    fleet.deployment.waitUntil([&] {
        fleet.deployment.runLoopFor(queryPause);
        const auto query = fleet.deployment.sendToOperator("/explain?host=shop.example&path=/m/1");
        fleet.deployment.waitUntil([&] { return query->isFinished; }, "a response");
        return query->head.status == 200 && json::parse(query->body)["targetCount"] == 3000;
    },
        "all targets");
    constexpr int count = 12;
    const auto start = processorTimeOf(fleet.deployment);
    for (int i = 0; i < count; ++i) {
        fleet.deployment.runLoopFor(queryPause);
        const auto query = fleet.deployment.sendToOperator("/explain?host=shop.example&path=/m/1&model=m&tokens=1000,200&prompt=a:600,b:400");
        fleet.deployment.waitUntil([&] { return query->isFinished; }, "a response");
        cr_assert_eq(query->head.status, 200);
    }
    const auto middle = processorTimeOf(fleet.deployment);
    for (int i = 0; i < count; ++i) {
        fleet.deployment.runLoopFor(queryPause);
        const auto request = fleet.deployment.sendAndWait("POST", "/m/1", { { "X-Model", "m" }, { "X-Token-Counts", "1000,200" }, { "X-Prompt-Prefix", "a:600,b:400" } }, "question");
        cr_assert_eq(request->head.status, 200);
    }
    const auto end = processorTimeOf(fleet.deployment);
    cr_assert_leq((middle - start).count(), (end - middle).count(), "us for %d queries, and for as many requests", count);
}
