#include "support/cluster.hpp"

#include "base/hash.hpp"
#include "loop/timer.hpp"
#include "platform/log_client.hpp"
#include "support/wait.hpp"

#include <criterion/criterion.h>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>

namespace bilberryseam::tests {

using nlohmann::json;

namespace {
    /// Ports lie below the range from which the system takes those of outgoing connections.
    constexpr int firstPort = 2000;
    constexpr int portsPerSlot = 150;

    void endWithParent(gpointer)
    {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
    }

    std::vector<std::pair<std::string, json>> eventsOf(const std::string& stream)
    {
        std::vector<std::pair<std::string, json>> events;
        std::istringstream lines(stream);
        std::string name;
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with("event: "))
                name = line.substr(7);
            else if (line.starts_with("data: "))
                events.emplace_back(name, json::parse(line.substr(6)));
        }
        return events;
    }
}

json sent_request::outcome() const
{
    if (stream.empty())
        return json::parse(reply.body, nullptr, false);
    for (const auto& [name, data] : eventsOf(stream)) {
        if (name == "outcome")
            return data;
    }
    return json::object();
}

std::string sent_request::text() const
{
    std::string all;
    for (const auto& [name, data] : eventsOf(stream)) {
        if (name == "output")
            all += data.at("text").get<std::string>();
    }
    return all;
}

cluster::cluster(cluster_spec spec)
    : m_spec(std::move(spec))
    , m_nextPort(firstPort + m_spec.slot * portsPerSlot)
    , m_folder(std::filesystem::temp_directory_path() / ("bilberryseam-test-" + std::to_string(getpid())))
{
    std::filesystem::create_directories(m_folder);
    m_control = address();
    m_log = address();
    json platform { { "log", m_log }, { "instanceList", m_log }, { "instanceListPeriodMs", 100 }, { "configurationPollPeriodMs", 100 } };
    platform.update(m_spec.platform);
    m_fake = { { "control", m_control }, { "log", m_log }, { "targets", json::array() }, { "links", json::array() } };
    m_note = { { "schema", 1 }, { "note", "first" }, { "added", { { "services", json::array() }, { "targets", json::array() }, { "pipelines", m_spec.pipelines }, { "accounts", m_spec.accounts }, { "policies", m_spec.policies } } } };
    for (const target_spec& target : m_spec.targets)
        makeTarget(target, platform);
    writeSettings("fake", m_fake);
    start("fake");
    for (const target_spec& target : m_spec.targets)
        start("side-" + target.name);
    for (int i = 0; i < m_spec.entries; ++i) {
        m_entryAddresses.push_back(address());
        m_entryOperators.push_back(address());
        const std::string name = "entry-" + std::to_string(i);
        writeSettings(name, { { "name", name }, { "region", "north" }, { "listen", m_entryAddresses.back() }, { "operatorListen", m_entryOperators.back() }, { "platform", platform }, { "limits", m_spec.entryLimits } });
        start(name);
    }
    waitUntil([this] { return get(m_control, "/counts").is_object(); }, "the stand-ins");
    appendNote(m_note);
    if (m_spec.isWaitingForTargets)
        waitForTargets();
}

cluster::~cluster()
{
    for (auto& [name, process] : m_processes)
        g_subprocess_force_exit(process.get());
    for (auto& [name, process] : m_processes)
        g_subprocess_wait(process.get(), nullptr, nullptr);
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

std::string cluster::address()
{
    return "127.0.0.1:" + std::to_string(m_nextPort++);
}

void cluster::writeSettings(const std::string& process, const json& settings)
{
    std::ofstream(m_folder + "/" + process + ".json") << settings.dump(1);
}

void cluster::makeTarget(const target_spec& target, const json& platform)
{
    const std::string listen = address();
    const std::string side = address();
    const std::string sideOperator = address();
    const std::string advertise = target.isLinked ? address() : side;
    json fake = target.behaviour;
    fake.update({ { "name", target.name }, { "kind", target.kind }, { "listen", listen } });
    m_fake["targets"].push_back(fake);
    if (target.isLinked)
        m_fake["links"].push_back({ { "name", target.name }, { "listen", advertise }, { "upstream", side } });
    json& added = m_note["added"];
    const bool isNewService = std::none_of(added["services"].begin(), added["services"].end(), [&](const json& known) { return known["name"] == target.service; });
    const bool isEngine = target.kind == "engine";
    if (isNewService)
        added["services"].push_back({ { "name", target.service }, { "kind", isEngine ? "engine" : target.kind == "plain" ? "plain"
                                                                                                                         : "pool" },
            { "path", isEngine ? "/v1/completions" : "/run" }, { "repeatable", target.isRepeatable }, { "maxQueue", target.maxQueue } });
    added["targets"].push_back({ { "name", target.name }, { "service", target.service }, { "instance", target.name }, { "region", target.region }, { "side", advertise }, { "address", listen }, { "capacity", target.capacity } });
    const std::string name = "side-" + target.name;
    writeSettings(name, { { "name", name }, { "instance", target.name }, { "region", target.region }, { "listen", side }, { "advertise", advertise }, { "operatorListen", sideOperator }, { "platform", platform }, { "limits", m_spec.sideLimits } });
    m_sideOperators[target.name] = sideOperator;
    m_sideAddresses[target.name] = side;
}

void cluster::start(const std::string& process)
{
    const std::string program = process.starts_with("entry") ? "bilberryseam-entry" : process.starts_with("side") ? "bilberryseam-side"
                                                                                                                  : "bilberryseam-fake";
    const std::string binary = std::string(BILBERRYSEAM_BINARIES) + "/" + program;
    const std::string settings = m_folder + "/" + process + ".json";
    const std::string log = m_folder + "/" + process + ".log";
    const auto launcher = gobject_ptr<GSubprocessLauncher>::adopt(g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_NONE));
    g_subprocess_launcher_set_child_setup(launcher.get(), endWithParent, nullptr, nullptr);
    g_subprocess_launcher_set_stdout_file_path(launcher.get(), std::getenv("BILBERRYSEAM_TEST_LOGS") ? nullptr : log.c_str());
    const char* level = std::getenv("BILBERRYSEAM_TEST_LOGS") ? "debug" : "info";
    GError* failure = nullptr;
    m_processes[process] = gobject_ptr<GSubprocess>::adopt(g_subprocess_launcher_spawn(launcher.get(), &failure, binary.c_str(), "--settings", settings.c_str(), "--log-level", level, nullptr));
    cr_assert(m_processes[process].get() != nullptr, "cannot start %s", binary.c_str());
}

void cluster::signal(const std::string& process, int number)
{
    g_subprocess_send_signal(m_processes.at(process).get(), number);
}

void cluster::kill(const std::string& process)
{
    g_subprocess_force_exit(m_processes.at(process).get());
    g_subprocess_wait(m_processes.at(process).get(), nullptr, nullptr);
}

bool cluster::hasExited(const std::string& process) const
{
    return g_subprocess_get_identifier(m_processes.at(process).get()) == nullptr;
}

void cluster::waitUntil(const std::function<bool()>& condition, const char* what)
{
    // Conditions ask daemons over HTTP, so they are looked at less often than the loop turns.
    const time_point until = monotonicNow() + patience;
    while (!condition()) {
        cr_assert(monotonicNow() < until, "waited in vain for %s", what);
        runFor(milliseconds(10));
    }
}

void cluster::runFor(milliseconds time)
{
    tests::runFor(time);
}

json cluster::exchange(http_request request)
{
    request.timeout = milliseconds(3000);
    bool isDone = false;
    http_response reply;
    const auto handle = m_http.send(request, [&](http_response got) {
        reply = std::move(got);
        isDone = true;
    });
    while (!isDone)
        g_main_context_iteration(nullptr, TRUE);
    const json parsed = json::parse(reply.body, nullptr, false);
    return parsed.is_discarded() ? json(reply.body) : parsed;
}

json cluster::get(const std::string& address, const std::string& path)
{
    http_request request;
    request.url = "http://" + address + path;
    return exchange(std::move(request));
}

json cluster::post(const std::string& address, const std::string& path, const json& body)
{
    http_request request;
    request.method = "POST";
    request.url = "http://" + address + path;
    request.body = body.dump();
    return exchange(std::move(request));
}

void cluster::appendNote(const json& note)
{
    const std::string records[] { platform::detail::encodeStreamRecord(wallNow().time_since_epoch().count(), note.dump()) };
    http_request request;
    request.method = "POST";
    request.url = "http://" + m_log + "/v1/log-append?topic=configuration&part=0";
    request.body = platform::detail::encodeRecords(records);
    exchange(std::move(request));
}

void cluster::waitForTargets()
{
    for (int entry = 0; entry < m_spec.entries; ++entry) {
        waitUntil(
            [&] {
                const json status = entryStatus(entry);
                if (!status.is_object() || status["targets"].size() != m_spec.targets.size())
                    return false;
                return std::all_of(status["targets"].begin(), status["targets"].end(), [](const json& target) { return target["usable"].get<bool>(); });
            },
            "all targets");
    }
}

std::shared_ptr<sent_request> cluster::send(const question& asked)
{
    http_request request;
    request.method = "POST";
    request.url = "http://" + m_entryAddresses.at(static_cast<size_t>(asked.entry)) + "/v1/pipelines/" + asked.pipeline;
    request.body = json { { "input", asked.input }, { "stream", asked.isStreamed } }.dump();
    request.headers.emplace_back("Bilberryseam-Account", asked.account);
    if (!asked.key.empty())
        request.headers.emplace_back("Idempotency-Key", asked.key);
    if (asked.deadlineMs != 0)
        request.headers.emplace_back("Bilberryseam-Deadline-Ms", std::to_string(asked.deadlineMs));
    const auto sent = std::make_shared<sent_request>();
    http_client::on_chunk onChunk;
    if (asked.isStreamed)
        onChunk = [raw = sent.get()](std::string_view bytes) { raw->stream.append(bytes); };
    sent->handle = m_http.send(
        request, [raw = sent.get()](http_response reply) {
            raw->reply = std::move(reply);
            raw->isDone = true;
        },
        std::move(onChunk));
    return sent;
}

std::shared_ptr<sent_request> cluster::ask(const question& asked)
{
    const auto sent = send(asked);
    waitUntil([&] { return sent->isDone; }, "an answer");
    return sent;
}

void cluster::switchFakes(const json& switches)
{
    post(m_control, "/switch", switches);
}

json cluster::fakeCounts()
{
    return get(m_control, "/counts");
}

json cluster::targetCounts(const std::string& target)
{
    return fakeCounts()["targets"][target];
}

json cluster::entryStatus(int entry)
{
    return get(entryOperator(entry), "/status");
}

json cluster::sideStatus(const std::string& target)
{
    return get(m_sideOperators.at(target), "/status");
}

double cluster::metric(const std::string& operatorAddress, const std::string& prefix)
{
    const json page = get(operatorAddress, "/metrics");
    std::istringstream lines(page.is_string() ? page.get<std::string>() : "");
    double sum = 0;
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(prefix))
            sum += std::stod(line.substr(line.rfind(' ') + 1));
    }
    return sum;
}

double cluster::entryMetric(const std::string& prefix, int entry)
{
    return metric(entryOperator(entry), prefix);
}

std::string keyNow(const std::string& text)
{
    return std::to_string(wallNow().time_since_epoch().count()) + "-" + text;
}

json pipelineOf(const std::string& name, const std::vector<std::string>& services, int maxTokens)
{
    json stages = json::array();
    for (const std::string& service : services)
        stages.push_back({ { "name", service }, { "service", service }, { "maxTokens", maxTokens } });
    return { { "name", name }, { "stages", stages } };
}

std::string wordsFor(const std::string& prompt, uint32_t count)
{
    std::string words;
    for (uint32_t i = 0; i < count; ++i)
        words += "w" + std::to_string(hashOf(prompt, i) % 1000) + " ";
    return words;
}
}
