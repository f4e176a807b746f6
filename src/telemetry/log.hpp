/// Structured logging with Boost.Log: a component, a short message and named fields per line.
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

/// A named value of a log line.
struct log_field {
    std::string_view name;
    std::string value;
};

/// Sets up logging to standard output. Call it once, before the first line is logged. Logging never blocks: lines
/// are dropped and counted if they exceed the rate limit or if standard output is not writable.
void startLogging(log_format format, log_level level);

/// @return Number of log lines dropped so far.
[[nodiscard]] uint64_t droppedLogLines() noexcept;

/// Writes one log line, if its level is enabled.
/// @param level      Severity.
/// @param component  Fixed name of the component that logs, such as `gateway`.
/// @param message    One short sentence.
/// @param fields     Named values; the identifier of a request has the name `request`.
void logLine(log_level level, std::string_view component, std::string_view message, std::initializer_list<log_field> fields = {});
}
