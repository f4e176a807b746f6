/// The deterministic fold: each daemon that applies the same records reaches the same state.
#pragma once

#include "configuration/note.hpp"
#include "configuration/state.hpp"

#include <string_view>

namespace bilberryseam::configuration {

/// One record of the configuration stream.
struct log_record {
    uint64_t offset = 0;
    /// When the record was appended to the log, in milliseconds since 1970.
    int64_t appendedMs = 0;
    std::string text;
};

/// Result of applying a record.
enum class fold_step {
    /// The offset advanced: the note was accepted, rejected or a duplicate.
    Applied,
    /// The record is not the next one; nothing changed.
    OutOfOrder,
    /// The note has a newer schema: the fold stops before it until the program is upgraded.
    Halted,
};

/// Applies the next record.
[[nodiscard]] fold_step applyRecord(state& current, const log_record& record);

/// @return The verdict that a note would get as the next record; changes nothing.
[[nodiscard]] note_verdict predictVerdict(const state& current, const note& proposedNote);
}
