/// Tells crashes of targets from broken connections.
#pragma once

#include "base/endpoint.hpp"
#include "http1/tcp_stream.hpp"
#include "loop/timer.hpp"
#include "telemetry/metrics.hpp"

#include <functional>
#include <list>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace bilberryseam::execution {

/// A target whose response broke.
struct probed_target {
    /// Hash of the target's identifier and start.
    uint64_t hash = 0;
    std::string name;
    ip_endpoint endpoint;
};

/// A request whose target ended its response early.
struct broken_request {
    /// Hashes of the prompt segments that other requests may share.
    std::vector<uint64_t> segments;
    time_point sentAt {};
};

/// Connects to each target that broke a response. A target crashed if nothing listens at its address; a connection that was
/// cut, or a response that was broken off, is no crash.
class crash_probe {
public:
    /// @param requests  Shared segments of the broken requests, the longest-running request first.
    using on_crash = std::function<void(const probed_target& target, std::span<const std::vector<uint64_t>> requests, time_point at)>;

    crash_probe(metrics& metrics, on_crash onCrash);

    void onBrokenRequest(const probed_target& target, broken_request request, time_point now);

private:
    struct observation;

    void probe(const std::shared_ptr<observation>& item);
    void finish(const std::shared_ptr<observation>& item, bool isCrash);

    metrics& m_metrics;
    on_crash m_onCrash;
    std::list<std::shared_ptr<observation>> m_observations;
};
}
