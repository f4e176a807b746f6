/// Replay of requests at a simulated pool, without a network: arrivals with ranks, accounts and values, calls of full batches,
/// admission, and memory that results occupy.
#pragma once

#include "policy/pool_admission.hpp"
#include "policy/work_value.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace bilberryseam::tests::pool_load {

using namespace policy;

inline const time_point start { seconds(1000) };
constexpr milliseconds callOverhead { 120 };
constexpr double taskMilliseconds = 15;
constexpr size_t batchSize = 8;
constexpr size_t targetCount = 6;
/// Share of the pool's capacity that the usual load takes.
constexpr double usualLoad = 0.65;
constexpr size_t maxTasks = 8;
constexpr milliseconds objective { 2000 };
constexpr milliseconds deadline { 8000 };
/// A caller that retries at once comes back after this time.
constexpr milliseconds retryDelay { 20 };
constexpr unsigned accountCount = 10;

/// Two classes of requests share the pool: those with at most this many tasks have expensive tasks with large results, the
/// others have cheap ones.
constexpr size_t maxExpensiveTasks = 3;
constexpr double expensiveMilliseconds = 16;
constexpr double cheapMilliseconds = 4.8;
constexpr double expensiveBytes = 3e6;

struct pool_shape {
    size_t targets = targetCount;
    milliseconds overhead = callOverhead;
    /// Mean time of a task, which the profile of the pool states.
    double meanMilliseconds = taskMilliseconds;
    bool hasTwoClasses = false;
    double targetBytes = 1e12;
};

/// The mean is that of 1 to 8 tasks for each request. The memory holds the results of two and a half full calls for each target.
inline const pool_shape twoClasses { 9, milliseconds(150), (6 * expensiveMilliseconds + 30 * cheapMilliseconds) / 36, true, 20 * expensiveBytes };

struct request {
    milliseconds arrival { 0 };
    uint32_t rank = 0;
    unsigned account = 0;
    size_t tasks = 1;
    double tokens = 1;
    // Outcome.
    std::optional<milliseconds> finish;
    size_t missing = 0;
    bool isStarted = false;
    unsigned refusals = 0;
};

struct replay_options {
    bool hasAdmission = true;
    bool retriesAtOnce = false;
    /// Targets that fail at `lossAt` with their running calls, whose tasks are queued again.
    size_t lostTargets = 0;
    milliseconds lossAt { 0 };
    pool_shape shape {};
};

struct waiting_task {
    size_t request = 0;
    time_point queuedAt {};
    milliseconds boost { 0 };
    std::optional<time_point> overtakenAt;
};

struct running_call {
    size_t target = 0;
    time_point end {};
    /// End by the profile of the pool, which is what the prediction knows.
    time_point expectedEnd {};
    std::vector<waiting_task> tasks;
};

/// A result that occupies memory until its request has all of them or its deadline passes.
struct held_result {
    size_t target = 0;
    size_t request = 0;
    double bytes = 0;
};

struct pool_replay {
    replay_options options;
    std::vector<request> requests;
    std::vector<waiting_task> queue;
    std::vector<running_call> calls;
    /// Requests by the time at which they arrive, again or for the first time.
    std::multimap<time_point, size_t> arrivals;
    value_average values;
    account_usage usage;
    standing_table standings;
    std::vector<held_result> results;
    time_point nextPredictionAt {};
    size_t targets = targetCount;

    account_rank userOf(size_t index) const { return { "account-" + std::to_string(requests[index].account), requests[index].rank }; }

    bool isExpensive(size_t index) const { return options.shape.hasTwoClasses && requests[index].tasks <= maxExpensiveTasks; }
    double bytesOf(size_t index) const { return isExpensive(index) ? expensiveBytes : 0; }

    double millisecondsOf(size_t index) const
    {
        if (!options.shape.hasTwoClasses)
            return options.shape.meanMilliseconds;
        return isExpensive(index) ? expensiveMilliseconds : cheapMilliseconds;
    }

    time_point expiryOf(time_point arrivedAt) const { return arrivedAt + deadline - options.shape.overhead; }

    queued_task view(const waiting_task& task, time_point arrivedAt) const
    {
        const request& item = requests[task.request];
        queued_task result;
        result.jobId = task.request + 1;
        result.isJobStarted = item.isStarted;
        result.latestStart = arrivedAt + objective - options.shape.overhead - milliseconds(static_cast<int64_t>(options.shape.meanMilliseconds * batchSize));
        result.queuedAt = task.queuedAt;
        result.rank = item.rank;
        result.boost = task.boost;
        result.deadline = expiryOf(arrivedAt);
        result.resultBytes = bytesOf(task.request);
        if (const auto position = standings.find(userOf(task.request)); position != standings.end())
            result.standing = position->second;
        if (task.overtakenAt)
            result.protectedFrom = *task.overtakenAt + objective / 2;
        return result;
    }

    batching_rules rules() const
    {
        batching_rules result { batchSize };
        result.isOrderedByRankAndAccount = options.hasAdmission;
        if (options.hasAdmission)
            result.delayPerRank = orderedDelayPerRank;
        return result;
    }

    void updateStandings(time_point now)
    {
        standings.clear();
        if (!options.hasAdmission || queue.size() <= targets * batchSize)
            return;
        std::vector<account_rank> waiting;
        for (size_t i = 0; i < queue.size(); ++i) {
            if (i == 0 || queue[i].request != queue[i - 1].request)
                waiting.push_back(userOf(queue[i].request));
        }
        standings = standingsOf(usage, waiting, now);
    }

    std::vector<queued_task> views(std::span<const waiting_task> tasks) const
    {
        std::vector<queued_task> result;
        for (const auto& task : tasks)
            result.push_back(view(task, task.queuedAt));
        return result;
    }

    pool_capacity capacityAt(time_point now) const
    {
        pool_capacity capacity { std::vector<time_point>(targets, now), batchSize, options.shape.overhead, options.shape.meanMilliseconds };
        for (const auto& call : calls)
            capacity.freeAt[call.target] = std::max(now, call.expectedEnd);
        return capacity;
    }

    void refuse(size_t index, time_point now)
    {
        ++requests[index].refusals;
        if (options.retriesAtOnce)
            arrivals.emplace(now + retryDelay, index);
    }

    void refuseLateJobs(time_point now)
    {
        if (!options.hasAdmission || now < nextPredictionAt)
            return;
        nextPredictionAt = now + repredictionInterval;
        updateStandings(now);
        auto tasks = views(queue);
        predictLateJobs(tasks, capacityAt(now), rules(), now);
        for (const auto& late : jobsWithoutStart(tasks, capacityAt(now), rules(), now)) {
            const size_t index = late.jobId - 1;
            if (requests[index].isStarted)
                continue;
            std::erase_if(queue, [index](const auto& task) { return task.request == index; });
            // The caller has waited for long and does not return. If all did, the replay would not end within minutes.
            ++requests[index].refusals;
        }
    }

    void arrive(size_t index, time_point now)
    {
        request& item = requests[index];
        const milliseconds boost = recordValue(values, item.tokens, static_cast<uint32_t>(item.tasks));
        std::vector<waiting_task> tasks = queue;
        tasks.insert(tasks.end(), item.tasks, { index, now, boost, {} });
        if (options.hasAdmission) {
            const pool_capacity capacity = capacityAt(now);
            if (!hasRoomInAnyOrder(queue.size(), item.tasks, capacity, expiryOf(now), now)) {
                updateStandings(now);
                auto waiting = views(tasks);
                predictLateJobs(waiting, capacity, rules(), now);
                if (!admitJob(waiting, queue.size(), capacity, rules(), now).isAccepted) {
                    refuse(index, now);
                    return;
                }
            }
        }
        item.missing = item.tasks;
        item.arrival = std::chrono::duration_cast<milliseconds>(now - start);
        queue = std::move(tasks);
    }

    void endCalls(time_point now)
    {
        std::erase_if(calls, [&](const running_call& call) {
            if (call.end > now)
                return false;
            for (const auto& task : call.tasks) {
                if (--requests[task.request].missing == 0)
                    requests[task.request].finish = std::chrono::duration_cast<milliseconds>(now - start);
            }
            return true;
        });
    }

    void loseTargets()
    {
        targets -= std::exchange(options.lostTargets, 0);
        std::erase_if(calls, [&](const running_call& call) {
            if (call.target < targets)
                return false;
            queue.insert(queue.end(), call.tasks.begin(), call.tasks.end());
            return true;
        });
        std::erase_if(results, [this](const auto& result) { return result.target >= targets; });
    }

    void startCalls(time_point now)
    {
        std::erase_if(queue, [&](const auto& task) { return expiryOf(task.queuedAt) <= now; });
        std::erase_if(results, [&](const auto& result) { return requests[result.request].finish || start + requests[result.request].arrival + deadline <= now; });
        refuseLateJobs(now);
        std::vector<pool_target> states(targets, { "a", true, options.shape.targetBytes, options.shape.targetBytes, 1 });
        for (const auto& result : results)
            states[result.target].freeBytes -= result.bytes;
        for (const auto& call : calls)
            states[call.target].isIdle = false;
        if (queue.empty() || calls.size() == targets)
            return;
        updateStandings(now);
        auto tasks = views(queue);
        predictLateJobs(tasks, capacityAt(now), rules(), now);
        const auto batches = planBatches(tasks, states, rules(), now);
        if (options.hasAdmission) {
            for (const size_t index : overtakenTasks(tasks, batches))
                queue[index].overtakenAt = queue[index].overtakenAt.value_or(now);
        }
        std::vector<bool> isSent(queue.size(), false);
        for (const auto& batch : batches) {
            const auto overhead = static_cast<double>(options.shape.overhead.count());
            const double expected = overhead + options.shape.meanMilliseconds * static_cast<double>(batch.tasks.size());
            double actual = overhead;
            for (const size_t index : batch.tasks)
                actual += millisecondsOf(queue[index].request);
            running_call call { batch.target, now + milliseconds(static_cast<int64_t>(actual)), now + milliseconds(static_cast<int64_t>(expected)), {} };
            for (const size_t index : batch.tasks) {
                isSent[index] = true;
                call.tasks.push_back(queue[index]);
                requests[queue[index].request].isStarted = true;
                results.push_back({ batch.target, queue[index].request, bytesOf(queue[index].request) });
                recordUse(usage, userOf(queue[index].request), expected / static_cast<double>(batch.tasks.size()), now);
            }
            calls.push_back(std::move(call));
        }
        size_t position = 0;
        std::erase_if(queue, [&](const auto&) { return isSent[position++]; });
    }

    void run()
    {
        for (size_t i = 0; i < requests.size(); ++i)
            arrivals.emplace(start + requests[i].arrival, i);
        for (time_point now = start; !arrivals.empty() || !queue.empty() || !calls.empty(); now += milliseconds(2)) {
            endCalls(now);
            if (options.lostTargets > 0 && now >= start + options.lossAt)
                loseTargets();
            while (!arrivals.empty() && arrivals.begin()->first <= now) {
                const size_t index = arrivals.begin()->second;
                arrivals.erase(arrivals.begin());
                arrive(index, now);
            }
            startCalls(now);
        }
    }
};

inline std::vector<request> replay(std::vector<request> requests, const replay_options& options)
{
    pool_replay pool;
    pool.options = options;
    pool.targets = options.shape.targets;
    pool.requests = std::move(requests);
    pool.run();
    return pool.requests;
}

/// @param loadAt  Multiple of the usual load at a time.
template <typename Load>
std::vector<request> requestsOf(Load loadAt, milliseconds length, unsigned seed, const pool_shape& shape = {})
{
    std::mt19937 random(seed);
    const double tasksPerSecond = static_cast<double>(shape.targets * batchSize) * 1000 / (static_cast<double>(shape.overhead.count()) + shape.meanMilliseconds * batchSize);
    const double usualRate = usualLoad * tasksPerSecond / (static_cast<double>(maxTasks + 1) / 2);
    std::lognormal_distribution<double> tokens(0, 1);
    std::vector<request> requests;
    double now = 0;
    while (true) {
        const double load = loadAt(milliseconds(static_cast<int64_t>(now)));
        now += std::exponential_distribution<double>(usualRate * load / 1000)(random);
        if (now >= static_cast<double>(length.count()))
            return requests;
        request item;
        item.arrival = milliseconds(static_cast<int64_t>(now));
        item.rank = random() % 3;
        item.account = random() % accountCount;
        item.tasks = 1 + random() % maxTasks;
        item.tokens = 1000 * tokens(random);
        requests.push_back(item);
    }
}
}
