#include "telemetry/log.hpp"
#include "base/json_text.hpp"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

namespace bilberryseam {

namespace {
    log_format chosenFormat = log_format::Text;
    log_level chosenLevel = log_level::Info;

    std::string_view nameOfLevel(log_level level)
    {
        switch (level) {
        case log_level::Debug:
            return "debug";
        case log_level::Info:
            return "info";
        case log_level::Warning:
            return "warning";
        case log_level::Error:
            return "error";
        }
        return "error";
    }

    std::string timestamp()
    {
        const auto now = std::chrono::system_clock::now();
        const std::time_t whole = std::chrono::system_clock::to_time_t(now);
        const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
        std::tm parts {};
        gmtime_r(&whole, &parts);
        char text[40];
        const size_t length = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
        std::snprintf(text + length, sizeof text - length, ".%03dZ", static_cast<int>(millis));
        return text;
    }

    std::string composeText(log_level level, std::string_view part, std::string_view sentence, std::initializer_list<log_field> fields)
    {
        std::string line = timestamp();
        line.append(" ").append(nameOfLevel(level)).append(" [").append(part).append("] ").append(sentence);
        for (const auto& [name, value] : fields)
            line.append(" ").append(name).append("=").append(value);
        return line;
    }

    std::string composeJson(log_level level, std::string_view part, std::string_view sentence, std::initializer_list<log_field> fields)
    {
        nlohmann::ordered_json line { { "time", timestamp() }, { "level", nameOfLevel(level) }, { "part", part }, { "message", sentence } };
        for (const auto& [name, value] : fields)
            line[std::string(name)] = value;
        return dumpText(line);
    }
}

result<log_level> parseLogLevel(std::string_view text)
{
    for (const log_level level : { log_level::Debug, log_level::Info, log_level::Warning, log_level::Error }) {
        if (text == nameOfLevel(level))
            return level;
    }
    return error(error_kind::InvalidSettings, "\"" + std::string(text) + "\" is not a log level.", "Use debug, info, warning or error.", "--log-level");
}

result<log_format> parseLogFormat(std::string_view text)
{
    if (text == "text")
        return log_format::Text;
    if (text == "json")
        return log_format::Json;
    return error(error_kind::InvalidSettings, "\"" + std::string(text) + "\" is not a log format.", "Use text or json.", "--log-format");
}

void startLogging(log_format format, log_level level)
{
    namespace sinks = boost::log::sinks;
    chosenFormat = format;
    chosenLevel = level;
    const auto backend = boost::make_shared<sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
    backend->auto_flush(true);
    boost::log::core::get()->add_sink(boost::make_shared<sinks::synchronous_sink<sinks::text_ostream_backend>>(backend));
}

void logLine(log_level level, std::string_view part, std::string_view sentence, std::initializer_list<log_field> fields)
{
    if (level < chosenLevel)
        return;
    static boost::log::sources::logger logger;
    if (chosenFormat == log_format::Json)
        BOOST_LOG(logger) << composeJson(level, part, sentence, fields);
    else
        BOOST_LOG(logger) << composeText(level, part, sentence, fields);
}
}
