/// Seeded schedules of faults over the claim keepers of several sides and a simulated log.
#include "side/claim_client.hpp"

#include <criterion/criterion.h>
#include <memory>
#include <random>
#include <set>

using namespace bilberryseam;
using namespace bilberryseam::side;

namespace {
constexpr milliseconds window { 60000 };
constexpr int64_t startMs = 1'000'000'000;

/// What a submission was told.
enum class word {
    Nothing,
    NotRun,
    Unknown,
    Answered,
};

struct submission {
    identifier key;
    identifier nonce;
    size_t side = 0;
    uint64_t incarnation = 0;
    int64_t issuedMs = 0;
    int64_t deadlineMs = 0;
    bool mayStart = false;
    bool isRunning = false;
    uint32_t runs = 0;
    word told = word::Nothing;
};

/// An append or a read on its way to the log, or an answer on its way back.
struct delivery {
    size_t side = 0;
    uint64_t incarnation = 0;
    std::function<void()> act;
};

struct world {
    explicit world(uint64_t seed)
        : random(seed)
        , identifiers(seed)
        , retentionMs(seed % 2 == 0 ? 100000 : 20000)
    {
    }

    std::mt19937_64 random;
    identifier_generator identifiers;
    /// Longer than the window, or, against the documentation, shorter.
    int64_t retentionMs;
    /// Faults are over; what was begun comes to its end.
    bool isReliable = false;
    int64_t nowMs = startMs;
    uint64_t start = 0;
    std::vector<platform::stream_record> records;
    struct side_state {
        std::unique_ptr<claim_client> keeper;
        uint64_t incarnation = 0;
        bool isPaused = false;
    };
    std::vector<side_state> sides { 3 };
    std::vector<delivery> deliveries;
    std::vector<std::unique_ptr<submission>> submissions;
    std::vector<std::pair<identifier, int64_t>> keys;

    uint64_t pick(uint64_t below) { return random() % below; }
    time_point now() const { return time_point(milliseconds(nowMs)); }
};

void answerAppend(world& run, size_t side, uint64_t incarnation, platform::append_result reply, const platform::log_client::on_append& done)
{
    run.deliveries.push_back({ side, incarnation, [reply, done] { done(reply); } });
}

/// The log may refuse, take, or take without an answer; what is late may also arrive after its sender gave up.
void appendAtLog(world& run, size_t side, uint64_t incarnation, const std::string& record, const platform::log_client::on_append& done)
{
    const uint64_t fate = run.isReliable ? 9 : run.pick(10);
    if (fate == 0) {
        answerAppend(run, side, incarnation, { platform::append_outcome::Refused, 0, "" }, done);
        return;
    }
    if (fate == 1) {
        // Unanswered, and only later in the log.
        answerAppend(run, side, incarnation, { platform::append_outcome::Unknown, 0, "" }, done);
        run.deliveries.push_back({ SIZE_MAX, 0, [&run, record] { run.records.push_back({ run.start + run.records.size(), run.nowMs, record }); } });
        return;
    }
    const uint64_t offset = run.start + run.records.size();
    run.records.push_back({ offset, run.nowMs, record });
    answerAppend(run, side, incarnation, { fate == 2 ? platform::append_outcome::Unknown : platform::append_outcome::Appended, offset, "" }, done);
}

void readAtLog(world& run, size_t side, uint64_t incarnation, uint64_t from, const platform::log_client::on_read& done)
{
    platform::stream_read_result reply { run.isReliable || run.pick(10) != 0, run.start, run.start + run.records.size(), {}, "" };
    for (const auto& record : run.records) {
        if (record.offset >= from && reply.records.size() < 3)
            reply.records.push_back(record);
    }
    run.deliveries.push_back({ side, incarnation, [reply, done] { done(reply); } });
}

void restart(world& run, size_t side)
{
    auto& state = run.sides[side];
    const uint64_t incarnation = ++state.incarnation;
    state.isPaused = false;
    for (auto& one : run.submissions) {
        if (one->side == side && one->told == word::Nothing)
            one->told = word::Unknown;
        if (one->side == side)
            one->mayStart = one->isRunning = false;
    }
    claim_client_dependencies ports;
    ports.append = [&run, side, incarnation](std::string record, platform::log_client::on_append done) {
        run.deliveries.push_back({ SIZE_MAX, 0, [&run, side, incarnation, record, done] { appendAtLog(run, side, incarnation, record, done); } });
    };
    ports.read = [&run, side, incarnation](uint64_t from, platform::log_client::on_read done) {
        run.deliveries.push_back({ SIZE_MAX, 0, [&run, side, incarnation, from, done] { readAtLog(run, side, incarnation, from, done); } });
    };
    ports.wallNow = [&run] { return wall_time(milliseconds(run.nowMs)); };
    state.keeper = std::make_unique<claim_client>(std::move(ports), window);
}

void submit(world& run)
{
    if (run.keys.empty() || run.pick(3) == 0)
        run.keys.emplace_back(run.identifiers.next(), run.nowMs - static_cast<int64_t>(run.pick(10000)) + 5000);
    const auto& [key, issuedMs] = run.keys[run.keys.size() - 1 - run.pick(std::min<uint64_t>(run.keys.size(), run.pick(4) == 0 ? 20 : 3))];
    const size_t side = run.pick(run.sides.size());
    if (run.sides[side].isPaused || run.nowMs - issuedMs > window.count())
        return;
    auto* made = run.submissions.emplace_back(std::make_unique<submission>()).get();
    made->key = key;
    made->nonce = run.identifiers.next();
    made->side = side;
    made->incarnation = run.sides[side].incarnation;
    made->issuedMs = issuedMs;
    made->deadlineMs = run.nowMs + 11000;
    run.sides[side].keeper->claim({ key, made->nonce, 1, issuedMs, time_point(milliseconds(made->deadlineMs)) }, [made](claim_result reply) {
        if (reply.outcome == claim_outcome::Won)
            made->mayStart = true;
        else if (reply.outcome == claim_outcome::Completed)
            made->told = word::Answered;
        else if (reply.outcome == claim_outcome::LogUnavailable || reply.outcome == claim_outcome::DeadlinePassed)
            made->told = word::NotRun;
        else
            made->told = word::Unknown;
    });
}

/// Starts, finishes or gives up a call that won its key.
void stepSubmission(world& run, submission& one)
{
    auto& side = run.sides[one.side];
    if (side.isPaused)
        return;
    if (one.mayStart) {
        one.mayStart = false;
        if (run.nowMs > one.deadlineMs || run.pick(5) == 0) {
            side.keeper->release(one.key, one.nonce);
            one.told = word::NotRun;
            return;
        }
        ++one.runs;
        one.isRunning = true;
    } else if (one.isRunning) {
        one.isRunning = false;
        const bool isAnswerLost = run.pick(4) == 0;
        one.told = isAnswerLost ? word::Unknown : word::Answered;
        if (!isAnswerLost)
            side.keeper->storeResponse(one.key, one.nonce, "seat 12");
    }
}

void stepCall(world& run)
{
    if (!run.submissions.empty())
        stepSubmission(run, *run.submissions[run.submissions.size() - 1 - run.pick(std::min<size_t>(run.submissions.size(), 12))]);
}

void deliver(world& run)
{
    if (run.deliveries.empty())
        return;
    const size_t index = run.pick(run.deliveries.size());
    const delivery chosen = run.deliveries[index];
    const bool isForSide = chosen.side != SIZE_MAX;
    if (isForSide && run.sides[chosen.side].isPaused)
        return;
    run.deliveries.erase(run.deliveries.begin() + static_cast<ptrdiff_t>(index));
    if (!isForSide || run.sides[chosen.side].incarnation == chosen.incarnation)
        chosen.act();
}

/// The log forgets records older than its retention.
void trim(world& run)
{
    while (!run.records.empty() && run.records.front().appendedMs < run.nowMs - run.retentionMs) {
        run.records.erase(run.records.begin());
        ++run.start;
    }
}

void step(world& run)
{
    run.nowMs += static_cast<int64_t>(run.pick(200));
    const size_t side = run.pick(run.sides.size());
    switch (run.pick(24)) {
    case 0:
    case 1:
    case 2:
        submit(run);
        break;
    case 3:
    case 4:
    case 5:
    case 6:
        stepCall(run);
        break;
    case 7:
        if (run.pick(6) == 0)
            restart(run, side);
        break;
    case 8:
        run.sides[side].isPaused = !run.sides[side].isPaused;
        break;
    case 9:
        if (run.pick(10) == 0)
            run.nowMs += static_cast<int64_t>(run.pick(run.pick(2) == 0 ? 30000 : 130000));
        trim(run);
        break;
    case 10:
    case 11:
        if (!run.sides[side].isPaused)
            run.sides[side].keeper->tick(run.now());
        break;
    default:
        deliver(run);
        break;
    }
}

/// Lets everything under way come to its end without further faults.
void settle(world& run)
{
    run.isReliable = true;
    for (auto& side : run.sides)
        side.isPaused = false;
    for (int round = 0; round < 40; ++round) {
        run.nowMs += 1000;
        for (auto& one : run.submissions) {
            while (one->mayStart || one->isRunning)
                stepSubmission(run, *one);
        }
        for (auto& side : run.sides)
            side.keeper->tick(run.now());
        while (!run.deliveries.empty())
            deliver(run);
    }
}

/// A submission that never ran, at a side that lives, does not hold its key for good.
void checkKeysAreFree(const world& run, uint64_t seed)
{
    for (const auto& one : run.submissions) {
        const auto& side = run.sides[one->side];
        if (one->runs > 0 || one->incarnation != side.incarnation)
            continue;
        const claim_request request { one->key, one->nonce, 1, one->issuedMs, {} };
        cr_assert(side.keeper->localVerdict(request) != policy::claim_verdict::Won, "seed %lu: a submission that did not run still holds its key", seed);
    }
}

void checkPromises(const world& run, uint64_t seed)
{
    std::map<identifier, uint32_t> runs;
    for (const auto& one : run.submissions) {
        runs[one->key] += one->runs;
        cr_assert(one->told != word::NotRun || one->runs == 0, "seed %lu: a submission ran that was told not_run", seed);
    }
    for (const auto& [key, count] : runs)
        cr_assert_leq(count, 1u, "seed %lu: a key ran %u times", seed, count);
}
}

Test(claims_explorer, no_schedule_of_faults_runs_a_key_twice)
{
    uint64_t ran = 0;
    for (uint64_t seed = 1; seed <= 500; ++seed) {
        world run(seed);
        for (size_t side = 0; side < run.sides.size(); ++side)
            restart(run, side);
        for (int i = 0; i < 4000; ++i)
            step(run);
        checkPromises(run, seed);
        settle(run);
        checkPromises(run, seed);
        checkKeysAreFree(run, seed);
        for (const auto& one : run.submissions)
            ran += one->runs;
    }
    cr_assert_gt(ran, 5000u, "the schedules ran too little to show anything: %lu", ran);
}
