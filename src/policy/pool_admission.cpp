#include "policy/pool_admission.hpp"

#include <algorithm>
#include <functional>
#include <queue>

namespace bilberryseam::policy {

namespace {
    std::chrono::duration<double, std::milli> callTime(const pool_capacity& capacity, size_t tasks)
    {
        return capacity.callOverhead + std::chrono::duration<double, std::milli>(capacity.taskMilliseconds * static_cast<double>(tasks));
    }

    time_point after(time_point start, std::chrono::duration<double, std::milli> time)
    {
        return start + std::chrono::duration_cast<time_point::duration>(time);
    }
}

bool hasRoomInAnyOrder(size_t waitingTasks, size_t ownTasks, const pool_capacity& capacity, time_point deadline, time_point now)
{
    if (capacity.freeAt.empty())
        return false;
    const size_t tasksOfRound = std::max<size_t>(1, capacity.batchSize) * capacity.freeAt.size();
    const size_t rounds = (waitingTasks + ownTasks + tasksOfRound - 1) / tasksOfRound;
    const time_point allFreeAt = std::max(now, *std::max_element(capacity.freeAt.begin(), capacity.freeAt.end()));
    return after(allFreeAt, callTime(capacity, capacity.batchSize) * static_cast<double>(rounds)) < deadline;
}

job_admission admitJob(std::span<const queued_task> tasks, size_t firstOwn, const pool_capacity& capacity, const batching_rules& rules, time_point now)
{
    if (capacity.freeAt.empty() || firstOwn >= tasks.size())
        return { true, now };
    const time_point deadline = tasks[firstOwn].deadline;
    std::priority_queue<time_point, std::vector<time_point>, std::greater<>> slots(std::greater<>(), capacity.freeAt);
    const std::vector<size_t> order = orderTasks(tasks, rules, now);
    size_t missing = tasks.size() - firstOwn;
    time_point startsAt = now;
    for (size_t next = 0; missing > 0 && next < order.size();) {
        startsAt = std::max(now, slots.top());
        slots.pop();
        size_t count = 0;
        for (; next < order.size() && count < std::max<size_t>(1, capacity.batchSize); ++next) {
            const bool isOwn = order[next] >= firstOwn;
            if (!isOwn && tasks[order[next]].deadline <= startsAt)
                continue;
            missing -= isOwn ? 1 : 0;
            ++count;
            if (missing == 0)
                break;
        }
        slots.push(after(startsAt, callTime(capacity, count)));
    }
    if (startsAt < deadline)
        return { true, startsAt };
    // A job with the same time until its deadline can start once the queue is shorter by the excess.
    return { false, startsAt, std::chrono::ceil<milliseconds>(startsAt - deadline) };
}
}
