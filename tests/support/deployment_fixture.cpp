#include "support/deployment_fixture.hpp"

#include "support/cluster.hpp"
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
    void endWithParent(gpointer)
    {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
    }
}

deployment_fixture::deployment_fixture(int slot)
    : m_directory(std::filesystem::temp_directory_path() / ("bilberryseam-deployment-" + std::to_string(getpid())))
    , m_host(hostOfSlot(slot))
    , m_nextPort(firstPortOfSlot(slot))
{
    std::signal(SIGPIPE, SIG_IGN);
    std::filesystem::create_directories(m_directory);
    m_storeAddress = allocateAddress();
    m_store = std::make_unique<fakes::platform_store>(m_storeAddress);
}

deployment_fixture::~deployment_fixture()
{
    for (auto& gateway : m_gateways)
        g_subprocess_force_exit(gateway.process.get());
    for (auto& gateway : m_gateways)
        g_subprocess_wait(gateway.process.get(), nullptr, nullptr);
    std::error_code ignored;
    std::filesystem::remove_all(m_directory, ignored);
}

ip_endpoint deployment_fixture::allocateAddress()
{
    return { m_host, static_cast<uint16_t>(m_nextPort++) };
}

fakes::platform_target& deployment_fixture::addTarget(const std::string& id, const std::string& service, const std::string& domain, const json& version)
{
    m_targets.push_back(std::make_unique<fakes::platform_target>(id, allocateAddress()));
    listTarget(*m_targets.back(), service, "ready", domain, version);
    return *m_targets.back();
}

void deployment_fixture::listTarget(const fakes::platform_target& target, const std::string& service, const std::string& state, const std::string& domain, const json& version, std::optional<int64_t> startedAtMs)
{
    json record { { "service", service }, { "address", target.endpoint().toString() }, { "zone", domain }, { "slots", 8 }, { "state", state }, { "cold_left_ms", 0 }, { "seq", 1 } };
    if (!version.is_null())
        record["version"] = version;
    if (startedAtMs)
        record["born"] = *startedAtMs;
    m_store->put("keyed.servers", target.id(), record.dump());
}

void deployment_fixture::changeRecord(const std::string& id, const json& changes)
{
    json record = json::parse(m_store->newest("keyed.servers", id));
    record["seq"] = record.at("seq").get<uint64_t>() + 1;
    record.update(changes);
    m_store->put("keyed.servers", id, record.dump());
}

void deployment_fixture::restartEngine(fakes::platform_engine& engine, const std::string& service, const std::string& version, milliseconds recordDelay)
{
    engine.restartAs(version, [this, &target = engine.target(), service, version, recordDelay] {
        const int64_t startedAtMs = wallNow().time_since_epoch().count();
        m_lateRecords.push_back(std::make_unique<timer>());
        m_lateRecords.back()->startOnce(recordDelay, [this, &target, service, version, startedAtMs] { listTarget(target, service, "ready", "north-1", version, startedAtMs); });
    });
}

json deployment_fixture::route(const std::string& prefix, const std::string& kind, const std::string& service, const json& changes)
{
    json route { { "name", "r" + prefix }, { "host", "shop.example" }, { "path_prefix", prefix }, { "kind", kind }, { "timeout_ms", 5000 }, { "target_latency_ms", 1000 }, { "priority", 1 }, { "service", service }, { "max_attempts", 2 }, { "public", false } };
    route.update(changes);
    return route;
}

void deployment_fixture::configure(int version, json routes, json services, json tenants, const json& limitChanges)
{
    json document { { "version", version }, { "routes", std::move(routes) }, { "services", std::move(services) },
        { "limits", { { "max_header_bytes", 8192 }, { "max_body_bytes", 100000 }, { "header_timeout_ms", 600 }, { "idle_timeout_ms", 3000 } } } };
    document["limits"].update(limitChanges);
    if (!tenants.is_null())
        document["tenants"] = std::move(tenants);
    m_store->put("keyed.op", "config", document.dump());
}

size_t deployment_fixture::startGateway(const json& bounds, const json& changes)
{
    gateway_process gateway;
    const std::string name = "gateway-" + std::to_string(m_gateways.size());
    gateway.listen = allocateAddress();
    gateway.operatorListen = allocateAddress();
    gateway.peerListen = allocateAddress();
    json settings { { "name", name }, { "region", "north" }, { "failureDomain", "north-1" }, { "listen", gateway.listen.toString() }, { "operatorListen", gateway.operatorListen.toString() },
        { "peerListen", gateway.peerListen.toString() }, { "store", m_storeAddress.toString() }, { "regions", { { "north-1", "north" }, { "south-1", "south" } } }, { "bounds", bounds } };
    settings.merge_patch(changes);
    const std::string path = m_directory + "/" + name + ".json";
    std::ofstream(path) << settings.dump();
    gateway.logPath = m_directory + "/" + name + ".log";
    gateway.settingsPath = path;
    spawn(gateway);
    m_gateways.push_back(std::move(gateway));
    return m_gateways.size() - 1;
}

void deployment_fixture::restartGateway(size_t gateway)
{
    // A new process writes from the start of an existing file and leaves the rest of it.
    std::error_code ignored;
    std::filesystem::remove(m_gateways[gateway].logPath, ignored);
    spawn(m_gateways[gateway]);
}

void deployment_fixture::spawn(gateway_process& gateway)
{
    const auto launcher = gobject_ptr<GSubprocessLauncher>::adopt(g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_NONE));
    g_subprocess_launcher_set_stdout_file_path(launcher.get(), gateway.logPath.c_str());
    g_subprocess_launcher_set_child_setup(launcher.get(), endWithParent, nullptr, nullptr);
    const std::string binary = std::string(BILBERRYSEAM_BINARIES) + "/bilberryseam-gateway";
    GError* spawnError = nullptr;
    gateway.process = gobject_ptr<GSubprocess>::adopt(g_subprocess_launcher_spawn(launcher.get(), &spawnError, binary.c_str(), "--settings", gateway.settingsPath.c_str(), "--log-format", "json", nullptr));
    cr_assert(gateway.process, "cannot start the gateway: %s", spawnError ? spawnError->message : "");
}

bool deployment_fixture::isReady(size_t gateway)
{
    const auto exchange = std::make_shared<caller_exchange>();
    http1::client_call::callbacks callbacks;
    callbacks.onHead = [exchange](const http1::response_head& head) { exchange->head = head; };
    callbacks.onEnd = [exchange](http1::call_outcome callOutcome) {
        exchange->outcome = callOutcome;
        exchange->isFinished = true;
    };
    exchange->call = m_client.send(m_gateways[gateway].operatorListen, { "GET", "/v1/ready", { { "Host", "gateway" } }, "" }, { true, milliseconds(500), milliseconds(1000) }, std::move(callbacks));
    waitUntil([&] { return exchange->isFinished; }, "a readiness response");
    return exchange->outcome == http1::call_outcome::Complete && exchange->head.status == 200;
}

void deployment_fixture::waitUntilReady(size_t gateway)
{
    waitUntil([&] { return isReady(gateway); }, "a gateway to become ready");
}

void deployment_fixture::signal(size_t gateway, int number)
{
    g_subprocess_send_signal(m_gateways[gateway].process.get(), number);
}

void deployment_fixture::changeSettings(size_t gateway, const json& changes) const
{
    json settings = json::parse(std::ifstream(m_gateways[gateway].settingsPath));
    settings.merge_patch(changes);
    writeSettings(gateway, settings.dump());
}

void deployment_fixture::writeSettings(size_t gateway, const std::string& text) const
{
    std::ofstream(m_gateways[gateway].settingsPath) << text;
}

bool deployment_fixture::hasExited(size_t gateway) const
{
    return !g_subprocess_get_identifier(m_gateways[gateway].process.get());
}

std::string deployment_fixture::logOf(size_t gateway) const
{
    std::ostringstream text;
    text << std::ifstream(m_gateways[gateway].logPath).rdbuf();
    return text.str();
}

caller_ptr deployment_fixture::sendToOperator(const std::string& target, size_t gateway)
{
    const auto exchange = std::make_shared<caller_exchange>();
    http1::client_call::callbacks callbacks;
    callbacks.onHead = [exchange](const http1::response_head& head) { exchange->head = head; };
    callbacks.onBody = [exchange](std::string_view bytes) { exchange->body.append(bytes); };
    callbacks.onEnd = [exchange](http1::call_outcome callOutcome) {
        exchange->outcome = callOutcome;
        exchange->isFinished = true;
    };
    exchange->call = m_client.send(m_gateways[gateway].operatorListen, { "GET", target, { { "Host", "gateway" } }, "" }, { true }, std::move(callbacks));
    return exchange;
}

std::string deployment_fixture::metricsOf(size_t gateway)
{
    const caller_ptr exchange = sendToOperator("/metrics", gateway);
    waitUntil([&] { return exchange->isFinished; }, "a metrics response");
    return exchange->body;
}

caller_ptr deployment_fixture::send(const std::string& method, const std::string& target, http1::header_list headers, const std::string& body, size_t gateway)
{
    const auto exchange = std::make_shared<caller_exchange>();
    if (!http1::findHeader(headers, "Host"))
        headers.emplace_back("Host", "shop.example");
    if (!http1::findHeader(headers, "X-Attempt-Id"))
        headers.emplace_back("X-Attempt-Id", "attempt-" + std::to_string(m_nextId++));
    if (!http1::findHeader(headers, "X-Deadline-Ms"))
        headers.emplace_back("X-Deadline-Ms", "4000");
    http1::client_call::callbacks callbacks;
    callbacks.onHead = [exchange](const http1::response_head& head) {
        exchange->head = head;
        exchange->hasHead = true;
    };
    callbacks.onBody = [exchange](std::string_view bytes) { exchange->body.append(bytes); };
    callbacks.onEnd = [exchange](http1::call_outcome callOutcome) {
        exchange->outcome = callOutcome;
        exchange->isFinished = true;
    };
    exchange->call = m_client.send(m_gateways[gateway].listen, { method, target, std::move(headers), body }, { true }, std::move(callbacks));
    return exchange;
}

caller_ptr deployment_fixture::sendAndWait(const std::string& method, const std::string& target, http1::header_list headers, const std::string& body, size_t gateway)
{
    const caller_ptr exchange = send(method, target, std::move(headers), body, gateway);
    waitUntil([&] { return exchange->isFinished; }, "a request to finish");
    return exchange;
}

void deployment_fixture::waitUntil(const std::function<bool()>& condition, const char* description)
{
    runUntil(condition, waitTimeout, description);
}

void deployment_fixture::runLoopFor(milliseconds time)
{
    runFor(time);
}
}
