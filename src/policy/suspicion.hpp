/// Requests that are suspected of crashing their targets.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace bilberryseam::policy {

/// How long a suspicion lasts after the crash.
constexpr seconds suspicionTime { 120 };

/// How long a quarantine lasts.
constexpr seconds quarantineTime { 600 };

/// Number of crashes after which a request is quarantined and refused.
constexpr uint32_t crashesToQuarantine = 2;

/// Most fingerprints in a table; when it is full, the one that expires first is removed.
constexpr size_t maxSuspicions = 10000;

/// Crashes that are attributed to one request fingerprint.
struct suspicion {
    uint32_t crashCount = 0;
    bool isQuarantined = false;
    time_point expires {};
    time_point lastCrashAt {};
    /// Identifier of the last crash that a peer reported.
    uint64_t lastStrike = 0;
};

struct suspicion_table {
    std::unordered_map<uint64_t, suspicion> byFingerprint;
};

/// How a request runs.
enum class execution_mode {
    Normal,
    /// No other call runs at its target.
    Isolated,
    /// The request does not run.
    Refused,
};

[[nodiscard]] execution_mode executionModeOf(const suspicion_table& table, uint64_t fingerprint, time_point now) noexcept;

/// Records that a target crashed while it ran the request.
/// @param wasIsolated  No other call ran there, so the request caused the crash; quarantines it.
/// @return The updated suspicion.
suspicion recordCrash(suspicion_table& table, uint64_t fingerprint, bool wasIsolated, time_point now);

/// Records a crash that a peer reported; quarantines the request if enough crashes count against it.
/// @return The updated suspicion; nothing if the crash was counted already.
[[nodiscard]] std::optional<suspicion> recordStrike(suspicion_table& table, uint64_t fingerprint, uint64_t strike, time_point now);

/// Removes the suspicion after the request ran without a crash; a quarantine stays.
void clearSuspicion(suspicion_table& table, uint64_t fingerprint) noexcept;

/// Removes the suspicions and quarantines for crashes since a time, because another cause of these crashes was found.
void withdrawSuspicions(suspicion_table& table, time_point since);

/// Merges the suspicion that a peer reports for a fingerprint.
/// @return Whether the table changed, so that the report should be forwarded.
[[nodiscard]] bool mergeSuspicion(suspicion_table& table, uint64_t fingerprint, const suspicion& report, time_point now);
}
