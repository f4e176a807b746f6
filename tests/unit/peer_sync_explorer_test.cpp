/// Seeded schedules of notes, cuts, restarts and outages over the fold and the spreading of several daemons.
#include "configuration/configuration.hpp"
#include "support/notes.hpp"

#include <criterion/criterion.h>
#include <random>

using namespace bilberryseam;
using namespace bilberryseam::configuration;
using namespace bilberryseam::tests;

namespace {
struct letter {
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
    peer_sync_state spreading;
    uint64_t highestEver = 0;
    bool isFrozen = false;
};

/// Two entries and three sides; each entry is linked with each side.
struct world {
    explicit world(uint64_t seed)
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
    std::vector<letter> letters;

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

void perform(world& run, size_t self, const std::vector<peer_sync_action>& actions)
{
    daemon_state& daemon = run.daemons[self];
    for (const peer_sync_action& action : actions) {
        const size_t to = action.peer.low - 1;
        letter made { self, to, run.epochs[self][to], action.kind, daemon.current.nextOffset, "", {} };
        if (action.kind == peer_sync_action_kind::SendRecords) {
            catch_up missing = recordsSince(daemon.window, daemon.current.nextOffset, action.fromOffset);
            made.snapshot = missing.needsSnapshot ? writeSnapshot(daemon.current) : "";
            made.records = std::move(missing.records);
        }
        run.letters.push_back(std::move(made));
    }
}

void advanced(world& run, size_t self)
{
    daemon_state& daemon = run.daemons[self];
    cr_assert_geq(daemon.current.nextOffset, daemon.highestEver, "an offset went back");
    daemon.highestEver = daemon.current.nextOffset;
    perform(run, self, onOffsetAdvanced(daemon.spreading, daemon.current.nextOffset, run.now()));
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

void readLog(world& run, size_t self)
{
    daemon_state& daemon = run.daemons[self];
    if (!run.isLogUp || daemon.isFrozen || run.logStart > daemon.current.nextOffset)
        return;
    if (applyAll(daemon, run.log))
        advanced(run, self);
}

void deliver(world& run, size_t index)
{
    const letter arrived = run.letters[index];
    daemon_state& daemon = run.daemons[arrived.to];
    if (daemon.isFrozen)
        return;
    run.letters.erase(run.letters.begin() + static_cast<ptrdiff_t>(index));
    if (arrived.epoch != run.epochs[arrived.from][arrived.to])
        return;
    if (arrived.kind != peer_sync_action_kind::SendRecords) {
        perform(run, arrived.to, onPeerOffset(daemon.spreading, nameOfDaemon(arrived.from), arrived.offset, arrived.kind == peer_sync_action_kind::Pull, run.now()));
        return;
    }
    bool hasAdvanced = false;
    if (!arrived.snapshot.empty()) {
        state read = readSnapshot(arrived.snapshot).value();
        if (read.nextOffset > daemon.current.nextOffset) {
            daemon.current = std::move(read);
            clearRecords(daemon.window);
            hasAdvanced = true;
        }
    }
    hasAdvanced |= applyAll(daemon, arrived.records);
    if (hasAdvanced)
        advanced(run, arrived.to);
}

/// The link between two daemons is cut and made anew.
void relink(world& run, size_t a, size_t b)
{
    ++run.epochs[a][b];
    ++run.epochs[b][a];
    for (const auto& [self, peer] : { std::pair(a, b), std::pair(b, a) }) {
        onPeerDisconnected(run.daemons[self].spreading, nameOfDaemon(peer));
        perform(run, self, onPeerAttached(run.daemons[self].spreading, nameOfDaemon(peer)));
    }
}

void restart(world& run, size_t self)
{
    run.daemons[self] = {};
    for (size_t peer = 0; peer < run.daemons.size(); ++peer) {
        if (areLinked(self, peer))
            relink(run, self, peer);
    }
}

void publish(world& run)
{
    if (!run.isLogUp)
        return;
    const uint64_t offset = run.logStart + run.log.size();
    const auto note = offset == 0 ? firstNoteJson() : weightNoteJson("n" + std::to_string(run.pick(offset + 3)), run.pick(offset), static_cast<double>(offset) + 1);
    run.log.push_back({ offset, run.nowMs, run.pick(12) == 0 ? "corrupt" : note.dump() });
}

void step(world& run)
{
    run.nowMs += static_cast<int64_t>(run.pick(100));
    const size_t self = run.pick(run.daemons.size());
    const size_t peer = run.pick(run.daemons.size());
    switch (run.pick(20)) {
    case 0:
    case 1:
        publish(run);
        break;
    case 2:
        readLog(run, self);
        break;
    case 3:
        if (run.pick(4) == 0)
            run.isLogUp = !run.isLogUp;
        break;
    case 4:
        run.daemons[self].isFrozen = !run.daemons[self].isFrozen;
        break;
    case 5:
        if (areLinked(self, peer))
            relink(run, self, peer);
        break;
    case 6:
        if (run.pick(8) == 0)
            restart(run, self);
        break;
    case 7:
        if (!run.daemons[self].isFrozen)
            perform(run, self, onTick(run.daemons[self].spreading, run.now()));
        break;
    default:
        if (!run.letters.empty())
            deliver(run, run.pick(run.letters.size()));
        break;
    }
}

/// Delivers what is on its way to daemons that are not frozen.
void deliverAll(world& run)
{
    for (size_t index = 0; index < run.letters.size();) {
        if (run.daemons[run.letters[index].to].isFrozen)
            ++index;
        else
            deliver(run, index);
    }
}

/// The log stays down and one entry stays frozen; all others reach each other and must reach the furthest of them.
void checkConvergence(world& run, uint64_t seed)
{
    run.isLogUp = false;
    const size_t frozen = seed % 2;
    for (size_t self = 0; self < run.daemons.size(); ++self)
        run.daemons[self].isFrozen = self == frozen;
    const size_t alive = 1 - frozen;
    for (size_t side = 2; side < run.daemons.size(); ++side)
        relink(run, alive, side);
    for (int round = 0; round < 30; ++round) {
        deliverAll(run);
        run.nowMs += 1000;
        for (size_t self = 0; self < run.daemons.size(); ++self) {
            if (self != frozen)
                perform(run, self, onTick(run.daemons[self].spreading, run.now()));
        }
    }
    const std::string expected = writeSnapshot(run.daemons[alive].current);
    uint64_t furthest = 0;
    for (size_t self = 0; self < run.daemons.size(); ++self)
        furthest = std::max(furthest, self == frozen ? 0 : run.daemons[self].current.nextOffset);
    for (size_t self = 0; self < run.daemons.size(); ++self) {
        if (self == frozen)
            continue;
        const daemon_state& daemon = run.daemons[self];
        cr_assert_eq(daemon.current.nextOffset, furthest, "seed %lu: a daemon stayed behind", seed);
        cr_assert(writeSnapshot(daemon.current) == expected, "seed %lu: equal offsets, different states", seed);
    }
}
}

Test(spreading_explorer, all_that_reach_each_other_converge_and_none_goes_back)
{
    uint64_t notes = 0;
    for (uint64_t seed = 1; seed <= 500; ++seed) {
        world run(seed);
        for (size_t a = 0; a < 2; ++a) {
            for (size_t b = 2; b < run.daemons.size(); ++b)
                relink(run, a, b);
        }
        for (int i = 0; i < 400; ++i)
            step(run);
        checkConvergence(run, seed);
        notes += run.log.size();
    }
    cr_assert_gt(notes, 5000u, "the schedules published too little to show anything: %lu", notes);
}
