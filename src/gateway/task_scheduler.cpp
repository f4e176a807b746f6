#include "gateway/task_scheduler.hpp"

#include "base/hash.hpp"
#include "platform/ingress.hpp"

#include <algorithm>
#include <limits>

namespace bilberryseam::gateway {

namespace {
    constexpr std::string_view part = "pieces";

    /// Times that a piece is sent at most.
    constexpr unsigned maxSends = 4;

    /// A call is given up after this many times its usual time, and at least after the floor.
    constexpr int patienceFactor = 12;
    constexpr milliseconds patienceFloor { 3000 };

    /// After this many times its usual time, the pieces of a call may be made elsewhere; its target goes on, and whichever
    /// result comes first is used.
    constexpr double overdueFactor = 2.5;

    /// Time that a piece needs at least to be worth a call.
    constexpr milliseconds leastUsefulTime { 30 };

    /// Longest wait for the answer to a call that gives results up; they expire by themselves if it fails.
    constexpr milliseconds freeTimeout { 2000 };

    /// How long before the end of a call the next one is sent, for its way there.
    constexpr milliseconds callLead { 20 };

    /// Part of a target's memory that is planned with, since sizes of results are approximate.
    constexpr double usableMemoryShare = 0.96;

    /// Penalty of a target that gets no work at all.
    constexpr double unusablePenalty = 1000;

    /// Longest time until a connection to a target stands.
    constexpr milliseconds targetConnectTimeout { 300 };

    /// A target that had no memory for a result gets no work for this long.
    constexpr milliseconds noMemoryPause { 200 };

    /// A piece that may not be repeated now waits for this long.
    constexpr milliseconds unpaidRepeatPause { 500 };

    /// Time that a call takes on the network besides its work; a round trip between regions.
    constexpr milliseconds networkTime { 20 };
}

struct task_scheduler::batch_call {
    target_ptr target;
    std::vector<task_ptr> pieces;
    /// When its work should begin at the target.
    time_point startsAt {};
    milliseconds expected { 0 };
    bool isOverdue = false;
    bool isMadeElsewhere = false;
    double resultBytes = 0;
    std::shared_ptr<http1::client_call> call;
    unsigned status = 0;
    bool isNotRun = false;
    std::string body;
};

task_scheduler::task_scheduler(context& context)
    : m_context(context)
{
}

const deployment::pool_profile* task_scheduler::profileOf(std::string_view service) const
{
    return m_context.configuration ? deployment::poolOf(*m_context.configuration, service) : nullptr;
}

void task_scheduler::add(const job_ptr& job)
{
    const time_point now = monotonicNow();
    const uint64_t group = hashOf(job->requestId, job->stage);
    earnRetries(m_context, job->service, now);
    pool& home = m_pools[job->service];
    const milliseconds lead = policy::recordValue(home.values, static_cast<double>(job->weightedTokens), job->taskCount);
    for (uint32_t piece = 0; piece < job->taskCount; ++piece) {
        if (!job->finishedTasks[piece])
            home.queue.push_back(std::make_shared<queued_task>(queued_task { job, piece, group, now, lead, 0, {} }));
    }
    scheduleTick();
}

void task_scheduler::cancel(stage_job& job)
{
    job.isCancelled = true;
    if (const auto found = m_pools.find(job.service); found != m_pools.end())
        found->second.queue.remove_if([&job](const auto& item) { return item->job.get() == &job; });
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
        std::vector<task_ptr> over;
        std::erase_if(pool.queue, [&](const auto& piece) {
            if (now + leastUsefulTime < piece->job->deadline)
                return false;
            over.push_back(piece);
            return true;
        });
        for (const auto& piece : over) {
            m_context.counters.count("pieces_late_total", { { "service", service } });
            piece->job->finishTask(piece->index, { "", platform::task_failure::Expired });
        }
        requeueOverdueCalls(service, pool, now);
        startBatchCalls(service, pool, now);
    }
}

void task_scheduler::requeueOverdueCalls(const std::string& service, pool& pool, time_point now)
{
    for (const auto& call : pool.calls) {
        const bool isOverdue = asSeconds(now - call->startsAt) > asSeconds(call->expected + networkTime) * overdueFactor;
        if (!isOverdue || std::exchange(call->isOverdue, true))
            continue;
        policy::recordSuccess(call->target->health, overdueFactor, now);
        const bool isPaid = trySpendRetry(m_context, service, now);
        logLine(log_level::Warning, part, "A call is overdue.", { { "target", call->target->listed.id }, { "service", service }, { "pieces", std::to_string(call->pieces.size()) }, { "made_elsewhere", isPaid ? "true" : "false" }, { "first_request", call->pieces.front()->job->requestId } });
        if (!isPaid)
            continue;
        m_context.counters.count("piece_retries_total", { { "service", service }, { "reason", "overdue" } });
        for (const auto& piece : call->pieces) {
            const bool isWanted = !piece->job->isCancelled && !piece->job->finishedTasks[piece->index] && piece->attempts < maxSends;
            if (isWanted)
                pool.queue.push_back(std::make_shared<queued_task>(*piece));
        }
        call->isMadeElsewhere = true;
    }
}

policy::pool_target task_scheduler::planningTarget(const target_state& target, const pool& pool, const deployment::pool_profile& profile, time_point now) const
{
    const auto slots = static_cast<uint32_t>(profile.slots);
    // The next call is on its way when the running one ends, so that the target does not wait for it.
    const bool isNearlyIdle = profile.maxQueuedCalls > 0 && pool.queue.size() >= static_cast<size_t>(profile.batchSize) && target.inFlight == slots
        && now + callLead >= target.busyUntil && now < target.busyUntil + callLead;
    policy::pool_target view;
    view.failureDomain = target.listed.failureDomain;
    view.isIdle = target.mayGetWork(now) && now >= target.noMemoryUntil && (target.inFlight < slots || isNearlyIdle);
    view.totalBytes = profile.resultMemoryBytes > 0 ? profile.resultMemoryBytes * usableMemoryShare : std::numeric_limits<double>::max();
    view.freeBytes = view.totalBytes - target.heldBytes;
    // A target that gets no work is not one to wait for.
    view.penalty = target.mayGetWork(now) ? policy::penaltyOf(target.health) : unusablePenalty;
    return view;
}

void task_scheduler::startBatchCalls(const std::string& service, pool& pool, time_point now)
{
    const auto* profile = profileOf(service);
    // The result may have come from an overdue call in the meantime.
    pool.queue.remove_if([](const auto& piece) { return piece->job->finishedTasks[piece->index]; });
    if (pool.queue.empty() || !profile)
        return;
    const std::vector<target_ptr> listed = m_context.targets.ofService(service);
    std::vector<policy::pool_target> targets;
    targets.reserve(listed.size());
    for (const auto& target : listed)
        targets.push_back(planningTarget(*target, pool, *profile, now));
    if (std::none_of(targets.begin(), targets.end(), [](const auto& item) { return item.isIdle; }))
        return;
    std::vector<task_ptr> queue;
    std::copy_if(pool.queue.begin(), pool.queue.end(), std::back_inserter(queue), [now](const auto& piece) { return now >= piece->notBefore; });
    std::vector<policy::queued_task> pieces;
    pieces.reserve(queue.size());
    for (const auto& piece : queue) {
        const stage_job& job = *piece->job;
        pieces.push_back({ piece->group, job.isStarted, job.latestStart, piece->queuedSince, job.resultBytes, job.rank, piece->boost, job.requiredDomain, job.preferredDomain });
    }
    const policy::batching_rules rules { static_cast<size_t>(profile->batchSize) };
    for (const auto& batch : policy::planBatches(pieces, targets, rules, now)) {
        std::vector<task_ptr> chosen;
        for (const size_t index : batch.tasks)
            chosen.push_back(queue[index]);
        send(service, pool, listed[batch.target], std::move(chosen), now);
    }
}

void task_scheduler::send(const std::string& service, pool& pool, const target_ptr& target, std::vector<task_ptr> pieces, time_point now)
{
    const auto* profile = profileOf(service);
    const auto call = std::make_shared<batch_call>();
    std::vector<platform::task_request> items;
    for (const auto& piece : pieces) {
        pool.queue.remove(piece);
        ++piece->attempts;
        stage_job& job = *piece->job;
        job.isStarted = true;
        call->resultBytes += job.resultBytes;
        const auto left = std::chrono::duration_cast<milliseconds>(job.deadline - now);
        items.push_back({ job.requestId, job.stage, piece->index, left, job.taskKey, job.inputs });
    }
    call->target = target;
    call->expected = profile->expectedCallTime(pieces.size());
    call->pieces = std::move(pieces);
    ++target->inFlight;
    target->heldBytes += call->resultBytes;
    call->startsAt = target->inFlight > 1 ? std::max(now, target->busyUntil) : now;
    target->busyUntil = call->startsAt + call->expected;
    pool.calls.push_back(call);

    http1::outgoing_request request { "POST", std::string(platform::runTasksPath), platform::encodeInternalCallHeaders(target->listed), platform::encodeBatchCall(items) };
    http1::client_call::callbacks calls;
    calls.onHead = [call](const http1::response_head& head) {
        call->status = head.status;
        call->isNotRun = platform::isNotExecuted(head);
    };
    calls.onBody = [call](std::string_view bytes) { call->body.append(bytes); };
    calls.onEnd = [this, service, call](http1::call_outcome end) { onCallEnded(service, call, end); };
    const milliseconds timeout = std::chrono::duration_cast<milliseconds>(call->startsAt - now) + std::max(patienceFloor, call->expected * patienceFactor);
    call->call = m_context.client.send(target->listed.endpoint, request, { false, targetConnectTimeout, timeout }, std::move(calls));
    logLine(log_level::Info, part, "A call was sent.", { { "service", service }, { "target", target->listed.id }, { "pieces", std::to_string(items.size()) }, { "waiting", std::to_string(pool.queue.size()) }, { "free_bytes", std::to_string(static_cast<int64_t>(profile->resultMemoryBytes - target->heldBytes)) }, { "first_request", call->pieces.front()->job->requestId } });
    m_context.counters.count("piece_calls_total", { { "service", service } });
    m_context.counters.count("pieces_total", { { "service", service } }, static_cast<double>(items.size()));
}

void task_scheduler::onCallEnded(const std::string& service, const std::shared_ptr<batch_call>& call, http1::call_outcome end)
{
    const time_point now = monotonicNow();
    target_state& target = *call->target;
    --target.inFlight;
    if (target.inFlight == 0)
        target.busyUntil = now;
    m_pools[service].calls.remove(call);
    const bool isAnswered = end == http1::call_outcome::Complete && call->status == http1::statusOk;
    const auto answers = isAnswered ? platform::decodeTaskResults(call->body, call->pieces.size()) : result<std::vector<platform::task_result>>(error());
    scheduleTick();
    if (answers) {
        const double slowness = asSeconds(now - call->startsAt) / asSeconds(call->expected + networkTime);
        policy::recordSuccess(target.health, slowness, now);
        applyResults(call, answers.value());
        return;
    }
    target.heldBytes -= call->resultBytes;
    const bool isFull = end == http1::call_outcome::Complete && call->status == http1::statusUnavailable && call->isNotRun;
    if (end == http1::call_outcome::Complete && call->status == http1::statusMisdirected)
        target.isReplaced = true;
    const auto failure = isFull ? policy::call_failure::Full : end == http1::call_outcome::NotSent ? policy::call_failure::Unreachable
                                                                                                   : policy::call_failure::Failed;
    policy::recordFailure(target.health, failure, now);
    logLine(log_level::Warning, part, "A call for pieces failed.", { { "target", target.listed.id }, { "service", service }, { "end", std::string(nameOf(end)) }, { "status", std::to_string(call->status) }, { "pieces", std::to_string(call->pieces.size()) }, { "firstRequest", call->pieces.front()->job->requestId } });
    if (call->isMadeElsewhere)
        return;
    const bool wasSent = end != http1::call_outcome::NotSent;
    if (wasSent && !trySpendRetry(m_context, service, now)) {
        for (const auto& piece : call->pieces)
            piece->job->finishTask(piece->index, { "", platform::task_failure::Failed });
        return;
    }
    for (const auto& piece : call->pieces)
        retry(service, piece, platform::task_failure::Failed, wasSent);
}

void task_scheduler::applyResults(const std::shared_ptr<batch_call>& call, const std::vector<platform::task_result>& answers)
{
    const auto pieces = call->pieces;
    std::vector<std::string> unused;
    for (size_t i = 0; i < pieces.size(); ++i) {
        const task_ptr& piece = pieces[i];
        stage_job& job = *piece->job;
        const auto& answer = answers[i];
        if (answer.handle.empty())
            call->target->heldBytes -= job.resultBytes;
        else
            m_results[answer.handle] = { call->target, job.resultBytes, monotonicNow() + resultLifetimeOf(job.service) };
        if (answer.handle.empty() && call->isMadeElsewhere)
            continue;
        const bool mayRetry = answer.failure == platform::task_failure::NoMemory || answer.failure == platform::task_failure::Failed;
        const time_point now = monotonicNow();
        if (answer.failure == platform::task_failure::NoMemory) {
            if (now >= call->target->noMemoryUntil)
                logLine(log_level::Warning, part, "A target had no memory for a result.", { { "target", call->target->listed.id }, { "service", job.service }, { "request", job.requestId }, { "held_bytes", std::to_string(static_cast<int64_t>(call->target->heldBytes)) } });
            call->target->noMemoryUntil = now + noMemoryPause;
            // The results of another owner take the memory; the piece can only wait.
            const bool isPaid = trySpendRetry(m_context, job.service, now);
            piece->notBefore = now + (isPaid ? noMemoryPause : unpaidRepeatPause);
            --piece->attempts;
            retry(job.service, piece, answer.failure, true);
        } else if (mayRetry && !job.isCancelled && trySpendRetry(m_context, job.service, now))
            retry(job.service, piece, answer.failure, true);
        else if (!job.finishTask(piece->index, { answer.handle, answer.failure }) && !answer.handle.empty())
            unused.push_back(answer.handle);
    }
    if (!unused.empty())
        releaseResults(unused);
}

void task_scheduler::retry(const std::string& service, const task_ptr& piece, platform::task_failure why, bool wasSent)
{
    if (piece->job->isCancelled)
        return;
    m_context.counters.count("piece_retries_total", { { "service", service }, { "reason", wasSent ? std::string(platform::nameOf(why)) : "not_sent" } });
    if (piece->attempts >= maxSends) {
        piece->job->finishTask(piece->index, { "", why });
        return;
    }
    m_pools[service].queue.push_back(piece);
    scheduleTick();
}

void task_scheduler::releaseResults(const std::vector<std::string>& handles)
{
    std::map<target_ptr, std::vector<std::string>> byMaker;
    for (const auto& handle : handles) {
        if (const target_ptr maker = m_context.targets.holderOf(handle))
            byMaker[maker].push_back(handle);
        if (const auto found = m_results.find(handle); found != m_results.end())
            eraseResult(found);
    }
    for (const auto& [target, items] : byMaker) {
        http1::outgoing_request request { "POST", std::string(platform::releaseResultsPath), platform::encodeInternalCallHeaders(target->listed), platform::encodeReleaseCall(items) };
        const auto place = m_releaseCalls.insert(m_releaseCalls.end(), nullptr);
        http1::client_call::callbacks calls;
        calls.onEnd = [this, place](http1::call_outcome) { m_releaseCalls.erase(place); };
        *place = m_context.client.send(target->listed.endpoint, request, { false, targetConnectTimeout, freeTimeout }, std::move(calls));
    }
}
}
