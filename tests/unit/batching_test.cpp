/// Batch planning for a pool, with unit cases and load patterns in a simulated pool.
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

queued_task taskOf(uint64_t jobId, milliseconds latestStart, double bytes = 0)
{
    queued_task task;
    task.jobId = jobId;
    task.latestStart = start + latestStart;
    task.queuedAt = start;
    task.resultBytes = bytes;
    return task;
}

std::vector<queued_task> jobOf(uint64_t jobId, size_t count, milliseconds latestStart, double bytes = 0)
{
    return std::vector<queued_task>(count, taskOf(jobId, latestStart, bytes));
}

template <typename... Jobs>
std::vector<queued_task> join(Jobs... jobs)
{
    std::vector<queued_task> all;
    (all.insert(all.end(), jobs.begin(), jobs.end()), ...);
    return all;
}

/// A simulated pool that gets requests of several tasks each; time is simulated.
struct pool_simulation {
    size_t targets = 3;
    size_t batchSize = 8;
    double callMs = 150;
    double taskMs = 16;
    double memoryBytes = 1e12;
    double resultBytes = 0;
    /// How long a request holds its results after it has received all of them, in milliseconds.
    double resultHoldMs = 0;
    double objectiveMs = 600;
    /// Sends the tasks of each request in separate calls, as an entry does that has no tasks of others.
    bool hasSeparateCalls = false;
    /// Boosts requests with more tokens for each task.
    bool hasValueBoost = false;
};

struct simulated_request {
    double arrivesMs = 0;
    size_t tasks = 1;
    size_t missingTasks = 0;
    double finishedMs = -1;
    bool isStarted = false;
    double tokens = 1;
    milliseconds boost { 0 };
};

struct simulated_call {
    double endsMs = 0;
    size_t target = 0;
    std::vector<size_t> requests;
};

/// @return Share of the requests, weighted by tokens, that received all results within the objective.
double simulate(const pool_simulation& model, std::vector<simulated_request> requests)
{
    struct queued_item {
        size_t request;
        double sinceMs;
    };
    std::vector<queued_item> queue;
    std::vector<simulated_call> calls;
    std::vector<double> usedBytes(model.targets, 0);
    std::vector<std::pair<double, std::pair<size_t, double>>> releases;
    std::vector<std::vector<size_t>> targetsOfRequest(requests.size());
    size_t next = 0;
    value_average values;
    const auto at = [](double ms) { return start + microseconds(static_cast<int64_t>(ms * 1000)); };
    for (double now = 0; now < 60000; now += 1) {
        while (next < requests.size() && requests[next].arrivesMs <= now) {
            requests[next].missingTasks = requests[next].tasks;
            if (model.hasValueBoost)
                requests[next].boost = recordValue(values, requests[next].tokens, static_cast<uint32_t>(requests[next].tasks));
            for (size_t i = 0; i < requests[next].tasks; ++i)
                queue.push_back({ next, now });
            ++next;
        }
        for (const auto& [when, release] : releases) {
            if (when <= now)
                usedBytes[release.first] -= release.second;
        }
        std::erase_if(releases, [now](const auto& item) { return item.first <= now; });
        for (const auto& call : calls) {
            if (call.endsMs > now)
                continue;
            for (const size_t index : call.requests) {
                targetsOfRequest[index].push_back(call.target);
                if (--requests[index].missingTasks > 0)
                    continue;
                requests[index].finishedMs = now;
                for (const size_t target : targetsOfRequest[index])
                    releases.push_back({ now + model.resultHoldMs, { target, model.resultBytes } });
            }
        }
        std::erase_if(calls, [now](const auto& call) { return call.endsMs <= now; });
        std::vector<queued_task> tasks;
        for (const auto& item : queue) {
            queued_task task;
            task.jobId = item.request + 1;
            task.isJobStarted = requests[item.request].isStarted;
            task.latestStart = at(requests[item.request].arrivesMs + model.objectiveMs - model.callMs - model.taskMs * static_cast<double>(model.batchSize));
            task.queuedAt = at(item.sinceMs);
            task.resultBytes = model.resultBytes;
            task.boost = requests[item.request].boost;
            tasks.push_back(task);
        }
        std::vector<pool_target> targets;
        for (size_t i = 0; i < model.targets; ++i) {
            const bool isBusy = std::any_of(calls.begin(), calls.end(), [i](const auto& call) { return call.target == i; });
            targets.push_back({ "a", !isBusy, model.memoryBytes - usedBytes[i], model.memoryBytes, 1 });
        }
        std::vector<task_batch> batches;
        if (model.hasSeparateCalls) {
            // Baseline: the tasks of the first request go to the first idle target in a separate call.
            for (size_t i = 0; i < targets.size() && batches.empty() && !queue.empty(); ++i) {
                if (!targets[i].isIdle)
                    continue;
                task_batch batch { i, {} };
                for (size_t task = 0; task < queue.size() && batch.tasks.size() < model.batchSize; ++task) {
                    if (queue[task].request == queue.front().request)
                        batch.tasks.push_back(task);
                }
                batches.push_back(batch);
            }
        } else
            batches = planBatches(tasks, targets, { model.batchSize }, at(now));
        std::set<size_t> sentTasks;
        for (const auto& batch : batches) {
            simulated_call call { now + model.callMs + model.taskMs * static_cast<double>(batch.tasks.size()), batch.target, {} };
            for (const size_t task : batch.tasks) {
                call.requests.push_back(queue[task].request);
                requests[queue[task].request].isStarted = true;
                usedBytes[batch.target] += model.resultBytes;
                sentTasks.insert(task);
            }
            calls.push_back(call);
        }
        std::vector<queued_item> remaining;
        for (size_t i = 0; i < queue.size(); ++i) {
            if (!sentTasks.contains(i))
                remaining.push_back(queue[i]);
        }
        queue = std::move(remaining);
    }
    double inTimeTokens = 0;
    double allTokens = 0;
    for (const auto& item : requests) {
        allTokens += item.tokens;
        if (item.finishedMs >= 0 && item.finishedMs - item.arrivesMs <= model.objectiveMs)
            inTimeTokens += item.tokens;
    }
    return inTimeTokens / allTokens;
}

std::vector<simulated_request> arrivals(double perSecond, double lengthMs, size_t minTasks, size_t maxTasks, unsigned seed)
{
    std::mt19937 random(seed);
    std::exponential_distribution<double> gap(perSecond / 1000);
    std::uniform_int_distribution<size_t> tasks(minTasks, maxTasks);
    std::vector<simulated_request> requests;
    for (double now = gap(random); now < lengthMs; now += gap(random))
        requests.push_back({ .arrivesMs = now, .tasks = tasks(random) });
    return requests;
}
}

Test(batching, one_call_takes_tasks_of_several_requests)
{
    const auto tasks = join(jobOf(1, 3, milliseconds(300)), jobOf(2, 3, milliseconds(200)));
    const std::vector<pool_target> targets { idleTarget() };
    const auto batches = planBatches(tasks, targets, { 8 }, start);
    cr_assert_eq(batches.size(), 1u);
    cr_assert_eq(batches[0].tasks.size(), 6u);
    cr_assert_eq(tasks[batches[0].tasks[0]].jobId, 2u, "the request with the earliest due time must come first");
}

Test(batching, queue_is_split_over_idle_targets_without_splitting_jobs)
{
    const auto tasks = join(jobOf(1, 4, milliseconds(300)), jobOf(2, 4, milliseconds(300)));
    const std::vector<pool_target> targets { idleTarget(), idleTarget() };
    const auto batches = planBatches(tasks, targets, { 8 }, start);
    cr_assert_eq(batches.size(), 2u);
    for (const auto& batch : batches) {
        cr_assert_eq(batch.tasks.size(), 4u);
        const uint64_t jobId = tasks[batch.tasks[0]].jobId;
        cr_assert(std::all_of(batch.tasks.begin(), batch.tasks.end(), [&](size_t i) { return tasks[i].jobId == jobId; }));
    }
}

Test(batching, request_that_can_meet_its_objective_goes_before_late_request)
{
    const auto tasks = join(jobOf(1, 2, milliseconds(-50)), jobOf(2, 2, milliseconds(400)));
    const std::vector<pool_target> targets { idleTarget() };
    const auto batches = planBatches(tasks, targets, { 2 }, start);
    cr_assert_eq(batches.size(), 1u);
    cr_assert_eq(tasks[batches[0].tasks[0]].jobId, 2u);
}

Test(batching, more_urgent_request_goes_first_among_similar_due_times)
{
    auto tasks = join(jobOf(1, 1, milliseconds(300)), jobOf(2, 1, milliseconds(350)));
    tasks[0].rank = 2;
    const std::vector<pool_target> targets { idleTarget() };
    const auto batches = planBatches(tasks, targets, { 1 }, start);
    cr_assert_eq(tasks[batches[0].tasks[0]].jobId, 2u);
}

Test(batching, job_starts_only_if_memory_suffices_for_all_its_results)
{
    const auto tasks = join(jobOf(1, 4, milliseconds(100), 10), jobOf(2, 1, milliseconds(200), 10));
    std::vector<pool_target> targets { idleTarget("a", 30) };
    targets[0].totalBytes = 100;
    cr_assert(planBatches(tasks, targets, { 8 }, start).empty(), "memory must be reserved for the request with the earliest due time");
    auto startedTasks = tasks;
    for (size_t i = 0; i < 4; ++i)
        startedTasks[i].isJobStarted = true;
    const auto batches = planBatches(startedTasks, targets, { 8 }, start);
    cr_assert_eq(batches.size(), 1u);
    cr_assert_eq(batches[0].tasks.size(), 3u, "a started job must continue as far as memory allows");
}

Test(batching, small_job_overtakes_job_that_waits_for_memory)
{
    const auto tasks = join(jobOf(1, 4, milliseconds(100), 1000), jobOf(2, 1, milliseconds(200), 1), jobOf(3, 1, milliseconds(300), 1000));
    std::vector<pool_target> targets { idleTarget("a", 3000) };
    targets[0].totalBytes = 10000;
    const auto batches = planBatches(tasks, targets, { 8 }, start);
    cr_assert_eq(batches.size(), 1u);
    cr_assert_eq(batches[0].tasks.size(), 1u);
    cr_assert_eq(tasks[batches[0].tasks[0]].jobId, 2u, "another large job must not use the memory reserved for the first");
}

Test(batching, task_waits_a_limited_time_for_its_required_domain)
{
    std::vector<queued_task> tasks { taskOf(1, milliseconds(800)) };
    tasks[0].requiredDomain = "b";
    std::vector<pool_target> targets { idleTarget("a"), idleTarget("b") };
    targets[1].isIdle = false;
    cr_assert(planBatches(tasks, targets, { 8 }, start).empty());
    cr_assert_eq(planBatches(tasks, targets, { 8 }, start + milliseconds(450)).size(), 1u);
    targets[1].penalty = 1000;
    cr_assert_eq(planBatches(tasks, targets, { 8 }, start).size(), 1u, "a task must not wait for a domain without a healthy target");
}

Test(batching, unhealthy_target_gets_only_tasks_that_have_waited)
{
    const std::vector<queued_task> tasks { taskOf(1, milliseconds(800)) };
    std::vector<pool_target> targets { idleTarget(), idleTarget() };
    targets[0].penalty = 6;
    targets[1].isIdle = false;
    cr_assert(planBatches(tasks, targets, { 8 }, start).empty());
    targets[1].isIdle = true;
    const auto batches = planBatches(tasks, targets, { 8 }, start);
    cr_assert_eq(batches.size(), 1u);
    cr_assert_eq(batches[0].target, 1u);
}

Test(batching, memory_of_unhealthy_targets_counts_if_none_is_healthy)
{
    const auto tasks = join(jobOf(1, 1, milliseconds(300), 10), jobOf(2, 1, milliseconds(300), 10), jobOf(3, 1, milliseconds(300), 10));
    std::vector<pool_target> targets { idleTarget() };
    targets[0].penalty = 6;
    const auto batches = planBatches(tasks, targets, { 8 }, start);
    cr_assert_eq(batches.size(), 1u);
    cr_assert_eq(batches[0].tasks.size(), 3u);
}

Test(batching, no_task_and_no_target_is_planned_twice)
{
    std::mt19937 random(7);
    for (int round = 0; round < 500; ++round) {
        std::vector<queued_task> tasks;
        for (uint64_t jobId = 1; jobId <= random() % 12; ++jobId) {
            auto jobTasks = jobOf(jobId, 1 + random() % 9, milliseconds(static_cast<int>(random() % 600) - 100), static_cast<double>(random() % 4));
            for (auto& task : jobTasks) {
                task.requiredDomain = random() % 3 == 0 ? "b" : "";
                task.isJobStarted = jobId % 3 == 0;
            }
            tasks.insert(tasks.end(), jobTasks.begin(), jobTasks.end());
        }
        std::vector<pool_target> targets;
        for (size_t i = 0; i < 1 + random() % 5; ++i) {
            targets.push_back(idleTarget(random() % 2 ? "a" : "b", static_cast<double>(random() % 40)));
            targets.back().isIdle = random() % 4 != 0;
        }
        std::set<size_t> seenTasks;
        std::set<size_t> seenTargets;
        for (const auto& batch : planBatches(tasks, targets, { 8 }, start)) {
            cr_assert(seenTargets.insert(batch.target).second);
            cr_assert(targets[batch.target].isIdle);
            cr_assert(!batch.tasks.empty() && batch.tasks.size() <= 8);
            double bytes = 0;
            for (const size_t task : batch.tasks) {
                cr_assert(seenTasks.insert(task).second);
                bytes += tasks[task].resultBytes;
            }
            cr_assert_leq(bytes, targets[batch.target].freeBytes);
        }
    }
}

Test(batching, shared_calls_serve_a_burst_of_small_requests_in_time)
{
    const auto burst = arrivals(30, 5000, 1, 3, 11);
    pool_simulation shared;
    pool_simulation separate;
    separate.hasSeparateCalls = true;
    const double sharedCalls = simulate(shared, burst);
    const double separateCalls = simulate(separate, burst);
    cr_assert_geq(sharedCalls, 0.95, "%f", sharedCalls);
    cr_assert_leq(separateCalls, 0.6, "%f", separateCalls);
}

Test(batching, value_boost_serves_more_tokens_in_time_under_overload)
{
    // Twice the capacity of the pool; request sizes vary as widely as those of prompts.
    auto burst = arrivals(36, 5000, 4, 8, 17);
    std::mt19937 random(23);
    std::lognormal_distribution<double> size(0, 1);
    for (auto& request : burst)
        request.tokens = 1000 * size(random);
    pool_simulation model;
    model.objectiveMs = 1500;
    const double byLatestStart = simulate(model, burst);
    model.hasValueBoost = true;
    const double byValue = simulate(model, burst);
    cr_assert_geq(byValue, byLatestStart + 0.1, "%f against %f", byValue, byLatestStart);
}

Test(batching, early_release_of_results_frees_memory_for_other_requests)
{
    pool_simulation model;
    model.memoryBytes = 36;
    model.resultBytes = 3;
    model.objectiveMs = 1200;
    const auto burst = arrivals(20, 6000, 1, 6, 5);
    model.resultHoldMs = 400;
    const double heldUntilFirstEvent = simulate(model, burst);
    model.resultHoldMs = 45;
    const double releasedAfterFetch = simulate(model, burst);
    cr_assert_geq(releasedAfterFetch, heldUntilFirstEvent + 0.1, "%f against %f", releasedAfterFetch, heldUntilFirstEvent);
}

Test(batching, requests_with_many_large_results_do_not_deadlock)
{
    pool_simulation model;
    model.memoryBytes = 36;
    model.resultBytes = 3;
    model.resultHoldMs = 250;
    model.objectiveMs = 1200;
    const double inTime = simulate(model, arrivals(11, 6000, 1, 6, 5));
    cr_assert_geq(inTime, 0.8, "%f", inTime);
}
