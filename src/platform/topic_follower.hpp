/// Follows a keyed topic of the platform's store: reads the newest record of each key, then every change.
#pragma once

#include "loop/timer.hpp"
#include "platform/store_client.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace bilberryseam::platform {

struct follow_options {
    /// How long the store may delay its response until there is a record; zero for an immediate response.
    milliseconds longPollWait { 0 };
    /// Pause between two reads.
    milliseconds pause { 0 };
    /// Timeout of a read, in addition to `longPollWait`.
    milliseconds timeout { 1500 };
};

/// A change of one key. The key was removed if there is no value.
struct keyed_record {
    std::string key;
    std::optional<std::string> value;
};

struct follow_callbacks {
    /// Called with the newest value of each key; all other keys were removed.
    std::function<void(std::map<std::string, std::string>)> onSnapshot;
    std::function<void(const keyed_record&)> onRecord;
    /// Called after the records of one read, if there were any. May be empty.
    std::function<void()> onRecordsApplied;
    /// Called after a successful read, before the callbacks for its records. Every record that the store had acknowledged at `freshAsOf` has been read.
    std::function<void(time_point freshAsOf)> onReadSuccess;
    /// Called after a failed read.
    std::function<void(std::string_view reason)> onReadFailure;
    /// @return True if a record changes nothing, such as a heartbeat, so that peers need not get it. May be empty.
    std::function<bool(const keyed_record&)> isRepetition;
};

/// A record and its offset.
struct numbered_record {
    uint64_t offset = 0;
    std::string bytes;
};

/// What a process that follows a topic tells a peer about it.
struct topic_extract {
    uint64_t era = noEra;
    uint64_t nextOffset = 0;
    /// Time since `freshAsOf` of the sender.
    milliseconds age { 0 };
    /// The sender does not have these records, or does not reach the store.
    bool isUnavailable = false;
    bool hasMore = false;
    std::vector<numbered_record> records;
};

/// A peer that may be asked for records in place of the store.
///
/// Load pattern: hundreds of processes read the same topics every second or two, and each call is paid for. One process of
/// a failure domain reads the store, the others ask it. Its responses state their age, so that no process trusts what is
/// older than it would have read itself; if the peer is silent or late, the store is read.
struct topic_peer {
    /// Sends a query; its number goes back with the response. Returns false if this process should read the store itself.
    std::function<bool(uint64_t number, uint64_t era, uint64_t offset)> ask;
    /// The peer did not respond in time, or cannot answer.
    std::function<void(std::string_view reason)> onFailure;
};

/// Follows a topic from its construction to its destruction.
class topic_follower {
public:
    topic_follower(store_client& store, std::string topic, follow_options options, follow_callbacks callbacks);

    /// Ends the current pause between reads; has no effect during a read.
    void readNow();

    /// Reads at once, on a new call if one is in progress, whose connection may have gone silent. The store is asked not to
    /// hold the response until there is a record.
    void restartRead();

    /// Makes the next read of changes one of the store, since what a peer tells leaves out repetitions.
    void readStoreNext() noexcept { m_mustReadStore = true; }

    [[nodiscard]] const std::string& topic() const noexcept { return m_topic; }
    /// @return Era of the store in which the newest records were read.
    [[nodiscard]] uint64_t era() const noexcept { return m_era; }

    /// From now on changes are read from a peer, if there is one.
    void setPeer(topic_peer peer) { m_peer = std::move(peer); }
    /// Handles the response to a query. The response to an earlier one is ignored: its age would be counted from a query that
    /// was sent after it.
    void handlePeer(const topic_extract& extract, uint64_t number);
    /// @return What this process knows of the records from an offset on.
    [[nodiscard]] topic_extract extractFrom(uint64_t era, uint64_t offset, time_point now);

private:
    /// @return True if the peer was asked.
    [[nodiscard]] bool askPeer();
    void onPeerFailure(std::string_view reason);
    void applyRecords(std::span<const numbered_record> records);
    void remember(const numbered_record& record);
    void forgetHistory(uint64_t nextOffset);
    /// Discards what belongs to another era of the store.
    /// @return True if the era has changed.
    [[nodiscard]] bool checkEra(uint64_t era);
    /// @return A part of the time between two reads.
    [[nodiscard]] milliseconds shareOfPeriod(milliseconds time, double share) const noexcept;
    [[nodiscard]] bool hasAskers() const noexcept;
    /// Reads the first page of a snapshot, or the next one of a snapshot in progress.
    void continueSnapshot();
    void readSnapshotPage(const std::string& after);
    void handleSnapshotPage(newest_page page);
    void readChanges();
    void handleChanges(const topic_read_result& result, milliseconds longPollWait);
    /// @return The timeouts of the next read; shorter while the store is unreachable.
    [[nodiscard]] read_timeouts nextReadTimeouts() const noexcept;
    void handleFailure(std::string_view reason);
    void scheduleRead(milliseconds delay);

    store_client& m_store;
    std::string m_topic;
    follow_options m_options;
    follow_callbacks m_callbacks;
    /// Offset of the next read of changes, valid for the store at `m_offsetEndpoint`. Without it, the newest records are read.
    std::optional<uint64_t> m_offset;
    ip_endpoint m_offsetEndpoint;
    /// Era of the store in which the offset was read.
    uint64_t m_era = noEra;
    uint64_t m_snapshotEra = noEra;
    topic_peer m_peer;
    bool m_isAskingPeer = false;
    uint64_t m_queryNumber = 0;
    /// The next read goes to the store.
    bool m_mustReadStore = false;
    /// The next read of changes uses no long poll.
    bool m_mustReadAtOnce = false;
    /// Time at which a peer last asked.
    time_point m_askedAt {};
    /// The newest records that change something, and the offset from which on they are complete.
    std::deque<numbered_record> m_history;
    size_t m_historyBytes = 0;
    uint64_t m_historyFrom = 0;
    /// The pages that were read of a snapshot in progress, the offset of the first one, and the last key of the last one.
    std::map<std::string, std::string> m_snapshot;
    std::optional<uint64_t> m_snapshotOffset;
    std::string m_snapshotLastKey;
    /// A call failed or was given up since the first page.
    bool m_isSnapshotResumed = false;
    time_point m_sentAt {};
    time_point m_freshAsOf {};
    unsigned m_consecutiveFailures = 0;
    store_call m_call;
    timer m_timer;
};

/// Sets one key of a keyed topic. No callback runs after the handle is destroyed.
/// @param value   The new value; an empty value removes the key.
/// @param onDone  Called with true if the store has acknowledged the change.
[[nodiscard]] store_call putKey(store_client& store, std::string_view topic, std::string_view key, std::string_view value, std::function<void(bool isAcknowledged)> onDone);

namespace detail {
    /// @return The time up to which a read includes every acknowledged record: the time at which it was sent, or, for a long
    /// poll that ended without a record, the earliest time at which its wait can have ended.
    [[nodiscard]] time_point freshAsOf(time_point sentAt, time_point respondedAt, milliseconds longPollWait, bool isEmpty) noexcept;
    /// @return A record of a keyed topic; an empty value removes the key.
    [[nodiscard]] std::string encodeKeyedRecord(std::string_view key, std::string_view value);
    /// @return The key and value of a record; the key is empty if the record is unreadable.
    [[nodiscard]] keyed_record decodeKeyedRecord(std::string_view record);
}
}
