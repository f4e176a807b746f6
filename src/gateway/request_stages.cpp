/// The stages of a request: when and in which failure domain their tasks run.
#include "gateway/request_run.hpp"

#include "policy/placement.hpp"

#include <algorithm>

namespace bilberryseam::gateway {

namespace {
    constexpr std::string_view logComponent = "request";

    /// Results of at least this size are produced in the failure domain in which they are needed.
    constexpr uint64_t largeResultBytes = 500 * 1000;

    /// Inputs of a stage below this total size, over the fetches of all its tasks, may come from any failure domain.
    constexpr double movableInputBytes = 500 * 1000;

    /// Time from the arrival at a target to the first event, without prefill.
    constexpr milliseconds firstEventTime { 150 };

    /// Prompt tokens that an engine prefills per millisecond, as a planning figure.
    constexpr double prefillTokensPerMillisecond = 50;

    /// An output token takes an engine as long as this many prompt tokens.
    constexpr uint64_t outputTokenPrice = 10;

    /// Mean share of the shared prompt tokens that a target does not have cached.
    constexpr double sharedPrefillShare = 0.25;

    /// Time from sending a request until its target starts to fetch results: a trip between regions and the target's own
    /// work.
    constexpr milliseconds fetchStartDelay { 35 };

    /// A task that is reported as late in the last moments before its inputs expire was not sent because of them.
    constexpr milliseconds expiredInputsMargin { 200 };

    /// Factor for the transfer time, since results share the network links of their holders with other transfers.
    constexpr double fetchSlowdown = 2;
}

uint32_t request_run::taskCountOf(size_t stage) const noexcept
{
    const auto& counts = m_request.callerRequest.taskCounts;
    return stage < counts.size() ? counts[stage] : 0;
}

void request_run::startStages()
{
    const auto& stages = m_request.route->stages;
    m_stages.assign(stages.size(), {});
    m_areInputsReleased = false;
    if (stages.empty() || !hasTasks()) {
        dispatch();
        return;
    }
    m_requiredDomain = domainOfLargeResults();
    startReadyStages();
}

bool request_run::hasTasks() const noexcept
{
    return std::any_of(m_request.callerRequest.taskCounts.begin(), m_request.callerRequest.taskCounts.end(), [](uint32_t count) { return count > 0; });
}

bool request_run::areStagesDone() const noexcept
{
    return !hasTasks() || std::all_of(m_stages.begin(), m_stages.end(), [](const auto& item) { return item.isDone(); });
}

void request_run::repeatStages()
{
    ++m_stageRuns;
    m_areInputsForSecondRun = true;
    m_context.counters.count("stage_restarts_total", { { "reason", "silent" } });
    logLine(log_level::Info, logComponent, "The stages of the request are run again because its target is silent and their results were released.", { { "request", m_request.callerRequest.id }, { "target", m_current->target->listed.id } });
    startStages();
}

void request_run::releaseUnneededResults(time_point now)
{
    if (!m_current || m_areInputsReleased)
        return;
    const bool isSecondRunPending = m_areInputsForSecondRun && !m_backup;
    const bool isFetched = areInputsFetched(now) || (isSecondRunPending && m_current->hasFirstByte);
    if (isFetched && !(isSecondRunPending && needsSecondRun(*m_current, now)))
        cancelAndReleaseStages();
}

void request_run::restartStages(std::string_view reason)
{
    const time_point now = monotonicNow();
    // A request that is late already would only take capacity from others.
    const bool isWorthwhile = m_stageRuns < detail::maxStageRuns && (now - m_arrivedAt < m_request.route->objective || mayReturn());
    const bool mayRetry = isWorthwhile && trySpendRetry(m_context, m_request.service, now);
    if (!mayRetry) {
        finishWithoutResponse(reason);
        return;
    }
    ++m_stageRuns;
    m_context.counters.count("stage_restarts_total", { { "reason", std::string(reason) } });
    logLine(log_level::Info, logComponent, "The stages of the request are restarted because a result is missing.", { { "request", m_request.callerRequest.id }, { "reason", std::string(reason) } });
    cancelAndReleaseStages();
    startStages();
}

std::string request_run::domainOfLargeResults() const
{
    const auto& stages = m_request.route->stages;
    double largeBytes = 0;
    for (size_t i = 0; i < stages.size(); ++i) {
        if (stages[i].resultBytes >= largeResultBytes)
            largeBytes += static_cast<double>(stages[i].resultBytes) * taskCountOf(i);
    }
    if (largeBytes == 0 || !m_request.callerRequest.generation)
        return {};
    const uint64_t sharedTokens = m_request.callerRequest.generation->sharedTokens();
    const policy::placement_costs costs;
    // The target is chosen by the prompt first only if the prompt costs more than the transfer of the results.
    const bool isPromptHeavier = static_cast<double>(sharedTokens) * costs.thousandUncachedTokens / 1000 > largeBytes * costs.remoteInputMegabyte / 1e6;
    const target_ptr target = isPromptHeavier ? chooseTarget(monotonicNow()) : nullptr;
    return target ? target->listed.failureDomain : std::string();
}

request_run::bytes_by_domain request_run::resultBytesByDomain() const
{
    bytes_by_domain bytes;
    if (m_stages.empty())
        return bytes;
    for (const size_t index : deployment::finalStages(*m_request.route)) {
        for (const auto& handle : m_stages[index].handles) {
            if (const target_ptr target = m_context.targets.holderOf(handle))
                bytes[target->listed.failureDomain] += static_cast<double>(m_request.route->stages[index].resultBytes);
        }
    }
    return bytes;
}

void request_run::startReadyStages()
{
    const auto& stages = m_request.route->stages;
    // Stages without tasks are done at once, so that the stages after them may be ready.
    for (size_t i = 0; i < stages.size(); ++i) {
        m_stages[i].isStarted = m_stages[i].isStarted || taskCountOf(i) == 0;
    }
    const auto startAll = [&] {
        for (size_t i = 0; i < stages.size() && !m_isFinished; ++i) {
            const bool isReady = std::all_of(stages[i].inputStages.begin(), stages[i].inputStages.end(), [this](size_t previous) { return m_stages[previous].isDone(); });
            if (!m_stages[i].isStarted && isReady && !mustWait(i))
                startStage(i);
        }
    };
    startAll();
    // Stages with large results that waited for the others may start now.
    startAll();
    // Beside a silent target, the search for a second one sends the request.
    if (areStagesDone() && !m_isFinished && !m_current)
        dispatch();
}

bool request_run::mustWait(size_t index) const
{
    const auto& stages = m_request.route->stages;
    const auto finalStages = deployment::finalStages(*m_request.route);
    const bool isFinal = std::find(finalStages.begin(), finalStages.end(), index) != finalStages.end();
    if (stages[index].resultBytes < largeResultBytes || !isFinal)
        return false;
    // Large results would occupy memory while the other stages run, so they are produced beside the last of these.
    for (size_t i = 0; i < stages.size(); ++i) {
        if (stages[i].resultBytes < largeResultBytes && !m_stages[i].isStarted)
            return true;
    }
    return false;
}

job_ptr request_run::jobOf(size_t index) const
{
    const deployment::stage& stage = m_request.route->stages[index];
    const uint32_t count = taskCountOf(index);
    const auto job = std::make_shared<stage_job>();
    double inputBytes = 0;
    for (const size_t previous : stage.inputStages) {
        const auto& handles = m_stages[previous].handles;
        job->inputs.insert(job->inputs.end(), handles.begin(), handles.end());
        inputBytes += static_cast<double>(m_request.route->stages[previous].resultBytes * handles.size());
    }
    job->requestId = m_request.callerRequest.id;
    job->service = stage.service;
    job->stage = static_cast<uint32_t>(index);
    job->taskCount = count;
    job->finishedTasks.resize(count);
    job->taskKey = m_request.callerRequest.taskKey;
    job->resultBytes = static_cast<double>(stage.resultBytes);
    job->latestStart = m_arrivedAt + m_request.route->objective - remainingTime(index);
    // Tasks of a request that can no longer finish in time fail at once and take no slot.
    job->deadline = m_deadline - chainTime(index, [](const auto& pool) { return pool.callOverhead; });
    // Tasks that would not find their inputs any more would take a slot for nothing.
    if (const auto expiry = inputsExpireAt(index))
        job->deadline = std::min(job->deadline, *expiry);
    if (const auto& prompt = m_request.callerRequest.generation)
        job->weightedTokens = prompt->promptTokens + outputTokenPrice * prompt->maxOutputTokens;
    job->rank = static_cast<uint32_t>(std::clamp(m_request.rank, 0, 9));
    job->permittedRegions = m_request.permittedRegions;
    job->route = m_request.route->name;
    job->account = m_request.account;
    job->objective = m_request.route->objective;
    if (stage.resultBytes >= largeResultBytes)
        job->requiredDomain = m_requiredDomain;
    // Each task fetches all inputs.
    job->preferredDomain = domainOfInputs(job->inputs, inputBytes * count);
    return job;
}

void request_run::startStage(size_t index)
{
    stage_progress& progress = m_stages[index];
    const uint32_t count = taskCountOf(index);
    progress.isStarted = true;
    progress.startedAt = monotonicNow();
    progress.unfinishedTasks = count;
    progress.handles.resize(count);
    if (count == 0)
        return;
    const auto job = jobOf(index);
    const std::weak_ptr<request_run> weak = weak_from_this();
    job->onTaskFinished = [weak, index](uint32_t task, const task_outcome& outcome) {
        if (const auto self = weak.lock())
            self->runGuarded([&] { self->onTaskFinished(index, task, outcome); });
    };
    progress.job = job;
    m_pools.run(job);
}

std::optional<time_point> request_run::inputsExpireAt(size_t index) const
{
    std::optional<time_point> expiry;
    for (const size_t previous : m_request.route->stages[index].inputStages) {
        const auto& results = m_stages[previous];
        const auto* pool = deployment::poolOf(*m_request.configuration, m_request.route->stages[previous].service);
        if (!results.firstResultAt || !pool || pool->resultLifetime.count() <= 0)
            continue;
        const time_point ofStage = *results.firstResultAt + pool->resultLifetime - fetchStartDelay;
        expiry = std::min(expiry.value_or(ofStage), ofStage);
    }
    return expiry;
}

std::string request_run::domainOfInputs(const std::vector<std::string>& inputs, double inputBytes) const
{
    if (inputs.empty() || inputBytes < movableInputBytes)
        return {};
    std::map<std::string, size_t> counts;
    for (const auto& handle : inputs) {
        if (const target_ptr target = m_context.targets.holderOf(handle))
            ++counts[target->listed.failureDomain];
    }
    const auto mostFrequent = std::max_element(counts.begin(), counts.end(), [](const auto& left, const auto& right) { return left.second < right.second; });
    return mostFrequent == counts.end() ? std::string() : mostFrequent->first;
}

milliseconds request_run::chainTime(size_t fromStage, const std::function<milliseconds(const deployment::pool_profile&)>& timeIn) const
{
    const auto& stages = m_request.route->stages;
    milliseconds sum { 0 };
    size_t last = fromStage;
    for (size_t i = fromStage; i < stages.size(); ++i) {
        const bool isInChain = i == fromStage || std::find(stages[i].inputStages.begin(), stages[i].inputStages.end(), last) != stages[i].inputStages.end();
        const auto* pool = deployment::poolOf(*m_request.configuration, stages[i].service);
        if (!isInChain || !pool)
            continue;
        last = i;
        if (taskCountOf(i) > 0)
            sum += timeIn(*pool);
    }
    return sum;
}

milliseconds request_run::remainingTime(size_t fromStage) const
{
    const milliseconds sum = chainTime(fromStage, [](const auto& pool) { return pool.expectedCallTime(static_cast<size_t>(pool.batchSize)); });
    double tokens = 0;
    if (const auto& prompt = m_request.callerRequest.generation; prompt && !prompt->segments.empty()) {
        const double ownTokens = static_cast<double>(prompt->segments.back().tokens);
        tokens = ownTokens + sharedPrefillShare * (static_cast<double>(prompt->promptTokens) - ownTokens);
    }
    return sum + firstEventTime + milliseconds(static_cast<int64_t>(tokens / prefillTokensPerMillisecond));
}

void request_run::onTaskFinished(size_t stage, uint32_t task, const task_outcome& outcome)
{
    if (m_isFinished)
        return;
    if (outcome.handle.empty()) {
        logLine(log_level::Info, logComponent, "A task of the request ended without a result.", { { "request", m_request.callerRequest.id }, { "stage", std::to_string(stage) }, { "piece", std::to_string(task) }, { "reason", std::string(platform::nameOf(outcome.failure)) } });
        if (m_current)
            cancelAndReleaseStages();
        else if (const auto expiry = inputsExpireAt(stage); outcome.failure == platform::task_failure::Expired && expiry && monotonicNow() + expiredInputsMargin >= *expiry)
            restartStages("input_expired");
        else if (outcome.failure == platform::task_failure::Expired)
            finishWithoutResponse("stage_late");
        else if (outcome.failure == platform::task_failure::Unplaceable) {
            // The owner of the pool may know of a change before this entry does.
            if (!refuseUnplaceable(monotonicNow(), stage))
                finishWithoutResponse(platform::nameOf(outcome.failure), false);
        } else if (outcome.failure == platform::task_failure::Overloaded)
            refuseOverloaded(outcome.wait);
        else
            restartStages(platform::nameOf(outcome.failure));
        return;
    }
    stage_progress& progress = m_stages[stage];
    progress.handles[task] = outcome.handle;
    progress.firstResultAt = progress.firstResultAt.value_or(monotonicNow());
    if (--progress.unfinishedTasks > 0)
        return;
    logLine(log_level::Info, logComponent, "A stage of the request finished.", { { "request", m_request.callerRequest.id }, { "stage", std::to_string(stage) }, { "service", m_request.route->stages[stage].service }, { "pieces", std::to_string(progress.handles.size()) }, { "took_ms", std::to_string(asMilliseconds(monotonicNow() - progress.startedAt)) } });
    for (const size_t previous : m_request.route->stages[stage].inputStages) {
        const auto& stages = m_request.route->stages;
        const bool isNeededLater = [&] {
            for (size_t i = 0; i < stages.size(); ++i) {
                const bool isInput = std::find(stages[i].inputStages.begin(), stages[i].inputStages.end(), previous) != stages[i].inputStages.end();
                if (isInput && !m_stages[i].isDone())
                    return true;
            }
            return false;
        }();
        if (!isNeededLater)
            releaseStage(previous);
    }
    startReadyStages();
}

std::optional<time_point> request_run::inputsFetchedAt(const target_state& target, time_point now) const
{
    // A target that is full, or slower than expected, fetches the results only when it starts the request.
    const auto keptUntil = m_context.keepInputsUntil.find(m_request.service);
    const bool mustKeep = keptUntil != m_context.keepInputsUntil.end() && now < keptUntil->second;
    if (mustKeep || target.inFlight >= static_cast<uint32_t>(std::max(1, target.listed.slots)))
        return std::nullopt;
    double transfer = 0;
    for (const size_t index : deployment::finalStages(*m_request.route)) {
        const auto& stage = m_request.route->stages[index];
        const auto* pool = deployment::poolOf(*m_request.configuration, stage.service);
        if (pool && pool->linkBytesPerMillisecond > 0 && index < m_stages.size())
            transfer += static_cast<double>(stage.resultBytes * m_stages[index].handles.size()) / pool->linkBytesPerMillisecond;
    }
    return now + fetchStartDelay + milliseconds(static_cast<int64_t>(transfer * fetchSlowdown));
}

void request_run::releaseStage(size_t index)
{
    std::vector<std::string> handles;
    for (auto& handle : m_stages[index].handles) {
        if (!handle.empty())
            handles.push_back(std::exchange(handle, {}));
    }
    if (!handles.empty())
        m_pools.releaseResults(m_request.route->stages[index].service, handles);
}

void request_run::cancelAndReleaseStages()
{
    m_areInputsReleased = !m_stages.empty() && hasTasks();
    m_areInputsForSecondRun = false;
    for (size_t i = 0; i < m_stages.size(); ++i) {
        if (m_stages[i].job && !m_stages[i].isDone())
            m_pools.cancel(m_stages[i].job);
        releaseStage(i);
    }
}
}
