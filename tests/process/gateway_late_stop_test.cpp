/// Requests that come late in a planned stop, in calm: none is passed on and then cut.
#include "support/deployment_fixture.hpp"

#include <criterion/criterion.h>
#include <csignal>
#include <set>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
constexpr milliseconds runTime { 1500 };
constexpr milliseconds requestPeriod { 60 };
constexpr milliseconds sendingTime { 9000 };

/// Sends requests of each kind all through a planned stop, most of them on kept connections.
/// @param hasStatedLimit  The targets take few requests a second, so that requests wait.
void stopBesideRequests(int slot, bool hasStatedLimit)
{
    deployment_fixture deployment(slot);
    deployment.addTarget("e-1", "encode");
    std::vector<std::unique_ptr<timer>> answers;
    std::vector<fakes::platform_target*> targets;
    for (const std::string service : { "pages", "model" }) {
        auto& target = *targets.emplace_back(&deployment.addTarget("t-" + service, service));
        target.setRequestHandler([&, hasStatedLimit](std::shared_ptr<http1::exchange> exchange) {
            answers.push_back(std::make_unique<timer>());
            answers.back()->startOnce(runTime, [&target, hasStatedLimit, exchange] {
                http1::header_list headers = target.responseHeaders(*exchange);
                if (hasStatedLimit)
                    headers.emplace_back("Server-Limit", "4");
                exchange->respond(200, std::move(headers), "whole");
            });
        });
    }
    const json stages { { { "service", "encode" }, { "after", json::array() }, { "bytes", 1000 } } };
    const json profile { { "name", "encode" }, { "pieces", { { "slots", 1 }, { "queue", 2 }, { "batch", 4 }, { "call_ms", 150 }, { "item_ms", 1 }, { "headroom_mb", 10 }, { "handle_s", 4 } } } };
    deployment.configure(3, { deployment_fixture::route("/p/", "non_idempotent", "pages"), deployment_fixture::route("/i/", "idempotent", "pages"), deployment_fixture::route("/m/", "non_idempotent", "model", { { "stages", stages } }) }, { profile });
    deployment.startGateway();
    deployment.waitUntilReady();
    std::vector<std::pair<std::string, caller_ptr>> callers;
    const auto sendNext = [&] {
        static constexpr std::array prefixes { "/p/", "/i/", "/m/" };
        const std::string id = "late-" + std::to_string(callers.size());
        const std::string path = prefixes[callers.size() % prefixes.size()];
        callers.emplace_back(id, deployment.send(path == "/i/" ? "GET" : "POST", path + id, { { "X-Attempt-Id", id }, { "X-Pieces", "1" }, { "X-Piece-Key", "k" }, { "X-Deadline-Ms", "4000" } }));
    };
    timer sending;
    sending.startEvery(requestPeriod, sendNext);
    deployment.runLoopFor(milliseconds(2500));
    deployment.signal(0, SIGTERM);
    deployment.runLoopFor(sendingTime);
    sending.stop();
    deployment.waitUntil([&] { return deployment.hasExited(0) && std::all_of(callers.begin(), callers.end(), [](const auto& item) { return item.second->isFinished; }); }, "the end of the stop");
    std::set<std::string> passedOn;
    for (const auto* target : targets) {
        for (const auto& request : target->requests())
            passedOn.insert(request.id);
    }
    size_t served = 0;
    for (const auto& [id, caller] : callers) {
        const bool isWhole = caller->outcome == http1::call_outcome::Complete;
        served += isWhole && caller->head.status == 200 ? 1 : 0;
        cr_assert(isWhole || !passedOn.contains(id), "%s was passed on and ended as %s", id.c_str(), std::string(nameOf(caller->outcome)).c_str());
        cr_assert(!isWhole || caller->head.status != 503 || !passedOn.contains(id), "%s ran and was refused", id.c_str());
    }
    cr_assert_geq(served, 20u);
}
}

// Guards against requests that are passed on late in the grace of a stop and cut at its end.
Test(gateway_late_stop, no_request_is_passed_on_and_cut)
{
    stopBesideRequests(493, false);
}

Test(gateway_late_stop, no_request_that_waits_for_a_limit_is_passed_on_and_cut)
{
    stopBesideRequests(494, true);
}
