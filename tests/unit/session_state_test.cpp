/// Numbering, acknowledgement and resending of frames.
#include "wire/wire.hpp"

#include <criterion/criterion.h>
#include <deque>
#include <random>

using namespace bilberryseam;
using namespace bilberryseam::wire;

namespace {
/// Both ends of a session and the frames in flight in each direction.
struct simulated_session {
    session_state entry;
    session_state side;
    std::deque<std::string> toSide;
    std::deque<std::string> toEntry;
    std::vector<uint32_t> delivered;
    uint32_t nextIndex = 0;
};

void sendOutput(simulated_session& sim)
{
    sim.toEntry.push_back(appendFrame(sim.side, { call_output { {}, {}, sim.nextIndex++, "w " } }));
}

void receiveAtEntry(simulated_session& sim)
{
    if (sim.toEntry.empty())
        return;
    frame receivedFrame = decodeFrame(sim.toEntry.front()).value();
    sim.toEntry.pop_front();
    const frame_verdict verdict = acceptFrame(sim.entry, receivedFrame);
    cr_assert(verdict != frame_verdict::Gap && verdict != frame_verdict::FalseAcknowledgement);
    if (verdict == frame_verdict::Deliver)
        sim.delivered.push_back(std::get<call_output>(receivedFrame.messages[0]).index);
    sim.toSide.push_back(encodeFrame({ 0, sim.entry.receivedSequence, false, {} }));
}

void receiveAtSide(simulated_session& sim)
{
    if (sim.toSide.empty())
        return;
    const frame receivedFrame = decodeFrame(sim.toSide.front()).value();
    sim.toSide.pop_front();
    cr_assert(acceptFrame(sim.side, receivedFrame) == frame_verdict::Heartbeat);
}

/// Replaces the connection; the side resends the frames that the entry has not received.
/// @param isInFlightDelivered  Whether frames in flight on the old connection still arrive, before the resent ones.
void reconnect(simulated_session& sim, bool isInFlightDelivered)
{
    if (!isInFlightDelivered)
        sim.toEntry.clear();
    sim.toSide.clear();
    cr_assert(acknowledge(sim.side, sim.entry.receivedSequence));
    for (const stored_frame& storedFrame : sim.side.unacknowledgedFrames)
        sim.toEntry.push_back(storedFrame.bytes);
}
}

Test(session_state, any_schedule_of_reconnects_delivers_each_output_once_in_order)
{
    for (uint64_t seed = 1; seed <= 500; ++seed) {
        std::mt19937_64 random(seed);
        simulated_session sim;
        for (int step = 0; step < 300; ++step) {
            switch (random() % 8) {
            case 0:
            case 1:
                sendOutput(sim);
                break;
            case 2:
                reconnect(sim, random() % 2 == 0);
                break;
            case 3:
            case 4:
                receiveAtSide(sim);
                break;
            default:
                receiveAtEntry(sim);
                break;
            }
        }
        reconnect(sim, false);
        while (!sim.toEntry.empty())
            receiveAtEntry(sim);
        cr_assert_eq(sim.delivered.size(), sim.nextIndex, "seed %lu", seed);
        for (uint32_t i = 0; i < sim.nextIndex; ++i)
            cr_assert_eq(sim.delivered[i], i, "seed %lu", seed);
    }
}

Test(session_state, acknowledged_frames_are_removed)
{
    session_state state;
    for (int i = 0; i < 3; ++i)
        static_cast<void>(appendFrame(state, { cancel_call {} }));
    cr_assert_gt(state.unacknowledgedBytes, 0u);
    cr_assert(acknowledge(state, 3));
    cr_assert_eq(state.unacknowledgedBytes, 0u);
}

Test(session_state, an_acknowledgement_of_an_unsent_frame_is_rejected)
{
    session_state state;
    cr_assert(acceptFrame(state, { 1, 5, false, {} }) == frame_verdict::FalseAcknowledgement);
}
