/// Seeded schedules of notes, disconnects, restarts and log outages over the fold and peer synchronization of several daemons.
#include "configuration/configuration.hpp"
#include "support/notes.hpp"

#include <criterion/criterion.h>
#include <random>

using namespace bilberryseam;
using namespace bilberryseam::configuration;
using namespace bilberryseam::tests;

namespace {
struct daemon_message {
    size_t from;
    size_t to;
    uint64_t epoch;
    peer_sync_action_kind kind;
    uint64_t offset;
    std::string snapshot;
    std::vector<log_record> records;
};

struct daemon_state {
    state current;
    record_window window;
    peer_sync_state sync;
    uint64_t highestEver = 0;
    bool isFrozen = false;
};

/// Two entries and three sides; each entry has a link to each side.
struct simulation {
    explicit simulation(uint64_t seed)
        : random(seed)
    {
    }

    std::mt19937_64 random;
    int64_t nowMs = 1000;
    std::vector<log_record> log;
    uint64_t logStart = 0;
    bool isLogUp = true;
    std::vector<daemon_state> daemons { 5 };
    std::vector<std::vector<uint64_t>> epochs { 5, std::vector<uint64_t>(5, 0) };
    std::vector<daemon_message> messages;

    uint64_t pick(uint64_t below) { return random() % below; }
    time_point now() const { return time_point(milliseconds(nowMs)); }
};

bool areLinked(size_t a, size_t b)
{
    return (a < 2) != (b < 2);
}

identifier nameOfDaemon(size_t index)
{
    return { 1, index + 1 };
}

void perform(simulation& sim, size_t self, const std::vector<peer_sync_action>& actions)
{
    daemon_state& daemon = sim.daemons[self];
    for (const peer_sync_action& action : actions) {
        const size_t to = action.peer.low - 1;
        daemon_message message { self, to, sim.epochs[self][to], action.kind, daemon.current.nextOffset, "", {} };
        if (action.kind == peer_sync_action_kind::SendRecords) {
            catch_up catchUp = recordsSince(daemon.window, daemon.current.nextOffset, action.fromOffset);
            message.snapshot = catchUp.needsSnapshot ? writeSnapshot(daemon.current) : "";
            message.records = std::move(catchUp.records);
        }
        sim.messages.push_back(std::move(message));
    }
}

void handleAdvance(simulation& sim, size_t self)
{
    daemon_state& daemon = sim.daemons[self];
    cr_assert_geq(daemon.current.nextOffset, daemon.highestEver, "an offset decreased");
    daemon.highestEver = daemon.current.nextOffset;
    perform(sim, self, onOffsetAdvanced(daemon.sync, daemon.current.nextOffset, sim.now()));
}

bool applyAll(daemon_state& daemon, const std::vector<log_record>& records)
{
    bool hasAdvanced = false;
    for (const log_record& record : records) {
        if (applyRecord(daemon.current, record) != fold_step::Applied)
            continue;
        appendRecord(daemon.window, record);
        hasAdvanced = true;
    }
    return hasAdvanced;
}

void readLog(simulation& sim, size_t self)
{
    daemon_state& daemon = sim.daemons[self];
    if (!sim.isLogUp || daemon.isFrozen || sim.logStart > daemon.current.nextOffset)
        return;
    if (applyAll(daemon, sim.log))
        handleAdvance(sim, self);
}

void deliver(simulation& sim, size_t index)
{
    const daemon_message message = sim.messages[index];
    daemon_state& daemon = sim.daemons[message.to];
    if (daemon.isFrozen)
        return;
    sim.messages.erase(sim.messages.begin() + static_cast<ptrdiff_t>(index));
    if (message.epoch != sim.epochs[message.from][message.to])
        return;
    if (message.kind != peer_sync_action_kind::SendRecords) {
        perform(sim, message.to, onPeerOffset(daemon.sync, nameOfDaemon(message.from), message.offset, message.kind == peer_sync_action_kind::Pull, sim.now()));
        return;
    }
    bool hasAdvanced = false;
    if (!message.snapshot.empty()) {
        state snapshotState = readSnapshot(message.snapshot).value();
        if (snapshotState.nextOffset > daemon.current.nextOffset) {
            daemon.current = std::move(snapshotState);
            clearRecords(daemon.window);
            hasAdvanced = true;
        }
    }
    hasAdvanced |= applyAll(daemon, message.records);
    if (hasAdvanced)
        handleAdvance(sim, message.to);
}

/// Disconnects and reconnects the link between two daemons.
void reconnect(simulation& sim, size_t a, size_t b)
{
    ++sim.epochs[a][b];
    ++sim.epochs[b][a];
    for (const auto& [self, peer] : { std::pair(a, b), std::pair(b, a) }) {
        onPeerDisconnected(sim.daemons[self].sync, nameOfDaemon(peer));
        perform(sim, self, onPeerAttached(sim.daemons[self].sync, nameOfDaemon(peer)));
    }
}

void restart(simulation& sim, size_t self)
{
    sim.daemons[self] = {};
    for (size_t peer = 0; peer < sim.daemons.size(); ++peer) {
        if (areLinked(self, peer))
            reconnect(sim, self, peer);
    }
}

void publishNote(simulation& sim)
{
    if (!sim.isLogUp)
        return;
    const uint64_t offset = sim.logStart + sim.log.size();
    const auto note = offset == 0 ? firstNoteJson() : weightNoteJson("n" + std::to_string(sim.pick(offset + 3)), sim.pick(offset), static_cast<double>(offset) + 1);
    sim.log.push_back({ offset, sim.nowMs, sim.pick(12) == 0 ? "corrupt" : note.dump() });
}

void step(simulation& sim)
{
    sim.nowMs += static_cast<int64_t>(sim.pick(100));
    const size_t self = sim.pick(sim.daemons.size());
    const size_t peer = sim.pick(sim.daemons.size());
    switch (sim.pick(20)) {
    case 0:
    case 1:
        publishNote(sim);
        break;
    case 2:
        readLog(sim, self);
        break;
    case 3:
        if (sim.pick(4) == 0)
            sim.isLogUp = !sim.isLogUp;
        break;
    case 4:
        sim.daemons[self].isFrozen = !sim.daemons[self].isFrozen;
        break;
    case 5:
        if (areLinked(self, peer))
            reconnect(sim, self, peer);
        break;
    case 6:
        if (sim.pick(8) == 0)
            restart(sim, self);
        break;
    case 7:
        if (!sim.daemons[self].isFrozen)
            perform(sim, self, onTick(sim.daemons[self].sync, sim.now()));
        break;
    default:
        if (!sim.messages.empty())
            deliver(sim, sim.pick(sim.messages.size()));
        break;
    }
}

/// Delivers all messages in flight to daemons that are not frozen.
void deliverAll(simulation& sim)
{
    for (size_t index = 0; index < sim.messages.size();) {
        if (sim.daemons[sim.messages[index].to].isFrozen)
            ++index;
        else
            deliver(sim, index);
    }
}

/// Keeps the log down and one entry frozen; all other daemons are connected and must reach the highest offset among them.
void checkConvergence(simulation& sim, uint64_t seed)
{
    sim.isLogUp = false;
    const size_t frozen = seed % 2;
    for (size_t self = 0; self < sim.daemons.size(); ++self)
        sim.daemons[self].isFrozen = self == frozen;
    const size_t activeEntry = 1 - frozen;
    for (size_t side = 2; side < sim.daemons.size(); ++side)
        reconnect(sim, activeEntry, side);
    for (int round = 0; round < 30; ++round) {
        deliverAll(sim);
        sim.nowMs += 1000;
        for (size_t self = 0; self < sim.daemons.size(); ++self) {
            if (self != frozen)
                perform(sim, self, onTick(sim.daemons[self].sync, sim.now()));
        }
    }
    const std::string expected = writeSnapshot(sim.daemons[activeEntry].current);
    uint64_t furthest = 0;
    for (size_t self = 0; self < sim.daemons.size(); ++self)
        furthest = std::max(furthest, self == frozen ? 0 : sim.daemons[self].current.nextOffset);
    for (size_t self = 0; self < sim.daemons.size(); ++self) {
        if (self == frozen)
            continue;
        const daemon_state& daemon = sim.daemons[self];
        cr_assert_eq(daemon.current.nextOffset, furthest, "seed %lu: a daemon did not reach the highest offset", seed);
        cr_assert(writeSnapshot(daemon.current) == expected, "seed %lu: daemons at equal offsets have different states", seed);
    }
}
}

Test(peer_sync_explorer, connected_daemons_converge_and_no_offset_decreases)
{
    uint64_t notes = 0;
    for (uint64_t seed = 1; seed <= 500; ++seed) {
        simulation sim(seed);
        for (size_t a = 0; a < 2; ++a) {
            for (size_t b = 2; b < sim.daemons.size(); ++b)
                reconnect(sim, a, b);
        }
        for (int i = 0; i < 400; ++i)
            step(sim);
        checkConvergence(sim, seed);
        notes += sim.log.size();
    }
    cr_assert_gt(notes, 5000u, "the schedules published too few notes to be conclusive: %lu", notes);
}
