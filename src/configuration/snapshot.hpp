/// Snapshots of the fold: equal states give equal bytes, verified by a hash.
#pragma once

#include "base/result.hpp"
#include "configuration/state.hpp"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bilberryseam::configuration {

/// @return The state as JSON text in a canonical order, with its hash.
[[nodiscard]] std::string writeSnapshot(const state& current);

/// Largest part of a snapshot in one log record, in bytes.
constexpr size_t snapshotPartBytes = 256 * 1024;

/// @return The snapshot as log records, each of which says which part of how many it is.
[[nodiscard]] std::vector<std::string> splitSnapshot(std::string_view text, uint64_t nextOffset);

/// A snapshot put together from log records.
struct assembled_snapshot {
    uint64_t nextOffset = 0;
    std::string text;
};

/// @param records  Records of the snapshot stream, in order; those that are malformed are passed over.
/// @return The newest snapshot of which every part is there.
[[nodiscard]] std::optional<assembled_snapshot> assembleSnapshot(std::span<const std::string> records);

/// @return The state, or `InvalidMessage` if the text or its hash is wrong, or `UnsupportedVersion`.
[[nodiscard]] result<state> readSnapshot(std::string_view text);
}
