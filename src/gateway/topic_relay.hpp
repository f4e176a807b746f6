/// Lets the entries of a failure domain read the platform's store through one of them.
#pragma once

#include "platform/topic_follower.hpp"
#include "telemetry/metrics.hpp"
#include "wire/message.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace bilberryseam::gateway {

/// An entry that did not answer a query is not asked again for this long.
constexpr milliseconds silentReaderPause { 3000 };

class topic_relay {
public:
    struct callbacks {
        /// Sends a message to an entry.
        /// @return False if it is not connected.
        std::function<bool(std::string_view entry, wire::message message)> send;
        /// @return The entries of the own failure domain that should read the store, preferred one first; empty if each
        /// entry reads it.
        std::function<std::vector<std::string>()> readers;
    };

    topic_relay(metrics& metrics, std::string ownName, callbacks callbacks);

    /// @param follower  Must outlive the relay.
    void add(platform::topic_follower& follower);

    /// Handles a message of another entry.
    /// @param reply  Sends a response to it.
    /// @return False if it is about something else.
    [[nodiscard]] bool handle(const wire::message& message, const std::function<void(wire::message)>& reply, time_point now);

private:
    [[nodiscard]] bool ask(const wire::topic_query& query);
    void onFailure(const std::string& topic, std::string_view reason);
    [[nodiscard]] wire::topic_records answer(const wire::topic_query& query, time_point now);

    metrics& m_metrics;
    std::string m_ownName;
    callbacks m_callbacks;
    std::map<std::string, platform::topic_follower*, std::less<>> m_followers;
    /// The entry that was asked last, by topic.
    std::map<std::string, std::string, std::less<>> m_askedEntries;
    std::map<std::string, time_point, std::less<>> m_silentUntil;
};
}
