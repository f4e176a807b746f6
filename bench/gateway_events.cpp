/// Measures the processor time of a gateway per relayed event, with many open streams.
#include "processor_time.hpp"
#include "support/deployment_fixture.hpp"

#include <cstdio>
#include <cstdlib>

using namespace bilberryseam;
using namespace bilberryseam::tests;

namespace {
constexpr size_t streams = 50;
constexpr int eventsPerStream = 200;
constexpr milliseconds eventPeriod { 20 };
}

int main()
{
    deployment_fixture deployment(150);
    auto& target = deployment.addTarget("t-1", "model");
    std::vector<std::shared_ptr<http1::exchange>> openStreams;
    target.setRequestHandler([&](std::shared_ptr<http1::exchange> exchange) {
        exchange->startChunked(200, target.responseHeaders(*exchange));
        openStreams.push_back(std::move(exchange));
    });
    deployment.configure(1, { deployment.route("/m/", "streaming", "model", { { "resumable", true }, { "gap_aim_ms", 250 }, { "timeout_ms", 60000 } }) });
    deployment.startGateway();
    deployment.waitUntilReady();
    std::vector<caller_ptr> callers;
    for (size_t i = 0; i < streams; ++i)
        callers.push_back(deployment.send("POST", "/m/" + std::to_string(i), { { "X-Deadline-Ms", "60000" } }));
    deployment.waitUntil([&] { return openStreams.size() == streams; }, "all streams to open");
    const std::string pid = deployment.processId(0);
    const double before = bench::processorSeconds(pid);
    for (int number = 1; number <= eventsPerStream; ++number) {
        for (const auto& exchange : openStreams)
            exchange->writeChunk("id: " + std::to_string(number) + "\ndata: about as many bytes as a few tokens\n\n");
        deployment.runLoopFor(eventPeriod);
    }
    const double elapsedProcessorSeconds = bench::processorSeconds(pid) - before;
    for (const auto& exchange : openStreams)
        exchange->finishChunked();
    deployment.waitUntil([&] { return std::all_of(callers.begin(), callers.end(), [](const auto& item) { return item->isFinished; }); }, "all streams to finish");
    std::printf("{\"streams\": %zu, \"events\": %zu, \"gatewayProcessorSeconds\": %.2f, \"microsecondsForEachEvent\": %.1f}\n", streams, streams * eventsPerStream, elapsedProcessorSeconds, elapsedProcessorSeconds * 1e6 / static_cast<double>(streams * eventsPerStream));
    return EXIT_SUCCESS;
}
