/// Command-line options of the daemons.
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

/// Command-line options of a daemon.
struct daemon_options {
    std::string settingsPath;
    std::string logFormat = "text";
    std::string logLevel = "info";
    bool isCheckOnly = false;
    bool isPrintOnly = false;
};

/// Parses a daemon's command line and prints the output of `--help` and `--version`.
/// @return The options; no value if help or version was printed; or `InvalidSettings`.
[[nodiscard]] result<std::optional<daemon_options>> parseDaemonOptions(int argc, const char* const* argv, std::string_view program, std::string_view summary);

/// Runs the body of `main`. Prints an exception's message to standard error and returns the exit code for it.
[[nodiscard]] int runMain(const std::function<int()>& body);
}
