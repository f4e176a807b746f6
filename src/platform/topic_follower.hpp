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
    std::function<void(std::string_view reason)> onReadFailure;
};

/// Reads a topic for as long as it lives.
class topic_follower {
public:
    topic_follower(store_client& store, std::string topic, follow_options options, follow_callbacks callbacks);

    /// Reads now instead of after the pause.
    void readNow();

private:
    void readSnapshotPage(const std::string& after);
    void handleSnapshotPage(newest_page page);
    void readChanges();
    void handleChanges(const topic_read_result& result, milliseconds longPollWait);
    /// @return How long the next read may take; short while the store is away.
    [[nodiscard]] read_timeouts nextReadTimeouts() const noexcept;
    void handleFailure(std::string_view reason);
    void scheduleRead(milliseconds delay);

    store_client& m_store;
    std::string m_topic;
    follow_options m_options;
    follow_callbacks m_callbacks;
    /// Where the next read of changes begins, at the store that `m_offsetOf` names; without it, the newest records are read.
    std::optional<uint64_t> m_offset;
    ip_endpoint m_offsetEndpoint;
    std::map<std::string, std::string> m_snapshot;
    std::optional<uint64_t> m_snapshotOffset;
    time_point m_sentAt {};
    unsigned m_consecutiveFailures = 0;
    store_call m_call;
    timer m_timer;
};

/// Sets one key of a keyed topic. Dropping the handle forgets the answer.
/// @param value   The new value; empty drops the key.
/// @param onEnd   Told whether the store has acknowledged it.
[[nodiscard]] store_call putKey(store_client& store, std::string_view topic, std::string_view key, std::string_view value, std::function<void(bool isAcknowledged)> onDone);

namespace detail {
    /// @return The time up to which a read tells all that the store had acknowledged: when it was sent, or, if the store
    /// has held it to the end without a record, when that end came at the earliest.
    [[nodiscard]] time_point freshAsOf(time_point sentAt, time_point answeredAt, milliseconds longPollWait, bool isEmpty) noexcept;
    /// @return A record of a keyed topic; an empty value drops the key.
    [[nodiscard]] std::string encodeKeyedRecord(std::string_view key, std::string_view value);
    /// @return The key and value of a record; an empty key if the record is unreadable.
    [[nodiscard]] keyed_record decodeKeyedRecord(std::string_view record);
}
}
