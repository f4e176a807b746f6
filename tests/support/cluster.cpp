#include "support/cluster.hpp"

#include "base/hash.hpp"
#include "loop/timer.hpp"
#include "platform/log_client.hpp"
#include "support/test_host.hpp"
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
    /// Ports are below the system's ephemeral port range, so that outgoing connections cannot occupy them.
    void endWithParent(gpointer)
    {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
    }

    std::vector<std::pair<std::string, json>> parseEvents(const std::string& stream)
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
    for (const auto& [name, data] : parseEvents(stream)) {
        if (name == "outcome")
            return data;
    }
    return json::object();
}

std::string sent_request::text() const
{
    std::string all;
    for (const auto& [name, data] : parseEvents(stream)) {
        if (name == "output")
            all += data.at("text").get<std::string>();
    }
    return all;
}

cluster::cluster(cluster_spec spec)
    : m_spec(std::move(spec))
    , m_nextPort(firstPortOfSlot(m_spec.slot))
    , m_directory(std::filesystem::temp_directory_path() / ("bilberryseam-test-" + std::to_string(getpid())))
{
    std::filesystem::create_directories(m_directory);
    m_controlAddress = allocateAddress();
    m_logAddress = allocateAddress();
    json platform { { "log", m_logAddress }, { "instanceList", m_logAddress }, { "instanceListPeriodMs", 100 }, { "configurationPollPeriodMs", 100 } };
    platform.update(m_spec.platform);
    m_fakeSettings = { { "control", m_controlAddress }, { "log", m_logAddress }, { "targets", json::array() }, { "links", json::array() } };
    m_firstNote = { { "schema", 1 }, { "note", "first" }, { "added", { { "services", json::array() }, { "targets", json::array() }, { "pipelines", m_spec.pipelines }, { "accounts", m_spec.accounts }, { "policies", m_spec.policies } } } };
    for (const target_spec& target : m_spec.targets)
        addTarget(target, platform);
    writeSettings("fake", m_fakeSettings);
    start("fake");
    for (const target_spec& target : m_spec.targets)
        start("side-" + target.name);
    for (int i = 0; i < m_spec.entries; ++i) {
        m_entryAddresses.push_back(allocateAddress());
        m_entryOperators.push_back(allocateAddress());
        const std::string name = "entry-" + std::to_string(i);
        writeSettings(name, { { "name", name }, { "region", "north" }, { "listen", m_entryAddresses.back() }, { "operatorListen", m_entryOperators.back() }, { "platform", platform }, { "limits", m_spec.entryLimits } });
        start(name);
    }
    waitUntil([this] { return get(m_controlAddress, "/counts").is_object(); }, "the fakes");
    appendNote(m_firstNote);
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
    std::filesystem::remove_all(m_directory, ignored);
}

std::string cluster::allocateAddress()
{
    return hostOfSlot(m_spec.slot) + ":" + std::to_string(m_nextPort++);
}

void cluster::writeSettings(const std::string& process, const json& settings)
{
    std::ofstream(m_directory + "/" + process + ".json") << settings.dump(1);
}

void cluster::addTarget(const target_spec& target, const json& platform)
{
    const std::string listen = allocateAddress();
    const std::string side = allocateAddress();
    const std::string operatorAddress = allocateAddress();
    const std::string advertise = target.isBehindFakeLink ? allocateAddress() : side;
    json fake = target.behaviour;
    fake.update({ { "name", target.name }, { "kind", target.kind }, { "listen", listen } });
    m_fakeSettings["targets"].push_back(fake);
    if (target.isBehindFakeLink)
        m_fakeSettings["links"].push_back({ { "name", target.name }, { "listen", advertise }, { "upstream", side } });
    json& added = m_firstNote["added"];
    const bool isNewService = std::none_of(added["services"].begin(), added["services"].end(), [&](const json& service) { return service["name"] == target.service; });
    const bool isEngine = target.kind == "engine";
    if (isNewService)
        added["services"].push_back({ { "name", target.service }, { "kind", isEngine ? "engine" : target.kind == "plain" ? "plain"
                                                                                                                         : "pool" },
            { "path", isEngine ? "/v1/completions" : "/run" }, { "repeatable", target.isRetryable }, { "maxQueue", target.maxQueue } });
    added["targets"].push_back({ { "name", target.name }, { "service", target.service }, { "instance", target.name }, { "region", target.region }, { "side", advertise }, { "address", listen }, { "capacity", target.capacity } });
    const std::string name = "side-" + target.name;
    writeSettings(name, { { "name", name }, { "instance", target.name }, { "region", target.region }, { "listen", side }, { "advertise", advertise }, { "operatorListen", operatorAddress }, { "platform", platform }, { "limits", m_spec.sideLimits } });
    m_sideOperators[target.name] = operatorAddress;
    m_sideAddresses[target.name] = side;
}

void cluster::start(const std::string& process)
{
    const std::string program = process.starts_with("entry") ? "bilberryseam-entry" : process.starts_with("side") ? "bilberryseam-side"
                                                                                                                  : "bilberryseam-fake";
    const std::string binary = std::string(BILBERRYSEAM_BINARIES) + "/" + program;
    const std::string settings = m_directory + "/" + process + ".json";
    const std::string log = m_directory + "/" + process + ".log";
    const auto launcher = gobject_ptr<GSubprocessLauncher>::adopt(g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_NONE));
    g_subprocess_launcher_set_child_setup(launcher.get(), endWithParent, nullptr, nullptr);
    g_subprocess_launcher_set_stdout_file_path(launcher.get(), std::getenv("BILBERRYSEAM_TEST_LOGS") ? nullptr : log.c_str());
    const char* level = std::getenv("BILBERRYSEAM_TEST_LOGS") ? "debug" : "info";
    GError* spawnError = nullptr;
    m_processes[process] = gobject_ptr<GSubprocess>::adopt(g_subprocess_launcher_spawn(launcher.get(), &spawnError, binary.c_str(), "--settings", settings.c_str(), "--log-level", level, nullptr));
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

void cluster::waitUntil(const std::function<bool()>& condition, const char* description)
{
    // Conditions send HTTP requests to daemons, so they are evaluated every 10 ms and not in every loop iteration.
    const time_point deadline = monotonicNow() + waitTimeout;
    while (!condition()) {
        cr_assert(monotonicNow() < deadline, "timed out waiting for %s", description);
        runFor(milliseconds(10));
    }
}

void cluster::runFor(milliseconds time)
{
    tests::runFor(time);
}

json cluster::exchange(http_request httpRequest)
{
    httpRequest.timeout = milliseconds(3000);
    bool isDone = false;
    http_response reply;
    const auto handle = m_http.send(httpRequest, [&](http_response received) {
        reply = std::move(received);
        isDone = true;
    });
    while (!isDone)
        g_main_context_iteration(nullptr, TRUE);
    const json parsed = json::parse(reply.body, nullptr, false);
    return parsed.is_discarded() ? json(reply.body) : parsed;
}

json cluster::get(const std::string& address, const std::string& path)
{
    http_request httpRequest;
    httpRequest.url = "http://" + address + path;
    return exchange(std::move(httpRequest));
}

json cluster::post(const std::string& address, const std::string& path, const json& body)
{
    http_request httpRequest;
    httpRequest.method = "POST";
    httpRequest.url = "http://" + address + path;
    httpRequest.body = body.dump();
    return exchange(std::move(httpRequest));
}

void cluster::appendNote(const json& note)
{
    const std::string records[] { platform::detail::encodeStreamRecord(wallNow().time_since_epoch().count(), note.dump()) };
    http_request httpRequest;
    httpRequest.method = "POST";
    httpRequest.url = "http://" + m_logAddress + "/v1/log-append?topic=configuration&part=0";
    httpRequest.body = platform::detail::encodeRecords(records);
    exchange(std::move(httpRequest));
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
            "all targets to become usable");
    }
}

std::shared_ptr<sent_request> cluster::send(const request_spec& request)
{
    http_request httpRequest;
    httpRequest.method = "POST";
    httpRequest.url = "http://" + m_entryAddresses.at(static_cast<size_t>(request.entry)) + "/v1/pipelines/" + request.pipeline;
    httpRequest.body = json { { "input", request.input }, { "stream", request.isStreamed } }.dump();
    httpRequest.headers.emplace_back("Bilberryseam-Account", request.account);
    if (!request.key.empty())
        httpRequest.headers.emplace_back("Idempotency-Key", request.key);
    if (request.deadlineMs != 0)
        httpRequest.headers.emplace_back("Bilberryseam-Deadline-Ms", std::to_string(request.deadlineMs));
    const auto call = std::make_shared<sent_request>();
    http_client::on_chunk onChunk;
    if (request.isStreamed)
        onChunk = [raw = call.get()](std::string_view bytes) { raw->stream.append(bytes); };
    call->handle = m_http.send(
        httpRequest, [raw = call.get()](http_response reply) {
            raw->reply = std::move(reply);
            raw->isDone = true;
        },
        std::move(onChunk));
    return call;
}

std::shared_ptr<sent_request> cluster::sendAndWait(const request_spec& request)
{
    const auto call = send(request);
    waitUntil([&] { return call->isDone; }, "a response");
    return call;
}

void cluster::switchFakes(const json& switches)
{
    post(m_controlAddress, "/switch", switches);
}

json cluster::fakeCounts()
{
    return get(m_controlAddress, "/counts");
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

std::string newIdempotencyKey(const std::string& text)
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
