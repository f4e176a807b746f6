/// Structured logs through Boost.Log: short sentences, a fixed prefix for each part.
#pragma once

#include "base/identifier.hpp"
#include "base/result.hpp"

#include <initializer_list>
#include <string>
#include <string_view>

namespace bilberryseam {

enum class log_level {
    Debug,
    Info,
    Warning,
    Error,
};

enum class log_format {
    Text,
    Json,
};

/// @return The level of that name (`debug`, `info`, `warning`, `error`), or `InvalidSettings`.
[[nodiscard]] result<log_level> parseLogLevel(std::string_view text);

/// @return The format of that name (`text`, `json`), or `InvalidSettings`.
[[nodiscard]] result<log_format> parseLogFormat(std::string_view text);

/// A named value beside the sentence.
struct log_field {
    std::string_view name;
    std::string value;
};

/// Sets up logging to standard output. Call once, before the first line. Lines are left out and counted
/// when there are too many, or when standard output takes no more; nothing waits for it.
void startLogging(log_format format, log_level level);

/// @return Lines that were left out so far.
[[nodiscard]] uint64_t droppedLogLines() noexcept;

/// Writes one line.
/// @param level     Severity.
/// @param part      The fixed prefix of the part that speaks, e.g. `gate`.
/// @param sentence  One short sentence.
/// @param fields    Named values; a request's identifier goes under `request`.
void logLine(log_level level, std::string_view component, std::string_view message, std::initializer_list<log_field> fields = {});
}
