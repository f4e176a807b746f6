/// Settings of `bilberryseam-gateway`, an entry of a platform's deployment.
#pragma once

#include "base/endpoint.hpp"
#include "base/result.hpp"
#include "base/time.hpp"
#include "settings/client_memory_settings.hpp"

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace bilberryseam::settings {

/// Bounds that the operator sets for all entries of a deployment.
struct gateway_bounds {
    /// Longest time that a revoked API key is still accepted.
    milliseconds revocation { 5000 };
    /// Time within which a new configuration comes into force.
    milliseconds configuration { 2500 };
    /// Time after which an evacuated failure domain is sent no requests and no tasks.
    milliseconds evacuation { 5000 };
    /// Time after which a leaving target is sent no new work.
    milliseconds leaving { 2500 };
    /// Time for a planned shutdown before the process is killed.
    milliseconds stop { 8000 };
    /// Retries allowed per accepted request of a service, over all entries.
    double retryRatio = 0.2;
    /// Retries to a service allowed per `retryWindow` in addition to those, over all entries.
    double retrySlack = 54;
    milliseconds retryWindow { 10000 };
    /// A cold target gets at most its cold rate times `coldOverage`, plus `coldSlack`, requests in any second.
    double coldOverage = 1.5;
    double coldSlack = 5;
};

/// Limits of one process.
struct gateway_limits {
    client_memory_settings memory;
    /// Open connections of callers.
    size_t maxConnections = 1500;

    /// @return Bytes that clients may have the gateway hold.
    [[nodiscard]] size_t heldBytes() const noexcept { return memory.heldBytes(); }
};

/// All settings of a gateway process. The file is read at the start and again when it has changed.
struct gateway_settings {
    std::string name;
    std::string region;
    std::string failureDomain;
    ip_endpoint listen;
    /// Address for readiness and metrics.
    ip_endpoint operatorListen;
    /// Address for connections from other entries.
    ip_endpoint peerListen;
    ip_endpoint store;
    /// CPU cores that the process may use; an entry with more cores owns a larger share of the pools.
    double processorShare = 1;
    /// Region by failure domain.
    std::map<std::string, std::string, std::less<>> regions;
    gateway_bounds bounds;
    gateway_limits limits;
    /// Targets are chosen by the load of all entries, which exchange it.
    bool loadSharing = false;
    /// With `loadSharing`: prefixes move by the mean load of half a minute, and sums that change too fast are not used.
    bool loadTrends = false;
    /// The choice by load also counts what a prompt costs the streams of a target; needs `loadSharing`.
    bool longPromptPlacement = false;
    /// How long a task waits for a target in the failure domain that holds most of its inputs.
    milliseconds preferredDomainWait { 60 };
    /// Owners of pools query their targets after a takeover, and after calls that found less room than expected.
    bool poolReports = false;
    /// Pools refuse jobs that cannot start in time, and order tasks by rank and account.
    bool poolAdmission = false;

    /// @return The settings in a JSON file, or `InvalidSettings` with location and remedy.
    [[nodiscard]] static result<gateway_settings> fromFile(const std::string& path);

    /// @return All settings, including defaults.
    [[nodiscard]] nlohmann::json toJson() const;
};
}
