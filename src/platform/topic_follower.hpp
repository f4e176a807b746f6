/// Follows a keyed topic of the platform's store: the newest record of each key, then each change.
#pragma once

#include "loop/timer.hpp"
#include "platform/store_client.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace bilberryseam::platform {

/// How a topic is followed.
struct follow_options {
    /// How long the store may hold a read until there is something; zero answers at once.
    milliseconds longPollWait { 0 };
    /// Pause between two reads.
    milliseconds pause { 0 };
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
    /// A read was answered: all that the store had acknowledged at the given time is known.
    std::function<void(time_point freshAsOf)> onReadSuccess;
    /// A read failed for the given reason.
    std::function<void(std::string_view why)> onReadFailure;
};

/// Reads a topic for as long as it lives.
class topic_follower {
public:
    topic_follower(store_client& store, std::string topic, follow_options options, follow_callbacks calls);

    /// Reads now instead of after the pause.
    void readNow();

private:
    void readNewest(const std::string& after);
    void takeNewest(newest_page page);
    void readTail();
    void takeTail(const topic_read_result& slice, milliseconds held);
    /// @return How long the next read may take; short while the store is away.
    [[nodiscard]] read_timeouts waitOfNext() const noexcept;
    void fail(std::string_view why);
    void next(milliseconds delay);

    store_client& m_store;
    std::string m_topic;
    follow_options m_options;
    follow_callbacks m_calls;
    /// Where the next read of changes begins, at the store that `m_offsetOf` names; without it, the newest records are read.
    std::optional<uint64_t> m_offset;
    ip_endpoint m_offsetOf;
    std::map<std::string, std::string> m_page;
    std::optional<uint64_t> m_pageEnd;
    time_point m_sentAt {};
    unsigned m_failures = 0;
    store_call m_call;
    timer m_timer;
};

/// Sets one key of a keyed topic. Dropping the handle forgets the answer.
/// @param value   The new value; empty drops the key.
/// @param onEnd   Told whether the store has acknowledged it.
[[nodiscard]] store_call putKey(store_client& store, std::string_view topic, std::string_view key, std::string_view value, std::function<void(bool isAcknowledged)> onEnd);

namespace detail {
    /// @return The time up to which a read tells all that the store had acknowledged: when it was sent, or, if the store
    /// has held it to the end without a record, when that end came at the earliest.
    [[nodiscard]] time_point freshAsOf(time_point sentAt, time_point answeredAt, milliseconds held, bool isEmpty) noexcept;
    /// @return A record of a keyed topic; an empty value drops the key.
    [[nodiscard]] std::string encodeKeyedRecord(std::string_view key, std::string_view value);
    /// @return The key and value of a record; an empty key if the record is unreadable.
    [[nodiscard]] keyed_record decodeKeyedRecord(std::string_view record);
}
}
