/// The deterministic fold: each daemon that applies the same records reaches the same state.
#pragma once

#include "configuration/note.hpp"
#include "configuration/state.hpp"

#include <string_view>

namespace bilberryseam::configuration {

/// One record of the configuration stream.
struct log_record {
    uint64_t offset = 0;
    /// When the log took the record, in milliseconds since 1970.
    int64_t appendedMs = 0;
    std::string text;
};

/// How applying a record went.
enum class fold_step {
    /// The offset moved on: the note was accepted, rejected or a repeat.
    Applied,
    /// The record is not the next one; nothing changed.
    OutOfOrder,
    /// A note of a newer schema: the fold stays before it until the program is upgraded.
    Halted,
};

/// Applies the next record.
[[nodiscard]] fold_step applyRecord(state& current, const log_record& record);

/// @return What would become of a note if it were the next record; changes nothing.
[[nodiscard]] note_verdict predictVerdict(const state& current, const note& proposed);
}
