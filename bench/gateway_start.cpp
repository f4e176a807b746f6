/// Measures the start of a gateway beside 30 and 300 others: calls to the store, processor time and time until it is ready.
/// The others are listed in the directory but do not run, as after all gateways were killed.
#include "gateway/entry_directory.hpp"
#include "processor_time.hpp"
#include "support/deployment_fixture.hpp"

#include <cstdio>
#include <cstdlib>

using namespace bilberryseam;
using namespace bilberryseam::tests;
using nlohmann::json;

namespace {
constexpr size_t domainCount = 6;
constexpr milliseconds readinessPeriod { 100 };

std::string targetRecord(size_t index)
{
    return json { { "service", index % 2 ? "engine" : "pages" }, { "address", "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":8000" }, { "zone", "domain-" + std::to_string(index % domainCount) }, { "slots", 64 }, { "state", "ready" }, { "cold_left_ms", 0 }, { "seq", 1 }, { "born", 1 }, { "version", "v1" } }.dump();
}

void measureStart(size_t gateways, size_t targetCount, int slot)
{
    deployment_fixture deployment(slot);
    for (size_t i = 0; i < targetCount; ++i)
        deployment.store().put("keyed.servers", "target-" + std::to_string(i), targetRecord(i));
    for (size_t i = 1; i < gateways; ++i) {
        // Nothing listens at this port.
        const gateway::entry_record record { "", { "127.0.0.1", 1 }, 1, 1, "domain-" + std::to_string(i % domainCount) };
        deployment.store().put("keyed.entries", "listed-" + std::to_string(i), record.encode());
    }
    deployment.configure(1, { deployment.route("/m/", "streaming", "engine") }, { { { "name", "engine" } }, { { "name", "pages" }, { "pieces", { { "slots", 1 } } } } });
    const size_t readsBefore = deployment.store().readCount();
    const time_point startedAt = monotonicNow();
    deployment.startGateway();
    // Each question takes processor time of the gateway.
    while (!deployment.isReady(0))
        deployment.runLoopFor(readinessPeriod);
    const double readySeconds = asSeconds(monotonicNow() - startedAt);
    std::printf("{\"gateways\": %zu, \"targets\": %zu, \"storeReads\": %zu, \"readySeconds\": %.2f, \"processorSeconds\": %.2f}\n", gateways, targetCount, deployment.store().readCount() - readsBefore, readySeconds, bench::processorSeconds(deployment.processId(0)));
}
}

int main()
{
    int slot = 151;
    for (const size_t targets : { 30, 300, 3000 }) {
        for (const size_t gateways : { 30, 300 })
            measureStart(gateways, targets, slot++);
    }
    return EXIT_SUCCESS;
}
