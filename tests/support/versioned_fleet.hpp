/// Engines of several software versions that serve streams behind gateways.
#pragma once

#include "support/deployment_fixture.hpp"

#include <list>
#include <set>

namespace bilberryseam::tests {

/// Engines of a service, of which some break off after the first event of each stream that they begin.
class versioned_fleet {
public:
    explicit versioned_fleet(int slot, size_t gatewayCount = 1)
        : deployment(slot)
        , m_gatewayCount(gatewayCount)
    {
        deployment.configure(3, { deployment_fixture::route("/m/", "streaming", "model", { { "resumable", true } }) });
        for (size_t i = 0; i < gatewayCount; ++i)
            deployment.startGateway();
    }

    /// @param label  What the text of each event names instead of the version; the version itself if it is empty.
    fakes::platform_engine& add(const std::string& id, const std::string& version, const std::string& label = "")
    {
        auto& target = deployment.addTarget(id, "model", "north-1", version);
        fakes::engine_behaviour behaviour;
        behaviour.version = label.empty() ? version : label;
        behaviour.isResuming = true;
        behaviour.eventPeriod = milliseconds(150);
        return engines.emplace_back(target, behaviour);
    }

    void waitUntilReady()
    {
        for (size_t i = 0; i < m_gatewayCount; ++i)
            deployment.waitUntilReady(i);
        // The gateways find each other within one read of their directory.
        deployment.runLoopFor(milliseconds(m_gatewayCount > 1 ? 1500 : 300));
    }

    /// Begins a stream at a gateway, as attempt `id`, and waits for its first event.
    caller_ptr begin(const std::string& id, size_t gateway = 0)
    {
        const caller_ptr caller = deployment.send("POST", "/m/1", { { "X-Attempt-Id", id } }, "", gateway);
        deployment.waitUntil([&] { return !caller->body.empty() || caller->isFinished; }, "the first event");
        return caller;
    }

    /// Continues a stream after its first event.
    caller_ptr resume(const std::string& continued, size_t gateway, http1::header_list headers = { { "Last-Event-Id", "1" } })
    {
        if (!continued.empty())
            headers.emplace_back("Resumes", continued);
        return deployment.sendAndWait("POST", "/m/1", std::move(headers), "", gateway);
    }

    /// Lists a second version, as a release does, and waits until the gateways know it.
    void release(const std::string& version, size_t count = 1)
    {
        for (size_t i = 0; i < count; ++i)
            add("new-" + version + "-" + std::to_string(i), version);
        // The target list is read every 1.25 s at the default bounds.
        deployment.runLoopFor(milliseconds(1500));
    }

    deployment_fixture deployment;
    std::list<fakes::platform_engine> engines;

private:
    size_t m_gatewayCount;
};

inline std::set<std::string> versionsIn(const std::string& body)
{
    std::set<std::string> versions;
    for (size_t position = body.find(" of "); position != std::string::npos; position = body.find(" of ", position + 1))
        versions.insert(body.substr(position + 4, body.find('\n', position) - position - 4));
    return versions;
}

/// @return Whether the caller has a whole stream of one version, together with what it had before.
inline bool isWholeStreamOf(const caller_exchange& caller, const std::string& version)
{
    return caller.outcome == http1::call_outcome::Complete && caller.head.status == 200 && versionsIn(caller.body) == std::set { version } && caller.body.ends_with(fakes::platform_engine::eventText(4, version));
}
}
