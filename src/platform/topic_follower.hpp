/// Follows a keyed topic of the platform's store: the newest record of each key, then each change.
#pragma once

#include "http1/client.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace bilberryseam::platform {

/// How a topic is followed.
struct follow_options {
    /// How long the store may hold a read until there is something; zero answers at once.
    milliseconds wait { 0 };
    /// Pause between two reads.
    milliseconds period { 0 };
    /// Longest wait for an answer, beyond `wait`.
    milliseconds timeout { 1500 };
};

/// A change of one key. Without a value, the key was dropped.
struct keyed_record {
    std::string key;
    std::optional<std::string> value;
};

/// Who is told.
struct follow_callbacks {
    /// The newest value of each key; keys that are not in it are gone.
    std::function<void(std::map<std::string, std::string>)> onSnapshot;
    std::function<void(const keyed_record&)> onRecord;
    /// A read was answered: all that the store had acknowledged when the read was sent is known.
    std::function<void(time_point sentAt)> onContact;
    /// A read failed for the given reason.
    std::function<void(std::string_view why)> onFailure;
};

/// Reads a topic for as long as it lives.
class topic_follower {
public:
    topic_follower(http1::client& client, ip_endpoint store, std::string topic, follow_options options, follow_callbacks calls);

    /// Uses another address of the store from the next read on.
    void setStore(ip_endpoint store) { m_store = std::move(store); }

    /// Reads now instead of after the pause.
    void wake();

private:
    void readNewest(const std::string& after);
    void takeNewest(std::string_view body);
    void readTail();
    void takeTail(std::string_view body);
    void get(std::string target, milliseconds timeout, std::function<void(unsigned, std::string_view)> done);
    void fail(std::string_view why);
    void next(milliseconds delay);

    http1::client& m_client;
    ip_endpoint m_store;
    std::string m_topic;
    follow_options m_options;
    follow_callbacks m_calls;
    std::optional<uint64_t> m_offset;
    std::map<std::string, std::string> m_page;
    std::optional<uint64_t> m_pageEnd;
    time_point m_sentAt {};
    unsigned m_failures = 0;
    std::shared_ptr<http1::client_call> m_call;
    unsigned m_status = 0;
    std::string m_body;
    timer m_timer;
};

/// Sets one key of a keyed topic. Dropping the handle forgets the answer.
/// @param value   The new value; empty drops the key.
/// @param onEnd   Told whether the store has acknowledged it.
[[nodiscard]] std::shared_ptr<http1::client_call> putKey(http1::client& client, const ip_endpoint& store, std::string_view topic, std::string_view key, std::string_view value, std::function<void(bool isAcknowledged)> onEnd);

namespace detail {
    /// @return A record of a keyed topic, as an append sends it.
    [[nodiscard]] std::string encodeRecord(std::string_view key, std::string_view value);
    /// @return The records of a read's answer, or nothing if it is malformed.
    [[nodiscard]] std::optional<std::vector<keyed_record>> decodeRead(std::string_view body);
    /// @return The bytes of a base64 text, or nothing if it is malformed.
    [[nodiscard]] std::optional<std::string> decodeBase64(const std::string& text);
}
}
