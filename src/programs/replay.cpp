/// bilberryseam-replay: replays a recorded trace against a running system and reports outcomes, latencies and cost.
#include "base/json_schema.hpp"
#include "loop/http.hpp"
#include "loop/main_loop.hpp"
#include "loop/timer.hpp"
#include "settings/command_line.hpp"
#include "settings/option_values.hpp"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

namespace bilberryseam {

using nlohmann::json;

namespace {
    namespace options = boost::program_options;

    /// Parsed command line.
    struct replay_options {
        std::string tracePath;
        std::vector<std::string> entries;
        std::vector<std::string> operators;
        double speed = 1;
        std::string reportPath;
        std::string plotPath;
        std::string resultsPath;
        std::string onlyRegion;
    };

    /// One recorded request.
    struct trace_line {
        milliseconds at { 0 };
        std::string region;
        std::string account;
        std::string pipeline;
        json input;
        milliseconds deadline { 0 };
        /// Outcome that the trace requires; empty if any outcome is accepted.
        std::string expected;
    };

    /// Measured result of one request.
    struct request_result {
        std::string outcome;
        double seconds = 0;
        bool isInTime = false;
    };

    error traceError(std::string_view message, size_t line, const std::string& path)
    {
        return error(error_kind::InvalidSettings, message, "Generate traces with traces/generate.py.", path + ":" + std::to_string(line));
    }

    std::vector<trace_line> readTrace(const std::string& path)
    {
        std::ifstream file(path);
        if (!file)
            throw traceError("The trace cannot be read.", 0, path);
        std::vector<trace_line> lines;
        size_t number = 0;
        for (std::string text; std::getline(file, text);) {
            ++number;
            try {
                const json item = json::parse(text);
                json input { { "prompt", std::string(item.at("promptBytes").get<size_t>(), 'x') + std::to_string(number) }, { "max_tokens", item.at("tokens") } };
                if (const std::string prefix = item.value("prefix", ""); !prefix.empty())
                    input["prefix"] = prefix;
                lines.push_back({ milliseconds(item.at("atMs").get<int64_t>()), item.at("region"), item.at("account"), item.at("pipeline"), std::move(input), milliseconds(item.at("deadlineMs").get<int64_t>()), item.value("expected", "") });
            } catch (const json::exception& problem) {
                throw traceError(problem.what(), number, path);
            }
        }
        return lines;
    }

    /// Sends the requests of a trace to the entries at their recorded times and collects the results.
    class trace_replay {
    public:
        trace_replay(std::vector<trace_line> trace, const replay_options& arguments)
            : m_trace(std::move(trace))
            , m_results(m_trace.size())
            , m_options(arguments)
        {
            for (const std::string& entry : arguments.entries) {
                const size_t equals = entry.find('=');
                if (equals == std::string::npos)
                    throw error(error_kind::InvalidSettings, "\"" + entry + "\" has no region.", "Write --entry REGION=IP:PORT.", "command line");
                m_entries[entry.substr(0, equals)] = ip_endpoint::parse(entry.substr(equals + 1), "--entry").value();
            }
            if (m_entries.empty())
                throw error(error_kind::InvalidSettings, "An entry address is required.", "Add --entry REGION=IP:PORT.", "command line");
        }

        void run()
        {
            m_start = monotonicNow();
            sendDueRequests();
            if (m_open > 0 || m_next < m_trace.size())
                m_loop.run();
        }

        [[nodiscard]] const std::vector<request_result>& results() const noexcept { return m_results; }
        [[nodiscard]] const std::vector<trace_line>& trace() const noexcept { return m_trace; }

    private:
        void sendDueRequests()
        {
            const time_point now = monotonicNow();
            while (m_next < m_trace.size() && m_start + dueTime(m_trace[m_next]) <= now)
                send(m_next++);
            if (m_next < m_trace.size())
                m_timer.startOnce(std::chrono::ceil<milliseconds>(m_start + dueTime(m_trace[m_next]) - monotonicNow()), [this] { sendDueRequests(); });
            else if (m_open == 0)
                m_loop.quit();
        }

        microseconds dueTime(const trace_line& line) const
        {
            return microseconds(static_cast<int64_t>(1000.0 * static_cast<double>(line.at.count()) / m_options.speed));
        }

        void send(size_t index)
        {
            const trace_line& line = m_trace[index];
            const auto entryOfRegion = m_entries.find(line.region);
            const ip_endpoint& entry = entryOfRegion == m_entries.end() ? m_entries.begin()->second : entryOfRegion->second;
            http_request request { "POST", urlOf(entry, "/v1/pipelines/" + line.pipeline), json { { "input", line.input } }.dump(), {}, true, line.deadline + seconds(5) };
            request.headers.emplace_back("Bilberryseam-Account", line.account);
            request.headers.emplace_back("Bilberryseam-Deadline-Ms", std::to_string(line.deadline.count()));
            ++m_open;
            const time_point sentAt = monotonicNow();
            m_handles[index] = m_http.send(request, [this, index, sentAt](http_response reply) { recordResponse(index, sentAt, reply); });
        }

        void recordResponse(size_t index, time_point sentAt, const http_response& reply)
        {
            const json body = json::parse(reply.body, nullptr, false);
            request_result& result = m_results[index];
            result.seconds = asSeconds(monotonicNow() - sentAt);
            result.outcome = body.is_object() ? body.value("outcome", "none") : "none";
            result.isInTime = result.outcome == "answered" && result.seconds <= asSeconds(m_trace[index].deadline);
            if (--m_open == 0 && m_next == m_trace.size())
                m_loop.quit();
        }

        main_loop m_loop;
        std::vector<trace_line> m_trace;
        std::vector<request_result> m_results;
        const replay_options& m_options;
        std::map<std::string, ip_endpoint> m_entries;
        http_client m_http;
        std::map<size_t, std::shared_ptr<void>> m_handles;
        timer m_timer;
        time_point m_start {};
        size_t m_next = 0;
        size_t m_open = 0;
    };

    /// @return Values of the byte, cost and hedge counters by series, summed over the entries.
    std::map<std::string, double> readCounters(const std::vector<std::string>& operators)
    {
        std::map<std::string, double> counters;
        main_loop loop;
        http_client http;
        for (const std::string& port : operators) {
            const auto handle = http.send({ "GET", urlOf(ip_endpoint::parse(port, "--operator").value(), "/metrics"), "", {}, false, seconds(5) }, [&](const http_response& reply) {
                std::istringstream lines(reply.body);
                for (std::string line; std::getline(lines, line);) {
                    const bool isRelevant = line.starts_with("bilberryseam_stage_bytes_total") || line.starts_with("bilberryseam_stage_cost_total") || line.starts_with("bilberryseam_hedges_total");
                    if (isRelevant)
                        counters[line.substr(0, line.rfind(' '))] += std::stod(line.substr(line.rfind(' ') + 1));
                }
                loop.quit();
            });
            loop.run();
        }
        return counters;
    }

    std::string labelOf(const std::string& series, const std::string& label)
    {
        const size_t begin = series.find(label + "=\"");
        if (begin == std::string::npos)
            return "";
        const size_t from = begin + label.size() + 2;
        return series.substr(from, series.find('"', from) - from);
    }

    double quantileOf(std::vector<double> values, double quantile)
    {
        if (values.empty())
            return 0;
        const auto rank = values.begin() + static_cast<ptrdiff_t>(quantile * static_cast<double>(values.size() - 1));
        std::nth_element(values.begin(), rank, values.end());
        return *rank;
    }

    json accountReport(const trace_replay& replay)
    {
        std::map<std::string, std::pair<size_t, size_t>> counts;
        for (size_t i = 0; i < replay.trace().size(); ++i) {
            auto& [requests, inTime] = counts[replay.trace()[i].account];
            ++requests;
            inTime += replay.results()[i].isInTime ? 1 : 0;
        }
        json report = json::object();
        for (const auto& [account, count] : counts)
            report[account] = { { "asked", count.first }, { "inTime", count.second } };
        return report;
    }

    json costReport(const std::map<std::string, double>& before, const std::map<std::string, double>& after)
    {
        json bytes = json::object();
        json cost = json::object();
        double crossRegion = 0;
        for (const auto& [series, value] : after) {
            const auto previous = before.find(series);
            const double difference = value - (previous == before.end() ? 0 : previous->second);
            const std::string stage = labelOf(series, "stage");
            if (series.starts_with("bilberryseam_stage_cost_total"))
                cost[stage] = difference;
            const bool isCrossing = series.starts_with("bilberryseam_stage_bytes_total") && labelOf(series, "from") != labelOf(series, "to");
            if (!isCrossing)
                continue;
            crossRegion += difference;
            bytes[stage] = bytes.value(stage, 0.0) + difference;
        }
        return { { "crossRegionBytes", crossRegion }, { "crossRegionBytesByStage", bytes }, { "costByStage", cost } };
    }

    json reportOf(const trace_replay& replay, const std::map<std::string, double>& before, const std::map<std::string, double>& after)
    {
        std::map<std::string, size_t> outcomes;
        std::vector<double> answered;
        std::vector<double> refused;
        size_t inTime = 0;
        size_t mismatches = 0;
        for (size_t i = 0; i < replay.trace().size(); ++i) {
            const request_result& result = replay.results()[i];
            ++outcomes[result.outcome];
            inTime += result.isInTime ? 1 : 0;
            mismatches += !replay.trace()[i].expected.empty() && replay.trace()[i].expected != result.outcome ? 1 : 0;
            (result.outcome == "answered" ? answered : refused).push_back(result.seconds);
        }
        const double total = std::max<double>(1, static_cast<double>(replay.trace().size()));
        return { { "requests", replay.trace().size() }, { "attainment", static_cast<double>(inTime) / total }, { "inTime", inTime }, { "outcomes", outcomes }, { "mismatches", mismatches },
            { "p50Seconds", quantileOf(answered, 0.5) }, { "p95Seconds", quantileOf(answered, 0.95) }, { "p99Seconds", quantileOf(answered, 0.99) }, { "refusedP50Seconds", quantileOf(refused, 0.5) },
            { "accounts", accountReport(replay) }, { "cost", costReport(before, after) } };
    }

    /// Writes one line of JSON for each request, for tools that combine several replays.
    void writeResults(const std::string& path, const trace_replay& replay)
    {
        std::ofstream file(path);
        for (size_t i = 0; i < replay.trace().size(); ++i) {
            const request_result& result = replay.results()[i];
            const trace_line& line = replay.trace()[i];
            file << json { { "atMs", line.at.count() }, { "account", line.account }, { "outcome", result.outcome }, { "seconds", result.seconds }, { "inTime", result.isInTime } }.dump() << "\n";
        }
    }

    /// Writes an SVG plot of the share of all requests that were answered within a time.
    void writePlot(const std::string& path, const trace_replay& replay)
    {
        constexpr double width = 640;
        constexpr double height = 320;
        std::vector<double> answered;
        for (const request_result& result : replay.results()) {
            if (result.outcome == "answered")
                answered.push_back(result.seconds);
        }
        std::sort(answered.begin(), answered.end());
        const double longest = answered.empty() ? 1 : answered.back();
        std::ofstream file(path);
        file << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width + 80 << "\" height=\"" << height + 60 << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
             << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n<polyline fill=\"none\" stroke=\"#2a5db0\" stroke-width=\"2\" points=\"";
        for (size_t i = 0; i < answered.size(); ++i)
            file << 50 + width * answered[i] / longest << "," << 20 + height - height * static_cast<double>(i + 1) / static_cast<double>(replay.results().size()) << " ";
        file << "\"/>\n<line x1=\"50\" y1=\"" << 20 + height << "\" x2=\"" << 50 + width << "\" y2=\"" << 20 + height << "\" stroke=\"black\"/>\n"
             << "<text x=\"50\" y=\"" << height + 40 << "\">0 s</text><text x=\"" << width << "\" y=\"" << height + 40 << "\">" << longest << " s</text>\n"
             << "<text x=\"5\" y=\"24\">100 %</text><text x=\"60\" y=\"14\">share of requests answered within a time</text>\n</svg>\n";
    }

    options::options_description describe(replay_options& arguments)
    {
        options::options_description description("Options");
        auto add = description.add_options();
        add("help,h", "print this text");
        add("version", "print the version");
        add("trace,t", options::value(&arguments.tracePath)->value_name("FILE"), "trace (JSON lines)");
        add("entry,e", options::value(&arguments.entries)->composing()->value_name("REGION=IP:PORT"), "entry for the callers of a region; may be repeated");
        add("operator,o", options::value(&arguments.operators)->composing()->value_name("IP:PORT"), "operator port of an entry, to read byte and cost counters; may be repeated");
        add("speed", options::value(&arguments.speed)->default_value(1)->value_name("FACTOR"), "factor by which the replay is faster than the recording");
        add("report", options::value(&arguments.reportPath)->value_name("FILE"), "write the report as JSON");
        add("results", options::value(&arguments.resultsPath)->value_name("FILE"), "write one line of JSON for each request");
        add("only-region", options::value(&arguments.onlyRegion)->value_name("REGION"), "send only the requests of one region, so that several processes can share a trace");
        add("plot", options::value(&arguments.plotPath)->value_name("FILE"), "write the latencies as SVG");
        return description;
    }

    int run(int argc, const char* const* argv)
    {
        replay_options arguments;
        const options::options_description description = describe(arguments);
        const options::variables_map values = settings::readOptionValues(argc, argv, description).value();
        if (values.contains("help") || values.contains("version")) {
            std::cout << "bilberryseam-replay " << BILBERRYSEAM_VERSION << "\n";
            if (values.contains("help"))
                std::cout << description;
            return 0;
        }
        if (arguments.speed <= 0)
            throw error(error_kind::InvalidSettings, "The speed must be greater than zero.", "Use 1 for real time.", "--speed");
        std::vector<trace_line> trace = readTrace(arguments.tracePath);
        if (!arguments.onlyRegion.empty())
            std::erase_if(trace, [&](const trace_line& line) { return line.region != arguments.onlyRegion; });
        trace_replay replay(std::move(trace), arguments);
        const auto before = readCounters(arguments.operators);
        replay.run();
        const json report = reportOf(replay, before, readCounters(arguments.operators));
        std::cout << report.dump(2) << "\n";
        if (!arguments.reportPath.empty())
            std::ofstream(arguments.reportPath) << report.dump(2) << "\n";
        if (!arguments.resultsPath.empty())
            writeResults(arguments.resultsPath, replay);
        if (!arguments.plotPath.empty())
            writePlot(arguments.plotPath, replay);
        return report["mismatches"] == 0 ? 0 : 1;
    }
}
}

int main(int argc, char** argv)
{
    return bilberryseam::settings::runMain([&] { return bilberryseam::run(argc, argv); });
}
