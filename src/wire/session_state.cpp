#include "wire/session_state.hpp"

#include "wire/codec.hpp"

namespace bilberryseam::wire {

const std::string& appendFrame(session_state& state, std::vector<message> messages)
{
    const uint64_t sequence = state.nextSequence++;
    std::string bytes = encodeFrame({ sequence, state.receivedSequence, false, std::move(messages) });
    state.unacknowledgedBytes += bytes.size();
    state.unacknowledgedFrames.push_back({ sequence, std::move(bytes) });
    return state.unacknowledgedFrames.back().bytes;
}

frame_verdict acceptFrame(session_state& state, const frame& receivedFrame)
{
    if (!acknowledge(state, receivedFrame.acknowledgedSequence))
        return frame_verdict::FalseAcknowledgement;
    if (receivedFrame.sequence == 0)
        return frame_verdict::Heartbeat;
    if (receivedFrame.sequence <= state.receivedSequence)
        return frame_verdict::Duplicate;
    if (receivedFrame.sequence != state.receivedSequence + 1)
        return frame_verdict::Gap;
    state.receivedSequence = receivedFrame.sequence;
    return frame_verdict::Deliver;
}

bool acknowledge(session_state& state, uint64_t sequence)
{
    if (sequence >= state.nextSequence)
        return false;
    while (!state.unacknowledgedFrames.empty() && state.unacknowledgedFrames.front().sequence <= sequence) {
        state.unacknowledgedBytes -= state.unacknowledgedFrames.front().bytes.size();
        state.unacknowledgedFrames.pop_front();
    }
    return true;
}
}
