/// Stand-in for the platform's metadata store: keyed topics that are read, followed and appended to.
#pragma once

#include "http1/server.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bilberryseam::fakes {

/// What the store does wrong at present.
struct store_faults {
    /// Connections are reset.
    bool isDown = false;
    /// Requests are never answered.
    bool isSilent = false;
    /// Status of all answers; zero for none.
    unsigned status = 0;
};

/// Topics in memory.
class platform_store {
public:
    explicit platform_store(const ip_endpoint& listen);

    /// Sets a key; an empty value drops it.
    void put(const std::string& topic, const std::string& key, const std::string& value);
    /// Deletes the history of a topic; the newest record of each key stays.
    void forgetHistory(const std::string& topic);
    void setFaults(store_faults faults) { m_faults = faults; }

    /// @return The newest value of a key, or an empty text.
    [[nodiscard]] std::string newest(const std::string& topic, const std::string& key) const;
    [[nodiscard]] size_t readCount() const noexcept { return m_reads; }

private:
    struct topic {
        /// Offset of the first record that is kept.
        uint64_t first = 0;
        std::deque<std::string> records;
        std::map<std::string, std::string> newest;
        [[nodiscard]] uint64_t end() const { return first + records.size(); }
    };
    struct waiting_read {
        std::shared_ptr<http1::exchange> exchange;
        std::string topic;
        uint64_t from = 0;
        time_point until {};
    };

    void take(std::shared_ptr<http1::exchange> exchange);
    void answerNewest(http1::exchange& exchange, const topic& topic);
    void read(std::shared_ptr<http1::exchange> exchange, const std::string& name);
    void append(http1::exchange& exchange, const std::string& name);
    void answerRead(http1::exchange& exchange, const topic& topic, uint64_t from);
    void answerWaiting();
    void addRecord(topic& topic, const std::string& key, const std::string& value);

    std::map<std::string, topic> m_topics;
    std::vector<waiting_read> m_waiting;
    std::vector<std::shared_ptr<http1::exchange>> m_unanswered;
    store_faults m_faults;
    size_t m_reads = 0;
    timer m_expiry;
    http1::server m_server;
};
}
