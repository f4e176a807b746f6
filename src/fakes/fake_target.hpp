/// Fake of a model engine, a stage pool or a plain service, with configurable failures.
#pragma once

#include "loop/http.hpp"
#include "loop/timer.hpp"

#include <map>
#include <optional>
#include <random>
#include <set>

namespace bilberryseam::fakes {

enum class target_kind {
    Engine,
    Encoder,
    Retriever,
    Reranker,
    Plain,
};

/// One pause in each response, after which the target goes on. Length and place are drawn from a seed.
struct silence_behaviour {
    milliseconds shortest { 0 };
    /// Zero for no pause.
    milliseconds longest { 0 };
    /// Number of tokens that a stream sends first; drawn for each stream if empty.
    std::optional<uint32_t> afterTokens;
    /// The pause is inside the event that follows these tokens.
    bool isInsideEvent = false;
};

/// Timing of a target and the faults that it currently injects.
struct target_behaviour {
    /// Time before the response, or before the first token of a stream.
    milliseconds latency { 0 };
    /// Time between two tokens; zero sends all tokens at once.
    milliseconds tokenTime { 0 };
    /// Accepts calls and never responds.
    bool isFrozen = false;
    /// Number of calls that are run and then closed without a response.
    uint32_t lostResponses = 0;
    /// Status of the responses to all calls; zero for normal responses.
    unsigned failureStatus = 0;
    /// `Retry-After` of responses with `failureStatus`; empty for none.
    std::string retryAfter;
    /// Closes the connection of a stream after this many tokens; zero for never.
    uint32_t cutAfterTokens = 0;
    /// A request whose body contains this text crashes the target; empty for none.
    std::string poison;
    /// Refuses orders with an outdated fencing token.
    bool checksFencingToken = false;
    /// Number of orders that are executed and then closed without a response.
    uint32_t lostOrderResponses = 0;
    /// Number of orders that are confirmed but not executed.
    uint32_t ignoredOrders = 0;
    silence_behaviour silence;
    /// Time until the target listens again after a crash.
    milliseconds restartTime { 500 };
};

/// A target that listens on one port.
class fake_target {
public:
    fake_target(std::string name, target_kind kind, ip_endpoint listen, target_behaviour behaviour);
    ~fake_target();

    /// Changes the behaviour as given in JSON: `latencyMs`, `tokenMs`, `frozen`, `lostAnswers`, `failStatus`,
    /// `retryAfter`, `cutAfterTokens`, `checksFencing`, `lostOrderAnswers`, `forgottenOrders`, `poison`, `restartMs`; `die` crashes the
    /// target; `silence` is an object with `seed`, `minMs`, `maxMs`, `afterTokens` and `insideEvent`, null for none.
    /// Missing keys keep their values.
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
    void startTokens(stream& open);
    void sendTokens(stream& open, uint32_t count);
    /// @return Null if the message has no stream.
    [[nodiscard]] stream* findStream(const SoupServerMessage* message);
    void onBlockWritten(stream& open);
    /// @return The bytes to send before the pause; the rest of the event follows after it.
    std::string startSilence(stream& open, std::string bytes);
    [[nodiscard]] milliseconds drawSilence();
    void setSilence(const nlohmann::json& silence);
    void onStreamFinished(stream* finishedStream);
    void recordRun(SoupServerMessage* message);
    void reportModels(SoupServerMessage* message);
    void handleOrder(SoupServerMessage* message);

    std::string m_name;
    target_kind m_kind;
    ip_endpoint m_listen;
    target_behaviour m_behaviour;
    std::mt19937_64 m_random;
    gobject_ptr<SoupServer> m_server;
    timer m_restartTimer;
    /// Versions of the loaded models by name.
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
