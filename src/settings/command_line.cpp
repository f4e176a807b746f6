#include "settings/command_line.hpp"

#include "settings/option_values.hpp"

#include <iostream>

namespace bilberryseam::settings {

namespace {
    namespace options = boost::program_options;

    options::options_description describeOptions(daemon_options& parsedOptions)
    {
        options::options_description description("Options");
        auto add = description.add_options();
        add("help,h", "print this text");
        add("version", "print the version");
        add("settings,s", options::value(&parsedOptions.settingsPath)->value_name("FILE"), "settings file (JSON)");
        add("check-settings", options::bool_switch(&parsedOptions.isCheckOnly), "check the settings and exit");
        add("print-settings", options::bool_switch(&parsedOptions.isPrintOnly), "print the settings with all defaults and exit");
        add("log-format", options::value(&parsedOptions.logFormat)->default_value(parsedOptions.logFormat)->value_name("FORMAT"), "text or json");
        add("log-level", options::value(&parsedOptions.logLevel)->default_value(parsedOptions.logLevel)->value_name("LEVEL"), "debug, info, warning or error");
        return description;
    }
}

result<std::optional<daemon_options>> parseDaemonOptions(int argc, const char* const* argv, std::string_view program, std::string_view summary)
{
    daemon_options parsedOptions;
    const options::options_description description = describeOptions(parsedOptions);
    const auto parsedValues = readOptionValues(argc, argv, description);
    if (!parsedValues)
        return parsedValues.error();
    const options::variables_map& values = parsedValues.value();
    if (values.contains("help")) {
        std::cout << program << ": " << summary << "\n\n"
                  << description;
        return std::optional<daemon_options>();
    }
    if (values.contains("version")) {
        std::cout << program << " " << BILBERRYSEAM_VERSION << "\n";
        return std::optional<daemon_options>();
    }
    if (parsedOptions.settingsPath.empty())
        return error(error_kind::InvalidSettings, "No settings file is given.", "Add --settings FILE.", "command line");
    return std::optional<daemon_options>(parsedOptions);
}

int runMain(const std::function<int()>& body)
{
    try {
        return body();
    } catch (const error& exception) {
        std::cerr << exception.what() << "\n";
        const bool isSettings = exception.kind() == error_kind::InvalidSettings;
        return static_cast<int>(isSettings ? exit_code::InvalidSettings : exit_code::Failure);
    } catch (const std::exception& exception) {
        std::cerr << "Internal error: " << exception.what() << "\n";
        return static_cast<int>(exit_code::Failure);
    }
}
}
