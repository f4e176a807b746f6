/// Stand-in for the platform's append-only log, with switches for its failures.
#pragma once

#include "loop/http.hpp"
#include "loop/timer.hpp"

#include <deque>
#include <map>

namespace bilberryseam::fakes {

/// What the log does wrong at present.
struct log_faults {
    /// Answers nothing; connections are closed.
    bool isDown = false;
    /// Delay before each answer.
    milliseconds delay { 0 };
    /// Appends that are taken but whose answers are lost.
    uint32_t lostAppendAnswers = 0;
    /// Appends that are refused with 503.
    uint32_t refusedAppends = 0;
};

/// Streams of records in memory.
class fake_log {
public:
    explicit fake_log(const ip_endpoint& listen);

    /// Reads switches from JSON: `down`, `delayMs`, `lostAppendAnswers`, `refusedAppends`, and `trim` (stream and offset).
    void control(const nlohmann::json& switches);

    [[nodiscard]] nlohmann::json counts() const;

private:
    struct record {
        int64_t appendedMs;
        std::string text;
    };
    struct stream {
        uint64_t start = 0;
        std::deque<record> records;
    };

    static void handle(SoupServer* server, SoupServerMessage* message, const char* path, GHashTable* query, gpointer self);
    void take(SoupServerMessage* message, const std::string& streamName, GHashTable* query);
    void answer(SoupServerMessage* message, unsigned status, const nlohmann::json& body);
    void append(SoupServerMessage* message, stream& target);
    void read(SoupServerMessage* message, const stream& target, GHashTable* query);

    gobject_ptr<SoupServer> m_server;
    std::map<std::string, stream> m_streams;
    log_faults m_faults;
    uint64_t m_appends = 0;
    uint64_t m_reads = 0;
};

/// Closes the connection of a message without an answer.
void dropConnection(SoupServerMessage* message);

/// Answers a message later with the status and body that the function gives then.
void answerLater(SoupServerMessage* message, milliseconds delay, std::function<std::pair<unsigned, nlohmann::json>()> function);
}
