#include "policy/batching.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <map>
#include <numeric>
#include <unordered_map>
#include <unordered_set>

namespace bilberryseam::policy {

namespace {
    /// A target with this penalty or a higher one is unhealthy: it gets only tasks that have waited for a healthy one.
    constexpr double unhealthyPenalty = 3;

    /// A job that needs more than this share of all memory is started once that share is free.
    constexpr double maxJobMemoryShare = 0.5;

    /// A job that needs less than this share of all memory may start while a larger one waits for memory.
    constexpr double smallJobMemoryShare = 0.002;

    bool isHealthy(const pool_target& target) noexcept { return target.penalty < unhealthyPenalty; }

    /// Share of the tasks for jobs that were overtaken for too long. At two and a half times a pool's capacity, two fifths of
    /// the tasks are served. A rank, account or size whose tasks are all late still gets a quarter of that if about half of the
    /// reserve goes to it.
    constexpr double overtakenShare = 1.0 / 6;

    /// Tasks that the reserve may allow at once after a time in which none of its jobs could be started.
    constexpr double maxOvertakenCredit = 8;

    bool isLate(const queued_task& task, time_point now) noexcept { return task.latestStart < now; }

    /// Orders by latest start, with the delay for each rank and the boost.
    void sortByDueTime(std::vector<size_t>& order, std::span<const queued_task> tasks, const batching_rules& rules, time_point now)
    {
        const auto dueTime = [&](size_t i) { return tasks[i].latestStart + rules.delayPerRank * tasks[i].rank - tasks[i].boost; };
        std::stable_sort(order.begin(), order.end(), [&](size_t left, size_t right) {
            if (tasks[left].isJobStarted != tasks[right].isJobStarted)
                return tasks[left].isJobStarted;
            if (isLate(tasks[left], now) != isLate(tasks[right], now))
                return isLate(tasks[right], now);
            if (dueTime(left) != dueTime(right))
                return dueTime(left) < dueTime(right);
            return tasks[left].jobId < tasks[right].jobId;
        });
    }

    bool precedesInRank(const queued_task& left, const queued_task& right)
    {
        if (left.isOvertakenTooLong != right.isOvertakenTooLong)
            return left.isOvertakenTooLong;
        if (left.isOvertakenTooLong && left.queuedAt != right.queuedAt)
            return left.queuedAt < right.queuedAt;
        if (left.standing != right.standing)
            return left.standing < right.standing;
        if (left.latestStart - left.boost != right.latestStart - right.boost)
            return left.latestStart - left.boost < right.latestStart - right.boost;
        return left.jobId < right.jobId;
    }

    /// Waiting tasks of one rank.
    struct rank_queue {
        uint32_t rank = 0;
        /// In the order within the rank.
        std::vector<size_t> tasks;
        /// Latest starts of `tasks` in ascending order.
        std::vector<time_point> latestStarts;
    };

    /// Takes tasks from the queues of all ranks. A less urgent rank comes first only with a task whose latest start is before
    /// those of all more urgent tasks, by the delay for each rank.
    class rank_merge {
    public:
        rank_merge(const std::vector<size_t>& group, std::span<const queued_task> tasks, milliseconds delayPerRank)
            : m_tasks(tasks)
            , m_delayPerRank(delayPerRank)
            , m_remaining(group.size())
        {
            std::map<uint32_t, std::vector<size_t>> byRank;
            for (const size_t index : group)
                byRank[tasks[index].rank].push_back(index);
            for (auto& [rank, items] : byRank) {
                std::stable_sort(items.begin(), items.end(), [&tasks](size_t left, size_t right) { return precedesInRank(tasks[left], tasks[right]); });
                rank_queue queue { rank, std::move(items), {} };
                for (const size_t index : queue.tasks)
                    queue.latestStarts.push_back(tasks[index].latestStart);
                std::sort(queue.latestStarts.begin(), queue.latestStarts.end());
                m_queues.push_back(std::move(queue));
            }
        }

        void appendTo(std::vector<size_t>& order)
        {
            for (; m_remaining > 0; --m_remaining)
                order.push_back(takeNext());
        }

    private:
        size_t takeNext()
        {
            rank_queue* best = nullptr;
            size_t bestPosition = 0;
            time_point limit = time_point::max();
            uint32_t previousRank = 0;
            for (auto& queue : m_queues) {
                if (queue.tasks.empty())
                    continue;
                if (best)
                    limit -= m_delayPerRank * (queue.rank - previousRank);
                const auto isBeforeLimit = [&](size_t index) { return !best || m_tasks[index].latestStart < limit; };
                const auto position = std::find_if(queue.tasks.begin(), queue.tasks.end(), isBeforeLimit);
                if (position != queue.tasks.end()) {
                    best = &queue;
                    bestPosition = static_cast<size_t>(position - queue.tasks.begin());
                }
                limit = std::min(limit, queue.latestStarts.front());
                previousRank = queue.rank;
            }
            const size_t index = best->tasks[bestPosition];
            best->tasks.erase(best->tasks.begin() + static_cast<std::ptrdiff_t>(bestPosition));
            best->latestStarts.erase(std::lower_bound(best->latestStarts.begin(), best->latestStarts.end(), m_tasks[index].latestStart));
            return index;
        }

        std::span<const queued_task> m_tasks;
        milliseconds m_delayPerRank;
        std::vector<rank_queue> m_queues;
        size_t m_remaining;
    };

    /// @return The job that the reserve starts next: of those that need it, the one with the earliest latest start, and of
    /// these the most urgent.
    std::optional<uint64_t> overtakenJob(std::span<const queued_task> tasks, time_point now)
    {
        const queued_task* first = nullptr;
        for (const auto& task : tasks) {
            if (!needsReserve(task, now))
                continue;
            if (!first || std::pair(task.latestStart, task.rank) < std::pair(first->latestStart, first->rank))
                first = &task;
        }
        return first ? std::optional(first->jobId) : std::nullopt;
    }

    std::vector<size_t> orderByRankAndAccount(std::span<const queued_task> tasks, const batching_rules& rules, time_point now)
    {
        std::vector<size_t> order;
        std::array<std::vector<size_t>, 4> groups;
        const auto reserved = rules.isOvertakenJobDue ? overtakenJob(tasks, now) : std::nullopt;
        for (size_t i = 0; i < tasks.size(); ++i) {
            const queued_task& task = tasks[i];
            const size_t group = (isLate(task, now) ? 2U : 0U) + (task.standing == share_standing::FarAboveShare ? 1U : 0U);
            (task.isJobStarted ? order : groups[group]).push_back(i);
        }
        sortByDueTime(order, tasks, rules, now);
        if (reserved) {
            for (auto& group : groups) {
                std::copy_if(group.begin(), group.end(), std::back_inserter(order), [&](size_t i) { return tasks[i].jobId == *reserved; });
                std::erase_if(group, [&](size_t i) { return tasks[i].jobId == *reserved; });
            }
        }
        for (const auto& group : groups)
            rank_merge(group, tasks, rules.delayPerRank).appendTo(order);
        return order;
    }

    /// Leaves out the tasks of jobs for which there is memory for only some of the results.
    std::vector<size_t> filterByMemory(const std::vector<size_t>& order, std::span<const queued_task> tasks, std::span<const pool_target> targets)
    {
        double freeBytes = 0;
        double totalBytes = 0;
        const bool hasHealthy = std::any_of(targets.begin(), targets.end(), isHealthy);
        for (const auto& target : targets) {
            // Memory of unhealthy targets counts only if no target is healthy: then they run the tasks.
            if (hasHealthy && !isHealthy(target))
                continue;
            freeBytes += std::max(0.0, target.freeBytes);
            totalBytes += target.totalBytes;
        }
        std::unordered_map<uint64_t, double> jobBytes;
        for (const auto& task : tasks)
            jobBytes[task.jobId] += task.resultBytes;
        std::unordered_set<uint64_t> admittedJobs;
        bool isMemoryShort = false;
        std::vector<size_t> keptTasks;
        for (const size_t index : order) {
            const queued_task& task = tasks[index];
            if (!task.isJobStarted && !admittedJobs.contains(task.jobId)) {
                // Reserves free memory for the first job that does not fit.
                const double neededBytes = std::min(jobBytes[task.jobId], totalBytes * maxJobMemoryShare);
                const bool isSmall = neededBytes < totalBytes * smallJobMemoryShare && neededBytes <= freeBytes;
                isMemoryShort = isMemoryShort || neededBytes > freeBytes;
                if (isMemoryShort && !isSmall)
                    continue;
            }
            if (admittedJobs.insert(task.jobId).second)
                freeBytes -= jobBytes[task.jobId];
            keptTasks.push_back(index);
        }
        return keptTasks;
    }

    std::vector<size_t> idleTargets(std::span<const pool_target> targets)
    {
        std::vector<size_t> order;
        for (size_t i = 0; i < targets.size(); ++i) {
            if (targets[i].isIdle)
                order.push_back(i);
        }
        std::stable_sort(order.begin(), order.end(), [&](size_t left, size_t right) { return targets[left].penalty < targets[right].penalty; });
        return order;
    }

    struct planner {
        std::span<const queued_task> tasks;
        std::span<const pool_target> targets;
        const batching_rules& rules;
        time_point now;
        bool hasHealthy = false;

        bool hasHealthyIn(std::string_view domain) const
        {
            return std::any_of(targets.begin(), targets.end(), [domain](const auto& item) { return item.failureDomain == domain && isHealthy(item); });
        }

        bool mayRunAt(const queued_task& task, const pool_target& target) const
        {
            const auto waitTime = now - task.queuedAt;
            if (!isHealthy(target) && hasHealthy && waitTime < rules.requiredDomainWait)
                return false;
            if (!task.requiredDomain.empty())
                return target.failureDomain == task.requiredDomain || waitTime >= rules.requiredDomainWait || !hasHealthyIn(task.requiredDomain);
            return task.preferredDomain.empty() || target.failureDomain == task.preferredDomain || waitTime >= rules.preferredDomainWait || !hasHealthyIn(task.preferredDomain);
        }

        /// @return The idle target for a call that starts with this task: a healthy one in the task's failure domain, else the
        /// one with the lowest penalty.
        std::optional<size_t> targetFor(const queued_task& task, std::span<const size_t> idle) const
        {
            std::optional<size_t> best;
            for (const size_t index : idle) {
                const pool_target& target = targets[index];
                if (task.resultBytes > target.freeBytes || !mayRunAt(task, target))
                    continue;
                const bool isInDomain = target.failureDomain == (task.requiredDomain.empty() ? task.preferredDomain : task.requiredDomain);
                if (isInDomain && isHealthy(target))
                    return index;
                if (!best)
                    best = index;
            }
            return best;
        }

        /// Fills a call with tasks in order up to the fair share. Tasks of the call's last job may exceed the share, up to the
        /// batch size.
        std::vector<size_t> fillBatch(const pool_target& target, const std::vector<size_t>& order, size_t fairShare) const
        {
            std::vector<size_t> batchTasks;
            double freeBytes = target.freeBytes;
            for (const size_t index : order) {
                if (batchTasks.size() >= rules.batchSize)
                    break;
                const queued_task& task = tasks[index];
                const bool isSameJob = !batchTasks.empty() && tasks[batchTasks.back()].jobId == task.jobId;
                if (batchTasks.size() >= fairShare && !isSameJob)
                    break;
                if (task.resultBytes > freeBytes || !mayRunAt(task, target))
                    continue;
                freeBytes -= task.resultBytes;
                batchTasks.push_back(index);
            }
            return batchTasks;
        }
    };
}

void recordBatches(overtaken_reserve& reserve, std::span<const queued_task> tasks, std::span<const task_batch> batches, time_point now)
{
    size_t sent = 0;
    std::unordered_set<uint64_t> startedJobs;
    for (const auto& batch : batches) {
        sent += batch.tasks.size();
        for (const size_t index : batch.tasks) {
            if (needsReserve(tasks[index], now))
                startedJobs.insert(tasks[index].jobId);
        }
    }
    const auto isStarted = [&](const queued_task& task) { return startedJobs.contains(task.jobId); };
    const bool areWaiting = std::any_of(tasks.begin(), tasks.end(), [&](const auto& task) { return needsReserve(task, now) && !isStarted(task); });
    // A started job runs all its tasks.
    reserve.credit -= static_cast<double>(std::count_if(tasks.begin(), tasks.end(), isStarted));
    const double limit = areWaiting ? maxOvertakenCredit : 0;
    reserve.credit = std::clamp(reserve.credit + overtakenShare * static_cast<double>(sent), -maxOvertakenCredit, limit);
}

bool isReserveDue(const overtaken_reserve& reserve) noexcept { return reserve.credit > 0; }

bool needsReserve(const queued_task& task, time_point now) noexcept
{
    return task.isOvertakenTooLong && !task.isJobStarted && (isLate(task, now) || task.standing == share_standing::FarAboveShare);
}

std::vector<size_t> orderTasks(std::span<const queued_task> tasks, const batching_rules& rules, time_point now)
{
    if (rules.isOrderedByRankAndAccount)
        return orderByRankAndAccount(tasks, rules, now);
    std::vector<size_t> order(tasks.size());
    std::iota(order.begin(), order.end(), size_t { 0 });
    sortByDueTime(order, tasks, rules, now);
    return order;
}

std::vector<size_t> overtakenTasks(std::span<const queued_task> tasks, std::span<const task_batch> batches)
{
    std::map<uint32_t, time_point> newestSent;
    std::vector<bool> isSent(tasks.size(), false);
    for (const auto& batch : batches) {
        for (const size_t index : batch.tasks) {
            time_point& newest = newestSent[tasks[index].rank];
            newest = std::max(newest, tasks[index].queuedAt);
            isSent[index] = true;
        }
    }
    std::vector<size_t> overtaken;
    for (size_t i = 0; i < tasks.size(); ++i) {
        const auto position = newestSent.find(tasks[i].rank);
        if (!isSent[i] && position != newestSent.end() && tasks[i].queuedAt < position->second)
            overtaken.push_back(i);
    }
    return overtaken;
}

std::vector<task_batch> planBatches(std::span<const queued_task> tasks, std::span<const pool_target> targets, const batching_rules& rules, time_point now)
{
    planner plan { tasks, targets, rules, now };
    plan.hasHealthy = std::any_of(targets.begin(), targets.end(), isHealthy);
    std::vector<size_t> order = filterByMemory(orderTasks(tasks, rules, now), tasks, targets);
    std::vector<size_t> idle = idleTargets(targets);
    std::vector<task_batch> batches;
    for (size_t head = 0; head < order.size() && !idle.empty();) {
        const auto target = plan.targetFor(tasks[order[head]], idle);
        if (!target) {
            ++head;
            continue;
        }
        // Splits the queue evenly over the idle targets, so that each call is short.
        const size_t fairShare = (order.size() + idle.size() - 1) / idle.size();
        const std::vector<size_t> remaining(order.begin() + static_cast<std::ptrdiff_t>(head), order.end());
        task_batch batch { *target, plan.fillBatch(targets[*target], remaining, fairShare) };
        std::erase(idle, *target);
        std::erase_if(order, [&](size_t task) { return std::find(batch.tasks.begin(), batch.tasks.end(), task) != batch.tasks.end(); });
        batches.push_back(std::move(batch));
    }
    return batches;
}
}
