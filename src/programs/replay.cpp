/// bilberryseam-replay: replays a recorded trace against a running system and reports what it measured.
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

    /// What the command line asks for.
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
        /// Outcome that the trace states; empty if any will do.
        std::string expected;
    };

    /// What became of one request.
    struct measured {
        std::string outcome;
        double seconds = 0;
        bool isInTime = false;
    };

    error badTrace(std::string_view what, size_t line, const std::string& path)
    {
        return error(error_kind::InvalidSettings, what, "Make traces with traces/generate.py.", path + ":" + std::to_string(line));
    }

    std::vector<trace_line> readTrace(const std::string& path)
    {
        std::ifstream file(path);
        if (!file)
            throw badTrace("The trace cannot be read.", 0, path);
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
                throw badTrace(problem.what(), number, path);
            }
        }
        return lines;
    }

    /// Drives the entries and collects outcomes.
    class replay {
    public:
        replay(std::vector<trace_line> trace, const replay_options& asked)
            : m_trace(std::move(trace))
            , m_results(m_trace.size())
            , m_asked(asked)
        {
            for (const std::string& entry : asked.entries) {
                const size_t equals = entry.find('=');
                if (equals == std::string::npos)
                    throw error(error_kind::InvalidSettings, "\"" + entry + "\" names no region.", "Write --entry REGION=IP:PORT.", "command line");
                m_entries[entry.substr(0, equals)] = ip_endpoint::parse(entry.substr(equals + 1), "--entry").value();
            }
            if (m_entries.empty())
                throw error(error_kind::InvalidSettings, "No entry is given.", "Add --entry REGION=IP:PORT.", "command line");
        }

        void run()
        {
            m_start = monotonicNow();
            sendDue();
            if (m_open > 0 || m_next < m_trace.size())
                m_loop.run();
        }

        [[nodiscard]] const std::vector<measured>& results() const noexcept { return m_results; }
        [[nodiscard]] const std::vector<trace_line>& trace() const noexcept { return m_trace; }

    private:
        void sendDue()
        {
            const time_point now = monotonicNow();
            while (m_next < m_trace.size() && m_start + dueOf(m_trace[m_next]) <= now)
                send(m_next++);
            if (m_next < m_trace.size())
                m_timer.startOnce(std::chrono::ceil<milliseconds>(m_start + dueOf(m_trace[m_next]) - monotonicNow()), [this] { sendDue(); });
            else if (m_open == 0)
                m_loop.quit();
        }

        microseconds dueOf(const trace_line& line) const
        {
            return microseconds(static_cast<int64_t>(1000.0 * static_cast<double>(line.at.count()) / m_asked.speed));
        }

        void send(size_t index)
        {
            const trace_line& line = m_trace[index];
            const auto own = m_entries.find(line.region);
            const ip_endpoint& entry = own == m_entries.end() ? m_entries.begin()->second : own->second;
            http_request request { "POST", urlOf(entry, "/v1/pipelines/" + line.pipeline), json { { "input", line.input } }.dump(), {}, true, line.deadline + seconds(5) };
            request.headers.emplace_back("Bilberryseam-Account", line.account);
            request.headers.emplace_back("Bilberryseam-Deadline-Ms", std::to_string(line.deadline.count()));
            ++m_open;
            const time_point sentAt = monotonicNow();
            m_handles[index] = m_http.send(request, [this, index, sentAt](http_response reply) { take(index, sentAt, reply); });
        }

        void take(size_t index, time_point sentAt, const http_response& reply)
        {
            const json body = json::parse(reply.body, nullptr, false);
            measured& result = m_results[index];
            result.seconds = asSeconds(monotonicNow() - sentAt);
            result.outcome = body.is_object() ? body.value("outcome", "none") : "none";
            result.isInTime = result.outcome == "answered" && result.seconds <= asSeconds(m_trace[index].deadline);
            if (--m_open == 0 && m_next == m_trace.size())
                m_loop.quit();
        }

        main_loop m_loop;
        std::vector<trace_line> m_trace;
        std::vector<measured> m_results;
        const replay_options& m_asked;
        std::map<std::string, ip_endpoint> m_entries;
        http_client m_http;
        std::map<size_t, std::shared_ptr<void>> m_handles;
        timer m_timer;
        time_point m_start {};
        size_t m_next = 0;
        size_t m_open = 0;
    };

    /// @return The entries' counters of bytes and cost, by series.
    std::map<std::string, double> readCounters(const std::vector<std::string>& operators)
    {
        std::map<std::string, double> counters;
        main_loop loop;
        http_client http;
        for (const std::string& port : operators) {
            const auto handle = http.send({ "GET", urlOf(ip_endpoint::parse(port, "--operator").value(), "/metrics"), "", {}, false, seconds(5) }, [&](const http_response& reply) {
                std::istringstream lines(reply.body);
                for (std::string line; std::getline(lines, line);) {
                    const bool isWanted = line.starts_with("bilberryseam_stage_bytes_total") || line.starts_with("bilberryseam_stage_cost_total") || line.starts_with("bilberryseam_hedges_total");
                    if (isWanted)
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

    json accountReport(const replay& done)
    {
        std::map<std::string, std::pair<size_t, size_t>> counts;
        for (size_t i = 0; i < done.trace().size(); ++i) {
            auto& [asked, inTime] = counts[done.trace()[i].account];
            ++asked;
            inTime += done.results()[i].isInTime ? 1 : 0;
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
            const auto earlier = before.find(series);
            const double difference = value - (earlier == before.end() ? 0 : earlier->second);
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

    json reportOf(const replay& done, const std::map<std::string, double>& before, const std::map<std::string, double>& after)
    {
        std::map<std::string, size_t> outcomes;
        std::vector<double> answered;
        std::vector<double> refused;
        size_t inTime = 0;
        size_t mismatches = 0;
        for (size_t i = 0; i < done.trace().size(); ++i) {
            const measured& result = done.results()[i];
            ++outcomes[result.outcome];
            inTime += result.isInTime ? 1 : 0;
            mismatches += !done.trace()[i].expected.empty() && done.trace()[i].expected != result.outcome ? 1 : 0;
            (result.outcome == "answered" ? answered : refused).push_back(result.seconds);
        }
        const double total = std::max<double>(1, static_cast<double>(done.trace().size()));
        return { { "requests", done.trace().size() }, { "attainment", static_cast<double>(inTime) / total }, { "inTime", inTime }, { "outcomes", outcomes }, { "mismatches", mismatches },
            { "p50Seconds", quantileOf(answered, 0.5) }, { "p95Seconds", quantileOf(answered, 0.95) }, { "p99Seconds", quantileOf(answered, 0.99) }, { "refusedP50Seconds", quantileOf(refused, 0.5) },
            { "accounts", accountReport(done) }, { "cost", costReport(before, after) } };
    }

    /// Writes what became of each request, for tools that put several replays together.
    void writeResults(const std::string& path, const replay& done)
    {
        std::ofstream file(path);
        for (size_t i = 0; i < done.trace().size(); ++i) {
            const measured& result = done.results()[i];
            const trace_line& line = done.trace()[i];
            file << json { { "atMs", line.at.count() }, { "account", line.account }, { "outcome", result.outcome }, { "seconds", result.seconds }, { "inTime", result.isInTime } }.dump() << "\n";
        }
    }

    /// Plots the latencies of answers as a cumulative curve.
    void writePlot(const std::string& path, const replay& done)
    {
        constexpr double width = 640;
        constexpr double height = 320;
        std::vector<double> answered;
        for (const measured& result : done.results()) {
            if (result.outcome == "answered")
                answered.push_back(result.seconds);
        }
        std::sort(answered.begin(), answered.end());
        const double longest = answered.empty() ? 1 : answered.back();
        std::ofstream file(path);
        file << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width + 80 << "\" height=\"" << height + 60 << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
             << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n<polyline fill=\"none\" stroke=\"#2a5db0\" stroke-width=\"2\" points=\"";
        for (size_t i = 0; i < answered.size(); ++i)
            file << 50 + width * answered[i] / longest << "," << 20 + height - height * static_cast<double>(i + 1) / static_cast<double>(done.results().size()) << " ";
        file << "\"/>\n<line x1=\"50\" y1=\"" << 20 + height << "\" x2=\"" << 50 + width << "\" y2=\"" << 20 + height << "\" stroke=\"black\"/>\n"
             << "<text x=\"50\" y=\"" << height + 40 << "\">0 s</text><text x=\"" << width << "\" y=\"" << height + 40 << "\">" << longest << " s</text>\n"
             << "<text x=\"5\" y=\"24\">100 %</text><text x=\"60\" y=\"14\">share of requests answered within a time</text>\n</svg>\n";
    }

    options::options_description describe(replay_options& out)
    {
        options::options_description described("Options");
        auto add = described.add_options();
        add("help,h", "print this text");
        add("version", "print the version");
        add("trace,t", options::value(&out.tracePath)->value_name("FILE"), "trace (JSON lines)");
        add("entry,e", options::value(&out.entries)->composing()->value_name("REGION=IP:PORT"), "entry for the callers of a region; may be repeated");
        add("operator,o", options::value(&out.operators)->composing()->value_name("IP:PORT"), "operator port of an entry, for bytes and cost; may be repeated");
        add("speed", options::value(&out.speed)->default_value(1)->value_name("FACTOR"), "how much faster than recorded");
        add("report", options::value(&out.reportPath)->value_name("FILE"), "write the report as JSON");
        add("results", options::value(&out.resultsPath)->value_name("FILE"), "write one line of JSON for each request");
        add("only-region", options::value(&out.onlyRegion)->value_name("REGION"), "send only the requests of one region, so that several processes can share a trace");
        add("plot", options::value(&out.plotPath)->value_name("FILE"), "write the latencies as SVG");
        return described;
    }

    int run(int argc, const char* const* argv)
    {
        replay_options asked;
        const options::options_description described = describe(asked);
        const options::variables_map values = settings::readOptionValues(argc, argv, described).value();
        if (values.contains("help") || values.contains("version")) {
            std::cout << "bilberryseam-replay " << BILBERRYSEAM_VERSION << "\n";
            if (values.contains("help"))
                std::cout << described;
            return 0;
        }
        if (asked.speed <= 0)
            throw error(error_kind::InvalidSettings, "The speed is not above zero.", "Use 1 for real time.", "--speed");
        std::vector<trace_line> trace = readTrace(asked.tracePath);
        if (!asked.onlyRegion.empty())
            std::erase_if(trace, [&](const trace_line& line) { return line.region != asked.onlyRegion; });
        replay done(std::move(trace), asked);
        const auto before = readCounters(asked.operators);
        done.run();
        const json report = reportOf(done, before, readCounters(asked.operators));
        std::cout << report.dump(2) << "\n";
        if (!asked.reportPath.empty())
            std::ofstream(asked.reportPath) << report.dump(2) << "\n";
        if (!asked.resultsPath.empty())
            writeResults(asked.resultsPath, done);
        if (!asked.plotPath.empty())
            writePlot(asked.plotPath, done);
        return report["mismatches"] == 0 ? 0 : 1;
    }
}
}

int main(int argc, char** argv)
{
    return bilberryseam::settings::runMain([&] { return bilberryseam::run(argc, argv); });
}
