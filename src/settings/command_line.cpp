#include "settings/command_line.hpp"

#include "settings/option_values.hpp"

#include <iostream>

namespace bilberryseam::settings {

namespace {
    namespace options = boost::program_options;

    options::options_description describe(daemon_options& out)
    {
        options::options_description described("Options");
        auto add = described.add_options();
        add("help,h", "print this text");
        add("version", "print the version");
        add("settings,s", options::value(&out.settingsPath)->value_name("FILE"), "settings file (JSON)");
        add("check-settings", options::bool_switch(&out.isCheckOnly), "check the settings and exit");
        add("print-settings", options::bool_switch(&out.isPrintOnly), "print the settings with all defaults and exit");
        add("log-format", options::value(&out.logFormat)->default_value(out.logFormat)->value_name("FORMAT"), "text or json");
        add("log-level", options::value(&out.logLevel)->default_value(out.logLevel)->value_name("LEVEL"), "debug, info, warning or error");
        return described;
    }
}

result<std::optional<daemon_options>> parseDaemonOptions(int argc, const char* const* argv, std::string_view program, std::string_view purpose)
{
    daemon_options out;
    const options::options_description described = describe(out);
    const auto read = readOptionValues(argc, argv, described);
    if (!read)
        return read.error();
    const options::variables_map& values = read.value();
    if (values.contains("help")) {
        std::cout << program << ": " << purpose << "\n\n"
                  << described;
        return std::optional<daemon_options>();
    }
    if (values.contains("version")) {
        std::cout << program << " " << BILBERRYSEAM_VERSION << "\n";
        return std::optional<daemon_options>();
    }
    if (out.settingsPath.empty())
        return error(error_kind::InvalidSettings, "No settings file is given.", "Add --settings FILE.", "command line");
    return std::optional<daemon_options>(out);
}

int runMain(const std::function<int()>& body)
{
    try {
        return body();
    } catch (const error& problem) {
        std::cerr << problem.what() << "\n";
        const bool isSettings = problem.kind() == error_kind::InvalidSettings;
        return static_cast<int>(isSettings ? exit_code::InvalidSettings : exit_code::Failure);
    } catch (const std::exception& problem) {
        std::cerr << "Internal error: " << problem.what() << "\n";
        return static_cast<int>(exit_code::Failure);
    }
}
}
