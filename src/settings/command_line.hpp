/// The command line that all daemons share.
#pragma once

#include "base/result.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace bilberryseam::settings {

/// Exit codes of all programs.
enum class exit_code {
    Success = 0,
    Failure = 1,
    InvalidSettings = 2,
};

/// What the command line of a daemon asks for.
struct daemon_options {
    std::string settingsPath;
    std::string logFormat = "text";
    std::string logLevel = "info";
    bool isCheckOnly = false;
    bool isPrintOnly = false;
};

/// Reads a daemon's command line. Prints `--help` and `--version` itself.
/// @return The options; nothing if the program has printed what was asked for; or `InvalidSettings`.
[[nodiscard]] result<std::optional<daemon_options>> parseDaemonOptions(int argc, const char* const* argv, std::string_view program, std::string_view summary);

/// Runs a program's body; prints an error's message and turns its kind into an exit code.
[[nodiscard]] int runMain(const std::function<int()>& body);
}
