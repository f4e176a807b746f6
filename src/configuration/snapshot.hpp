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

/// Maximum size of the part of a snapshot in one log record, in bytes.
constexpr size_t snapshotPartBytes = 256 * 1024;

/// @return The snapshot split into log records, each with its part number and the number of parts.
[[nodiscard]] std::vector<std::string> splitSnapshot(std::string_view text, uint64_t nextOffset);

/// A snapshot assembled from log records.
struct assembled_snapshot {
    uint64_t nextOffset = 0;
    std::string text;
};

/// @param records  Records of the snapshot stream, in order; malformed ones are skipped.
/// @return The newest complete snapshot, if any.
[[nodiscard]] std::optional<assembled_snapshot> assembleSnapshot(std::span<const std::string> records);

/// @return The state, or `InvalidMessage` if the text or its hash is wrong, or `UnsupportedVersion`.
[[nodiscard]] result<state> readSnapshot(std::string_view text);
}
