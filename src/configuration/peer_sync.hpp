/// Spreading of the configuration between daemons over the links they already have, without any I/O.
#pragma once

#include "base/identifier.hpp"
#include "base/time.hpp"
#include "configuration/fold.hpp"

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bilberryseam::configuration {

/// How long a peer may take to send the records it announced before another one is asked.
constexpr milliseconds pullTimeout { 500 };

/// Most bytes of records that a daemon keeps for peers that are behind.
constexpr size_t maxWindowBytes = 4 * 1024 * 1024;

/// Most bytes of records in one answer.
constexpr size_t maxCatchUpBytes = 1024 * 1024;

/// The latest records, kept for peers that are behind.
struct record_window {
    std::deque<log_record> records;
    size_t bytes = 0;
};

/// Adds a record that was just applied; drops the oldest ones over the limit.
void appendRecord(record_window& window, log_record record);

/// Starts anew, after a snapshot was adopted.
void clearRecords(record_window& window) noexcept;

/// What a peer at some offset is missing.
struct catch_up {
    /// The peer is further behind than the window reaches, so it needs a snapshot first.
    bool needsSnapshot = false;
    std::vector<log_record> records;
};

/// @return The records from `peerOffset` on, as far as one answer may hold.
[[nodiscard]] catch_up recordsSince(const record_window& window, uint64_t ownOffset, uint64_t peerOffset);

/// What is known of the peers, and the request under way.
struct peer_sync_state {
    uint64_t ownOffset = 0;
    std::unordered_map<identifier, uint64_t> peerOffsets;
    struct pull {
        identifier peer;
        time_point since;
    };
    std::optional<pull> pending;
};

enum class peer_sync_action_kind {
    /// Tell the peer the own offset.
    Announce,
    /// Ask the peer for the records from the own offset on.
    Pull,
    /// Send the peer the records from its offset on.
    SendRecords,
};

/// Something to send to a peer.
struct peer_sync_action {
    identifier peer;
    peer_sync_action_kind kind;
    uint64_t fromOffset = 0;
};

/// A link to a peer is ready.
[[nodiscard]] std::vector<peer_sync_action> onPeerAttached(peer_sync_state& sync, identifier peer);

/// A link is gone for good.
void onPeerDisconnected(peer_sync_state& sync, identifier peer);

/// A peer told its offset.
[[nodiscard]] std::vector<peer_sync_action> onPeerOffset(peer_sync_state& sync, identifier peer, uint64_t offset, bool requestsRecords, time_point now);

/// The own offset moved on, by the log or by a peer.
[[nodiscard]] std::vector<peer_sync_action> onOffsetAdvanced(peer_sync_state& sync, uint64_t ownOffset, time_point now);

/// Asks another peer if the one asked did not answer. Call it a few times a second.
[[nodiscard]] std::vector<peer_sync_action> onTick(peer_sync_state& sync, time_point now);
}
