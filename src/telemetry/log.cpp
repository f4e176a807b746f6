#include "telemetry/log.hpp"
#include "base/json_text.hpp"

#include "base/time.hpp"

#include <algorithm>
#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

namespace bilberryseam {

namespace {
    log_format currentFormat = log_format::Text;
    log_level minimumLevel = log_level::Info;

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
        const std::time_t wholeSeconds = std::chrono::system_clock::to_time_t(now);
        const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
        std::tm utc {};
        gmtime_r(&wholeSeconds, &utc);
        char text[40];
        const size_t length = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &utc);
        std::snprintf(text + length, sizeof text - length, ".%03dZ", static_cast<int>(millis));
        return text;
    }

    std::string composeText(log_level level, std::string_view component, std::string_view message, std::initializer_list<log_field> fields)
    {
        std::string line = timestamp();
        line.append(" ").append(nameOfLevel(level)).append(" [").append(component).append("] ").append(message);
        for (const auto& [name, value] : fields)
            line.append(" ").append(name).append("=").append(value);
        return line;
    }

    void appendQuoted(std::string& line, std::string_view text)
    {
        const bool isPlain = std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c <= '~' && c != '"' && c != '\\'; });
        if (isPlain)
            line.append("\"").append(text).append("\"");
        else
            line.append(dumpText(nlohmann::json(text)));
    }

    void appendMember(std::string& line, std::string_view name, std::string_view value)
    {
        line.append(",");
        appendQuoted(line, name);
        line.append(":");
        appendQuoted(line, value);
    }

    std::string composeJson(log_level level, std::string_view component, std::string_view message, std::initializer_list<log_field> fields)
    {
        std::string line = "{\"time\":\"" + timestamp() + "\"";
        appendMember(line, "level", nameOfLevel(level));
        appendMember(line, "part", component);
        appendMember(line, "message", message);
        for (const auto& [name, value] : fields)
            appendMember(line, name, value);
        return line.append("}");
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

namespace {
    /// Rate limit of the log: burst size and sustained rate. Lines beyond it are dropped, counted and reported.
    constexpr double burstLines = 2000;
    constexpr double linesPerSecond = 500;

    /// PIPE_BUF: a write of up to this size to a pipe is atomic.
    constexpr size_t maxLineBytes = 4096;

    /// A log sink that writes to standard output without blocking.
    class rate_limited_sink : public boost::log::sinks::basic_formatted_sink_backend<char> {
    public:
        void consume(const boost::log::record_view&, const std::string& line)
        {
            refill();
            if (m_tokens < 1 || !isWritable()) {
                ++m_unreportedDrops;
                return;
            }
            m_tokens -= 1;
            if (const uint64_t unreported = std::exchange(m_unreportedDrops, 0)) {
                m_reportedDrops += unreported;
                writeLine(droppedLinesMessage(unreported));
            }
            writeLine(line);
        }

        [[nodiscard]] uint64_t droppedLines() const noexcept { return m_reportedDrops + m_unreportedDrops; }

    private:
        static std::string droppedLinesMessage(uint64_t count)
        {
            const log_field fields[] { { "lines", std::to_string(count) } };
            return currentFormat == log_format::Json ? composeJson(log_level::Warning, "log", "Log lines were dropped.", { fields[0] }) : composeText(log_level::Warning, "log", "Log lines were dropped.", { fields[0] });
        }

        static bool isWritable()
        {
            pollfd standardOutput { STDOUT_FILENO, POLLOUT, 0 };
            return poll(&standardOutput, 1, 0) == 1 && (standardOutput.revents & POLLOUT);
        }

        static void writeLine(const std::string& line)
        {
            std::string bytes = line.substr(0, maxLineBytes - 1);
            bytes.push_back('\n');
            // A failed write is ignored: there is no other output to report it to.
            static_cast<void>(!write(STDOUT_FILENO, bytes.data(), bytes.size()));
        }

        void refill()
        {
            const time_point now = monotonicNow();
            m_tokens = std::min(burstLines, m_tokens + asSeconds(now - m_refilledAt) * linesPerSecond);
            m_refilledAt = now;
        }

        double m_tokens = burstLines;
        time_point m_refilledAt = monotonicNow();
        uint64_t m_unreportedDrops = 0;
        uint64_t m_reportedDrops = 0;
    };

    boost::shared_ptr<rate_limited_sink> sink;
}

void startLogging(log_format format, log_level level)
{
    currentFormat = format;
    minimumLevel = level;
    sink = boost::make_shared<rate_limited_sink>();
    boost::log::core::get()->add_sink(boost::make_shared<boost::log::sinks::synchronous_sink<rate_limited_sink>>(sink));
}

uint64_t droppedLogLines() noexcept
{
    return sink ? sink->droppedLines() : 0;
}

void logLine(log_level level, std::string_view component, std::string_view message, std::initializer_list<log_field> fields)
{
    if (level < minimumLevel)
        return;
    static boost::log::sources::logger logger;
    if (currentFormat == log_format::Json)
        BOOST_LOG(logger) << composeJson(level, component, message, fields);
    else
        BOOST_LOG(logger) << composeText(level, component, message, fields);
}
}
