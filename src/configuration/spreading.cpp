#include "configuration/spreading.hpp"

namespace bilberryseam::configuration {

namespace {
    /// @return A peer that is ahead, other than `except` if there is a choice.
    std::optional<identifier> peerAhead(const spreading_state& spreading, identifier except)
    {
        std::optional<identifier> best;
        uint64_t bestOffset = spreading.ownOffset;
        for (const auto& [peer, offset] : spreading.peerOffsets) {
            const bool isPreferred = !best || *best == except || (offset > bestOffset && peer != except);
            if (offset > spreading.ownOffset && isPreferred) {
                best = peer;
                bestOffset = offset;
            }
        }
        return best;
    }

    std::vector<spreading_action> pullFrom(spreading_state& spreading, std::optional<identifier> peer, time_point now)
    {
        if (!peer) {
            spreading.pending.reset();
            return {};
        }
        spreading.pending = spreading_state::pull { *peer, now };
        return { { *peer, spreading_action_kind::Pull, spreading.ownOffset } };
    }
}

void remember(record_window& window, log_record record)
{
    window.bytes += record.text.size();
    window.records.push_back(std::move(record));
    while (window.bytes > maxWindowBytes && window.records.size() > 1) {
        window.bytes -= window.records.front().text.size();
        window.records.pop_front();
    }
}

void forget(record_window& window) noexcept
{
    window.records.clear();
    window.bytes = 0;
}

catch_up recordsSince(const record_window& window, uint64_t ownOffset, uint64_t peerOffset)
{
    catch_up answer;
    if (peerOffset >= ownOffset)
        return answer;
    if (window.records.empty() || window.records.front().offset > peerOffset) {
        answer.needsSnapshot = true;
        return answer;
    }
    size_t bytes = 0;
    const size_t first = peerOffset - window.records.front().offset;
    for (size_t i = first; i < window.records.size() && (bytes < maxAnswerBytes && answer.records.size() < 1000); ++i) {
        bytes += window.records[i].text.size();
        answer.records.push_back(window.records[i]);
    }
    return answer;
}

std::vector<spreading_action> onPeerAttached(spreading_state& spreading, identifier peer)
{
    spreading.peerOffsets.try_emplace(peer, 0);
    return { { peer, spreading_action_kind::Announce, spreading.ownOffset } };
}

void onPeerGone(spreading_state& spreading, identifier peer)
{
    spreading.peerOffsets.erase(peer);
    if (spreading.pending && spreading.pending->peer == peer)
        spreading.pending.reset();
}

std::vector<spreading_action> onPeerOffset(spreading_state& spreading, identifier peer, uint64_t offset, bool wantsRecords, time_point now)
{
    spreading.peerOffsets[peer] = offset;
    if (offset > spreading.ownOffset)
        return spreading.pending ? std::vector<spreading_action> {} : pullFrom(spreading, peer, now);
    if (offset == spreading.ownOffset)
        return {};
    if (wantsRecords)
        return { { peer, spreading_action_kind::SendRecords, offset } };
    return { { peer, spreading_action_kind::Announce, spreading.ownOffset } };
}

std::vector<spreading_action> onAdvanced(spreading_state& spreading, uint64_t ownOffset, time_point now)
{
    spreading.ownOffset = ownOffset;
    std::vector<spreading_action> actions = pullFrom(spreading, peerAhead(spreading, {}), now);
    for (const auto& [peer, offset] : spreading.peerOffsets) {
        if (offset < ownOffset)
            actions.push_back({ peer, spreading_action_kind::Announce, ownOffset });
    }
    return actions;
}

std::vector<spreading_action> onTick(spreading_state& spreading, time_point now)
{
    if (!spreading.pending)
        return pullFrom(spreading, peerAhead(spreading, {}), now);
    if (now - spreading.pending->since < pullTimeout)
        return {};
    return pullFrom(spreading, peerAhead(spreading, spreading.pending->peer), now);
}
}
