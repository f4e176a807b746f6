/// How many requests a service takes from this process, learned from the targets that turn requests away.
///
/// Load pattern: a service runs at nine tenths of its capacity when one of its targets asks for a pause. Its share goes to
/// the others, which are then too full and ask for a pause in turn. Requests beyond what each of the others had when a
/// target turned one away are refused instead, before they have cost an attempt or a stage. Targets that return after
/// their pause bear as many.
#pragma once

#include "base/time.hpp"

#include <cstdint>

namespace bilberryseam::policy {

/// A service that turns nothing away for this long has no limit any more.
constexpr seconds serviceLimitLifetime { 10 };

/// Refusals within this time are one sign of too much work.
constexpr milliseconds sameOverload { 250 };

/// Rounds of responses after which the service is tried with one more request.
constexpr double roundsPerStep = 24;

struct service_limit {
    /// Requests that may be unanswered at each available target; zero if there is no limit.
    double maxPerTarget = 0;
    time_point refusedAt {};
};

/// The targets of a service after one of them turned a request away and asked for a pause.
struct service_state {
    uint32_t pausing = 0;
    /// Targets that do not pause; each of them bears a request at least.
    uint32_t available = 0;
    /// Requests of this process at the available targets. They bear these.
    uint32_t unanswered = 0;
};

/// Share of the targets that must pause before the service counts as overloaded; fewer may have trouble of their own.
constexpr double overloadShare = 1.0 / 3;

/// Records that a target turned a request away and asked for a pause. If no other target is available, nothing is learned.
void recordRefusal(service_limit& limit, const service_state& state, time_point now) noexcept;

/// Records a response of a target; `roundsPerStep` rounds of them raise the limit by one for each target.
void recordServed(service_limit& limit, uint32_t available) noexcept;

/// @return True if the service takes no further request now.
[[nodiscard]] bool isFull(const service_limit& limit, const service_state& state, time_point now) noexcept;
}
