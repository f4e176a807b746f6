/// Parses and validates an HTTP request.
#pragma once

#include "configuration/state.hpp"
#include "entry/outcome.hpp"
#include "entry/request.hpp"
#include "settings/entry_settings.hpp"

#include <string_view>
#include <variant>

namespace bilberryseam::entry {

/// Path, header and body fields of an HTTP request, not validated.
struct raw_request {
    std::string_view pipeline;
    std::string_view account;
    std::string_view deadlineMs;
    std::string_view idempotencyKey;
    std::string_view priority;
    std::string_view body;
};

/// Longest idempotency key, in bytes.
constexpr size_t maxKeyBytes = 200;

/// Maximum time that a key's issue time may be ahead of the local clock.
constexpr milliseconds maxKeySkew { 30000 };

/// @param raw     The request as text.
/// @param state   The configuration in force.
/// @param limits  Limits of this entry.
/// @param id      Identifier for the request.
/// @param now     The current monotonic time.
/// @param wall    The current wall-clock time.
/// @return The request, or the outcome with which it is refused.
[[nodiscard]] std::variant<request, outcome> readRequest(const raw_request& raw, const configuration::state& state, const settings::entry_limits& limits, identifier id, time_point now, wall_time wall);
}
