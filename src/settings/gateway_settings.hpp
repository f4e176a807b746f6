/// Settings of an entry that serves a platform's deployment.
#pragma once

#include "base/endpoint.hpp"
#include "base/result.hpp"
#include "base/time.hpp"

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace bilberryseam::settings {

/// Bounds that the operator sets for all entries together.
struct gateway_bounds {
    /// Longest use of a key after the operator has taken it away.
    milliseconds revocation { 5000 };
    /// Time in which a configuration comes into force.
    milliseconds configuration { 2500 };
    /// Time after which a leaving target gets no new work.
    milliseconds leaving { 2500 };
    /// Time for a planned stop, before the process is killed.
    milliseconds stop { 8000 };
    /// Repeats that are allowed for each request, and besides, over all entries.
    double retryRatio = 0.2;
    double retrySlack = 54;
    milliseconds retryWindow { 10000 };
};

/// Limits of the process.
struct gateway_limits {
    /// Bytes of request bodies that may be held at once.
    size_t maxHeldBytes = 48 * 1024 * 1024;
    size_t maxConnections = 1500;
};

/// Read once at the start, and again when the file has changed.
struct gateway_settings {
    std::string name;
    std::string region;
    std::string failureDomain;
    ip_endpoint listen;
    /// Readiness and metrics.
    ip_endpoint operatorListen;
    /// For the other entries.
    ip_endpoint peerListen;
    ip_endpoint store;
    /// Processor that the process may use, in cores; entries with more take more work on pools.
    double processorShare = 1;
    /// Region of each failure domain.
    std::map<std::string, std::string, std::less<>> regions;
    gateway_bounds bounds;
    gateway_limits limits;

    /// @return The settings in a JSON file, or `InvalidSettings` with the place and the remedy.
    [[nodiscard]] static result<gateway_settings> fromFile(const std::string& path);

    /// @return All settings, with defaults.
    [[nodiscard]] nlohmann::json toJson() const;
};
}
