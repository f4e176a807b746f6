/// Admission of jobs to pools, and what the order of their tasks depends on.
#include "gateway/task_scheduler.hpp"

#include "base/hash.hpp"
#include "gateway/target_eligibility.hpp"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace bilberryseam::gateway {

namespace {
    constexpr std::string_view logComponent = "pieces";

    /// A task that was overtaken for its request's objective divided by this is protected from further tasks.
    constexpr int overtakeDivisor = 2;

    bool isFarAbove(const policy::standing_table& standings, const policy::account_rank& user)
    {
        const auto position = standings.find(user);
        return position != standings.end() && position->second == policy::share_standing::FarAboveShare;
    }

    /// @return Position of a request, from 0 to 1, among those that are refused at the same time.
    double spreadPosition(const stage_job& job) { return static_cast<double>(hashOf(job.requestId) % 1000) / 1000; }
}

policy::queued_task task_scheduler::planningTask(const queued_task& task, const policy::standing_table& standings) const
{
    stage_job& job = *task.job;
    const auto& regions = regionsNow(m_context, job);
    policy::queued_task view { task.jobId, job.isStarted, job.latestStart, task.queuedAt, job.resultBytes, job.rank, task.boost, job.requiredDomain, job.preferredDomain, regions.names ? &*regions.names : nullptr, job.deadline };
    if (const auto standing = standings.find({ job.account, job.rank }); standing != standings.end())
        view.standing = standing->second;
    if (task.overtakenAt && job.objective.count() > 0)
        view.protectedFrom = *task.overtakenAt + job.objective / overtakeDivisor;
    return view;
}

policy::pool_capacity task_scheduler::capacityOf(const std::string& service, const deployment::pool_profile& profile, time_point now) const
{
    policy::pool_capacity capacity { {}, static_cast<size_t>(std::max(1, profile.batchSize)), profile.callOverhead, profile.taskMilliseconds };
    for (const auto& target : m_context.targets.ofService(service)) {
        if (!target->isInService())
            continue;
        const time_point usableAt = std::max({ now, target->pause.until, target->health.blockedUntil });
        for (uint32_t slot = 0; slot < static_cast<uint32_t>(std::max(1, profile.slots)); ++slot)
            capacity.freeAt.push_back(slot < target->inFlight ? std::max(usableAt, target->busyUntil) : usableAt);
    }
    return capacity;
}

policy::batching_rules task_scheduler::rulesOf(const deployment::pool_profile& profile) const
{
    policy::batching_rules rules { static_cast<size_t>(profile.batchSize), m_context.settings.preferredDomainWait };
    if (m_context.settings.poolAdmission) {
        rules.isOrderedByRankAndAccount = true;
        rules.delayPerRank = policy::orderedDelayPerRank;
    }
    return rules;
}

policy::standing_table task_scheduler::currentStandings(const std::string& service, const pool& pool, time_point now) const
{
    if (!m_context.settings.poolAdmission || !pool.profile)
        return {};
    const auto& targets = m_context.targets.ofService(service);
    const auto usable = static_cast<size_t>(std::count_if(targets.begin(), targets.end(), [this, now](const auto& target) { return policy::reasonAgainst(conditionsOf(m_context, *target), now) == policy::ineligibility::None; }));
    const bool isOverloaded = pool.queue.size() > usable * static_cast<size_t>(std::max(1, pool.profile->batchSize * pool.profile->slots));
    if (!isOverloaded)
        return {};
    std::vector<policy::account_rank> waiting;
    const stage_job* previous = nullptr;
    for (const auto& task : pool.queue) {
        // The tasks of a job follow one another.
        if (std::exchange(previous, task->job.get()) != task->job.get())
            waiting.emplace_back(task->job->account, task->job->rank);
    }
    return policy::standingsOf(pool.usage, waiting, now);
}

void task_scheduler::updateStandings(const std::string& service, pool& pool, policy::standing_table standings)
{
    const auto logChanges = [&](const policy::standing_table& from, const policy::standing_table& to, std::string_view state) {
        for (const auto& [user, standing] : to) {
            if (isFarAbove(to, user) && !isFarAbove(from, user))
                logLine(log_level::Info, logComponent, "The order of an account's tasks in an overloaded pool changed.", { { "service", service }, { "account", user.first }, { "rank", std::to_string(user.second) }, { "share", std::string(state) }, { "waiting", std::to_string(pool.queue.size()) } });
        }
    };
    logChanges(pool.standings, standings, "far_above");
    logChanges(standings, pool.standings, "within");
    pool.standings = std::move(standings);
}

std::vector<task_scheduler::task_ptr> task_scheduler::tasksOf(const job_ptr& job, milliseconds boost, time_point now)
{
    const uint64_t jobId = hashOf(job->requestId, job->stage);
    std::vector<task_ptr> tasks;
    for (uint32_t task = 0; task < job->taskCount; ++task) {
        if (!job->finishedTasks[task])
            tasks.push_back(std::make_shared<queued_task>(queued_task { job, task, jobId, now, boost, 0, {}, {} }));
    }
    return tasks;
}

std::optional<task_scheduler::job_prediction> task_scheduler::predict(const stage_job& job, const std::vector<task_ptr>& ownTasks, const pool& pool, time_point now) const
{
    if (!pool.profile)
        return std::nullopt;
    const auto capacity = capacityOf(job.service, *pool.profile, now);
    if (capacity.freeAt.empty())
        return std::nullopt;
    const auto standings = currentStandings(job.service, pool, now);
    std::vector<policy::queued_task> tasks;
    tasks.reserve(pool.queue.size() + ownTasks.size());
    for (const auto& task : pool.queue) {
        if (task->job->isNeeded(task->index))
            tasks.push_back(planningTask(*task, standings));
    }
    const size_t firstOwn = tasks.size();
    for (const auto& task : ownTasks)
        tasks.push_back(planningTask(*task, standings));
    const auto rules = rulesOf(*pool.profile);
    policy::predictLateJobs(tasks, capacity, rules, now);
    return job_prediction { policy::admitJob(tasks, firstOwn, capacity, rules, now), firstOwn, capacity.freeAt.size() };
}

std::optional<task_scheduler::job_prediction> task_scheduler::findRefusal(const stage_job& job, const std::vector<task_ptr>& ownTasks, const pool& pool, time_point now) const
{
    const bool isNew = !job.mayRunElsewhere && !job.isStarted && ownTasks.size() == job.taskCount;
    if (!m_context.settings.poolAdmission || !pool.profile || !isNew)
        return std::nullopt;
    const auto capacity = capacityOf(job.service, *pool.profile, now);
    if (capacity.freeAt.empty() || policy::hasRoomInAnyOrder(pool.queue.size(), ownTasks.size(), capacity, job.deadline, now))
        return std::nullopt;
    auto prediction = predict(job, ownTasks, pool, now);
    if (prediction && prediction->admission.isAccepted)
        return std::nullopt;
    return prediction;
}

std::optional<milliseconds> task_scheduler::refusalOf(const stage_job& job, const std::vector<task_ptr>& ownTasks, const pool& pool, time_point now) const
{
    const auto refusal = findRefusal(job, ownTasks, pool, now);
    if (!refusal)
        return std::nullopt;
    const auto& admission = refusal->admission;
    const milliseconds wait = policy::returnTimeOf(admission, spreadPosition(job));
    m_context.counters.count("jobs_refused_total", { { "service", job.service } });
    logLine(log_level::Info, logComponent, "A pool refused the tasks of a request because they cannot start before their deadline.", { { "request", job.requestId }, { "service", job.service }, { "account", job.account }, { "rank", std::to_string(job.rank) }, { "pieces", std::to_string(ownTasks.size()) }, { "waiting", std::to_string(refusal->waitingTasks) }, { "slots", std::to_string(refusal->slots) }, { "starts_in_ms", std::to_string(asMilliseconds(admission.startsAt - now)) }, { "deadline_in_ms", std::to_string(asMilliseconds(job.deadline - now)) }, { "queue_ms", std::to_string(admission.queueTime.count()) }, { "wait_ms", std::to_string(wait.count()) } });
    return wait;
}

void task_scheduler::refuseLateJobs(const std::string& service, pool& pool, time_point now)
{
    if (!m_context.settings.poolAdmission || !pool.profile || !pool.isOrderChanged || now < pool.nextPredictionAt || isTargetListUncertain(m_context, now))
        return;
    pool.isOrderChanged = false;
    pool.nextPredictionAt = now + policy::repredictionInterval;
    const auto capacity = capacityOf(service, *pool.profile, now);
    const auto earliest = std::min_element(pool.queue.begin(), pool.queue.end(), [](const auto& left, const auto& right) { return left->job->deadline < right->job->deadline; });
    if (capacity.freeAt.empty() || earliest == pool.queue.end() || policy::hasRoomInAnyOrder(pool.queue.size(), 0, capacity, (*earliest)->job->deadline, now))
        return;
    const auto standings = currentStandings(service, pool, now);
    std::vector<policy::queued_task> tasks;
    std::unordered_map<uint64_t, job_ptr> waitingJobs;
    for (const auto& task : pool.queue) {
        if (!task->job->isNeeded(task->index))
            continue;
        tasks.push_back(planningTask(*task, standings));
        waitingJobs.emplace(task->jobId, task->job);
    }
    const auto rules = rulesOf(*pool.profile);
    policy::predictLateJobs(tasks, capacity, rules, now);
    for (const auto& late : policy::jobsWithoutStart(tasks, capacity, rules, now)) {
        const job_ptr& job = waitingJobs.at(late.jobId);
        const bool hasFinishedTask = std::find(job->finishedTasks.begin(), job->finishedTasks.end(), true) != job->finishedTasks.end();
        if (job->mayRunElsewhere || job->isStarted || hasFinishedTask)
            continue;
        const milliseconds wait = policy::returnTimeOf(late.admission, spreadPosition(*job));
        pool.queue.remove_if([&job](const auto& task) { return task->job == job; });
        pool.refusedJobs.emplace_back(job, wait);
        m_context.counters.count("jobs_refused_total", { { "service", service } });
        logLine(log_level::Info, logComponent, "A pool refused a waiting request because its tasks can no longer start before their deadline.", { { "request", job->requestId }, { "service", service }, { "account", job->account }, { "rank", std::to_string(job->rank) }, { "pieces", std::to_string(job->taskCount) }, { "waiting", std::to_string(tasks.size()) }, { "slots", std::to_string(capacity.freeAt.size()) }, { "starts_in_ms", std::to_string(asMilliseconds(late.admission.startsAt - now)) }, { "deadline_in_ms", std::to_string(asMilliseconds(job->deadline - now)) }, { "queue_ms", std::to_string(late.admission.queueTime.count()) }, { "wait_ms", std::to_string(wait.count()) } });
    }
}

pool_outlook task_scheduler::outlookOf(const job_ptr& job, time_point now) const
{
    const auto position = m_pools.find(job->service);
    const pool none;
    const pool& pool = position == m_pools.end() ? none : position->second;
    auto values = pool.values;
    const auto tasks = tasksOf(job, policy::recordValue(values, static_cast<double>(job->weightedTokens), job->taskCount), now);
    pool_outlook outlook { pool.queue.size(), {}, {} };
    if (const auto prediction = predict(*job, tasks, pool, now))
        outlook.startsIn = std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(prediction->admission.startsAt - now));
    if (const auto refusal = findRefusal(*job, tasks, pool, now))
        outlook.refusalWait = policy::returnTimeOf(refusal->admission, spreadPosition(*job));
    return outlook;
}

void task_scheduler::reportRefusedJobs(pool& pool)
{
    for (const auto& [job, wait] : std::exchange(pool.refusedJobs, {})) {
        for (uint32_t task = 0; task < job->taskCount; ++task)
            job->finishTask(task, { "", platform::task_failure::Overloaded, wait });
    }
}

void task_scheduler::recordPlan(pool& pool, const deployment::pool_profile& profile, std::span<const task_ptr> tasks, std::span<const policy::queued_task> plannedTasks, std::span<const policy::task_batch> batches, time_point now)
{
    for (const auto& batch : batches) {
        const double timeOfTask = asSeconds(profile.expectedCallTime(batch.tasks.size())) * 1000 / static_cast<double>(batch.tasks.size());
        for (const size_t index : batch.tasks)
            policy::recordUse(pool.usage, { tasks[index]->job->account, tasks[index]->job->rank }, timeOfTask, now);
    }
    for (const size_t index : policy::overtakenTasks(plannedTasks, batches)) {
        if (!tasks[index]->overtakenAt)
            tasks[index]->overtakenAt = now;
    }
}
}
