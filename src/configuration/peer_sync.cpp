#include "configuration/peer_sync.hpp"

namespace bilberryseam::configuration {

namespace {
    /// @return A peer that is ahead; `except` only if no other is.
    std::optional<identifier> findPeerAhead(const peer_sync_state& sync, identifier except)
    {
        std::optional<identifier> best;
        uint64_t bestOffset = sync.ownOffset;
        for (const auto& [peer, offset] : sync.peerOffsets) {
            const bool isPreferred = !best || *best == except || (offset > bestOffset && peer != except);
            if (offset > sync.ownOffset && isPreferred) {
                best = peer;
                bestOffset = offset;
            }
        }
        return best;
    }

    std::vector<peer_sync_action> startPull(peer_sync_state& sync, std::optional<identifier> peer, time_point now)
    {
        if (!peer) {
            sync.pending.reset();
            return {};
        }
        sync.pending = peer_sync_state::pull { *peer, now };
        return { { *peer, peer_sync_action_kind::Pull, sync.ownOffset } };
    }
}

void appendRecord(record_window& window, log_record record)
{
    window.bytes += record.text.size();
    window.records.push_back(std::move(record));
    while (window.bytes > maxWindowBytes && window.records.size() > 1) {
        window.bytes -= window.records.front().text.size();
        window.records.pop_front();
    }
}

void clearRecords(record_window& window) noexcept
{
    window.records.clear();
    window.bytes = 0;
}

catch_up recordsSince(const record_window& window, uint64_t ownOffset, uint64_t peerOffset)
{
    catch_up catchUp;
    if (peerOffset >= ownOffset)
        return catchUp;
    if (window.records.empty() || window.records.front().offset > peerOffset) {
        catchUp.needsSnapshot = true;
        return catchUp;
    }
    size_t bytes = 0;
    const size_t first = peerOffset - window.records.front().offset;
    for (size_t i = first; i < window.records.size() && (bytes < maxCatchUpBytes && catchUp.records.size() < 1000); ++i) {
        bytes += window.records[i].text.size();
        catchUp.records.push_back(window.records[i]);
    }
    return catchUp;
}

std::vector<peer_sync_action> onPeerAttached(peer_sync_state& sync, identifier peer)
{
    sync.peerOffsets.try_emplace(peer, 0);
    return { { peer, peer_sync_action_kind::Announce, sync.ownOffset } };
}

void onPeerDisconnected(peer_sync_state& sync, identifier peer)
{
    sync.peerOffsets.erase(peer);
    if (sync.pending && sync.pending->peer == peer)
        sync.pending.reset();
}

std::vector<peer_sync_action> onPeerOffset(peer_sync_state& sync, identifier peer, uint64_t offset, bool requestsRecords, time_point now)
{
    sync.peerOffsets[peer] = offset;
    if (offset > sync.ownOffset)
        return sync.pending ? std::vector<peer_sync_action> {} : startPull(sync, peer, now);
    if (offset == sync.ownOffset)
        return {};
    if (requestsRecords)
        return { { peer, peer_sync_action_kind::SendRecords, offset } };
    return { { peer, peer_sync_action_kind::Announce, sync.ownOffset } };
}

std::vector<peer_sync_action> onOffsetAdvanced(peer_sync_state& sync, uint64_t ownOffset, time_point now)
{
    sync.ownOffset = ownOffset;
    std::vector<peer_sync_action> actions = startPull(sync, findPeerAhead(sync, {}), now);
    for (const auto& [peer, offset] : sync.peerOffsets) {
        if (offset < ownOffset)
            actions.push_back({ peer, peer_sync_action_kind::Announce, ownOffset });
    }
    return actions;
}

std::vector<peer_sync_action> onTick(peer_sync_state& sync, time_point now)
{
    if (!sync.pending)
        return startPull(sync, findPeerAhead(sync, {}), now);
    if (now - sync.pending->since < pullTimeout)
        return {};
    return startPull(sync, findPeerAhead(sync, sync.pending->peer), now);
}
}
