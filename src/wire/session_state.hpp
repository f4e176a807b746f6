/// Numbering, acknowledging and resending of frames, without any I/O.
#pragma once

#include "wire/message.hpp"

#include <cstdint>
#include <deque>
#include <string>

namespace bilberryseam::wire {

/// A frame that was sent and not yet acknowledged.
struct stored_frame {
    uint64_t sequence = 0;
    std::string bytes;
};

/// One end of a session. It outlives its connections.
struct session_state {
    uint64_t nextSequence = 1;
    uint64_t receivedSequence = 0;
    std::deque<stored_frame> unacknowledgedFrames;
    size_t unacknowledgedBytes = 0;
};

/// What to do with a received frame.
enum class frame_verdict {
    Deliver,
    Heartbeat,
    Duplicate,
    Gap,
    FalseAcknowledgement,
};

/// Numbers a batch, stores it for resending and returns its bytes.
/// @return The bytes, valid until the frame is acknowledged.
[[nodiscard]] const std::string& appendFrame(session_state& state, std::vector<message> messages);

/// Processes a received frame: removes the stored frames that it acknowledges.
/// @return What to do with the frame; its messages are delivered only if it is the next in order.
[[nodiscard]] frame_verdict acceptFrame(session_state& state, const frame& receivedFrame);

/// Removes stored frames up to and including a sequence number.
/// @return False if the number was never sent.
[[nodiscard]] bool acknowledge(session_state& state, uint64_t sequence);
}
