/// Explores seeded schedules of faults with the claim clients of several sides and a simulated log: no key may run twice.
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

/// Outcome that was reported for a submission.
enum class submission_outcome {
    Pending,
    NotRun,
    Unknown,
    Completed,
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
    submission_outcome outcome = submission_outcome::Pending;
};

/// A request to the log or its response, in transit.
struct delivery {
    size_t side = 0;
    uint64_t incarnation = 0;
    std::function<void()> action;
};

struct simulation {
    explicit simulation(uint64_t seed)
        : random(seed)
        , identifiers(seed)
        , retentionMs(seed % 2 == 0 ? 100000 : 20000)
    {
    }

    std::mt19937_64 random;
    identifier_generator identifiers;
    /// Even seeds: longer than the idempotency window, as documented; odd seeds: shorter.
    int64_t retentionMs;
    /// Set in the last phase: no more faults, so that started operations finish.
    bool isFaultFree = false;
    int64_t nowMs = startMs;
    uint64_t firstOffset = 0;
    std::vector<platform::stream_record> records;
    struct side_state {
        std::unique_ptr<claim_client> client;
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

void respondToAppend(simulation& run, size_t side, uint64_t incarnation, platform::append_result result, const platform::log_client::on_append& done)
{
    run.deliveries.push_back({ side, incarnation, [result, done] { done(result); } });
}

/// The log may refuse or execute an append, lose the response, or execute the append after its sender has stopped waiting.
void appendAtLog(simulation& run, size_t side, uint64_t incarnation, const std::string& record, const platform::log_client::on_append& done)
{
    const uint64_t draw = run.isFaultFree ? 9 : run.pick(10);
    if (draw == 0) {
        respondToAppend(run, side, incarnation, { platform::append_outcome::Refused, 0, "" }, done);
        return;
    }
    if (draw == 1) {
        // The response is lost; the record is appended later.
        respondToAppend(run, side, incarnation, { platform::append_outcome::Unknown, 0, "" }, done);
        run.deliveries.push_back({ SIZE_MAX, 0, [&run, record] { run.records.push_back({ run.firstOffset + run.records.size(), run.nowMs, record }); } });
        return;
    }
    const uint64_t offset = run.firstOffset + run.records.size();
    run.records.push_back({ offset, run.nowMs, record });
    respondToAppend(run, side, incarnation, { draw == 2 ? platform::append_outcome::Unknown : platform::append_outcome::Appended, offset, "" }, done);
}

void readAtLog(simulation& run, size_t side, uint64_t incarnation, uint64_t from, const platform::log_client::on_read& done)
{
    platform::stream_read_result result { run.isFaultFree || run.pick(10) != 0, run.firstOffset, run.firstOffset + run.records.size(), {}, "" };
    for (const auto& record : run.records) {
        if (record.offset >= from && result.records.size() < 3)
            result.records.push_back(record);
    }
    run.deliveries.push_back({ side, incarnation, [result, done] { done(result); } });
}

void restart(simulation& run, size_t side)
{
    auto& state = run.sides[side];
    const uint64_t incarnation = ++state.incarnation;
    state.isPaused = false;
    for (auto& item : run.submissions) {
        if (item->side == side && item->outcome == submission_outcome::Pending)
            item->outcome = submission_outcome::Unknown;
        if (item->side == side)
            item->mayStart = item->isRunning = false;
    }
    claim_client_dependencies dependencies;
    dependencies.append = [&run, side, incarnation](std::string record, platform::log_client::on_append done) {
        run.deliveries.push_back({ SIZE_MAX, 0, [&run, side, incarnation, record, done] { appendAtLog(run, side, incarnation, record, done); } });
    };
    dependencies.read = [&run, side, incarnation](uint64_t from, platform::log_client::on_read done) {
        run.deliveries.push_back({ SIZE_MAX, 0, [&run, side, incarnation, from, done] { readAtLog(run, side, incarnation, from, done); } });
    };
    dependencies.wallNow = [&run] { return wall_time(milliseconds(run.nowMs)); };
    state.client = std::make_unique<claim_client>(std::move(dependencies), window);
}

void submit(simulation& run)
{
    if (run.keys.empty() || run.pick(3) == 0)
        run.keys.emplace_back(run.identifiers.next(), run.nowMs - static_cast<int64_t>(run.pick(10000)) + 5000);
    const auto& [key, issuedMs] = run.keys[run.keys.size() - 1 - run.pick(std::min<uint64_t>(run.keys.size(), run.pick(4) == 0 ? 20 : 3))];
    const size_t side = run.pick(run.sides.size());
    if (run.sides[side].isPaused || run.nowMs - issuedMs > window.count())
        return;
    auto* newSubmission = run.submissions.emplace_back(std::make_unique<submission>()).get();
    newSubmission->key = key;
    newSubmission->nonce = run.identifiers.next();
    newSubmission->side = side;
    newSubmission->incarnation = run.sides[side].incarnation;
    newSubmission->issuedMs = issuedMs;
    newSubmission->deadlineMs = run.nowMs + 11000;
    run.sides[side].client->claim({ key, newSubmission->nonce, 1, issuedMs, time_point(milliseconds(newSubmission->deadlineMs)) }, [newSubmission](claim_result result) {
        if (result.outcome == claim_outcome::Won)
            newSubmission->mayStart = true;
        else if (result.outcome == claim_outcome::Completed)
            newSubmission->outcome = submission_outcome::Completed;
        else if (result.outcome == claim_outcome::LogUnavailable || result.outcome == claim_outcome::DeadlinePassed)
            newSubmission->outcome = submission_outcome::NotRun;
        else
            newSubmission->outcome = submission_outcome::Unknown;
    });
}

/// Starts, finishes or cancels a submission that won its key.
void stepSubmission(simulation& run, submission& submission)
{
    auto& side = run.sides[submission.side];
    if (side.isPaused)
        return;
    if (submission.mayStart) {
        submission.mayStart = false;
        if (run.nowMs > submission.deadlineMs || run.pick(5) == 0) {
            side.client->release(submission.key, submission.nonce);
            submission.outcome = submission_outcome::NotRun;
            return;
        }
        ++submission.runs;
        submission.isRunning = true;
    } else if (submission.isRunning) {
        submission.isRunning = false;
        const bool isResponseLost = run.pick(4) == 0;
        submission.outcome = isResponseLost ? submission_outcome::Unknown : submission_outcome::Completed;
        if (!isResponseLost)
            side.client->storeResponse(submission.key, submission.nonce, "seat 12");
    }
}

void stepRandomSubmission(simulation& run)
{
    if (!run.submissions.empty())
        stepSubmission(run, *run.submissions[run.submissions.size() - 1 - run.pick(std::min<size_t>(run.submissions.size(), 12))]);
}

void deliver(simulation& run)
{
    if (run.deliveries.empty())
        return;
    const size_t index = run.pick(run.deliveries.size());
    const delivery nextDelivery = run.deliveries[index];
    const bool isForSide = nextDelivery.side != SIZE_MAX;
    if (isForSide && run.sides[nextDelivery.side].isPaused)
        return;
    run.deliveries.erase(run.deliveries.begin() + static_cast<ptrdiff_t>(index));
    if (!isForSide || run.sides[nextDelivery.side].incarnation == nextDelivery.incarnation)
        nextDelivery.action();
}

/// Removes records that are older than the retention of the log.
void trim(simulation& run)
{
    while (!run.records.empty() && run.records.front().appendedMs < run.nowMs - run.retentionMs) {
        run.records.erase(run.records.begin());
        ++run.firstOffset;
    }
}

void step(simulation& run)
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
        stepRandomSubmission(run);
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
            run.sides[side].client->tick(run.now());
        break;
    default:
        deliver(run);
        break;
    }
}

/// Lets all pending operations finish without further faults.
void finishPending(simulation& run)
{
    run.isFaultFree = true;
    for (auto& side : run.sides)
        side.isPaused = false;
    for (int round = 0; round < 40; ++round) {
        run.nowMs += 1000;
        for (auto& item : run.submissions) {
            while (item->mayStart || item->isRunning)
                stepSubmission(run, *item);
        }
        for (auto& side : run.sides)
            side.client->tick(run.now());
        while (!run.deliveries.empty())
            deliver(run);
    }
}

/// Checks that a submission that did not run does not hold its key, unless its side was restarted.
void checkKeysAreReleased(const simulation& run, uint64_t seed)
{
    for (const auto& item : run.submissions) {
        const auto& side = run.sides[item->side];
        if (item->runs > 0 || item->incarnation != side.incarnation)
            continue;
        const claim_request request { item->key, item->nonce, 1, item->issuedMs, {} };
        cr_assert(side.client->localVerdict(request) != policy::claim_verdict::Won, "seed %lu: a submission that did not run still holds its key", seed);
    }
}

void checkGuarantees(const simulation& run, uint64_t seed)
{
    std::map<identifier, uint32_t> runs;
    for (const auto& item : run.submissions) {
        runs[item->key] += item->runs;
        cr_assert(item->outcome != submission_outcome::NotRun || item->runs == 0, "seed %lu: a submission ran although not_run was reported for it", seed);
    }
    for (const auto& [key, count] : runs)
        cr_assert_leq(count, 1u, "seed %lu: a key ran %u times", seed, count);
}
}

Test(claims_explorer, no_key_runs_twice_under_faults)
{
    uint64_t totalRuns = 0;
    for (uint64_t seed = 1; seed <= 500; ++seed) {
        simulation run(seed);
        for (size_t side = 0; side < run.sides.size(); ++side)
            restart(run, side);
        for (int i = 0; i < 4000; ++i)
            step(run);
        checkGuarantees(run, seed);
        finishPending(run);
        checkGuarantees(run, seed);
        checkKeysAreReleased(run, seed);
        for (const auto& item : run.submissions)
            totalRuns += item->runs;
    }
    cr_assert_gt(totalRuns, 5000u, "too few runs for a meaningful result: %lu", totalRuns);
}
