/// Which pieces go to which target of a pool. Each load is replayed against a small model of a pool.
#include "policy/batching.hpp"
#include "policy/work_value.hpp"

#include <algorithm>
#include <criterion/criterion.h>
#include <numeric>
#include <random>
#include <set>

using namespace bilberryseam;
using namespace bilberryseam::policy;

namespace {
const time_point start { seconds(1000) };

pool_target idleTarget(std::string_view domain = "a", double freeBytes = 1e9)
{
    return { domain, true, freeBytes, freeBytes, 1 };
}

queued_task pieceOf(uint64_t group, milliseconds latestStart, double bytes = 0)
{
    queued_task piece;
    piece.jobId = group;
    piece.latestStart = start + latestStart;
    piece.queuedAt = start;
    piece.resultBytes = bytes;
    return piece;
}

std::vector<queued_task> groupOf(uint64_t group, size_t count, milliseconds latestStart, double bytes = 0)
{
    return std::vector<queued_task>(count, pieceOf(group, latestStart, bytes));
}

template <typename... Groups>
std::vector<queued_task> join(Groups... groups)
{
    std::vector<queued_task> all;
    (all.insert(all.end(), groups.begin(), groups.end()), ...);
    return all;
}

/// A pool in which requests of some pieces each arrive; all time is simulated.
struct pool_model {
    size_t targets = 3;
    size_t batch = 8;
    double callMs = 150;
    double pieceMs = 16;
    double memoryBytes = 1e12;
    double pieceBytes = 0;
    /// How long a request keeps its results once it has them all, in milliseconds.
    double holdMs = 0;
    double objectiveMs = 600;
    /// Sends each request's pieces in calls of their own, as an entry without others' pieces does.
    bool isAlone = false;
    /// Lets requests with more tokens for a piece go earlier.
    bool isValued = false;
};

struct model_request {
    double arrivesMs = 0;
    size_t pieces = 1;
    size_t missing = 0;
    double doneMs = -1;
    bool isBegun = false;
    double tokens = 1;
    milliseconds lead { 0 };
};

struct model_call {
    double endsMs = 0;
    size_t target = 0;
    std::vector<size_t> requests;
};

/// @return Share of the requests, by their tokens, that had all their results within the objective.
double replay(const pool_model& model, std::vector<model_request> requests)
{
    struct waiting {
        size_t request;
        double sinceMs;
    };
    std::vector<waiting> queue;
    std::vector<model_call> calls;
    std::vector<double> held(model.targets, 0);
    std::vector<std::pair<double, std::pair<size_t, double>>> releases;
    std::vector<std::vector<size_t>> places(requests.size());
    size_t next = 0;
    value_average values;
    const auto at = [](double ms) { return start + microseconds(static_cast<int64_t>(ms * 1000)); };
    for (double now = 0; now < 60000; now += 1) {
        while (next < requests.size() && requests[next].arrivesMs <= now) {
            requests[next].missing = requests[next].pieces;
            if (model.isValued)
                requests[next].lead = recordValue(values, requests[next].tokens, static_cast<uint32_t>(requests[next].pieces));
            for (size_t i = 0; i < requests[next].pieces; ++i)
                queue.push_back({ next, now });
            ++next;
        }
        for (const auto& [when, what] : releases) {
            if (when <= now)
                held[what.first] -= what.second;
        }
        std::erase_if(releases, [now](const auto& item) { return item.first <= now; });
        for (const auto& call : calls) {
            if (call.endsMs > now)
                continue;
            for (const size_t index : call.requests) {
                places[index].push_back(call.target);
                if (--requests[index].missing > 0)
                    continue;
                requests[index].doneMs = now;
                for (const size_t place : places[index])
                    releases.push_back({ now + model.holdMs, { place, model.pieceBytes } });
            }
        }
        std::erase_if(calls, [now](const auto& call) { return call.endsMs <= now; });
        std::vector<queued_task> pieces;
        for (const auto& item : queue) {
            queued_task piece;
            piece.jobId = item.request + 1;
            piece.isJobStarted = requests[item.request].isBegun;
            piece.latestStart = at(requests[item.request].arrivesMs + model.objectiveMs - model.callMs - model.pieceMs * static_cast<double>(model.batch));
            piece.queuedAt = at(item.sinceMs);
            piece.resultBytes = model.pieceBytes;
            piece.boost = requests[item.request].lead;
            pieces.push_back(piece);
        }
        std::vector<pool_target> targets;
        for (size_t i = 0; i < model.targets; ++i) {
            const bool isBusy = std::any_of(calls.begin(), calls.end(), [i](const auto& call) { return call.target == i; });
            targets.push_back({ "a", !isBusy, model.memoryBytes - held[i], model.memoryBytes, 1 });
        }
        std::vector<task_batch> planned;
        if (model.isAlone) {
            // The plain rule: the first request's pieces go to the first idle target, alone.
            for (size_t i = 0; i < targets.size() && planned.empty() && !queue.empty(); ++i) {
                if (!targets[i].isIdle)
                    continue;
                task_batch batch { i, {} };
                for (size_t piece = 0; piece < queue.size() && batch.tasks.size() < model.batch; ++piece) {
                    if (queue[piece].request == queue.front().request)
                        batch.tasks.push_back(piece);
                }
                planned.push_back(batch);
            }
        } else
            planned = planBatches(pieces, targets, { model.batch }, at(now));
        std::set<size_t> sent;
        for (const auto& batch : planned) {
            model_call call { now + model.callMs + model.pieceMs * static_cast<double>(batch.tasks.size()), batch.target, {} };
            for (const size_t piece : batch.tasks) {
                call.requests.push_back(queue[piece].request);
                requests[queue[piece].request].isBegun = true;
                held[batch.target] += model.pieceBytes;
                sent.insert(piece);
            }
            calls.push_back(call);
        }
        std::vector<waiting> rest;
        for (size_t i = 0; i < queue.size(); ++i) {
            if (!sent.contains(i))
                rest.push_back(queue[i]);
        }
        queue = std::move(rest);
    }
    double inTime = 0;
    double all = 0;
    for (const auto& item : requests) {
        all += item.tokens;
        if (item.doneMs >= 0 && item.doneMs - item.arrivesMs <= model.objectiveMs)
            inTime += item.tokens;
    }
    return inTime / all;
}

std::vector<model_request> arrivals(double perSecond, double lengthMs, size_t fewest, size_t most, unsigned seed)
{
    std::mt19937 random(seed);
    std::exponential_distribution<double> gap(perSecond / 1000);
    std::uniform_int_distribution<size_t> pieces(fewest, most);
    std::vector<model_request> requests;
    for (double now = gap(random); now < lengthMs; now += gap(random))
        requests.push_back({ .arrivesMs = now, .pieces = pieces(random) });
    return requests;
}
}

Test(batching, one_call_takes_the_pieces_of_many_requests)
{
    const auto pieces = join(groupOf(1, 3, milliseconds(300)), groupOf(2, 3, milliseconds(200)));
    const std::vector<pool_target> targets { idleTarget() };
    const auto batches = planBatches(pieces, targets, { 8 }, start);
    cr_assert_eq(batches.size(), 1u);
    cr_assert_eq(batches[0].tasks.size(), 6u);
    cr_assert_eq(pieces[batches[0].tasks[0]].jobId, 2u, "the request that is due first comes first");
}

Test(batching, idle_targets_share_what_waits_without_splitting_requests)
{
    const auto pieces = join(groupOf(1, 4, milliseconds(300)), groupOf(2, 4, milliseconds(300)));
    const std::vector<pool_target> targets { idleTarget(), idleTarget() };
    const auto batches = planBatches(pieces, targets, { 8 }, start);
    cr_assert_eq(batches.size(), 2u);
    for (const auto& batch : batches) {
        cr_assert_eq(batch.tasks.size(), 4u);
        const uint64_t group = pieces[batch.tasks[0]].jobId;
        cr_assert(std::all_of(batch.tasks.begin(), batch.tasks.end(), [&](size_t i) { return pieces[i].jobId == group; }));
    }
}

Test(batching, a_request_that_can_still_be_in_time_goes_before_one_that_cannot)
{
    const auto pieces = join(groupOf(1, 2, milliseconds(-50)), groupOf(2, 2, milliseconds(400)));
    const std::vector<pool_target> targets { idleTarget() };
    const auto batches = planBatches(pieces, targets, { 2 }, start);
    cr_assert_eq(batches.size(), 1u);
    cr_assert_eq(pieces[batches[0].tasks[0]].jobId, 2u);
}

Test(batching, a_more_urgent_request_goes_first_among_those_that_are_due_alike)
{
    auto pieces = join(groupOf(1, 1, milliseconds(300)), groupOf(2, 1, milliseconds(350)));
    pieces[0].rank = 2;
    const std::vector<pool_target> targets { idleTarget() };
    const auto batches = planBatches(pieces, targets, { 1 }, start);
    cr_assert_eq(pieces[batches[0].tasks[0]].jobId, 2u);
}

Test(batching, a_request_is_begun_only_if_all_its_results_will_find_memory)
{
    const auto pieces = join(groupOf(1, 4, milliseconds(100), 10), groupOf(2, 1, milliseconds(200), 10));
    std::vector<pool_target> targets { idleTarget("a", 30) };
    targets[0].totalBytes = 100;
    cr_assert(planBatches(pieces, targets, { 8 }, start).empty(), "memory is left for the request that is due first");
    auto begun = pieces;
    for (size_t i = 0; i < 4; ++i)
        begun[i].isJobStarted = true;
    const auto batches = planBatches(begun, targets, { 8 }, start);
    cr_assert_eq(batches.size(), 1u);
    cr_assert_eq(batches[0].tasks.size(), 3u, "one that was begun goes on as far as memory reaches");
}

Test(batching, a_small_request_passes_one_that_waits_for_memory)
{
    const auto pieces = join(groupOf(1, 4, milliseconds(100), 1000), groupOf(2, 1, milliseconds(200), 1), groupOf(3, 1, milliseconds(300), 1000));
    std::vector<pool_target> targets { idleTarget("a", 3000) };
    targets[0].totalBytes = 10000;
    const auto batches = planBatches(pieces, targets, { 8 }, start);
    cr_assert_eq(batches.size(), 1u);
    cr_assert_eq(batches[0].tasks.size(), 1u);
    cr_assert_eq(pieces[batches[0].tasks[0]].jobId, 2u, "what is left for the large one is not used up by another");
}

Test(batching, a_bound_piece_waits_for_its_failure_domain_but_not_for_ever)
{
    std::vector<queued_task> pieces { pieceOf(1, milliseconds(800)) };
    pieces[0].requiredDomain = "b";
    std::vector<pool_target> targets { idleTarget("a"), idleTarget("b") };
    targets[1].isIdle = false;
    cr_assert(planBatches(pieces, targets, { 8 }, start).empty());
    cr_assert_eq(planBatches(pieces, targets, { 8 }, start + milliseconds(450)).size(), 1u);
    targets[1].penalty = 1000;
    cr_assert_eq(planBatches(pieces, targets, { 8 }, start).size(), 1u, "a domain without a sound target is not waited for");
}

Test(batching, a_bad_target_gets_only_what_has_waited)
{
    const std::vector<queued_task> pieces { pieceOf(1, milliseconds(800)) };
    std::vector<pool_target> targets { idleTarget(), idleTarget() };
    targets[0].penalty = 6;
    targets[1].isIdle = false;
    cr_assert(planBatches(pieces, targets, { 8 }, start).empty());
    targets[1].isIdle = true;
    const auto batches = planBatches(pieces, targets, { 8 }, start);
    cr_assert_eq(batches.size(), 1u);
    cr_assert_eq(batches[0].target, 1u);
}

Test(batching, where_all_targets_are_bad_their_memory_still_counts)
{
    const auto pieces = join(groupOf(1, 1, milliseconds(300), 10), groupOf(2, 1, milliseconds(300), 10), groupOf(3, 1, milliseconds(300), 10));
    std::vector<pool_target> targets { idleTarget() };
    targets[0].penalty = 6;
    const auto batches = planBatches(pieces, targets, { 8 }, start);
    cr_assert_eq(batches.size(), 1u);
    cr_assert_eq(batches[0].tasks.size(), 3u);
}

Test(batching, no_piece_and_no_target_is_planned_twice)
{
    std::mt19937 random(7);
    for (int round = 0; round < 500; ++round) {
        std::vector<queued_task> pieces;
        for (uint64_t group = 1; group <= random() % 12; ++group) {
            auto made = groupOf(group, 1 + random() % 9, milliseconds(static_cast<int>(random() % 600) - 100), static_cast<double>(random() % 4));
            for (auto& piece : made) {
                piece.requiredDomain = random() % 3 == 0 ? "b" : "";
                piece.isJobStarted = group % 3 == 0;
            }
            pieces.insert(pieces.end(), made.begin(), made.end());
        }
        std::vector<pool_target> targets;
        for (size_t i = 0; i < 1 + random() % 5; ++i) {
            targets.push_back(idleTarget(random() % 2 ? "a" : "b", static_cast<double>(random() % 40)));
            targets.back().isIdle = random() % 4 != 0;
        }
        std::set<size_t> seenPieces;
        std::set<size_t> seenTargets;
        for (const auto& batch : planBatches(pieces, targets, { 8 }, start)) {
            cr_assert(seenTargets.insert(batch.target).second);
            cr_assert(targets[batch.target].isIdle);
            cr_assert(!batch.tasks.empty() && batch.tasks.size() <= 8);
            double bytes = 0;
            for (const size_t piece : batch.tasks) {
                cr_assert(seenPieces.insert(piece).second);
                bytes += pieces[piece].resultBytes;
            }
            cr_assert_leq(bytes, targets[batch.target].freeBytes);
        }
    }
}

Test(batching, a_burst_of_small_requests_is_served_where_calls_of_their_own_are_late)
{
    const auto burst = arrivals(30, 5000, 1, 3, 11);
    pool_model shared;
    pool_model alone;
    alone.isAlone = true;
    const double withSharing = replay(shared, burst);
    const double without = replay(alone, burst);
    cr_assert_geq(withSharing, 0.95, "%f", withSharing);
    cr_assert_leq(without, 0.6, "%f", without);
}

Test(batching, in_overload_more_tokens_are_served_in_time_by_what_requests_are_worth)
{
    // Twice what the pool can make; sizes of requests vary as widely as those of prompts do.
    auto burst = arrivals(36, 5000, 4, 8, 17);
    std::mt19937 random(23);
    std::lognormal_distribution<double> size(0, 1);
    for (auto& request : burst)
        request.tokens = 1000 * size(random);
    pool_model model;
    model.objectiveMs = 1500;
    const double byLatestStart = replay(model, burst);
    model.isValued = true;
    const double byValue = replay(model, burst);
    cr_assert_geq(byValue, byLatestStart + 0.1, "%f against %f", byValue, byLatestStart);
}

Test(batching, results_that_are_given_up_early_leave_memory_for_others)
{
    pool_model model;
    model.memoryBytes = 36;
    model.pieceBytes = 3;
    model.objectiveMs = 1200;
    const auto burst = arrivals(20, 6000, 1, 6, 5);
    model.holdMs = 400;
    const double keptUntilFirstEvent = replay(model, burst);
    model.holdMs = 45;
    const double givenUpOnceFetched = replay(model, burst);
    cr_assert_geq(givenUpOnceFetched, keptUntilFirstEvent + 0.1, "%f against %f", givenUpOnceFetched, keptUntilFirstEvent);
}

Test(batching, requests_with_many_bulky_results_do_not_block_one_another)
{
    pool_model model;
    model.memoryBytes = 36;
    model.pieceBytes = 3;
    model.holdMs = 250;
    model.objectiveMs = 1200;
    const double inTime = replay(model, arrivals(11, 6000, 1, 6, 5));
    cr_assert_geq(inTime, 0.8, "%f", inTime);
}
