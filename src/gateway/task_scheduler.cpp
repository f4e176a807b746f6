#include "gateway/task_scheduler.hpp"

#include "base/hash.hpp"
#include "gateway/target_eligibility.hpp"
#include "platform/ingress.hpp"

#include <algorithm>
#include <limits>

namespace bilberryseam::gateway {

namespace {
    constexpr std::string_view logComponent = "pieces";

    /// Limit of how often a task is sent.
    constexpr unsigned maxSends = 4;

    /// A batch call counts as silent after this multiple of its expected time, but not before the minimum. It is closed if
    /// its results are no longer needed; results that arrive until then can be released at once.
    constexpr int silentCallFactor = 12;
    constexpr milliseconds minSilentCallTime { 3000 };

    /// After this multiple of its expected time, the tasks of a batch call may also run at another target; the first target
    /// continues, and whichever result arrives first is used.
    constexpr double overdueFactor = 2.5;

    /// A task with less time than this until its deadline is not sent any more.
    constexpr milliseconds minUsefulTime { 30 };

    /// Timeout of a call that releases results; if it fails, the results expire by themselves.
    constexpr milliseconds releaseTimeout { 2000 };

    /// The next batch call is sent this long before the expected end of the running one, to cover the network delay.
    constexpr milliseconds callLeadTime { 20 };

    /// Share of a target's memory that is used for planning, since sizes of results are approximate.
    constexpr double usableMemoryShare = 0.96;

    /// Penalty of a target that must not get any task.
    constexpr double unusablePenalty = 1000;

    /// Longest time for establishing a connection to a target.
    constexpr milliseconds targetConnectTimeout { 300 };

    /// Largest response to a batch call.
    constexpr uint64_t maxResultBytes = 1024 * 1024;

    /// A target that had no memory for a result gets no tasks for this long.
    constexpr milliseconds noMemoryPause { 200 };

    /// A task that lacked memory waits for this long if the retry budget is exhausted.
    constexpr milliseconds overBudgetPause { 500 };

    /// Time that a batch call spends on the network: one round trip between regions.
    constexpr milliseconds networkTime { 20 };
}

struct task_scheduler::batch_call {
    target_ptr target;
    std::vector<task_ptr> tasks;
    /// Time at which the target is expected to start the tasks.
    time_point startsAt {};
    milliseconds expectedTime { 0 };
    /// Time after which the call counts as silent.
    time_point silentAt {};
    bool isOverdue = false;
    bool isRequeued = false;
    /// The call no longer occupies a slot, because its response may be lost.
    bool isSlotFree = false;
    double resultBytes = 0;
    std::shared_ptr<http1::client_call> call;
    unsigned status = 0;
    bool isNotRun = false;
    /// What the response asks for, as it was received.
    std::string retryAfter;
    std::string body;
};

task_scheduler::task_scheduler(context& context)
    : m_context(context)
    , m_reports(context)
{
}

const deployment::pool_profile* task_scheduler::profileOf(std::string_view service) const
{
    const auto position = m_pools.find(service);
    return position != m_pools.end() && position->second.profile ? &*position->second.profile : nullptr;
}

void task_scheduler::applyProfiles(const deployment::configuration& configuration)
{
    for (const auto& [name, service] : configuration.services) {
        if (service.pool)
            m_pools[name].profile = service.pool;
    }
}

void task_scheduler::add(const job_ptr& job)
{
    const time_point now = monotonicNow();
    earnRetries(m_context, job->service, now);
    pool& pool = m_pools[job->service];
    const milliseconds boost = policy::recordValue(pool.values, static_cast<double>(job->weightedTokens), job->taskCount);
    const std::vector<task_ptr> tasks = tasksOf(job, boost, now);
    if (const auto wait = refusalOf(*job, tasks, pool, now))
        pool.refusedJobs.emplace_back(job, *wait);
    else {
        pool.queue.insert(pool.queue.end(), tasks.begin(), tasks.end());
        pool.isOrderChanged = true;
    }
    scheduleTick();
}

void task_scheduler::cancel(stage_job& job)
{
    job.isCancelled = true;
    if (const auto position = m_pools.find(job.service); position != m_pools.end())
        position->second.queue.remove_if([&job](const auto& item) { return item->job.get() == &job; });
}

void task_scheduler::scheduleTick()
{
    if (!m_scheduledTick.isRunning())
        m_scheduledTick.startWhenIdle([this] { tick(monotonicNow()); });
}

milliseconds task_scheduler::resultLifetimeOf(std::string_view service) const
{
    const auto* profile = profileOf(service);
    return profile ? profile->resultLifetime : milliseconds(0);
}

task_scheduler::result_table::iterator task_scheduler::eraseResult(result_table::iterator result)
{
    result->second.holder->heldBytes -= result->second.bytes;
    return m_results.erase(result);
}

void task_scheduler::tick(time_point now)
{
    for (auto result = m_results.begin(); result != m_results.end();)
        result = result->second.expiresAt <= now ? eraseResult(result) : std::next(result);
    for (auto& [service, pool] : m_pools) {
        refuseLateJobs(service, pool, now);
        reportRefusedJobs(pool);
        std::vector<task_ptr> infeasible;
        std::erase_if(pool.queue, [&](const auto& task) {
            if (now + minUsefulTime < task->job->deadline)
                return false;
            infeasible.push_back(task);
            return true;
        });
        for (const auto& task : infeasible) {
            if (!isAbandoned(pool, *task))
                continue;
            m_context.counters.count("pieces_late_total", { { "service", service } });
            task->job->finishTask(task->index, { "", platform::task_failure::Expired });
        }
        failUnplaceable(service, pool, now);
        checkSilentCalls(service, pool, now);
        requeueOverdueCalls(service, pool, now);
        startBatchCalls(service, pool, now);
    }
}

void task_scheduler::failUnplaceable(const std::string& service, pool& pool, time_point now)
{
    if (pool.queue.empty() || isTargetListUncertain(m_context, now))
        return;
    // Most jobs have the same regions, so that few combinations are checked.
    std::vector<std::pair<deployment::permitted_regions, bool>> checkedRegions;
    std::vector<task_ptr> failedTasks;
    std::erase_if(pool.queue, [&](const auto& task) {
        const auto& regions = regionsNow(m_context, *task->job);
        if (!regions.isRestricted() && m_context.evacuations.domains.empty())
            return false;
        auto checked = std::find_if(checkedRegions.begin(), checkedRegions.end(), [&regions](const auto& item) { return item.first == regions; });
        if (checked == checkedRegions.end())
            checked = checkedRegions.insert(checkedRegions.end(), { regions, placementObstacle(m_context, service, regions).has_value() });
        if (checked->second)
            failedTasks.push_back(task);
        return checked->second;
    });
    for (const auto& task : failedTasks) {
        if (!isAbandoned(pool, *task))
            continue;
        m_context.counters.count("unplaceable_pieces_total", { { "service", service } });
        task->job->finishTask(task->index, { "", platform::task_failure::Unplaceable });
    }
}

bool task_scheduler::isAbandoned(const pool& pool, const queued_task& task)
{
    if (!task.job->isNeeded(task.index))
        return false;
    const auto isSameTask = [&task](const auto& item) { return item->job == task.job && item->index == task.index; };
    const bool isRunning = std::any_of(pool.calls.begin(), pool.calls.end(), [&](const auto& call) { return std::any_of(call->tasks.begin(), call->tasks.end(), isSameTask); });
    return !isRunning && std::none_of(pool.queue.begin(), pool.queue.end(), isSameTask);
}

void task_scheduler::requeueOverdueCalls(const std::string& service, pool& pool, time_point now)
{
    for (const auto& call : pool.calls) {
        const bool isOverdue = asSeconds(now - call->startsAt) > asSeconds(call->expectedTime + networkTime) * overdueFactor;
        if (!isOverdue || call->isRequeued)
            continue;
        requeueTasks(service, pool, *call, now);
        if (std::exchange(call->isOverdue, true))
            continue;
        policy::recordSuccess(call->target->health, overdueFactor, now);
        logLine(log_level::Warning, logComponent, "A batch call is overdue at its target.", { { "target", call->target->listed.id }, { "service", service }, { "pieces", std::to_string(call->tasks.size()) }, { "made_elsewhere", call->isRequeued ? "true" : "false" }, { "first_request", call->tasks.front()->job->requestId } });
    }
}

void task_scheduler::requeueTasks(const std::string& service, pool& pool, batch_call& call, time_point now)
{
    std::vector<task_ptr> copies;
    for (const auto& task : call.tasks) {
        if (task->job->isNeeded(task->index) && task->attempts < maxSends)
            copies.push_back(std::make_shared<queued_task>(*task));
    }
    if (copies.empty() || !trySpendRetry(m_context, service, now))
        return;
    call.isRequeued = true;
    m_context.counters.count("piece_retries_total", { { "service", service }, { "reason", "overdue" } });
    logLine(log_level::Info, logComponent, "The tasks of an overdue batch call may also run at another target.", { { "target", call.target->listed.id }, { "service", service }, { "pieces", std::to_string(copies.size()) }, { "first_request", copies.front()->job->requestId } });
    pool.queue.insert(pool.queue.end(), copies.begin(), copies.end());
    pool.isOrderChanged = true;
}

void task_scheduler::checkSilentCalls(const std::string& service, pool& pool, time_point now)
{
    // After a freeze of this process, responses may wait in the sockets.
    if (isTargetListUncertain(m_context, now))
        return;
    const auto calls = pool.calls;
    for (const auto& call : calls) {
        if (now < call->silentAt)
            continue;
        if (!call->isSlotFree) {
            freeSlot(*call, now);
            policy::recordFailure(call->target->health, policy::call_failure::Failed, now);
            logLine(log_level::Warning, logComponent, "A batch call is silent; its target may get another one.", { { "target", call->target->listed.id }, { "service", service }, { "pieces", std::to_string(call->tasks.size()) }, { "first_request", call->tasks.front()->job->requestId } });
        }
        const bool isUseful = std::any_of(call->tasks.begin(), call->tasks.end(), [now](const auto& task) { return task->job->isNeeded(task->index) && now < task->job->deadline; });
        if (isUseful)
            continue;
        call->call.reset();
        for (const auto& task : call->tasks)
            task->job->finishTask(task->index, { "", platform::task_failure::Expired });
        onCallEnded(service, call, http1::call_outcome::TimedOut);
    }
}

void task_scheduler::freeSlot(batch_call& call, time_point now)
{
    if (std::exchange(call.isSlotFree, true))
        return;
    target_state& target = *call.target;
    --target.inFlight;
    if (target.inFlight == 0)
        target.busyUntil = now;
}

policy::pool_target task_scheduler::planningTarget(const target_state& target, const pool& pool, const deployment::pool_profile& profile, time_point now) const
{
    const auto slots = static_cast<uint32_t>(profile.slots);
    // The next call is sent shortly before the running one ends, so that the target does not become idle in between.
    const bool isNearlyIdle = profile.maxQueuedCalls > 0 && pool.queue.size() >= static_cast<size_t>(profile.batchSize) && target.inFlight == slots
        && now + callLeadTime >= target.busyUntil && now < target.busyUntil + callLeadTime;
    policy::pool_target view;
    view.failureDomain = target.listed.failureDomain;
    view.region = regionOf(m_context, target.listed.failureDomain);
    const bool mayGetWork = policy::reasonAgainst(conditionsOf(m_context, target), now) == policy::ineligibility::None;
    const bool isFree = !policy::awaitsReport(target.poolReport, now) && now >= target.poolReport.foreign.busyUntil;
    view.isIdle = mayGetWork && isFree && now >= target.noMemoryUntil && (target.inFlight < slots || isNearlyIdle);
    view.totalBytes = profile.resultMemoryBytes > 0 ? profile.resultMemoryBytes * usableMemoryShare : std::numeric_limits<double>::max();
    view.freeBytes = view.totalBytes - target.heldBytes - policy::foreignBytesAt(target.poolReport.foreign, now);
    // Tasks must not wait for a target that gets no work.
    view.penalty = mayGetWork ? policy::penaltyOf(target.health) : unusablePenalty;
    view.busyFactor = policy::busyFactor(target.statedLoad, now);
    return view;
}

void task_scheduler::startBatchCalls(const std::string& service, pool& pool, time_point now)
{
    const auto* profile = profileOf(service);
    // An overdue call may have delivered the result of a queued task in the meantime.
    pool.queue.remove_if([](const auto& task) { return !task->job->isNeeded(task->index); });
    // After a freeze of this process, targets may have left and failure domains may have been evacuated.
    if (pool.queue.empty() || !profile || isTargetListUncertain(m_context, now))
        return;
    const std::vector<target_ptr> listedTargets = m_context.targets.ofService(service);
    if (m_context.settings.poolReports)
        updateReports(service, pool, *profile, now);
    std::vector<policy::pool_target> targets;
    targets.reserve(listedTargets.size());
    for (const auto& target : listedTargets)
        targets.push_back(planningTarget(*target, pool, *profile, now));
    if (std::none_of(targets.begin(), targets.end(), [](const auto& item) { return item.isIdle; }))
        return;
    std::vector<task_ptr> readyTasks;
    std::copy_if(pool.queue.begin(), pool.queue.end(), std::back_inserter(readyTasks), [now](const auto& task) { return now >= task->notBefore; });
    std::vector<policy::queued_task> tasks;
    tasks.reserve(readyTasks.size());
    updateStandings(service, pool, currentStandings(service, pool, now));
    for (const auto& task : readyTasks)
        tasks.push_back(planningTask(*task, pool.standings));
    const auto rules = rulesOf(*profile);
    if (rules.isOrderedByRankAndAccount)
        policy::predictLateJobs(tasks, capacityOf(service, *profile, now), rules, now);
    const auto batches = policy::planBatches(tasks, targets, rules, now);
    if (m_context.settings.poolAdmission)
        recordPlan(pool, *profile, readyTasks, tasks, batches, now);
    for (const auto& batch : batches) {
        std::vector<task_ptr> batchTasks;
        for (const size_t index : batch.tasks)
            batchTasks.push_back(readyTasks[index]);
        send(service, pool, listedTargets[batch.target], std::move(batchTasks), now);
    }
}

void task_scheduler::updateReports(const std::string& service, pool& pool, const deployment::pool_profile& profile, time_point now)
{
    const policy::pool_limits limits { profile.resultMemoryBytes, static_cast<uint32_t>(std::max(1, profile.slots)), profile.resultLifetime, profile.expectedCallTime(static_cast<size_t>(std::max(1, profile.batchSize))) };
    const auto& targets = m_context.targets.ofService(service);
    if (policy::mayHaveOtherResults(pool.lastUseAt, limits, now)) {
        pool.lastUseAt = now;
        m_reports.onTakeover(service, targets);
    }
    m_reports.sendDueQueries(
        service, targets, limits, [this, service](const target_state& target) { return ownUseOf(service, target); }, now);
}

policy::own_use task_scheduler::ownUseOf(std::string_view service, const target_state& target) const
{
    policy::own_use use { target.heldBytes, target.inFlight };
    const auto position = m_pools.find(service);
    if (position == m_pools.end())
        return use;
    const time_point now = monotonicNow();
    for (const auto& call : position->second.calls) {
        if (call->target.get() == &target && call->startsAt > now)
            use.bytes -= call->resultBytes;
    }
    return use;
}

void task_scheduler::send(const std::string& service, pool& pool, const target_ptr& target, std::vector<task_ptr> tasks, time_point now)
{
    const auto* profile = profileOf(service);
    const auto call = std::make_shared<batch_call>();
    std::vector<platform::task_request> items;
    for (const auto& task : tasks) {
        pool.queue.remove(task);
        ++task->attempts;
        stage_job& job = *task->job;
        job.isStarted = true;
        call->resultBytes += job.resultBytes;
        const auto remaining = std::chrono::duration_cast<milliseconds>(job.deadline - now);
        items.push_back({ job.requestId, job.stage, task->index, remaining, job.taskKey, job.inputs });
    }
    call->target = target;
    call->expectedTime = profile->expectedCallTime(tasks.size());
    call->tasks = std::move(tasks);
    ++target->inFlight;
    target->heldBytes += call->resultBytes;
    call->startsAt = target->inFlight > 1 ? std::max(now, target->busyUntil) : now;
    target->busyUntil = call->startsAt + call->expectedTime;
    pool.calls.push_back(call);
    pool.lastUseAt = now;

    http1::outgoing_request request { "POST", std::string(platform::runTasksPath), platform::encodeInternalCallHeaders(target->listed), platform::encodeBatchCall(items) };
    http1::client_call::callbacks callbacks;
    callbacks.onHead = [call](const http1::response_head& head) {
        call->status = head.status;
        call->isNotRun = platform::isNotExecuted(head);
        call->retryAfter = platform::decodePause(head).text;
    };
    callbacks.onBody = [call](std::string_view bytes) { call->body.append(bytes); };
    callbacks.onEnd = [this, service, call](http1::call_outcome outcome) { onCallEnded(service, call, outcome); };
    call->silentAt = call->startsAt + std::max(minSilentCallTime, call->expectedTime * silentCallFactor);
    call->call = sendToTarget(m_context, target, request, { .connectTimeout = targetConnectTimeout, .maxResponseBytes = maxResultBytes, .isOnUnusedConnection = true }, std::move(callbacks));
    logLine(log_level::Info, logComponent, "A batch call was sent to a target of its pool.", { { "service", service }, { "target", target->listed.id }, { "pieces", std::to_string(items.size()) }, { "waiting", std::to_string(pool.queue.size()) }, { "free_bytes", std::to_string(static_cast<int64_t>(profile->resultMemoryBytes - target->heldBytes)) }, { "first_request", call->tasks.front()->job->requestId } });
    m_context.counters.count("piece_calls_total", { { "service", service } });
    m_context.counters.count("pieces_total", { { "service", service } }, static_cast<double>(items.size()));
}

void task_scheduler::onCallEnded(const std::string& service, const std::shared_ptr<batch_call>& call, http1::call_outcome outcome)
{
    const time_point now = monotonicNow();
    target_state& target = *call->target;
    freeSlot(*call, now);
    pool& pool = m_pools[service];
    pool.calls.remove(call);
    const bool hasResponse = http1::isReceived(outcome) && call->status == http1::statusOk;
    const auto results = hasResponse ? decodeResults(*call) : result<std::vector<platform::task_result>>(error());
    scheduleTick();
    if (results) {
        const double relativeDuration = asSeconds(now - call->startsAt) / asSeconds(call->expectedTime + networkTime);
        policy::recordSuccess(target.health, relativeDuration, now);
        applyResults(call, results.value());
        return;
    }
    target.heldBytes -= call->resultBytes;
    const bool isFull = http1::isReceived(outcome) && call->status == http1::statusUnavailable && call->isNotRun;
    if (isFull)
        m_reports.onLackOfRoom(target);
    if (http1::isReceived(outcome) && call->status == http1::statusMisdirected)
        target.isReplaced = true;
    const auto failure = isFull ? policy::call_failure::Full : outcome == http1::call_outcome::NotSent ? policy::call_failure::Unreachable
                                                                                                       : policy::call_failure::Failed;
    // A call that ends here by a timeout was recorded when it became silent.
    if (outcome != http1::call_outcome::TimedOut)
        policy::recordFailure(target.health, failure, now);
    logLine(log_level::Warning, logComponent, "A batch call to a target failed.", { { "target", target.listed.id }, { "service", service }, { "end", std::string(nameOf(outcome)) }, { "status", std::to_string(call->status) }, { "retry_after", call->retryAfter }, { "not_executed", call->isNotRun ? "true" : "false" }, { "pieces", std::to_string(call->tasks.size()) }, { "firstRequest", call->tasks.front()->job->requestId } });
    std::vector<task_ptr> tasks;
    std::copy_if(call->tasks.begin(), call->tasks.end(), std::back_inserter(tasks), [&pool](const auto& task) { return isAbandoned(pool, *task); });
    if (tasks.empty())
        return;
    const bool wasSent = outcome != http1::call_outcome::NotSent;
    if (wasSent && !trySpendRetry(m_context, service, now)) {
        for (const auto& task : tasks)
            task->job->finishTask(task->index, { "", platform::task_failure::Failed });
        return;
    }
    for (const auto& task : tasks)
        retry(service, task, platform::task_failure::Failed, wasSent);
}

result<std::vector<platform::task_result>> task_scheduler::decodeResults(const batch_call& call)
{
    auto results = platform::decodeTaskResults(call.body, call.tasks.size());
    if (!results)
        return results;
    const auto taskOf = [&call](size_t i) { return policy::hashOfTask(call.tasks[i]->job->requestId, call.tasks[i]->job->stage, call.tasks[i]->index); };
    for (size_t i = 0; i < call.tasks.size(); ++i) {
        const std::string& handle = results.value()[i].handle;
        if (handle.empty() || !policy::isOfOtherTask(m_handles, handle, taskOf(i)))
            continue;
        // The response to this call may follow on the connection.
        m_context.client.closeIdleConnections(call.target->listed.endpoint);
        m_context.counters.count("foreign_results_total", { { "service", call.tasks[i]->job->service } });
        logLine(log_level::Warning, logComponent, "A target responded to a batch call with the result of another task.", { { "target", call.target->listed.id }, { "request", call.tasks[i]->job->requestId }, { "handle", handle } });
        return error(error_kind::InvalidMessage, "The response has the result of another task.", "Check the target's version.", handle);
    }
    for (size_t i = 0; i < call.tasks.size(); ++i) {
        if (const std::string& handle = results.value()[i].handle; !handle.empty())
            policy::addHandle(m_handles, handle, taskOf(i));
    }
    return results;
}

void task_scheduler::applyResults(const std::shared_ptr<batch_call>& call, const std::vector<platform::task_result>& results)
{
    const auto tasks = call->tasks;
    std::vector<std::string> unusedHandles;
    for (size_t i = 0; i < tasks.size(); ++i) {
        const task_ptr& task = tasks[i];
        stage_job& job = *task->job;
        const auto& outcome = results[i];
        if (outcome.handle.empty())
            call->target->heldBytes -= job.resultBytes;
        else
            m_results[outcome.handle] = { call->target, job.resultBytes, monotonicNow() + resultLifetimeOf(job.service) };
        // Another run of the task may still deliver its result.
        if (outcome.handle.empty() && !isAbandoned(m_pools[job.service], *task))
            continue;
        const bool mayRetry = outcome.failure == platform::task_failure::NoMemory || outcome.failure == platform::task_failure::Failed;
        const time_point now = monotonicNow();
        if (outcome.failure == platform::task_failure::NoMemory) {
            if (now >= call->target->noMemoryUntil)
                logLine(log_level::Warning, logComponent, "A target had no memory for the result of a task; it gets no tasks for a short time.", { { "target", call->target->listed.id }, { "service", job.service }, { "request", job.requestId }, { "held_bytes", std::to_string(static_cast<int64_t>(call->target->heldBytes)) } });
            call->target->noMemoryUntil = now + noMemoryPause;
            m_reports.onLackOfRoom(*call->target);
            // Results that another entry had produced there occupy the memory, so the task has to wait.
            const bool isWithinBudget = trySpendRetry(m_context, job.service, now);
            task->notBefore = now + (isWithinBudget ? noMemoryPause : overBudgetPause);
            --task->attempts;
            retry(job.service, task, outcome.failure, true);
        } else if (mayRetry && !job.isCancelled && trySpendRetry(m_context, job.service, now))
            retry(job.service, task, outcome.failure, true);
        else if (!job.finishTask(task->index, { outcome.handle, outcome.failure }) && !outcome.handle.empty())
            unusedHandles.push_back(outcome.handle);
    }
    if (!unusedHandles.empty())
        releaseResults(unusedHandles);
}

void task_scheduler::retry(const std::string& service, const task_ptr& task, platform::task_failure failure, bool wasSent)
{
    if (task->job->isCancelled)
        return;
    m_context.counters.count("piece_retries_total", { { "service", service }, { "reason", wasSent ? std::string(platform::nameOf(failure)) : "not_sent" } });
    if (task->attempts >= maxSends) {
        task->job->finishTask(task->index, { "", failure });
        return;
    }
    pool& pool = m_pools[service];
    pool.queue.push_back(task);
    pool.isOrderChanged = true;
    scheduleTick();
}

void task_scheduler::releaseResults(const std::vector<std::string>& handles)
{
    std::map<target_ptr, std::vector<std::string>> byHolder;
    for (const auto& handle : handles) {
        if (const target_ptr holder = m_context.targets.holderOf(handle))
            byHolder[holder].push_back(handle);
        if (const auto position = m_results.find(handle); position != m_results.end())
            eraseResult(position);
    }
    for (const auto& [target, items] : byHolder) {
        // A limited or paused target is spared the call, and an evacuated failure domain gets none: the results expire by themselves.
        const time_point now = monotonicNow();
        if (!target->canSendNow(now) || !policy::mayReturn(target->pause, now) || isEvacuated(m_context, *target) || isTargetListUncertain(m_context, now)) {
            m_context.counters.count("releases_left_out_total");
            continue;
        }
        http1::outgoing_request request { "POST", std::string(platform::releaseResultsPath), platform::encodeInternalCallHeaders(target->listed), platform::encodeReleaseCall(items) };
        const auto position = m_releaseCalls.insert(m_releaseCalls.end(), nullptr);
        http1::client_call::callbacks callbacks;
        callbacks.onEnd = [this, position](http1::call_outcome) { m_releaseCalls.erase(position); };
        *position = sendToTarget(m_context, target, request, { false, targetConnectTimeout, releaseTimeout, maxResultBytes }, std::move(callbacks));
    }
}
}
