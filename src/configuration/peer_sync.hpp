/// Synchronization of configuration records between daemons over their existing links, without any I/O.
#pragma once

#include "base/identifier.hpp"
#include "base/time.hpp"
#include "configuration/fold.hpp"

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bilberryseam::configuration {

/// How long a peer may take to send the records it announced before they are pulled from another peer.
constexpr milliseconds pullTimeout { 500 };

/// Maximum bytes of records that a daemon keeps for peers that are behind.
constexpr size_t maxWindowBytes = 4 * 1024 * 1024;

/// Bytes of records after which a message takes no further record.
constexpr size_t maxCatchUpBytes = 1024 * 1024;

/// The latest records, kept for peers that are behind.
struct record_window {
    std::deque<log_record> records;
    size_t bytes = 0;
};

/// Adds a record that was just applied; removes the oldest ones over the limit.
void appendRecord(record_window& window, log_record record);

/// Removes all records, after a snapshot was applied.
void clearRecords(record_window& window) noexcept;

/// What a peer at a given offset lacks.
struct catch_up {
    /// The peer is further behind than the window reaches, so it needs a snapshot first.
    bool needsSnapshot = false;
    std::vector<log_record> records;
};

/// @return The records from `peerOffset` on, up to the limits of one message.
[[nodiscard]] catch_up recordsSince(const record_window& window, uint64_t ownOffset, uint64_t peerOffset);

/// The last reported offsets of the peers, and the pending pull.
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
    /// Send the own offset to the peer.
    Announce,
    /// Request the records from the own offset on.
    Pull,
    /// Send the peer the records from its offset on.
    SendRecords,
};

/// A message to send to a peer.
struct peer_sync_action {
    identifier peer;
    peer_sync_action_kind kind;
    uint64_t fromOffset = 0;
};

/// Handles a new connection to a peer.
[[nodiscard]] std::vector<peer_sync_action> onPeerAttached(peer_sync_state& sync, identifier peer);

/// Handles the end of a link to a peer.
void onPeerDisconnected(peer_sync_state& sync, identifier peer);

/// Handles an offset report of a peer.
[[nodiscard]] std::vector<peer_sync_action> onPeerOffset(peer_sync_state& sync, identifier peer, uint64_t offset, bool requestsRecords, time_point now);

/// Handles an advance of the own offset, by the log or by a peer.
[[nodiscard]] std::vector<peer_sync_action> onOffsetAdvanced(peer_sync_state& sync, uint64_t ownOffset, time_point now);

/// Starts a pull if none is pending, or from another peer if the pending one timed out. Call it a few times a second.
[[nodiscard]] std::vector<peer_sync_action> onTick(peer_sync_state& sync, time_point now);
}
