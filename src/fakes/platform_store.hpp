/// Stand-in for the platform's metadata store: topics, keyed or not, that are read, followed and appended to.
#pragma once

#include "http1/server.hpp"

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace bilberryseam::fakes {

/// What the store does wrong at present.
struct store_faults {
    /// Connections are reset.
    bool isDown = false;
    /// Requests are never answered.
    bool isUnresponsive = false;
    /// Status of all answers; zero for none.
    unsigned status = 0;
    /// Delay before each answer.
    milliseconds delay { 0 };
    /// Appends that are executed but whose answers are lost.
    uint32_t lostAppendResponses = 0;
    /// Appends that are refused with 503.
    uint32_t refusedAppends = 0;
};

/// Topics in memory.
class platform_store {
public:
    explicit platform_store(const ip_endpoint& listen);

    /// Sets a key; an empty value drops it.
    void put(const std::string& topic, const std::string& key, const std::string& value);
    /// Deletes the history of a topic; the newest record of each key stays.
    void truncateHistory(const std::string& topic);
    void setFaults(store_faults faults) { m_faults = faults; }

    /// Reads switches from JSON: `down`, `delayMs`, `lostAppendAnswers`, `refusedAppends`, `trim` (topic and the offset
    /// before which records go) and `put` (topic, key and value).
    void applySwitches(const nlohmann::json& changes);

    /// @return The calls so far and the offsets of each topic.
    [[nodiscard]] nlohmann::json counts() const;

    /// @return The newest value of a key, or an empty text.
    [[nodiscard]] std::string newest(const std::string& topic, const std::string& key) const;
    [[nodiscard]] size_t readCount() const noexcept { return m_reads; }

private:
    struct topic {
        /// Offset of the first record that is kept.
        uint64_t firstOffset = 0;
        std::deque<std::string> records;
        /// Empty unless the topic is keyed.
        std::map<std::string, std::string> newest;
        [[nodiscard]] uint64_t endOffset() const { return firstOffset + records.size(); }
    };
    struct waiting_read {
        std::shared_ptr<http1::exchange> exchange;
        std::string topic;
        uint64_t from = 0;
        size_t maxBytes = 0;
        time_point deadline {};
    };
    struct delayed_response {
        timer sendTimer;
        std::shared_ptr<http1::exchange> exchange;
        unsigned status = 0;
        std::string body;
    };

    void handleRequest(std::shared_ptr<http1::exchange> exchange);
    void respondWithNewest(std::shared_ptr<http1::exchange> exchange, const topic& topic);
    void read(std::shared_ptr<http1::exchange> exchange, const std::string& name);
    void append(std::shared_ptr<http1::exchange> exchange, const std::string& name);
    void respondToRead(std::shared_ptr<http1::exchange> exchange, const topic& topic, uint64_t from, size_t maxBytes);
    void respond(std::shared_ptr<http1::exchange> exchange, unsigned status, std::string body);
    void completeWaitingReads();
    void addRecord(const std::string& name, std::string record);
    static void trim(topic& topic, uint64_t before);

    std::map<std::string, topic> m_topics;
    std::vector<waiting_read> m_waitingReads;
    std::vector<std::shared_ptr<http1::exchange>> m_unanswered;
    std::vector<std::unique_ptr<delayed_response>> m_delayedResponses;
    store_faults m_faults;
    size_t m_reads = 0;
    size_t m_appends = 0;
    timer m_waitTimer;
    http1::server m_server;
};
}
