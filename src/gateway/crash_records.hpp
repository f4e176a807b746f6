/// Records about crashes in the store, for entries that start and for those that no peer reaches.
#pragma once

#include "base/result.hpp"
#include "base/time.hpp"
#include "wire/message.hpp"

#include <string>
#include <string_view>

namespace bilberryseam::gateway {

/// A message about crashes and the wall-clock time to which its ages refer.
struct crash_record {
    wire::message content;
    wall_time writtenAt {};
};

/// @return The record's text; empty for messages that are not about crashes.
[[nodiscard]] std::string encodeCrashRecord(const crash_record& record);

/// @return The record, or `InvalidMessage`.
[[nodiscard]] result<crash_record> decodeCrashRecord(std::string_view key, std::string_view text);

/// @return The message with its ages as of `now`; clocks that disagree make no age negative.
[[nodiscard]] wire::message messageAsOf(const crash_record& record, wall_time now);
}
