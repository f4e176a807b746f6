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

    bool isLate(const queued_task& task, time_point now) noexcept { return task.latestStart < now; }

    bool isInTime(const queued_task& task, time_point now) noexcept { return task.prediction == start_prediction::InTime && !isLate(task, now); }

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

    /// Gives tasks with the same latest start the places of these tasks in order of their ranks.
    void sortEqualStartsByRank(std::span<size_t> order, std::span<const queued_task> tasks)
    {
        std::map<time_point, std::vector<size_t>> places;
        for (size_t place = 0; place < order.size(); ++place)
            places[tasks[order[place]].latestStart].push_back(place);
        for (const auto& [latestStart, equal] : places) {
            std::vector<size_t> items;
            for (const size_t place : equal)
                items.push_back(order[place]);
            std::stable_sort(items.begin(), items.end(), [&tasks](size_t left, size_t right) { return tasks[left].rank < tasks[right].rank; });
            for (size_t i = 0; i < equal.size(); ++i)
                order[equal[i]] = items[i];
        }
    }

    /// Orders the tasks of a group by latest start, with the delays for rank and account and the boost.
    void sortByRankAndAccount(std::span<size_t> order, std::span<const queued_task> tasks, const batching_rules& rules, time_point now)
    {
        const auto dueTime = [&](size_t i) {
            const queued_task& task = tasks[i];
            if (isInTime(task, now))
                return task.latestStart;
            const time_point ofRank = task.latestStart + rules.delayPerRank * task.rank;
            if (task.protectedFrom <= now)
                return ofRank - std::max(std::chrono::duration_cast<time_point::duration>(task.boost), rules.maxBoost - (task.protectedFrom - task.queuedAt));
            return ofRank - task.boost + (task.standing == share_standing::WithinShare ? milliseconds(0) : rules.delayAboveShare);
        };
        std::stable_sort(order.begin(), order.end(), [&](size_t left, size_t right) { return std::pair(dueTime(left), tasks[left].jobId) < std::pair(dueTime(right), tasks[right].jobId); });
        sortEqualStartsByRank(order, tasks);
    }

    std::vector<size_t> orderByRankAndAccount(std::span<const queued_task> tasks, const batching_rules& rules, time_point now)
    {
        std::vector<size_t> order;
        std::array<std::vector<size_t>, 4> groups;
        for (size_t i = 0; i < tasks.size(); ++i) {
            const queued_task& task = tasks[i];
            const size_t group = (task.prediction == start_prediction::Late || isLate(task, now) ? 2U : 0U) + (task.standing == share_standing::FarAboveShare ? 1U : 0U);
            (task.isJobStarted ? order : groups[group]).push_back(i);
        }
        sortByDueTime(order, tasks, rules, now);
        for (auto& group : groups) {
            sortByRankAndAccount(group, tasks, rules, now);
            order.insert(order.end(), group.begin(), group.end());
        }
        return order;
    }

    /// The targets that tasks with the same permitted regions may use.
    struct region_group {
        const std::vector<std::string>* regions = nullptr;
        std::vector<bool> isPermitted;
        bool hasHealthy = false;
        double freeBytes = 0;
        double totalBytes = 0;
        /// A job of the group waits until its results fit; free memory is reserved for it.
        bool isMemoryShort = false;
    };

    region_group groupOf(const std::vector<std::string>* regions, std::span<const pool_target> targets)
    {
        region_group group { regions, {}, false, 0, 0, false };
        for (const auto& target : targets) {
            const bool isPermitted = !regions || (!target.region.empty() && std::binary_search(regions->begin(), regions->end(), target.region));
            group.isPermitted.push_back(isPermitted);
            group.hasHealthy = group.hasHealthy || (isPermitted && isHealthy(target));
        }
        for (size_t i = 0; i < targets.size(); ++i) {
            // Memory of unhealthy targets counts only if no target is healthy: then they run the tasks.
            if (!group.isPermitted[i] || (group.hasHealthy && !isHealthy(targets[i])))
                continue;
            group.freeBytes += std::max(0.0, targets[i].freeBytes);
            group.totalBytes += targets[i].totalBytes;
        }
        return group;
    }

    bool haveCommonTarget(const region_group& left, const region_group& right)
    {
        for (size_t i = 0; i < left.isPermitted.size(); ++i) {
            if (left.isPermitted[i] && right.isPermitted[i])
                return true;
        }
        return false;
    }

    /// Groups of tasks by their permitted regions, and the group of each task. Deployments have few combinations of regions.
    struct task_groups {
        std::vector<region_group> groups;
        std::vector<size_t> ofTask;

        task_groups(std::span<const queued_task> tasks, std::span<const pool_target> targets)
        {
            ofTask.reserve(tasks.size());
            for (const auto& task : tasks) {
                const auto isSame = [&task](const region_group& group) {
                    return group.regions == task.permittedRegions || (group.regions && task.permittedRegions && *group.regions == *task.permittedRegions);
                };
                const auto known = std::find_if(groups.begin(), groups.end(), isSame);
                ofTask.push_back(static_cast<size_t>(known - groups.begin()));
                if (known == groups.end())
                    groups.push_back(groupOf(task.permittedRegions, targets));
            }
        }
    };

    /// Leaves out the tasks of jobs for which there is memory for only some of the results.
    std::vector<size_t> filterByMemory(const std::vector<size_t>& order, std::span<const queued_task> tasks, task_groups& groups)
    {
        std::unordered_map<uint64_t, double> jobBytes;
        for (const auto& task : tasks)
            jobBytes[task.jobId] += task.resultBytes;
        std::unordered_set<uint64_t> admittedJobs;
        std::vector<size_t> keptTasks;
        for (const size_t index : order) {
            const queued_task& task = tasks[index];
            region_group& group = groups.groups[groups.ofTask[index]];
            if (!task.isJobStarted && !admittedJobs.contains(task.jobId)) {
                // Reserves free memory for the first job that does not fit.
                const double neededBytes = std::min(jobBytes[task.jobId], group.totalBytes * maxJobMemoryShare);
                const bool isSmall = neededBytes < group.totalBytes * smallJobMemoryShare && neededBytes <= group.freeBytes;
                group.isMemoryShort = group.isMemoryShort || neededBytes > group.freeBytes;
                if (group.isMemoryShort && !isSmall)
                    continue;
            }
            if (admittedJobs.insert(task.jobId).second) {
                for (auto& other : groups.groups)
                    other.freeBytes -= haveCommonTarget(group, other) ? jobBytes[task.jobId] : 0;
            }
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
        std::stable_sort(order.begin(), order.end(), [&](size_t left, size_t right) { return targets[left].penalty * targets[left].busyFactor < targets[right].penalty * targets[right].busyFactor; });
        return order;
    }

    struct planner {
        std::span<const queued_task> tasks;
        std::span<const pool_target> targets;
        const batching_rules& rules;
        time_point now;
        const task_groups& groups;

        static bool hasHealthyIn(std::span<const pool_target> targets, const region_group& group, std::string_view domain)
        {
            for (size_t i = 0; i < targets.size(); ++i) {
                if (group.isPermitted[i] && targets[i].failureDomain == domain && isHealthy(targets[i]))
                    return true;
            }
            return false;
        }

        bool mayRunAt(size_t taskIndex, size_t targetIndex) const
        {
            const queued_task& task = tasks[taskIndex];
            const pool_target& target = targets[targetIndex];
            const region_group& group = groups.groups[groups.ofTask[taskIndex]];
            if (!group.isPermitted[targetIndex])
                return false;
            const auto waitTime = now - task.queuedAt;
            if (!isHealthy(target) && group.hasHealthy && waitTime < rules.requiredDomainWait)
                return false;
            if (!task.requiredDomain.empty())
                return target.failureDomain == task.requiredDomain || waitTime >= rules.requiredDomainWait || !hasHealthyIn(targets, group, task.requiredDomain);
            return task.preferredDomain.empty() || target.failureDomain == task.preferredDomain || waitTime >= rules.preferredDomainWait || !hasHealthyIn(targets, group, task.preferredDomain);
        }

        /// @return The idle target for a call that starts with this task: a healthy one in the task's failure domain, else the
        /// one with the lowest penalty.
        std::optional<size_t> targetFor(size_t taskIndex, std::span<const size_t> idle) const
        {
            const queued_task& task = tasks[taskIndex];
            std::optional<size_t> best;
            for (const size_t index : idle) {
                const pool_target& target = targets[index];
                if (task.resultBytes > target.freeBytes || !mayRunAt(taskIndex, index))
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
        std::vector<size_t> fillBatch(size_t target, const std::vector<size_t>& order, size_t fairShare) const
        {
            std::vector<size_t> batchTasks;
            double freeBytes = targets[target].freeBytes;
            for (const size_t index : order) {
                if (batchTasks.size() >= rules.batchSize)
                    break;
                const queued_task& task = tasks[index];
                const bool isSameJob = !batchTasks.empty() && tasks[batchTasks.back()].jobId == task.jobId;
                if (batchTasks.size() >= fairShare && !isSameJob)
                    break;
                if (task.resultBytes > freeBytes || !mayRunAt(index, target))
                    continue;
                freeBytes -= task.resultBytes;
                batchTasks.push_back(index);
            }
            return batchTasks;
        }
    };
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
    task_groups groups(tasks, targets);
    const planner plan { tasks, targets, rules, now, groups };
    std::vector<size_t> order = filterByMemory(orderTasks(tasks, rules, now), tasks, groups);
    std::vector<size_t> idle = idleTargets(targets);
    std::vector<task_batch> batches;
    for (size_t head = 0; head < order.size() && !idle.empty();) {
        const auto target = plan.targetFor(order[head], idle);
        if (!target) {
            ++head;
            continue;
        }
        // Splits the queue evenly over the idle targets, so that each call is short.
        const size_t fairShare = (order.size() + idle.size() - 1) / idle.size();
        const std::vector<size_t> remaining(order.begin() + static_cast<std::ptrdiff_t>(head), order.end());
        task_batch batch { *target, plan.fillBatch(*target, remaining, fairShare) };
        std::erase(idle, *target);
        std::erase_if(order, [&](size_t task) { return std::find(batch.tasks.begin(), batch.tasks.end(), task) != batch.tasks.end(); });
        batches.push_back(std::move(batch));
    }
    return batches;
}
}
