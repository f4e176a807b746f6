/// Fake of the platform's metadata store: keyed and plain topics that can be read, followed and appended to.
#pragma once

#include "http1/server.hpp"

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bilberryseam::fakes {

/// Faults that the store currently injects.
struct store_faults {
    /// Closes connections without a response.
    bool isDown = false;
    /// Accepts requests and never responds.
    bool isUnresponsive = false;
    /// Status of the responses to all requests; zero for normal responses.
    unsigned status = 0;
    /// Delay before each response.
    milliseconds delay { 0 };
    /// Number of appends that are executed and then closed without a response.
    uint32_t lostAppendResponses = 0;
    /// Number of reads that get a response without a length, which ends with its connection after the first record.
    uint32_t truncatedReads = 0;
    /// Number of appends that are refused with status 503.
    uint32_t refusedAppends = 0;
    /// Topics whose calls get status 503, as if only their partitions were down.
    std::set<std::string> refusedTopics = {};
};

/// In-memory store that listens on one port.
class platform_store {
public:
    explicit platform_store(const ip_endpoint& listen);

    /// Sets a key; an empty value removes it.
    void put(const std::string& topic, const std::string& key, const std::string& value);
    /// Returns from an older copy that lacks the newest records of a topic: the era rises, and their offsets are given out again.
    void restoreOlderCopy(const std::string& topic, size_t lostRecords);
    /// States an era in each response from now on, as a store does that may return from a copy.
    void setEra(uint64_t era) { m_era = era; }
    /// Keeps a copy of all topics.
    void keepCopy() { m_copy = m_topics; }
    /// Returns from the copy: the era rises, and what was written since is gone.
    void returnFromCopy();
    /// Removes the records of a topic; the newest value of each key stays available.
    void truncateHistory(const std::string& topic);
    void setFaults(store_faults faults) { m_faults = std::move(faults); }

    /// Changes faults and content as given in JSON: `down`, `delayMs`, `lostAppendAnswers`, `refusedAppends`, `trim` (topic
    /// and the offset before which records are removed) and `put` (topic, key and value). Missing keys keep their values.
    void applySwitches(const nlohmann::json& changes);

    /// @return Numbers of appends and reads, and the first and end offset of each topic.
    [[nodiscard]] nlohmann::json counts() const;

    /// @return The newest value of a key, or an empty string.
    [[nodiscard]] std::string newest(const std::string& topic, const std::string& key) const;
    [[nodiscard]] size_t readCount() const noexcept { return m_reads; }

private:
    struct topic {
        /// Offset of the first record that is still stored.
        uint64_t firstOffset = 0;
        std::deque<std::string> records;
        /// Newest value by key; empty unless the topic is keyed.
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
    [[nodiscard]] http1::header_list headers() const;
    void respond(std::shared_ptr<http1::exchange> exchange, unsigned status, std::string body);
    void completeWaitingReads();
    void addRecord(const std::string& name, std::string record);
    static void trim(topic& topic, uint64_t before);

    std::map<std::string, topic> m_topics;
    std::map<std::string, topic> m_copy;
    std::vector<waiting_read> m_waitingReads;
    std::vector<std::shared_ptr<http1::exchange>> m_unansweredExchanges;
    std::vector<std::unique_ptr<delayed_response>> m_delayedResponses;
    store_faults m_faults;
    /// Sent with each response unless it is zero.
    uint64_t m_era = 0;
    size_t m_reads = 0;
    size_t m_appends = 0;
    timer m_waitTimer;
    http1::server m_server;
};
}
