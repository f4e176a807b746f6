#include "policy/pool_admission.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <numeric>
#include <queue>
#include <tuple>
#include <unordered_map>
#include <utility>

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

    /// @return For each position in the order, the start of the task there if all calls are full.
    std::vector<time_point> startsOf(size_t tasks, const pool_capacity& capacity, time_point now)
    {
        const size_t batchSize = std::max<size_t>(1, capacity.batchSize);
        std::priority_queue<time_point, std::vector<time_point>, std::greater<>> slots(std::greater<>(), capacity.freeAt);
        std::vector<time_point> starts;
        starts.reserve(tasks + batchSize);
        while (starts.size() < tasks) {
            const time_point startsAt = std::max(now, slots.top());
            slots.pop();
            starts.insert(starts.end(), batchSize, startsAt);
            slots.push(after(startsAt, callTime(capacity, batchSize)));
        }
        return starts;
    }

    /// A job that may be left out of those that are in time.
    struct waiting_job {
        uint64_t jobId = 0;
        time_point latestStart {};
        time_point queuedAt {};
        uint32_t rank = 0;
        bool isFarAboveShare = false;
        /// The job with the lowest score is left out first.
        milliseconds score { 0 };
        std::vector<size_t> tasks;

        [[nodiscard]] auto precedence() const { return std::tuple(!isFarAboveShare, score, -static_cast<int64_t>(rank), -queuedAt.time_since_epoch(), jobId); }
    };

    milliseconds scoreOf(const queued_task& task, const batching_rules& rules, time_point now)
    {
        // No boost exceeds that of a protected task, and the older one of two equal tasks is kept.
        if (task.protectedFrom <= now)
            return rules.maxBoost - rules.delayPerRank * task.rank;
        return task.boost - rules.delayPerRank * task.rank - (task.standing == share_standing::WithinShare ? milliseconds(0) : rules.delayAboveShare);
    }

    /// @return The jobs that have not started and are not late, by latest start; of equal ones, the less urgent first.
    std::vector<waiting_job> selectableJobs(std::span<const queued_task> tasks, const batching_rules& rules, time_point now)
    {
        std::vector<waiting_job> jobs;
        std::unordered_map<uint64_t, size_t> positions;
        for (size_t i = 0; i < tasks.size(); ++i) {
            const queued_task& task = tasks[i];
            if (task.isJobStarted || task.latestStart < now)
                continue;
            const auto [position, isNew] = positions.try_emplace(task.jobId, jobs.size());
            if (isNew)
                jobs.push_back({ task.jobId, task.latestStart, task.queuedAt, task.rank, task.standing == share_standing::FarAboveShare, scoreOf(task, rules, now), {} });
            jobs[position->second].tasks.push_back(i);
        }
        std::sort(jobs.begin(), jobs.end(), [](const auto& left, const auto& right) {
            return std::tuple(left.latestStart, right.rank, left.jobId) < std::tuple(right.latestStart, left.rank, right.jobId);
        });
        // An urgent job has at least the score of each less urgent one with the same latest start. The arrays are indexed by
        // `isFarAboveShare`.
        std::array<milliseconds, 2> ofLessUrgent {};
        std::array<milliseconds, 2> ofSameOrLessUrgent {};
        for (size_t i = 0; i < jobs.size(); ++i) {
            const bool isNewStart = i == 0 || jobs[i].latestStart != jobs[i - 1].latestStart;
            if (isNewStart)
                ofSameOrLessUrgent = { milliseconds::min(), milliseconds::min() };
            if (isNewStart || jobs[i].rank != jobs[i - 1].rank)
                ofLessUrgent = ofSameOrLessUrgent;
            const size_t kind = jobs[i].isFarAboveShare ? 1 : 0;
            jobs[i].score = std::max(jobs[i].score, ofLessUrgent.at(kind));
            ofSameOrLessUrgent.at(kind) = std::max(ofSameOrLessUrgent.at(kind), jobs[i].score);
        }
        return jobs;
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

void predictLateJobs(std::span<queued_task> tasks, const pool_capacity& capacity, const batching_rules& rules, time_point now)
{
    if (capacity.freeAt.empty() || !rules.isOrderedByRankAndAccount)
        return;
    const std::vector<waiting_job> jobs = selectableJobs(tasks, rules, now);
    const std::vector<time_point> starts = startsOf(tasks.size(), capacity, now);
    for (auto& task : tasks)
        task.prediction = start_prediction::InTime;
    const auto staysLonger = [&jobs](size_t left, size_t right) { return jobs[left].precedence() > jobs[right].precedence(); };
    std::priority_queue<size_t, std::vector<size_t>, decltype(staysLonger)> kept(staysLonger);
    auto used = static_cast<size_t>(std::count_if(tasks.begin(), tasks.end(), [](const auto& task) { return task.isJobStarted; }));
    for (size_t i = 0; i < jobs.size(); ++i) {
        kept.push(i);
        used += jobs[i].tasks.size();
        while (!kept.empty() && starts[used - 1] > jobs[i].latestStart) {
            const waiting_job& leftOut = jobs[kept.top()];
            kept.pop();
            used -= leftOut.tasks.size();
            for (const size_t task : leftOut.tasks)
                tasks[task].prediction = start_prediction::Late;
        }
    }
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
    return { false, startsAt, std::chrono::ceil<milliseconds>(startsAt - deadline), std::chrono::ceil<milliseconds>(startsOf(tasks.size(), capacity, now)[tasks.size() - 1] - now) };
}

std::vector<late_job> jobsWithoutStart(std::span<const queued_task> tasks, const pool_capacity& capacity, const batching_rules& rules, time_point now)
{
    std::vector<late_job> late;
    if (capacity.freeAt.empty() || tasks.empty())
        return late;
    const std::vector<time_point> starts = startsOf(tasks.size(), capacity, now);
    const milliseconds queueTime = std::chrono::ceil<milliseconds>(starts[tasks.size() - 1] - now);
    // Tasks in the order before the current one, for each job that is not known to be late.
    std::unordered_map<uint64_t, size_t> counted;
    std::unordered_map<uint64_t, size_t> positions;
    size_t used = 0;
    for (const size_t index : orderTasks(tasks, rules, now)) {
        const queued_task& task = tasks[index];
        const time_point startsAt = starts[used];
        if (startsAt < task.deadline && !positions.contains(task.jobId)) {
            ++counted[task.jobId];
            ++used;
        } else if (!task.isJobStarted) {
            const auto [position, isNew] = positions.try_emplace(task.jobId, late.size());
            if (isNew) {
                used -= std::exchange(counted[task.jobId], 0);
                late.push_back({ task.jobId, { false, startsAt, std::chrono::ceil<milliseconds>(startsAt - task.deadline), queueTime } });
            }
        }
    }
    return late;
}

milliseconds returnTimeOf(const job_admission& refusal, double position)
{
    const milliseconds spread = std::clamp(refusal.queueTime, milliseconds(0), maxReturnTime);
    const double part = std::clamp(position, 0.0, 1.0) * static_cast<double>(spread.count());
    return std::clamp(refusal.wait, milliseconds(0), maxReturnTime) + milliseconds(static_cast<int64_t>(part));
}
}
