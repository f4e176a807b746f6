/// Snapshots of the fold: equal states give equal bytes, verified by a hash.
#pragma once

#include "base/result.hpp"
#include "configuration/state.hpp"

#include <string>
#include <string_view>

namespace bilberryseam::configuration {

/// @return The state as JSON text in a canonical order, with its hash.
[[nodiscard]] std::string writeSnapshot(const state& current);

/// @return The state, or `InvalidMessage` if the text or its hash is wrong, or `UnsupportedVersion`.
[[nodiscard]] result<state> readSnapshot(std::string_view text);
}
