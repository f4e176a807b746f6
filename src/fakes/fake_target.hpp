/// Stand-in for a model engine, a stage pool or a plain service, with switches for its failures.
#pragma once

#include "loop/http.hpp"
#include "loop/timer.hpp"

#include <map>
#include <set>

namespace bilberryseam::fakes {

enum class target_kind {
    Engine,
    Encoder,
    Retriever,
    Reranker,
    Plain,
};

/// How a target behaves, and what it does wrong at present.
struct target_behaviour {
    /// Time before the answer, or before the first token.
    milliseconds latency { 0 };
    /// Time between two tokens; zero sends all at once.
    milliseconds tokenTime { 0 };
    /// Takes calls and never answers.
    bool isFrozen = false;
    /// Calls that are run but whose answers are lost.
    uint32_t lostResponses = 0;
    /// Calls that are answered with this status; zero for none.
    unsigned failureStatus = 0;
    /// Stops in the middle of a stream after this many tokens; zero for never.
    uint32_t cutAfterTokens = 0;
    /// A request whose body holds this text kills the target.
    std::string poison;
    /// Refuses orders with an old fencing number.
    bool checksFencingToken = false;
    /// Orders that are obeyed but whose answers are lost, and orders that are forgotten.
    uint32_t lostOrderResponses = 0;
    uint32_t ignoredOrders = 0;
    /// How long the target is away after it was killed.
    milliseconds restartTime { 500 };
};

/// One target on one port.
class fake_target {
public:
    fake_target(std::string name, target_kind kind, ip_endpoint listen, target_behaviour behaviour);
    ~fake_target();

    /// Reads switches from JSON; keys are those of `target_behaviour`.
    void applySwitches(const nlohmann::json& changes);

    [[nodiscard]] nlohmann::json counts() const;
    [[nodiscard]] const std::string& name() const noexcept { return m_name; }

private:
    struct stream;

    static void handle(SoupServer* server, SoupServerMessage* message, const char* path, GHashTable* query, gpointer self);
    void startServer();
    void handleCall(SoupServerMessage* message);
    void crash();
    void respond(SoupServerMessage* message, const nlohmann::json& request);
    nlohmann::json outputFor(const nlohmann::json& request) const;
    void startStream(SoupServerMessage* message, const nlohmann::json& request);
    void sendTokens(stream& open, uint32_t count);
    void onStreamFinished(stream* finishedStream);
    void recordRun(SoupServerMessage* message);
    void reportModels(SoupServerMessage* message);
    void handleOrder(SoupServerMessage* message);

    std::string m_name;
    target_kind m_kind;
    ip_endpoint m_listen;
    target_behaviour m_behaviour;
    gobject_ptr<SoupServer> m_server;
    timer m_restartTimer;
    /// Versions by model name.
    std::map<std::string, std::string> m_models;
    uint64_t m_fencingToken = 0;
    nlohmann::json m_orders = nlohmann::json::array();
    std::map<stream*, std::unique_ptr<stream>> m_streams;
    std::map<std::string, uint32_t> m_runsByKey;
    std::map<std::string, uint32_t> m_runsByRequest;
    uint64_t m_runs = 0;
    uint64_t m_cancelled = 0;
    uint64_t m_crashes = 0;
    uint32_t m_running = 0;
    uint32_t m_maxRunning = 0;
};
}
