/// Turns an HTTP request into a checked `request`, or into the outcome that refuses it.
#pragma once

#include "configuration/state.hpp"
#include "entry/outcome.hpp"
#include "entry/request.hpp"
#include "settings/entry_settings.hpp"

#include <string_view>
#include <variant>

namespace bilberryseam::entry {

/// What came over HTTP, as text.
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

/// How far ahead of this machine's clock a key's issue time may be.
constexpr milliseconds maxKeySkew { 30000 };

/// @param raw     The request as text.
/// @param state   The configuration in force.
/// @param limits  Limits of this entry.
/// @param id      Identifier for the request.
/// @param now     The present monotonic time.
/// @param wall    The present wall-clock time.
/// @return The request, or why it did not run.
[[nodiscard]] std::variant<request, outcome> readRequest(const raw_request& raw, const configuration::state& state, const settings::entry_limits& limits, identifier id, time_point now, wall_time wall);
}
