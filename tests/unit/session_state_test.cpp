/// Numbering, acknowledging and resending of frames.
#include "wire/wire.hpp"

#include <criterion/criterion.h>
#include <deque>
#include <random>

using namespace bilberryseam;
using namespace bilberryseam::wire;

namespace {
/// Two ends and the frames between them, in one direction each.
struct simulated_session {
    session_state entry;
    session_state side;
    std::deque<std::string> toSide;
    std::deque<std::string> toEntry;
    std::vector<uint32_t> delivered;
    uint32_t nextIndex = 0;
};

void sendOutput(simulated_session& run)
{
    run.toEntry.push_back(appendFrame(run.side, { call_output { {}, {}, run.nextIndex++, "w " } }));
}

void receiveAtEntry(simulated_session& run)
{
    if (run.toEntry.empty())
        return;
    frame arrived = decodeFrame(run.toEntry.front()).value();
    run.toEntry.pop_front();
    const frame_verdict verdict = acceptFrame(run.entry, arrived);
    cr_assert(verdict != frame_verdict::Gap && verdict != frame_verdict::FalseAcknowledgement);
    if (verdict == frame_verdict::Deliver)
        run.delivered.push_back(std::get<call_output>(arrived.messages[0]).index);
    run.toSide.push_back(encodeFrame({ 0, run.entry.receivedSequence, false, {} }));
}

void receiveAtSide(simulated_session& run)
{
    if (run.toSide.empty())
        return;
    const frame arrived = decodeFrame(run.toSide.front()).value();
    run.toSide.pop_front();
    cr_assert(acceptFrame(run.side, arrived) == frame_verdict::Heartbeat);
}

/// The new connection resends from what the peer has.
/// @param isOldDelivered  What is in flight on the old connection still arrives, before the rest.
void cut(simulated_session& run, bool isOldDelivered)
{
    if (!isOldDelivered)
        run.toEntry.clear();
    run.toSide.clear();
    cr_assert(acknowledge(run.side, run.entry.receivedSequence));
    for (const stored_frame& stored : run.side.unacknowledgedFrames)
        run.toEntry.push_back(stored.bytes);
}
}

Test(session_state, any_schedule_of_cuts_delivers_each_output_once_in_order)
{
    for (uint64_t seed = 1; seed <= 500; ++seed) {
        std::mt19937_64 random(seed);
        simulated_session run;
        for (int step = 0; step < 300; ++step) {
            switch (random() % 8) {
            case 0:
            case 1:
                sendOutput(run);
                break;
            case 2:
                cut(run, random() % 2 == 0);
                break;
            case 3:
            case 4:
                receiveAtSide(run);
                break;
            default:
                receiveAtEntry(run);
                break;
            }
        }
        cut(run, false);
        while (!run.toEntry.empty())
            receiveAtEntry(run);
        cr_assert_eq(run.delivered.size(), run.nextIndex, "seed %lu", seed);
        for (uint32_t i = 0; i < run.nextIndex; ++i)
            cr_assert_eq(run.delivered[i], i, "seed %lu", seed);
    }
}

Test(session_state, acknowledged_frames_are_dropped)
{
    session_state state;
    for (int i = 0; i < 3; ++i)
        static_cast<void>(appendFrame(state, { cancel_call {} }));
    cr_assert_gt(state.unacknowledgedBytes, 0u);
    cr_assert(acknowledge(state, 3));
    cr_assert_eq(state.unacknowledgedBytes, 0u);
}

Test(session_state, an_acknowledgement_of_what_was_never_sent_is_refused)
{
    session_state state;
    cr_assert(acceptFrame(state, { 1, 5, false, {} }) == frame_verdict::FalseAcknowledgement);
}
