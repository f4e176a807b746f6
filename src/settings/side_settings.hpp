/// Settings of `bilberryseam-side`.
#pragma once

#include "settings/entry_settings.hpp"

namespace bilberryseam::settings {

/// Limits of a side.
struct side_limits {
    /// Maximum number of queued and running calls, over all targets.
    uint32_t maxCalls = 20000;
    /// Age after which an idempotency key is refused; must be shorter than the log's retention time.
    milliseconds idempotencyWindow { 600000 };
    /// Time without data from a target within one response after which the target is reported as silent.
    milliseconds targetInactivityTimeout { 10000 };
    /// Longest time that a planned shutdown waits for calls in progress.
    milliseconds drainTimeout { 60000 };
    client_memory_settings memory;
};

/// All settings of a side.
struct side_settings {
    std::string name;
    std::string instance;
    std::string region;
    std::string failureDomain;
    /// Address on which the side listens for entries.
    ip_endpoint listen;
    /// Address at which entries reach the side; the targets in the configuration refer to it as their side.
    ip_endpoint advertise;
    ip_endpoint operatorListen;
    platform_settings platform;
    side_limits limits;

    /// @param path  The settings file.
    /// @return The settings, or `InvalidSettings` with location and remedy.
    [[nodiscard]] static result<side_settings> fromFile(const std::string& path);

    [[nodiscard]] nlohmann::json toJson() const;
};
}
