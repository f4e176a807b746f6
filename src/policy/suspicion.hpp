/// Requests that are suspected of crashing the targets that run them.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <unordered_map>

namespace bilberryseam::policy {

/// How long a suspicion lasts after the crash.
constexpr seconds suspicionTime { 120 };

/// How long a quarantine lasts.
constexpr seconds quarantineTime { 600 };

/// Most fingerprints that are remembered; the one that expires first goes.
constexpr size_t maxSuspicions = 10000;

/// What is held against one fingerprint.
struct suspicion {
    uint32_t crashCount = 0;
    bool isQuarantined = false;
    time_point expires {};
};

struct suspicion_table {
    std::unordered_map<uint64_t, suspicion> byFingerprint;
};

/// How a request is to be run.
enum class execution_mode {
    Normal,
    /// With nothing beside it at its target.
    Isolated,
    /// Not at all.
    Refused,
};

[[nodiscard]] execution_mode executionModeOf(const suspicion_table& table, uint64_t fingerprint, time_point now) noexcept;

/// A target crashed while it ran the request.
/// @param wasAlone  Nothing else ran there: the request is to blame, and is quarantined.
/// @return What is held against it now.
suspicion recordCrash(suspicion_table& table, uint64_t fingerprint, bool wasIsolated, time_point now);

/// The request ran to its end without harm.
void clearSuspicion(suspicion_table& table, uint64_t fingerprint) noexcept;

/// Takes in what a peer holds against a fingerprint.
/// @return Whether that was news, which is worth passing on.
[[nodiscard]] bool mergeSuspicion(suspicion_table& table, uint64_t fingerprint, const suspicion& report, time_point now);
}
