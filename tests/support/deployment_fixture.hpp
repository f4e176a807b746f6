/// Gateway processes in front of a fake platform that runs in the main loop of the test.
#pragma once

#include "fakes/platform_engine.hpp"
#include "fakes/platform_store.hpp"
#include "fakes/platform_target.hpp"
#include "http1/client.hpp"
#include "loop/gobject_ptr.hpp"

#include <functional>
#include <gio/gio.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace bilberryseam::tests {

/// A request of a caller and its response.
struct caller_exchange {
    std::shared_ptr<http1::client_call> call;
    http1::response_head head;
    std::string body;
    bool hasHead = false;
    bool isFinished = false;
    http1::call_outcome outcome = http1::call_outcome::NoResponse;

    [[nodiscard]] std::string header(std::string_view name) const { return std::string(http1::findHeader(head.headers, name).value_or("")); }
};

using caller_ptr = std::shared_ptr<caller_exchange>;

/// Ports, fakes and gateway processes of one test.
class deployment_fixture {
public:
    /// @param slot  Selects the port range; each test needs its own, from 160 on, because tests run at the same time.
    explicit deployment_fixture(int slot);
    ~deployment_fixture();

    [[nodiscard]] ip_endpoint allocateAddress();
    /// Sets the store address for gateways started afterwards, such as the address of a fake link.
    void setStoreAddress(const ip_endpoint& address) { m_storeAddress = address; }
    [[nodiscard]] const ip_endpoint& storeAddress() const noexcept { return m_storeAddress; }
    fakes::platform_store& store() { return *m_store; }

    /// Starts a target and lists it in the store.
    /// @param version  Software version in its record, of any type; null for a record without one.
    fakes::platform_target& addTarget(const std::string& id, const std::string& service, const std::string& domain = "north-1", const nlohmann::json& version = "v1");
    /// @param startedAtMs  Start of the target in Unix milliseconds; not set for a record without it.
    void listTarget(const fakes::platform_target& target, const std::string& service, const std::string& state = "ready", const std::string& domain = "north-1", const nlohmann::json& version = "v1", std::optional<int64_t> startedAtMs = std::nullopt);
    /// Restarts an engine under its identifier and address with another software version.
    /// @param recordDelay  Time from its start until its record in the store names the start and the version.
    void restartEngine(fakes::platform_engine& engine, const std::string& service, const std::string& version, milliseconds recordDelay);
    /// Writes the record of a listed target again, with other or further fields.
    void changeRecord(const std::string& id, const nlohmann::json& changes);
    void unlistTarget(const std::string& id) { m_store->put("keyed.servers", id, ""); }

    /// @return A route for the configuration; `changes` override or add fields.
    [[nodiscard]] static nlohmann::json route(const std::string& prefix, const std::string& kind, const std::string& service, const nlohmann::json& changes = nlohmann::json::object());
    /// Writes a configuration with these routes and services to the store.
    /// @param limitChanges  Override the limits of the configuration.
    void configure(int version, nlohmann::json routes, nlohmann::json services = nlohmann::json::array(), nlohmann::json tenants = nullptr, const nlohmann::json& limitChanges = nlohmann::json::object());

    /// Starts a gateway.
    /// @return Its index.
    /// @param changes  Merged into its settings.
    size_t startGateway(const nlohmann::json& bounds = nlohmann::json::object(), const nlohmann::json& changes = nlohmann::json::object());
    /// Starts a gateway that has exited again, with the same addresses and settings file.
    void restartGateway(size_t gateway);
    void waitUntilReady(size_t gateway = 0);
    [[nodiscard]] bool isReady(size_t gateway = 0);
    void signal(size_t gateway, int number);
    /// Merges `changes` into the settings file of a gateway.
    void changeSettings(size_t gateway, const nlohmann::json& changes) const;
    /// Replaces the content of a gateway's settings file.
    void writeSettings(size_t gateway, const std::string& text) const;
    /// @return The process identifier of a running gateway.
    [[nodiscard]] std::string processId(size_t gateway) const { return g_subprocess_get_identifier(m_gateways[gateway].process.get()); }
    [[nodiscard]] bool hasExited(size_t gateway) const;
    [[nodiscard]] std::string logOf(size_t gateway) const;
    [[nodiscard]] std::string metricsOf(size_t gateway);
    [[nodiscard]] const ip_endpoint& listenAddress(size_t gateway) const { return m_gateways[gateway].listen; }

    [[nodiscard]] const ip_endpoint& operatorAddress(size_t gateway) const { return m_gateways[gateway].operatorListen; }
    [[nodiscard]] const ip_endpoint& peerAddress(size_t gateway) const { return m_gateways[gateway].peerListen; }
    /// Sends a GET request to the operator port of a gateway.
    caller_ptr sendToOperator(const std::string& target, size_t gateway = 0);

    /// Sends a request to a gateway.
    caller_ptr send(const std::string& method, const std::string& target, http1::header_list headers = {}, const std::string& body = "", size_t gateway = 0);
    /// Sends a request and waits for its end.
    caller_ptr sendAndWait(const std::string& method, const std::string& target, http1::header_list headers = {}, const std::string& body = "", size_t gateway = 0);

    /// Runs the loop until the condition holds; fails the test after `waitTimeout`.
    void waitUntil(const std::function<bool()>& condition, const char* description);
    /// Runs the loop for a time, to check that something does not happen.
    void runLoopFor(milliseconds time);

private:
    struct gateway_process {
        ip_endpoint listen;
        ip_endpoint operatorListen;
        ip_endpoint peerListen;
        gobject_ptr<GSubprocess> process;
        std::string logPath;
        std::string settingsPath;
    };
    void spawn(gateway_process& gateway);

    std::string m_directory;
    std::string m_host;
    int m_nextPort;
    http1::client m_client;
    ip_endpoint m_storeAddress;
    std::unique_ptr<fakes::platform_store> m_store;
    std::vector<std::unique_ptr<fakes::platform_target>> m_targets;
    std::vector<std::unique_ptr<timer>> m_lateRecords;
    std::vector<gateway_process> m_gateways;
    uint64_t m_nextId = 1;
};
}
