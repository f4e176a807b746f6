/// Measures the processor time of a gateway per plain request, over reused and over new connections to its targets.
#include "processor_time.hpp"
#include "support/deployment_fixture.hpp"

#include <cstdio>
#include <cstdlib>

using namespace bilberryseam;
using namespace bilberryseam::tests;

namespace {
constexpr size_t requests = 4000;
constexpr size_t maxOpenRequests = 16;

/// Sends requests on one route and prints the processor time per request.
void measure(deployment_fixture& deployment, const std::string& method, const std::string& prefix)
{
    const std::string pid = deployment.processId(0);
    const double before = bench::processorSeconds(pid);
    std::vector<caller_ptr> openRequests;
    size_t sent = 0;
    size_t failed = 0;
    while (sent < requests || !openRequests.empty()) {
        while (sent < requests && openRequests.size() < maxOpenRequests)
            openRequests.push_back(deployment.send(method, prefix + std::to_string(sent++)));
        deployment.waitUntil([&] { return std::any_of(openRequests.begin(), openRequests.end(), [](const auto& item) { return item->isFinished; }); }, "a response");
        failed += static_cast<size_t>(std::count_if(openRequests.begin(), openRequests.end(), [](const auto& item) { return item->isFinished && item->head.status != 200; }));
        std::erase_if(openRequests, [](const auto& item) { return item->isFinished; });
    }
    const double elapsedProcessorSeconds = bench::processorSeconds(pid) - before;
    std::printf("{\"route\": \"%s\", \"requests\": %zu, \"failed\": %zu, \"gatewayProcessorSeconds\": %.2f, \"microsecondsForEachRequest\": %.1f}\n", prefix.c_str(), requests, failed, elapsedProcessorSeconds, elapsedProcessorSeconds * 1e6 / static_cast<double>(requests));
}
}

int main()
{
    deployment_fixture deployment(151);
    deployment.addTarget("t-1", "pages");
    deployment.addTarget("t-2", "pages");
    deployment.configure(1, { deployment.route("/kept/", "idempotent", "pages"), deployment.route("/new/", "non_idempotent", "pages") });
    deployment.startGateway();
    deployment.waitUntilReady();
    measure(deployment, "GET", "/kept/");
    measure(deployment, "POST", "/new/");
    return EXIT_SUCCESS;
}
