/// Settings of `bilberryseam-entry`.
#pragma once

#include "base/endpoint.hpp"
#include "base/time.hpp"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace bilberryseam::settings {

/// Where the platform's services are.
struct platform_settings {
    ip_endpoint log;
    std::string configurationStream = "configuration";
    std::string snapshotStream = "configuration-snapshots";
    std::string claimsStream = "claims";
    std::optional<ip_endpoint> instanceList;
    milliseconds instanceListPeriod { 1000 };
    milliseconds configurationPollPeriod { 500 };
    /// Notes after which an entry writes a snapshot; far fewer than the log keeps.
    uint32_t snapshotEveryNotes = 500;
    /// Rate of the weight store, in bytes a second; zero if loads need no pacing.
    uint64_t weightBytesPerSecond = 0;
};

/// Limits of an entry.
struct entry_limits {
    /// Requests open at the same time.
    uint32_t maxRequests = 20000;
    size_t maxBodyBytes = 1024 * 1024;
    /// Output that a slow reader may leave unread.
    size_t maxUnreadBytes = 1024 * 1024;
    /// Age after which an idempotency key is refused; shorter than the log's retention.
    milliseconds idempotencyWindow { 600000 };
    /// Longest time a planned stop waits for requests in progress.
    milliseconds drainTimeout { 60000 };
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
    /// @return The settings, or `InvalidSettings` with place and remedy.
    [[nodiscard]] static result<entry_settings> fromFile(const std::string& path);

    [[nodiscard]] nlohmann::json toJson() const;
};

namespace detail {
    [[nodiscard]] platform_settings readPlatform(const nlohmann::json& document, const std::string& path);
    [[nodiscard]] nlohmann::json platformToJson(const platform_settings& value);
    [[nodiscard]] ip_endpoint readEndpoint(const nlohmann::json& document, const char* key, const std::string& path);

    /// Reads what the settings of both daemons have.
    /// @throws error (`InvalidSettings`) with place and remedy.
    template <typename Settings>
    void readCommonSettings(const nlohmann::json& document, const std::string& path, Settings& out)
    {
        out.name = document["name"];
        out.region = document["region"];
        out.failureDomain = document.value("failureDomain", out.region);
        out.listen = readEndpoint(document, "listen", path);
        out.operatorListen = readEndpoint(document, "operatorListen", path);
        if (out.listen == out.operatorListen)
            throw error(error_kind::InvalidSettings, "listen and operatorListen are one address.", "Give operatorListen a port of its own.", path + ": /operatorListen");
        out.platform = readPlatform(document["platform"], path);
    }

    /// @return The schema with the platform's part inserted at `@platform@`.
    [[nodiscard]] std::string withPlatformSchema(std::string_view schema);
}
}
