#include "wire/session_state.hpp"

#include "wire/codec.hpp"

namespace bilberryseam::wire {

const std::string& appendFrame(session_state& state, std::vector<message> messages)
{
    const uint64_t sequence = state.nextSequence++;
    std::string bytes = encodeFrame({ sequence, state.received, false, std::move(messages) });
    state.unacknowledgedBytes += bytes.size();
    state.unacknowledged.push_back({ sequence, std::move(bytes) });
    return state.unacknowledged.back().bytes;
}

frame_verdict acceptFrame(session_state& state, const frame& arrived)
{
    if (!acknowledge(state, arrived.acknowledged))
        return frame_verdict::FalseAcknowledgement;
    if (arrived.sequence == 0)
        return frame_verdict::Heartbeat;
    if (arrived.sequence <= state.received)
        return frame_verdict::Duplicate;
    if (arrived.sequence != state.received + 1)
        return frame_verdict::Gap;
    state.received = arrived.sequence;
    return frame_verdict::Deliver;
}

bool acknowledge(session_state& state, uint64_t sequence)
{
    if (sequence >= state.nextSequence)
        return false;
    while (!state.unacknowledged.empty() && state.unacknowledged.front().sequence <= sequence) {
        state.unacknowledgedBytes -= state.unacknowledged.front().bytes.size();
        state.unacknowledged.pop_front();
    }
    return true;
}
}
