/// Settings of `bilberryseam-side`.
#pragma once

#include "settings/entry_settings.hpp"

namespace bilberryseam::settings {

/// Limits of a side.
struct side_limits {
    /// Calls that are queued or running, over all targets.
    uint32_t maxCalls = 20000;
    /// Age after which an idempotency key is refused; shorter than the log's retention.
    milliseconds idempotencyWindow { 600000 };
    /// Longest silence of a target inside one answer.
    milliseconds targetInactivityTimeout { 10000 };
    /// Longest time a planned stop waits for calls in progress.
    milliseconds drainTimeout { 60000 };
};

/// All settings of a side.
struct side_settings {
    std::string name;
    std::string instance;
    std::string region;
    std::string failureDomain;
    /// Address that the process binds for entries.
    ip_endpoint listen;
    /// Address by which entries reach it; the configuration's targets name it as their side.
    ip_endpoint advertise;
    ip_endpoint operatorListen;
    platform_settings platform;
    side_limits limits;

    /// @param path  The settings file.
    /// @return The settings, or `InvalidSettings` with place and remedy.
    [[nodiscard]] static result<side_settings> fromFile(const std::string& path);

    [[nodiscard]] nlohmann::json toJson() const;
};
}
