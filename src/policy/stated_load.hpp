/// Load that a target states in its responses.
///
/// Load pattern: gateways that see a small part of the calls send to the same pools. What a target states includes the calls of
/// all gateways, but it changes many times a second.
#pragma once

#include "base/time.hpp"

#include <algorithm>
#include <cstdint>

namespace bilberryseam::policy {

/// An older statement is not used.
constexpr milliseconds maxStatedLoadAge { 250 };

/// Largest factor by which a statement makes a target look worse, so that no statement silences a target.
constexpr double maxStatedPenalty = 4;

/// What a target stated last.
struct stated_load {
    uint32_t running = 0;
    uint32_t waiting = 0;
    uint32_t slots = 1;
    /// How long work takes there now; 100 is usual.
    uint32_t workPercent = 100;
    /// Time at which the statement was received; zero if there is none.
    time_point receivedAt {};
};

[[nodiscard]] inline bool isFresh(const stated_load& load, time_point now) noexcept
{
    return load.receivedAt != time_point() && now - load.receivedAt < maxStatedLoadAge;
}

/// @return Calls that run or wait at the target: those of this process, or those that the target states if they are more.
[[nodiscard]] inline uint32_t callsAt(const stated_load& load, uint32_t ownCalls, time_point now) noexcept
{
    return isFresh(load, now) ? std::max(ownCalls, load.running + load.waiting) : ownCalls;
}

/// @return Factor of at least 1 by which work takes longer at the target than usual.
[[nodiscard]] inline double workFactor(const stated_load& load, time_point now) noexcept
{
    return isFresh(load, now) ? std::clamp(load.workPercent / 100.0, 1.0, maxStatedPenalty) : 1;
}

/// @return Factor of at least 1 by which a further call ends later than at an idle target.
[[nodiscard]] inline double busyFactor(const stated_load& load, time_point now) noexcept
{
    if (!isFresh(load, now))
        return 1;
    const double calls = static_cast<double>(load.running) + load.waiting + 1;
    return std::clamp(calls / std::max(1U, load.slots) * workFactor(load, now), 1.0, maxStatedPenalty);
}
}
