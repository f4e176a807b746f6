/// A small deployment of daemon processes on loopback, for tests that inject failures.
#pragma once

#include "base/endpoint.hpp"
#include "loop/http.hpp"

#include <functional>
#include <gio/gio.h>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace bilberryseam::tests {

/// Upper bound of any single wait. It is generous because no test asserts on speed.
constexpr milliseconds waitTimeout { 20000 };

/// A target of the deployment; each gets a side process of its own.
struct target_spec {
    std::string name;
    std::string service;
    /// Kind of the fake: engine, encoder, retriever, reranker, plain.
    std::string kind;
    std::string region = "north";
    uint32_t capacity = 8;
    /// Behaviour of the fake, with the keys of `fake_target::applySwitches`.
    nlohmann::json behaviour = nlohmann::json::object();
    bool isRetryable = true;
    uint32_t maxQueue = 64;
    /// Puts a fake link between the entries and the side.
    bool isBehindFakeLink = false;
};

/// Specification of a deployment.
struct cluster_spec {
    /// Selects the port range; each test needs its own, below 200, because tests run at the same time.
    int slot = 0;
    std::vector<target_spec> targets;
    nlohmann::json pipelines = nlohmann::json::array();
    int entries = 1;
    nlohmann::json accounts = nlohmann::json::array({ { { "name", "acme" } } });
    nlohmann::json policies = nlohmann::json::array();
    nlohmann::json entryLimits = nlohmann::json::object();
    nlohmann::json sideLimits = nlohmann::json::object();
    /// Platform settings added to those of all daemons.
    nlohmann::json platform = nlohmann::json::object();
    /// Waits in the constructor until every entry can use every target.
    bool isWaitingForTargets = true;
};

/// A sent request and its response.
struct sent_request {
    std::shared_ptr<void> handle;
    bool isDone = false;
    http_response reply;
    /// Bytes of a streamed response.
    std::string stream;

    /// @return The JSON body, or the data of the outcome event of a stream.
    [[nodiscard]] nlohmann::json outcome() const;
    /// @return The concatenated text of all output events.
    [[nodiscard]] std::string text() const;
    [[nodiscard]] std::string outcomeName() const { return outcome().value("outcome", ""); }
    [[nodiscard]] std::string reason() const { return outcome().value("reason", ""); }
};

/// Specification of a request to an entry.
struct request_spec {
    std::string pipeline;
    nlohmann::json input = { { "prompt", "hello" } };
    bool isStreamed = false;
    std::string key;
    std::string account = "acme";
    int deadlineMs = 0;
    int entry = 0;
};

/// A running deployment. Its destructor ends the processes.
class cluster {
public:
    explicit cluster(cluster_spec spec);
    ~cluster();

    [[nodiscard]] std::shared_ptr<sent_request> send(const request_spec& request);
    [[nodiscard]] std::shared_ptr<sent_request> sendAndWait(const request_spec& request);

    /// Runs the loop until the condition holds. Fails the test after `waitTimeout`.
    void waitUntil(const std::function<bool()>& condition, const char* description);

    /// Runs the loop for a time.
    void runFor(milliseconds time);

    [[nodiscard]] nlohmann::json get(const std::string& address, const std::string& path);
    nlohmann::json post(const std::string& address, const std::string& path, const nlohmann::json& body);

    void switchFakes(const nlohmann::json& switches);
    [[nodiscard]] nlohmann::json fakeCounts();
    [[nodiscard]] nlohmann::json targetCounts(const std::string& target);
    [[nodiscard]] nlohmann::json entryStatus(int entry = 0);
    [[nodiscard]] nlohmann::json sideStatus(const std::string& target);
    /// @return The sum of all series that start with the prefix; zero if there is none.
    [[nodiscard]] double metric(const std::string& operatorAddress, const std::string& prefix);
    [[nodiscard]] double entryMetric(const std::string& prefix, int entry = 0);

    /// Appends a release note to the log without any check.
    void appendNote(const nlohmann::json& note);

    /// Sends a signal to a process: `fake`, `entry-N` or `side-TARGET`.
    void signal(const std::string& process, int number);
    /// Kills a process and waits for its end.
    void kill(const std::string& process);
    void start(const std::string& process);
    [[nodiscard]] bool hasExited(const std::string& process) const;
    /// @return The process identifier of a running process.
    [[nodiscard]] std::string processId(const std::string& process) const { return g_subprocess_get_identifier(m_processes.at(process).get()); }
    void waitForTargets();

    [[nodiscard]] std::string entryOperator(int entry = 0) const { return m_entryOperators.at(static_cast<size_t>(entry)); }
    [[nodiscard]] std::string entryAddress(int entry = 0) const { return m_entryAddresses.at(static_cast<size_t>(entry)); }
    [[nodiscard]] std::string sideOperator(const std::string& target) const { return m_sideOperators.at(target); }
    [[nodiscard]] std::string sideAddress(const std::string& target) const { return m_sideAddresses.at(target); }
    [[nodiscard]] nlohmann::json firstNote() const { return m_firstNote; }
    [[nodiscard]] std::string logAddress() const { return m_logAddress; }

private:
    std::string allocateAddress();
    void writeSettings(const std::string& process, const nlohmann::json& settings);
    void addTarget(const target_spec& target, const nlohmann::json& platform);
    nlohmann::json exchange(http_request request);

    cluster_spec m_spec;
    int m_nextPort;
    std::string m_directory;
    http_client m_http;
    std::string m_controlAddress;
    std::string m_logAddress;
    nlohmann::json m_fakeSettings;
    nlohmann::json m_firstNote;
    std::vector<std::string> m_entryAddresses;
    std::vector<std::string> m_entryOperators;
    std::map<std::string, std::string> m_sideOperators;
    std::map<std::string, std::string> m_sideAddresses;
    std::map<std::string, gobject_ptr<GSubprocess>> m_processes;
};

/// @return An idempotency key issued now.
[[nodiscard]] std::string newIdempotencyKey(const std::string& text);

/// @return A pipeline with one stage per service; stages have the names of their services.
[[nodiscard]] nlohmann::json pipelineOf(const std::string& name, const std::vector<std::string>& services, int maxTokens = 16);

/// @return The words that the fake engine generates for a prompt.
[[nodiscard]] std::string wordsFor(const std::string& prompt, uint32_t count);
}
