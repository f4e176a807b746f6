/// Gateways that are all killed and started again while callers have streams.
#pragma once

#include "support/versioned_fleet.hpp"

#include <criterion/criterion.h>
#include <csignal>
#include <map>

namespace bilberryseam::tests {

inline constexpr size_t gatewayCount = 3;
inline constexpr size_t streamCount = 6;

/// Streams that begin at the first version, and gateways that are all killed.
struct killed_fleet {
    /// @param era  Era that the store states; zero for none.
    explicit killed_fleet(int slot, const std::string& version = "v1", uint64_t era = 0)
        : fleet(slot, gatewayCount)
    {
        fleet.deployment.store().setEra(era);
        fleet.add("t-1", version);
        fleet.add("t-2", version);
        fleet.waitUntilReady();
    }

    /// Begins streams whose callers lose their connections.
    void beginStreams()
    {
        for (size_t i = 0; i < streamCount; ++i)
            fleet.begin(idOf(i), i % gatewayCount)->call.reset();
    }

    void killGateways()
    {
        for (size_t gateway = 0; gateway < gatewayCount; ++gateway)
            fleet.deployment.signal(gateway, SIGKILL);
        fleet.deployment.waitUntil([this] { return hasEnded(0) && hasEnded(1) && hasEnded(2); }, "the end of the gateways");
    }

    void restartGateways()
    {
        for (size_t gateway = 0; gateway < gatewayCount; ++gateway)
            fleet.deployment.restartGateway(gateway);
        for (size_t gateway = 0; gateway < gatewayCount; ++gateway)
            fleet.deployment.waitUntilReady(gateway);
    }

    /// Lists the targets of v1 as draining, or removes their records.
    void retireOldVersion(bool isRemoved)
    {
        auto engine = fleet.engines.begin();
        for (const std::string id : { "t-1", "t-2" }) {
            if (isRemoved)
                fleet.deployment.unlistTarget(id);
            else
                fleet.deployment.listTarget(engine->target(), "model", "draining");
            ++engine;
        }
    }

    void expectWholeStreams()
    {
        for (size_t i = 0; i < streamCount; ++i) {
            const auto resumed = fleet.resume(idOf(i), (i + 1) % gatewayCount);
            cr_assert(isWholeStreamOf(*resumed, "v1"), "stream %zu, status %u: %s", i, resumed->head.status, resumed->body.c_str());
        }
    }

    void expectRefusals()
    {
        for (size_t i = 0; i < streamCount; ++i) {
            const auto resumed = fleet.resume(idOf(i), (i + 1) % gatewayCount);
            cr_assert_eq(resumed->head.status, 503, "stream %zu, status %u: %s", i, resumed->head.status, resumed->body.c_str());
        }
    }

    void setRefusedTopics(std::set<std::string> topics) { fleet.deployment.store().setFaults({ .refusedTopics = std::move(topics) }); }

    /// Takes all streams up again at the same time and checks that no stream ran at two versions.
    /// @return How many went on.
    size_t resumeAtOneVersion(size_t count)
    {
        std::vector<caller_ptr> resumed;
        for (size_t i = 0; i < count; ++i)
            resumed.push_back(fleet.deployment.send("POST", "/m/1", { { "Last-Event-Id", "1" }, { "Resumes", idOf(i) } }, "", (i + 1) % gatewayCount));
        fleet.deployment.waitUntil([&] { return std::all_of(resumed.begin(), resumed.end(), [](const auto& item) { return item->isFinished; }); }, "the end of the streams");
        const size_t goingOn = static_cast<size_t>(std::count_if(resumed.begin(), resumed.end(), [](const auto& item) { return item->head.status == http1::statusOk; }));
        expectOneVersionOfEach();
        return goingOn;
    }

    /// Checks that no stream ran at two versions.
    void expectOneVersionOfEach()
    {
        // What the first events said is at the engines: each stream must have gone on at the version that began it.
        std::map<std::string, std::set<std::string>> versionsByStream;
        for (auto& engine : fleet.engines) {
            for (const auto& request : engine.target().requests()) {
                const auto resumes = http1::findHeader(request.head.headers, "Resumes");
                versionsByStream[resumes ? std::string(*resumes) : request.id].insert(engine.behaviour().version);
            }
        }
        for (const auto& [stream, versions] : versionsByStream)
            cr_assert_eq(versions.size(), 1u, "stream %s ran at both versions", stream.c_str());
    }

    [[nodiscard]] static std::string idOf(size_t stream) { return "a-" + std::to_string(stream); }
    [[nodiscard]] bool hasEnded(size_t gateway) { return fleet.deployment.hasExited(gateway); }

    versioned_fleet fleet;
};
}
