/// bilberryseam: command-line tool for operators.
#include "configuration/configuration.hpp"
#include "loop/http.hpp"
#include "placement_report.hpp"
#include "settings/command_line.hpp"

#include <boost/program_options.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>

namespace bilberryseam {

using nlohmann::json;

namespace {
    namespace options = boost::program_options;

    constexpr milliseconds verdictPollPeriod { 50 };

    /// A frozen gateway accepts connections and does not respond; the others are queried nevertheless.
    constexpr guint explainTimeoutSeconds = 5;

    /// Header field of `/explain` that carries an API key, so that the key is in no URL.
    constexpr const char* explainKeyName = "X-Explain-Key";

    /// Parsed command line.
    struct operator_options {
        std::string command;
        std::string argument;
        std::vector<std::string> daemons;
        uint32_t waitMs = 15000;
        bool isJson = false;
        /// The request whose placement is explained.
        std::string host;
        std::string path;
        std::string apiKey;
        std::string model;
        std::string prompt;
        std::string tokens;
        std::string tasks;
        std::string requestId;
    };

    error usageError(std::string_view message)
    {
        return error(error_kind::InvalidSettings, message, "See --help.", "command line");
    }

    options::options_description describe(operator_options& arguments)
    {
        options::options_description description("Options");
        auto add = description.add_options();
        add("help,h", "print this text");
        add("version", "print the version");
        add("daemon,d", options::value(&arguments.daemons)->value_name("IP:PORT")->composing(), "operator port of an entry (or of any daemon, for status and drain; of a gateway, for explain-placement); may be repeated");
        add("wait-ms", options::value(&arguments.waitMs)->default_value(arguments.waitMs)->value_name("MS"), "maximum time that publish waits for the verdict");
        add("host", options::value(&arguments.host)->value_name("HOST"), "explain-placement: host of the request");
        add("path", options::value(&arguments.path)->value_name("PATH"), "explain-placement: path of the request");
        add("key", options::value(&arguments.apiKey)->value_name("API_KEY"), "explain-placement: API key of the request");
        add("model", options::value(&arguments.model)->value_name("M"), "explain-placement: model");
        add("prompt", options::value(&arguments.prompt)->value_name("ID:TOKENS,.."), "explain-placement: segments of the prompt; the last one is not shared");
        add("tokens", options::value(&arguments.tokens)->value_name("IN,OUT"), "explain-placement: prompt tokens and largest number of output tokens");
        add("tasks", options::value(&arguments.tasks)->value_name("N,N,.."), "explain-placement: number of tasks of each stage");
        add("request-id", options::value(&arguments.requestId)->value_name("ID"), "explain-placement: identifier of the request, by which one of several services and near ties are decided");
        add("json", options::bool_switch(&arguments.isJson), "print JSON instead of text");
        return description;
    }

    void printHelp(const options::options_description& description)
    {
        std::cout << "bilberryseam: command-line tool for operators\n\n"
                     "  bilberryseam check NOTE.json                    check a release note offline\n"
                     "  bilberryseam diff NOTE.json -d IP:PORT          show what a note would change\n"
                     "  bilberryseam publish NOTE.json -d IP:PORT       publish a note and wait for its verdict\n"
                     "  bilberryseam status -d IP:PORT [-d ...]         show daemons, offsets and alarms\n"
                     "  bilberryseam explain LIST/NAME -d IP:PORT       show which note gave an object its value\n"
                     "  bilberryseam explain-placement --host HOST --path PATH -d IP:PORT [-d ...]\n"
                     "                                                  show where gateways would send a request now, and why\n"
                     "  bilberryseam drain [TARGET] -d IP:PORT          stop new calls at a side or at one of its targets\n"
                     "  bilberryseam undrain [TARGET] -d IP:PORT        allow new calls again\n\n"
                  << description;
    }

    struct daemon_response {
        unsigned status = 0;
        json body;
    };

    /// Sends an HTTP request to a daemon and waits for the response.
    /// @param headers         Further header fields.
    /// @param timeoutSeconds  Longest time without data; zero for no limit.
    /// @return The response. Throws if the daemon is unreachable or the body is not JSON.
    daemon_response exchangeWith(const ip_endpoint& daemon, const char* method, std::string_view path, const std::string& body = {}, const std::vector<std::pair<std::string, std::string>>& headers = {}, guint timeoutSeconds = 0)
    {
        SoupSession* session = soup_session_new_with_options("timeout", timeoutSeconds, nullptr);
        SoupMessage* message = soup_message_new(method, urlOf(daemon, path).c_str());
        if (!body.empty()) {
            GBytes* bytes = g_bytes_new(body.data(), body.size());
            soup_message_set_request_body_from_bytes(message, "application/json", bytes);
            g_bytes_unref(bytes);
        }
        for (const auto& [name, value] : headers)
            soup_message_headers_replace(soup_message_get_request_headers(message), name.c_str(), value.c_str());
        GError* requestError = nullptr;
        GBytes* response = soup_session_send_and_read(session, message, nullptr, &requestError);
        const std::string problem = requestError ? requestError->message : "";
        std::string text;
        if (response) {
            gsize size = 0;
            const auto* data = static_cast<const char*>(g_bytes_get_data(response, &size));
            text.assign(data, size);
            g_bytes_unref(response);
        }
        g_clear_error(&requestError);
        const unsigned status = soup_message_get_status(message);
        g_object_unref(message);
        g_object_unref(session);
        if (!problem.empty())
            throw error(error_kind::Unavailable, "The daemon at " + daemon.toString() + " did not respond: " + problem + ".", "Check --daemon, or use another daemon.");
        json parsed = json::parse(text, nullptr, false);
        if (parsed.is_discarded())
            throw error(error_kind::Unavailable, "The daemon at " + daemon.toString() + " returned a response that is not JSON.", "Use the daemon's operatorListen address.");
        return { status, std::move(parsed) };
    }

    json sendRequest(const ip_endpoint& daemon, const char* method, std::string_view path, const std::string& body = {})
    {
        return exchangeWith(daemon, method, path, body).body;
    }

    ip_endpoint firstDaemonAddress(const operator_options& arguments)
    {
        if (arguments.daemons.empty())
            throw usageError("A daemon address is required.");
        return ip_endpoint::parse(arguments.daemons.front(), "--daemon").value();
    }

    std::string readNoteFile(const operator_options& arguments)
    {
        if (arguments.argument.empty())
            throw usageError("The note file is missing.");
        std::ifstream file(arguments.argument);
        if (!file)
            throw error(error_kind::InvalidSettings, "The note file cannot be read.", "Use the path of a readable file.", arguments.argument);
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    configuration::state fetchState(const ip_endpoint& daemon)
    {
        return configuration::readSnapshot(sendRequest(daemon, "GET", "/configuration").dump()).value();
    }

    int check(const operator_options& arguments)
    {
        const configuration::note note = configuration::parseNote(readNoteFile(arguments), arguments.argument).value();
        std::cout << "The note " << note.name << " is valid.\n";
        return 0;
    }

    template <typename Object>
    void printEdits(const configuration::edits<Object>& edits, const configuration::state& state)
    {
        constexpr std::string_view list = configuration::listNameOf<Object>();
        for (const auto& item : edits.added)
            std::cout << "+ " << list << "/" << nameOf(item.value) << " " << toJson(item.value).dump() << "\n";
        for (const auto& item : edits.changed) {
            if (const auto before = state.find<Object>(nameOf(item.value)))
                std::cout << "- " << list << "/" << nameOf(item.value) << " " << toJson(*before).dump() << "\n";
            std::cout << "+ " << list << "/" << nameOf(item.value) << " " << toJson(item.value).dump() << "\n";
        }
        for (const auto& item : edits.withdrawn)
            std::cout << "- " << list << "/" << item.name << "\n";
    }

    int diff(const operator_options& arguments)
    {
        const configuration::note note = configuration::parseNote(readNoteFile(arguments), arguments.argument).value();
        const configuration::state state = fetchState(firstDaemonAddress(arguments));
        std::apply([&](const auto&... each) { (printEdits(each, state), ...); }, note.objects);
        const configuration::note_verdict verdict = configuration::predictVerdict(state, note);
        std::cout << (verdict.isAccepted ? "It would be accepted now.\n" : "It would be rejected now: " + verdict.reason + "\n");
        return verdict.isAccepted ? 0 : 1;
    }

    int reportVerdict(const json& verdict)
    {
        if (verdict.at("verdict") == "accepted") {
            std::cout << "accepted at offset " << verdict.at("offset") << "\n";
            return 0;
        }
        std::cout << "rejected at offset " << verdict.at("offset") << ": " << verdict.at("reason").get<std::string>() << "\n";
        if (const std::string winner = verdict.at("winner"); !winner.empty())
            std::cout << "The note in force for this object is " << winner << ". Look up its revision with bilberryseam explain and publish the change under a new name.\n";
        return 1;
    }

    int publish(const operator_options& arguments)
    {
        const std::string text = readNoteFile(arguments);
        const configuration::note note = configuration::parseNote(text, arguments.argument).value();
        const ip_endpoint daemon = firstDaemonAddress(arguments);
        const json appended = sendRequest(daemon, "POST", "/publish", text);
        if (appended.at("append") == "refused") {
            std::cout << "not published: " << appended.value("detail", "the log refused the note.") << " Publish again when the log is available.\n";
            return 1;
        }
        const auto deadline = monotonicNow() + milliseconds(arguments.waitMs);
        while (monotonicNow() < deadline) {
            const json verdict = sendRequest(daemon, "GET", "/verdict?note=" + note.name);
            if (verdict.at("verdict") != "none")
                return reportVerdict(verdict);
            std::this_thread::sleep_for(verdictPollPeriod);
        }
        std::cout << "unknown: no verdict on " << note.name << " yet. Publish the same file again; a note with the same name is applied only once.\n";
        return 1;
    }

    void printStatusRow(const json& status)
    {
        std::cout << std::left << std::setw(8) << status.value("role", "") << std::setw(24) << status.value("name", "") << std::setw(16) << status.value("region", "")
                  << std::right << std::setw(8) << status.value("configurationOffset", 0) << "  " << (status.value("stopping", false) ? "stopping" : "running ") << "  "
                  << (status.value("alarm", "").empty() ? "-" : status.value("alarm", "")) << "\n";
        for (const json& target : status.value("targets", json::array())) {
            std::cout << "          " << std::left << std::setw(24) << target.value("name", "") << std::setw(16) << target.value("service", "") << std::right << " running " << std::setw(4) << target.value("running", 0)
                      << " queued " << std::setw(4) << target.value("queued", 0) << (target.value("leaving", false) ? "  leaving" : "") << (target.value("down", false) ? "  down" : "")
                      << (target.value("usable", true) ? "" : "  unusable") << "\n";
        }
    }

    int status(const operator_options& arguments)
    {
        if (arguments.daemons.empty())
            throw usageError("A daemon address is required.");
        int code = 0;
        if (!arguments.isJson)
            std::cout << std::left << std::setw(8) << "role" << std::setw(24) << "name" << std::setw(16) << "region" << std::right << std::setw(8) << "offset"
                      << "  state     alarm\n";
        for (const std::string& daemon : arguments.daemons) {
            try {
                const json daemonStatus = sendRequest(ip_endpoint::parse(daemon, "--daemon").value(), "GET", "/status");
                if (arguments.isJson)
                    std::cout << daemonStatus.dump() << "\n";
                else
                    printStatusRow(daemonStatus);
            } catch (const error& problem) {
                std::cout << daemon << "  " << problem.what() << "\n";
                code = 1;
            }
        }
        return code;
    }

    template <typename Object>
    bool printExplanation(const configuration::state& state, std::string_view list, std::string_view name)
    {
        if (list != configuration::listNameOf<Object>())
            return false;
        const auto position = state.of<Object>().find(name);
        if (position == state.of<Object>().end())
            return false;
        const auto& record = position->second;
        std::cout << json { { "value", toJson(*record.value) }, { "revision", record.revision }, { "note", record.note }, { "author", record.author }, { "appendedMs", record.appendedMs } }.dump(2) << "\n";
        return true;
    }

    int explain(const operator_options& arguments)
    {
        const size_t slash = arguments.argument.find('/');
        if (slash == std::string::npos)
            throw usageError("Name an object as LIST/NAME, e.g. targets/engine-1.");
        const std::string list = arguments.argument.substr(0, slash);
        const std::string name = arguments.argument.substr(slash + 1);
        const configuration::state state = fetchState(firstDaemonAddress(arguments));
        const bool isFound = printExplanation<configuration::service>(state, list, name) || printExplanation<configuration::target>(state, list, name)
            || printExplanation<configuration::pipeline>(state, list, name) || printExplanation<configuration::account>(state, list, name) || printExplanation<configuration::model>(state, list, name)
            || printExplanation<configuration::region_price>(state, list, name) || printExplanation<configuration::policy>(state, list, name);
        if (!isFound)
            std::cout << arguments.argument << " is not in force.\n";
        return isFound ? 0 : 1;
    }

    std::string explainTarget(const operator_options& arguments)
    {
        std::string target = "/explain";
        const auto add = [&target](const char* name, const std::string& value) {
            if (value.empty())
                return;
            char* escaped = g_uri_escape_string(value.c_str(), nullptr, FALSE);
            target.append(target.find('?') == std::string::npos ? "?" : "&").append(name).append("=").append(escaped);
            g_free(escaped);
        };
        add("host", arguments.host);
        add("path", arguments.path);
        add("model", arguments.model);
        add("prompt", arguments.prompt);
        add("tokens", arguments.tokens);
        add("tasks", arguments.tasks);
        add("id", arguments.requestId);
        return target;
    }

    json fetchPlacement(const operator_options& arguments, const ip_endpoint& gateway)
    {
        std::vector<std::pair<std::string, std::string>> headers;
        if (!arguments.apiKey.empty())
            headers.emplace_back(explainKeyName, arguments.apiKey);
        daemon_response response = exchangeWith(gateway, "GET", explainTarget(arguments), {}, headers, explainTimeoutSeconds);
        if (response.status == 429)
            throw error(error_kind::Unavailable, "The gateway at " + gateway.toString() + " has answered as many queries as it answers in a second.", "Try again in a second.");
        if (response.status != 200 || !response.body.contains("gateway"))
            throw error(error_kind::Unavailable, "The daemon at " + gateway.toString() + " does not explain placements.", "Use a gateway's operatorListen address.");
        return std::move(response.body);
    }

    int explainPlacement(const operator_options& arguments)
    {
        if (arguments.daemons.empty())
            throw usageError("A daemon address is required.");
        if (arguments.host.empty() || arguments.path.empty())
            throw usageError("--host and --path are required.");
        if (!arguments.path.starts_with('/'))
            throw usageError("--path must begin with a slash.");
        if (arguments.tokens.empty() && !arguments.prompt.empty())
            throw usageError("--prompt needs --tokens.");
        std::vector<ip_endpoint> gateways;
        for (const std::string& daemon : arguments.daemons)
            gateways.push_back(ip_endpoint::parse(daemon, "--daemon").value());
        int code = 0;
        std::vector<json> explanations;
        for (const ip_endpoint& gateway : gateways) {
            try {
                explanations.push_back(fetchPlacement(arguments, gateway));
                if (arguments.isJson)
                    std::cout << explanations.back().dump() << "\n";
                else
                    printPlacement(std::cout, explanations.back());
            } catch (const error& problem) {
                std::cerr << problem.what() << "\n";
                code = static_cast<int>(settings::exit_code::Failure);
            }
        }
        if (!arguments.isJson)
            printDifferences(std::cout, explanations);
        return code;
    }

    int drain(const operator_options& arguments, const char* path)
    {
        const json response = sendRequest(firstDaemonAddress(arguments), "POST", path, json { { "target", arguments.argument } }.dump());
        std::cout << response.dump() << "\n";
        return response.contains("leaving") ? 0 : 1;
    }

    int dispatch(const operator_options& arguments)
    {
        if (arguments.command == "check")
            return check(arguments);
        if (arguments.command == "diff")
            return diff(arguments);
        if (arguments.command == "publish")
            return publish(arguments);
        if (arguments.command == "status")
            return status(arguments);
        if (arguments.command == "explain")
            return explain(arguments);
        if (arguments.command == "explain-placement")
            return explainPlacement(arguments);
        if (arguments.command == "drain")
            return drain(arguments, "/drain");
        if (arguments.command == "undrain")
            return drain(arguments, "/undrain");
        throw usageError("\"" + arguments.command + "\" is not a command.");
    }

    int run(int argc, const char* const* argv)
    {
        operator_options arguments;
        const options::options_description description = describe(arguments);
        options::options_description allOptions;
        allOptions.add(description);
        allOptions.add_options()("command", options::value(&arguments.command))("argument", options::value(&arguments.argument));
        options::positional_options_description positions;
        positions.add("command", 1).add("argument", 1);
        options::variables_map values;
        try {
            options::store(options::command_line_parser(argc, argv).options(allOptions).positional(positions).run(), values);
            options::notify(values);
        } catch (const options::error& problem) {
            throw usageError(std::string(problem.what()) + ".");
        }
        if (values.contains("version")) {
            std::cout << "bilberryseam " << BILBERRYSEAM_VERSION << "\n";
            return 0;
        }
        if (values.contains("help") || arguments.command.empty()) {
            printHelp(description);
            return values.contains("help") ? 0 : static_cast<int>(settings::exit_code::InvalidSettings);
        }
        return dispatch(arguments);
    }
}
}

int main(int argc, char** argv)
{
    return bilberryseam::settings::runMain([&] { return bilberryseam::run(argc, argv); });
}
