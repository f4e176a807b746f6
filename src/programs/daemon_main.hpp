/// Common main function of the daemons: reads the command line and settings, starts logging and runs the process.
#pragma once

#include "loop/callback_guard.hpp"
#include "settings/command_line.hpp"
#include "telemetry/log.hpp"

#include <csignal>
#include <iostream>
#include <malloc.h>
#include <string_view>
#include <type_traits>

namespace bilberryseam {

/// Reads the command line and the settings, and runs the daemon unless an option requests only checking or printing.
/// @tparam Settings  Provides `fromFile` and `toJson`.
/// @tparam Process   Constructible from the settings, or from the settings and the path of their file if it reloads them;
///                   provides `run`.
/// @return The exit code.
template <typename Settings, typename Process>
int daemonMain(int argc, const char* const* argv, std::string_view program, std::string_view purpose)
{
    return settings::runMain([&] {
        const auto options = settings::parseDaemonOptions(argc, argv, program, purpose).value();
        if (!options)
            return 0;
        const log_format format = parseLogFormat(options->logFormat).value();
        const log_level level = parseLogLevel(options->logLevel).value();
        const Settings daemonSettings = Settings::fromFile(options->settingsPath).value();
        if (options->isPrintOnly)
            std::cout << daemonSettings.toJson().dump(4) << "\n";
        if (options->isPrintOnly || options->isCheckOnly)
            return 0;
        startLogging(format, level);
        setExceptionHandler([](std::string_view source, const std::exception& problem) {
            logLine(log_level::Error, "process", "A callback of the main loop failed; what it worked on is given up.", { { "source", std::string(source) }, { "problem", problem.what() } });
        });
        // A fixed threshold returns freed bodies to the system. By default, it rises to the largest block that was freed.
        constexpr int largeBlockBytes = 128 * 1024;
        mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
        // A daemon that reloads its settings installs a handler; the others must not end with requests open.
        std::signal(SIGHUP, SIG_IGN);
        if constexpr (std::is_constructible_v<Process, const Settings&, const std::string&>) {
            Process process(daemonSettings, options->settingsPath);
            process.run();
        } else {
            Process process(daemonSettings);
            process.run();
        }
        return 0;
    });
}
}
