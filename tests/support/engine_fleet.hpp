/// A service of fake engines behind gateways, and callers whose prompts have several segments.
#pragma once

#include "fakes/platform_engine.hpp"
#include "support/deployment_fixture.hpp"

#include <list>

namespace bilberryseam::tests {

/// Prompt segments of a request; one that belongs to the request alone is added when it is sent.
using prompt = std::vector<std::string>;

class engine_fleet {
public:
    /// @param hasPool  Adds a stage pool, so that the gateways have further reasons to connect to each other.
    engine_fleet(int slot, size_t engineCount, size_t gatewayCount, const fakes::engine_behaviour& behaviour, bool hasPool = true)
        : deployment(slot)
    {
        for (size_t i = 0; i < engineCount; ++i)
            engines.emplace_back(deployment.addTarget("m-" + std::to_string(i), "model"), behaviour);
        nlohmann::json services = nlohmann::json::array();
        nlohmann::json routeChanges { { "max_attempts", 1 } };
        if (hasPool) {
            encoder = &deployment.addTarget("e-1", "encode");
            services.push_back({ { "name", "encode" }, { "pieces", { { "slots", 1 }, { "queue", 2 }, { "batch", 8 }, { "call_ms", 5 }, { "item_ms", 1 }, { "headroom_mb", 10 }, { "handle_s", 4 } } } });
            routeChanges["stages"] = { { { "service", "encode" }, { "after", nlohmann::json::array() }, { "bytes", 1000 } } };
        }
        deployment.configure(3, { deployment_fixture::route("/m/", "streaming", "model", routeChanges) }, services);
        for (size_t i = 0; i < gatewayCount; ++i)
            deployment.startGateway();
        for (size_t i = 0; i < gatewayCount; ++i)
            deployment.waitUntilReady(i);
        // The gateways find each other within one read of their directory.
        if (gatewayCount > 1)
            deployment.runLoopFor(milliseconds(700));
    }

    caller_ptr send(prompt segments, size_t gateway = 0, http1::header_list headers = {})
    {
        segments.push_back("own" + std::to_string(++m_sent));
        std::string list;
        for (const auto& segment : segments)
            list.append(list.empty() ? "" : ",").append(segment).append(":40");
        headers.emplace_back("X-Model", "m");
        headers.emplace_back("X-Token-Counts", std::to_string(40 * segments.size()) + ",10");
        headers.emplace_back("X-Prompt-Prefix", list);
        return deployment.send("POST", "/m/" + std::to_string(m_sent), std::move(headers), "question " + std::to_string(m_sent), gateway);
    }

    caller_ptr sendAndWait(prompt segments, size_t gateway = 0, http1::header_list headers = {})
    {
        const caller_ptr caller = send(std::move(segments), gateway, std::move(headers));
        deployment.waitUntil([&] { return caller->isFinished; }, "a response");
        return caller;
    }

    /// @return Whether the caller has the whole stream.
    [[nodiscard]] static bool isServed(const caller_exchange& caller)
    {
        return caller.outcome == http1::call_outcome::Complete && caller.head.status == http1::statusOk && caller.body.ends_with("event 4\n\n");
    }

    [[nodiscard]] size_t crashCount() const
    {
        size_t sum = 0;
        for (const auto& engine : engines)
            sum += engine.crashCount();
        return sum;
    }

    /// @return Number of requests with a prompt segment that engines have received.
    [[nodiscard]] size_t requestsWith(const std::string& segment) const
    {
        size_t sum = 0;
        for (const auto& engine : engines)
            sum += engine.requestsWith(segment);
        return sum;
    }

    deployment_fixture deployment;
    std::list<fakes::platform_engine> engines;
    fakes::platform_target* encoder = nullptr;

private:
    size_t m_sent = 0;
};
}
