/// Settings of `bilberryseam-entry`.
#pragma once

#include "base/endpoint.hpp"
#include "base/time.hpp"
#include "settings/client_memory_settings.hpp"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace bilberryseam::settings {

/// Endpoints of the platform's services and how to use them.
struct platform_settings {
    ip_endpoint log;
    std::string configurationStream = "configuration";
    std::string snapshotStream = "configuration-snapshots";
    std::string claimsStream = "claims";
    std::optional<ip_endpoint> instanceList;
    milliseconds instanceListPeriod { 1000 };
    milliseconds configurationPollPeriod { 500 };
    /// Number of release notes after which an entry writes a snapshot; must be far below the number that the log retains.
    uint32_t snapshotEveryNotes = 500;
    /// Throughput of the weight store in bytes per second, to pace model loads; zero for no pacing.
    uint64_t weightBytesPerSecond = 0;
};

/// Limits of an entry.
struct entry_limits {
    /// Maximum number of concurrent requests.
    uint32_t maxRequests = 20000;
    size_t maxBodyBytes = 1024 * 1024;
    /// Maximum output that is buffered for a caller that reads slowly.
    size_t maxUnreadBytes = 1024 * 1024;
    /// Age after which an idempotency key is refused; must be shorter than the log's retention time.
    milliseconds idempotencyWindow { 600000 };
    /// Time without output of a started call after which another target may run it too.
    milliseconds targetInactivityTimeout { 10000 };
    /// Longest time that a planned shutdown waits for requests in progress.
    milliseconds drainTimeout { 60000 };
    client_memory_settings memory;
    /// Open connections of callers.
    size_t maxConnections = 20000;
    /// Longest time for the head of a request, and between two reads of its body.
    milliseconds receiveTimeout { 30000 };
    /// Longest time that a connection is open without a request.
    milliseconds idleTimeout { 60000 };
};

/// All settings of an entry.
struct entry_settings {
    std::string name;
    std::string region;
    std::string failureDomain;
    ip_endpoint listen;
    ip_endpoint operatorListen;
    platform_settings platform;
    entry_limits limits;

    /// @param path  The settings file.
    /// @return The settings, or `InvalidSettings` with location and remedy.
    [[nodiscard]] static result<entry_settings> fromFile(const std::string& path);

    [[nodiscard]] nlohmann::json toJson() const;
};

namespace detail {
    [[nodiscard]] platform_settings readPlatform(const nlohmann::json& document, const std::string& path);
    [[nodiscard]] nlohmann::json platformToJson(const platform_settings& value);
    [[nodiscard]] ip_endpoint readEndpoint(const nlohmann::json& document, const char* key, const std::string& path);

    /// Reads the settings that entries and sides have in common.
    /// @throws error (`InvalidSettings`) with location and remedy.
    template <typename Settings>
    void readCommonSettings(const nlohmann::json& document, const std::string& path, Settings& out)
    {
        out.name = document["name"];
        out.region = document["region"];
        out.failureDomain = document.value("failureDomain", out.region);
        out.listen = readEndpoint(document, "listen", path);
        out.operatorListen = readEndpoint(document, "operatorListen", path);
        if (out.listen == out.operatorListen)
            throw error(error_kind::InvalidSettings, "listen and operatorListen have the same address.", "Choose a different port for operatorListen.", path + ": /operatorListen");
        out.platform = readPlatform(document["platform"], path);
    }

    /// @return The schema with the schema of the platform settings in place of `@platform@`.
    [[nodiscard]] std::string withPlatformSchema(std::string_view schema);
}
}
