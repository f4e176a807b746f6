#include "execution/crash_probe.hpp"

#include "telemetry/log.hpp"

#include <algorithm>

namespace bilberryseam::execution {

namespace {
    constexpr std::string_view logComponent = "crashes";

    /// Time in which the other broken responses of a crashed target arrive.
    constexpr milliseconds collectTime { 15 };
    /// A refused connection shows a crash; without a reply in this time, the target or the network may be silent.
    constexpr milliseconds probeTimeout { 400 };
    /// Most targets that are probed at a time.
    constexpr size_t maxObservations = 64;
}

/// A target whose responses broke, until it is known whether it crashed.
struct crash_probe::observation {
    probed_target target;
    std::vector<broken_request> requests;
    time_point firstAt {};
    std::shared_ptr<http1::tcp_stream> connection;
    timer step;
    bool isFinished = false;
};

crash_probe::crash_probe(metrics& metrics, on_crash onCrash)
    : m_metrics(metrics)
    , m_onCrash(std::move(onCrash))
{
}

void crash_probe::onBrokenRequest(const probed_target& target, broken_request request, time_point now)
{
    std::erase_if(m_observations, [](const auto& item) { return item->isFinished; });
    const auto known = std::find_if(m_observations.begin(), m_observations.end(), [&target](const auto& item) { return item->target.hash == target.hash; });
    if (known != m_observations.end()) {
        (*known)->requests.push_back(std::move(request));
        return;
    }
    if (m_observations.size() >= maxObservations) {
        logLine(log_level::Warning, logComponent, "Too many targets broke their responses at the same time; one is not checked for a crash.", { { "target", target.name } });
        return;
    }
    const auto item = std::make_shared<observation>();
    item->target = target;
    item->requests.push_back(std::move(request));
    item->firstAt = now;
    m_observations.push_back(item);
    item->step.startOnce(collectTime, [this, weak = std::weak_ptr(item)] {
        if (const auto due = weak.lock())
            probe(due);
    });
}

void crash_probe::probe(const std::shared_ptr<observation>& item)
{
    const std::weak_ptr<observation> weak = item;
    item->connection = http1::tcp_stream::connectTo(item->target.endpoint);
    http1::tcp_stream::callbacks streamCallbacks;
    streamCallbacks.onConnected = [this, weak] {
        if (const auto probed = weak.lock())
            finish(probed, false);
    };
    streamCallbacks.onEnd = [this, weak](http1::close_reason reason) {
        if (const auto probed = weak.lock())
            finish(probed, reason == http1::close_reason::ConnectFailed);
    };
    item->connection->setCallbacks(std::move(streamCallbacks));
    item->step.startOnce(probeTimeout, [this, weak] {
        if (const auto probed = weak.lock())
            finish(probed, false);
    });
}

void crash_probe::finish(const std::shared_ptr<observation>& item, bool isCrash)
{
    if (std::exchange(item->isFinished, true))
        return;
    item->connection->close();
    m_metrics.count("broken_targets_total", { { "crashed", isCrash ? "true" : "false" } });
    if (!isCrash) {
        logLine(log_level::Info, logComponent, "A target broke its responses but did not crash.", { { "target", item->target.name }, { "requests", std::to_string(item->requests.size()) } });
        return;
    }
    std::sort(item->requests.begin(), item->requests.end(), [](const auto& left, const auto& right) { return left.sentAt < right.sentAt; });
    std::vector<std::vector<uint64_t>> requests;
    for (auto& request : item->requests)
        requests.push_back(std::move(request.segments));
    m_onCrash(item->target, requests, item->firstAt);
}
}
