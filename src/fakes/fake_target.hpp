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
    uint32_t lostAnswers = 0;
    /// Calls that are answered with this status; zero for none.
    unsigned failStatus = 0;
    /// Stops in the middle of a stream after this many tokens; zero for never.
    uint32_t cutAfterTokens = 0;
    /// A request whose body holds this text kills the target.
    std::string poison;
    /// Refuses orders with an old fencing number.
    bool checksFencing = false;
    /// Orders that are obeyed but whose answers are lost, and orders that are forgotten.
    uint32_t lostOrderAnswers = 0;
    uint32_t forgottenOrders = 0;
    /// How long the target is away after it was killed.
    milliseconds restartTime { 500 };
};

/// One target on one port.
class fake_target {
public:
    fake_target(std::string name, target_kind kind, ip_endpoint listen, target_behaviour behaviour);
    ~fake_target();

    /// Reads switches from JSON; keys are those of `target_behaviour`.
    void control(const nlohmann::json& switches);

    [[nodiscard]] nlohmann::json counts() const;
    [[nodiscard]] const std::string& name() const noexcept { return m_name; }

private:
    struct stream;

    static void handle(SoupServer* server, SoupServerMessage* message, const char* path, GHashTable* query, gpointer self);
    void open();
    void take(SoupServerMessage* message);
    void die();
    void answer(SoupServerMessage* message, const nlohmann::json& request);
    nlohmann::json outputFor(const nlohmann::json& request) const;
    void startStream(SoupServerMessage* message, const nlohmann::json& request);
    void sendTokens(stream& open, uint32_t count);
    void streamFinished(stream* ended);
    void countRun(SoupServerMessage* message);
    void reportModels(SoupServerMessage* message);
    void takeOrder(SoupServerMessage* message);

    std::string m_name;
    target_kind m_kind;
    ip_endpoint m_listen;
    target_behaviour m_behaviour;
    gobject_ptr<SoupServer> m_server;
    timer m_restart;
    /// Versions by model name.
    std::map<std::string, std::string> m_models;
    uint64_t m_fence = 0;
    nlohmann::json m_orders = nlohmann::json::array();
    std::map<stream*, std::unique_ptr<stream>> m_streams;
    std::map<std::string, uint32_t> m_runsByKey;
    std::map<std::string, uint32_t> m_runsByRequest;
    uint64_t m_runs = 0;
    uint64_t m_cancelled = 0;
    uint64_t m_deaths = 0;
    uint32_t m_running = 0;
    uint32_t m_mostRunning = 0;
};
}
