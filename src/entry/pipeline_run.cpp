#include "entry/pipeline_run.hpp"

#include "base/hash.hpp"
#include "entry/stage_body.hpp"
#include "telemetry/log.hpp"

namespace bilberryseam::entry {

using nlohmann::json;

namespace {
    /// A retry after a crash waits until the report of the crash has arrived, which may refuse it.
    constexpr milliseconds crashReportTime { 50 };

    constexpr std::string_view logComponent = "run";

    /// Sides get a slightly shorter deadline than the request has, so that their result arrives in time.
    constexpr milliseconds deadlineMargin { 20 };

    /// Time that a request that has not started waits for a usable target, if the service has targets at all.
    constexpr milliseconds maxTargetWait { 400 };

    /// The same for a request that has started: longer, since its work would be lost.
    constexpr milliseconds maxStartedTargetWait { 1000 };

    /// Delay before all targets are tried again.
    constexpr milliseconds targetCheckPeriod { 25 };

    /// The same while the link of a target is down: its return is reported at once.
    constexpr milliseconds silentTargetCheckPeriod { 250 };

    /// Delay before the stage is sent again if its idempotency key is running at another side.
    constexpr milliseconds runningKeyBackoff { 150 };

    /// Fraction of a stage's share of the remaining time that may be spent waiting in the own region: a target in another
    /// region is chosen only if it saves more time than that.
    constexpr double slackShare = 0.2;

    constexpr milliseconds defaultRetryAfter { 1000 };

    /// Age at which the measured run time of a target is ignored, so that a slow target is tried again.
    constexpr seconds runTimeMaxAge { 5 };

    double recentMeanRun(const known_target& target)
    {
        return monotonicNow() - target.lastRunAt > runTimeMaxAge ? 0 : target.meanRunSeconds;
    }
}

pipeline_run::pipeline_run(request request, run_context& context, callbacks callbacks)
    : m_request(std::move(request))
    , m_context(context)
    , m_callbacks(std::move(callbacks))
{
}

pipeline_run::~pipeline_run()
{
    cancelAttempts(std::nullopt);
}

void pipeline_run::start()
{
    const milliseconds remainingTime = std::chrono::ceil<milliseconds>(m_request.deadline - monotonicNow());
    m_deadlineTimer.startOnce(remainingTime, [this] { onDeadlinePassed(); });
    startStage();
}

void pipeline_run::startStage()
{
    m_outputText.clear();
    m_triedTargets.clear();
    m_retryCount = 0;
    tryDispatch();
}

void pipeline_run::tryDispatch()
{
    m_isWaiting = false;
    m_waitTimer.stop();
    m_isTrial = executionMode() == policy::execution_mode::Refused && m_context.suspicions.tryStartTrial(m_request.fingerprint, segments(), monotonicNow());
    if (!m_isTrial && executionMode() == policy::execution_mode::Refused) {
        finishUnanswered(outcome_reason::Quarantined, milliseconds(0), "This request, or a prefix of its prompt, crashed the targets that ran it.");
        return;
    }
    std::string body = writeStageBody(stage(), m_request.input, m_previousOutput, m_outputText);
    const std::vector<policy::routing_candidate> candidates = listCandidates();
    const std::optional<size_t> candidateIndex = chooseCandidate(candidates, static_cast<double>(body.size()));
    if (candidateIndex) {
        dispatchTo(*m_context.links.targetsOf(stage().service->name)[*candidateIndex], std::move(body), false);
        scheduleHedge();
        return;
    }
    if (m_waitReason != outcome_reason::None && !m_triedTargets.empty()) {
        waitForTarget(m_waitReason, m_waitRetryAfter);
        return;
    }
    waitForTarget(outcome_reason::NoTarget, defaultRetryAfter);
}

std::span<const uint64_t> pipeline_run::segments() const noexcept
{
    const bool hasPrefix = m_request.prefixHash != 0 && isEngine(stage());
    return hasPrefix ? std::span(&m_request.prefixHash, 1) : std::span<const uint64_t>();
}

policy::execution_mode pipeline_run::executionMode() const
{
    return m_context.suspicions.executionModeOf(m_request.fingerprint, segments(), monotonicNow());
}

std::vector<policy::routing_candidate> pipeline_run::listCandidates() const
{
    std::vector<policy::routing_candidate> candidates;
    for (const known_target* target : m_context.links.targetsOf(stage().service->name)) {
        const configuration::target& config = *target->config;
        policy::routing_candidate& candidate = candidates.emplace_back();
        candidate.name = config.name;
        candidate.hash = target->hash;
        candidate.isInOwnRegion = config.region == m_context.ownRegion;
        candidate.isEligible = m_context.links.isUsable(*target) && !m_triedTargets.contains(config.name);
        candidate.reportedWaitSeconds = target->load.expectedWaitMs / 1000.0;
        candidate.inFlight = target->inFlight;
        candidate.reportedLoad = target->load.running + target->load.queued;
        candidate.capacity = std::max(1u, config.capacity);
        candidate.meanRunSeconds = recentMeanRun(*target);
        candidate.pricePerGib = m_context.priceOf(m_context.ownRegion, config.region);
    }
    return candidates;
}

std::optional<size_t> pipeline_run::chooseCandidate(std::span<const policy::routing_candidate> candidates, double bytes)
{
    service_statistics& statistics = m_context.serviceStatistics[stage().service->name];
    if (!stage().service->isRetryable)
        return policy::chooseByKey(candidates, hashOf(m_request.idempotencyKey));
    // All attempts of a suspected request go to one side, which runs only one of them at a time.
    if (executionMode() == policy::execution_mode::Isolated)
        return policy::chooseByKey(candidates, m_request.fingerprint);
    if (m_request.policy->mode == "baseline")
        return policy::chooseRoundRobin(candidates, statistics.roundRobinTurn);
    const policy::routing_weights weights { m_request.policy->attainmentWeight, m_request.policy->costWeight };
    const double remainingTime = asSeconds(m_request.deadline - monotonicNow());
    const auto stagesLeft = static_cast<double>(m_request.stages.size() - m_stageIndex);
    const double slack = std::max(0.0, slackShare * remainingTime / stagesLeft);
    return policy::chooseByCost(candidates, { bytes, isEngine(stage()) ? m_request.prefixHash : 0, statistics.meanRunSeconds, slack }, weights, m_context.random);
}

wire::start_call pipeline_run::makeCall(const known_target& target, identifier attempt, std::string body, bool isIsolated) const
{
    const milliseconds remainingTime = std::chrono::floor<milliseconds>(m_request.deadline - monotonicNow()) - deadlineMargin;
    wire::start_call call;
    call.request = m_request.id;
    call.attempt = attempt;
    call.target = target.config->name;
    call.pipeline = m_request.pipeline->name;
    call.stage = stage().stage.name;
    call.account = m_request.account->name;
    call.remainingMs = static_cast<uint32_t>(std::max<int64_t>(0, remainingTime.count()));
    call.priority = m_request.priority;
    call.isStreamed = isEngine(stage());
    call.isRetryable = stage().service->isRetryable;
    call.idempotencyKey = call.isRetryable ? "" : m_request.idempotencyKey;
    call.keyIssuedMs = m_request.keyIssuedMs;
    call.fingerprint = m_request.fingerprint;
    call.isIsolated = isIsolated;
    call.body = std::move(body);
    for (const uint64_t segment : segments())
        call.segments.push_back({ segment });
    call.isTrial = m_isTrial;
    return call;
}

void pipeline_run::dispatchTo(known_target& target, std::string body, bool isHedge)
{
    const identifier attempt = m_context.identifiers.next();
    m_triedTargets.insert(target.config->name);
    const bool isIsolated = executionMode() == policy::execution_mode::Isolated;
    const time_point now = monotonicNow();
    m_attempts[attempt] = { &target, target.config->region, now, now, body.size(), 0, false, isIsolated, isHedge };
    m_replacementTimer.startOnce(m_context.targetSilence, [this] { replaceDoubtful(); });
    m_context.counters.count("attempts_total", { { "stage", stage().stage.name }, { "target_region", target.config->region } });
    m_context.links.dispatch(target, makeCall(target, attempt, std::move(body), isIsolated), [weak = weak_from_this(), attempt](attempt_event& event) {
        if (const auto self = weak.lock())
            self->handleEvent(attempt, event);
    });
}

void pipeline_run::handleEvent(identifier attempt, attempt_event& event)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end() || m_isFinished)
        return;
    if (std::holds_alternative<wire::call_started>(event)) {
        // The side may still refuse the call if the target turns out not to have accepted it.
        it->second.hasStarted = true;
        it->second.lastSignAt = monotonicNow();
        m_waitingSince.reset();
        return;
    }
    if (const auto* output = std::get_if<wire::call_output>(&event)) {
        handleOutput(attempt, output->text);
        return;
    }
    if (std::holds_alternative<attempt_stalled>(event)) {
        replaceDoubtful();
        return;
    }
    active_attempt finishedAttempt = std::move(it->second);
    m_attempts.erase(it);
    if (!m_attempts.empty())
        m_replacementTimer.startOnce(replacementCheckPeriod, [this] { replaceDoubtful(); });
    if (const auto* message = std::get_if<wire::call_finished>(&event))
        finishedAttempt.bytesReceived += message->body.size();
    recordTraffic(finishedAttempt);
    if (auto* message = std::get_if<wire::call_finished>(&event))
        handleFinish(finishedAttempt, *message);
    else if (const auto* message = std::get_if<wire::call_refused>(&event))
        handleRefusal(*message);
    else
        handleLoss(finishedAttempt);
}

void pipeline_run::recordTraffic(const active_attempt& attempt)
{
    const std::string& ownRegion = m_context.ownRegion;
    const std::string& stageName = stage().stage.name;
    m_context.counters.count("stage_bytes_total", { { "stage", stageName }, { "from", ownRegion }, { "to", attempt.region } }, static_cast<double>(attempt.bytesSent));
    m_context.counters.count("stage_bytes_total", { { "stage", stageName }, { "from", attempt.region }, { "to", ownRegion } }, static_cast<double>(attempt.bytesReceived));
    if (attempt.region == ownRegion)
        return;
    constexpr double bytesPerGib = 1024.0 * 1024.0 * 1024.0;
    const double cost = (m_context.priceOf(ownRegion, attempt.region) * attempt.bytesSent + m_context.priceOf(attempt.region, ownRegion) * attempt.bytesReceived) / bytesPerGib;
    m_context.counters.count("stage_cost_total", { { "stage", stageName } }, cost);
}

void pipeline_run::handleOutput(identifier attempt, const std::string& text)
{
    if (m_attempts.size() > 1)
        cancelAttempts(attempt);
    m_attempts.at(attempt).bytesReceived += text.size();
    m_attempts.at(attempt).lastSignAt = monotonicNow();
    if (m_outputText.empty())
        policy::recordLatency(m_context.serviceStatistics[stage().service->name].latencies, asSeconds(monotonicNow() - m_attempts.at(attempt).sentAt));
    if (m_outputText.empty() && isLastStage())
        m_context.counters.observeSeconds("first_token_seconds", { { "pipeline", m_request.pipeline->name } }, asSeconds(monotonicNow() - m_request.arrivedAt));
    m_outputText += text;
    if (isLastStage() && m_request.isStreamed)
        m_callbacks.onOutput(text);
}

void pipeline_run::handleRefusal(const wire::call_refused& message)
{
    m_context.counters.count("attempts_refused_total", { { "stage", stage().stage.name }, { "reason", std::string(nameOf(message.reason)) } });
    if (!m_attempts.empty() || handleKeyRefusal(message.reason))
        return;
    m_waitReason = reasonOf(message.reason);
    m_waitRetryAfter = std::max(defaultRetryAfter, milliseconds(message.retryAfterMs));
    if (message.reason == wire::refusal::Quarantined) {
        finishUnanswered(m_waitReason, milliseconds(0), "");
        return;
    }
    m_context.counters.count("retries_total", { { "stage", stage().stage.name }, { "reason", std::string(nameOf(message.reason)) } });
    tryDispatch();
}

bool pipeline_run::handleKeyRefusal(wire::refusal refusal)
{
    const bool isUnknown = refusal == wire::refusal::RunsElsewhere || refusal == wire::refusal::ClaimsNotReady || refusal == wire::refusal::KeyExpired;
    m_hasUnknownAttempt = m_hasUnknownAttempt || isUnknown;
    m_hasUnknownNonRetryableAttempt = m_hasUnknownNonRetryableAttempt || isUnknown;
    switch (refusal) {
    case wire::refusal::RunsElsewhere:
        // The stored response may become available: try again until the deadline.
        m_triedTargets.clear();
        m_waitReason = reasonOf(refusal);
        m_waitTimer.startOnce(runningKeyBackoff, [this] { tryDispatch(); });
        return true;
    case wire::refusal::KeyExpired:
        finishUnanswered(outcome_reason::KeyExpired, milliseconds(0), "The key is older than the window in which repeats are recognised.");
        return true;
    case wire::refusal::KeyReused:
        finishUnanswered(outcome_reason::KeyReused, milliseconds(0), "");
        return true;
    default:
        // A side that may have missed claims of the key does not end the run: another side may have them all.
        return false;
    }
}

void pipeline_run::waitForTarget(outcome_reason reason, milliseconds retryAfter)
{
    const bool isAtCapacity = reason == outcome_reason::Overloaded || reason == outcome_reason::DeadlinePassed || reason == outcome_reason::LogUnavailable;
    const bool hasTargets = !m_context.links.targetsOf(stage().service->name).empty();
    const time_point now = monotonicNow();
    if (!m_waitingSince)
        m_waitingSince = now;
    // A started request waits for full targets, as its work would be lost otherwise; for unavailable
    // targets it waits only a short time.
    const milliseconds maxWait = m_hasStarted ? maxStartedTargetWait : maxTargetWait;
    // A target that is only silent may go on: a started request waits for it until its deadline.
    const bool isTargetSilent = m_hasStarted && m_context.links.hasSilentTarget(stage().service->name);
    const bool isWaitUseless = isAtCapacity ? !m_hasStarted : !isTargetSilent && now - *m_waitingSince >= maxWait;
    if (!hasTargets || isWaitUseless) {
        finishUnanswered(reason, retryAfter, "");
        return;
    }
    m_isWaiting = true;
    m_waitTimer.startOnce(isTargetSilent ? silentTargetCheckPeriod : targetCheckPeriod, [this] {
        m_triedTargets.clear();
        tryDispatch();
    });
}

void pipeline_run::onCapacityChanged()
{
    if (!m_isWaiting || m_isFinished)
        return;
    const std::vector<policy::routing_candidate> candidates = listCandidates();
    const bool hasEligibleTarget = std::any_of(candidates.begin(), candidates.end(), [](const policy::routing_candidate& candidate) { return candidate.isEligible; });
    if (hasEligibleTarget)
        tryDispatch();
}

void pipeline_run::handleFinish(const active_attempt& attempt, wire::call_finished& message)
{
    m_hasStarted = true;
    switch (message.end) {
    case wire::call_end::Answered:
        recordRun(attempt, message);
        cancelAttempts(std::nullopt);
        m_context.counters.observeSeconds("stage_seconds", { { "stage", stage().stage.name } }, asSeconds(monotonicNow() - attempt.sentAt));
        completeStage(message);
        return;
    case wire::call_end::Rejected:
        // Another attempt may still answer.
        if (m_attempts.empty())
            finishUnanswered(outcome_reason::TargetRejected, milliseconds(0), message.detail);
        return;
    case wire::call_end::TargetCrashed:
        handleCrash(attempt, std::move(message.detail));
        return;
    case wire::call_end::TimedOut:
        retryStage(outcome_reason::RetriesSpent, message.detail);
        return;
    case wire::call_end::Cancelled:
        retryStage(outcome_reason::LinkLost, message.detail);
        return;
    case wire::call_end::Unknown:
        m_hasUnknownAttempt = true;
        m_hasUnknownNonRetryableAttempt = true;
        finishUnanswered(outcome_reason::TargetCrashed, defaultRetryAfter, message.detail);
        return;
    }
}

void pipeline_run::handleLoss(const active_attempt& attempt)
{
    m_hasUnknownAttempt = true;
    // If the call had started, it may have crashed its target and the side with it.
    m_hasStarted = m_hasStarted || attempt.hasStarted;
    if (attempt.hasStarted)
        m_context.suspicions.recordCrash(m_request.fingerprint, attempt.isIsolated, monotonicNow());
    if (!stage().service->isRetryable) {
        m_hasUnknownNonRetryableAttempt = true;
        finishUnanswered(outcome_reason::LinkLost, defaultRetryAfter, "The side restarted while it had the call.");
        return;
    }
    retryStage(outcome_reason::LinkLost, "The side restarted while it had the call.");
}

void pipeline_run::handleCrash(const active_attempt& attempt, std::string detail)
{
    // The side has already recorded the crash; its message may still be in flight on another link.
    if (attempt.isIsolated) {
        cancelAttempts(std::nullopt);
        finishUnanswered(outcome_reason::Quarantined, milliseconds(0), "This request crashed the targets that ran it.");
        return;
    }
    retryStage(outcome_reason::TargetCrashed, std::move(detail));
}

void pipeline_run::recordRun(const active_attempt& attempt, const wire::call_finished& message)
{
    constexpr double newestRunWeight = 0.2;
    const double runSeconds = message.runMs / 1000.0;
    service_statistics& statistics = m_context.serviceStatistics[stage().service->name];
    statistics.meanRunSeconds = statistics.meanRunSeconds == 0 ? runSeconds : statistics.meanRunSeconds + newestRunWeight * (runSeconds - statistics.meanRunSeconds);
    known_target& target = *attempt.target;
    target.meanRunSeconds = target.meanRunSeconds == 0 ? runSeconds : target.meanRunSeconds + newestRunWeight * (runSeconds - target.meanRunSeconds);
    target.lastRunAt = monotonicNow();
    if (!isEngine(stage()))
        policy::recordLatency(statistics.latencies, asSeconds(monotonicNow() - attempt.sentAt));
    if (attempt.isHedge)
        m_context.counters.count("hedges_won_total", { { "stage", stage().stage.name } });
}

void pipeline_run::retryStage(outcome_reason reason, std::string detail)
{
    if (!m_attempts.empty())
        return;
    if (++m_retryCount > maxRetriesPerStage || !policy::trySpend(retryBudget())) {
        finishUnanswered(outcome_reason::RetriesSpent, milliseconds(0), std::move(detail));
        return;
    }
    m_context.counters.count("retries_total", { { "stage", stage().stage.name }, { "reason", std::string(nameOf(reason)) } });
    logLine(log_level::Info, logComponent, "Retrying a stage after a failed attempt.", { { "request", m_request.id.toString() }, { "stage", stage().stage.name }, { "reason", std::string(nameOf(reason)) } });
    m_waitReason = reason;
    m_waitRetryAfter = defaultRetryAfter;
    if (reason == outcome_reason::TargetCrashed && !segments().empty())
        m_waitTimer.startOnce(crashReportTime, [this] { tryDispatch(); });
    else
        tryDispatch();
}

void pipeline_run::completeStage(wire::call_finished& message)
{
    json output = readStageOutput(stage(), m_outputText, message.body);
    // The response settles the outcome of earlier attempts under the key.
    m_hasUnknownNonRetryableAttempt = false;
    if (isLastStage()) {
        finish({ outcome_kind::Answered, outcome_reason::None, "", milliseconds(0), "", std::move(output) });
        return;
    }
    m_hedgeTimer.stop();
    m_replacementTimer.stop();
    m_previousOutput = std::move(output);
    ++m_stageIndex;
    m_waitReason = outcome_reason::None;
    startStage();
}

void pipeline_run::cancelAttempts(std::optional<identifier> except)
{
    for (auto it = m_attempts.begin(); it != m_attempts.end();) {
        if (except && it->first == *except) {
            ++it;
            continue;
        }
        m_context.links.cancel(it->first);
        it = m_attempts.erase(it);
    }
}

void pipeline_run::onDeadlinePassed()
{
    finishUnanswered(outcome_reason::DeadlinePassed, defaultRetryAfter, "");
}

void pipeline_run::cancel(outcome_reason reason, milliseconds retryAfter)
{
    if (!m_isFinished)
        finishUnanswered(reason, retryAfter, "");
}

void pipeline_run::finishUnanswered(outcome_reason reason, milliseconds retryAfter, std::string detail)
{
    for (const auto& [id, attempt] : m_attempts) {
        recordTraffic(attempt);
        // A call that was sent and not refused may have started.
        m_hasStarted = m_hasStarted || attempt.hasStarted;
        m_hasUnknownAttempt = m_hasUnknownAttempt || !attempt.hasStarted;
        m_hasUnknownNonRetryableAttempt = m_hasUnknownNonRetryableAttempt || !stage().service->isRetryable;
    }
    cancelAttempts(std::nullopt);
    outcome result { outcome_kind::NotRun, reason, stage().stage.name, retryAfter, std::move(detail), {} };
    if (m_hasUnknownNonRetryableAttempt)
        result.kind = outcome_kind::Unknown;
    else if (m_hasStarted)
        result.kind = outcome_kind::Failed;
    else if (m_hasUnknownAttempt)
        result.kind = outcome_kind::Unknown;
    finish(std::move(result));
}

void pipeline_run::finish(outcome result)
{
    if (m_isFinished)
        return;
    m_isFinished = true;
    m_deadlineTimer.stop();
    m_waitTimer.stop();
    m_hedgeTimer.stop();
    m_replacementTimer.stop();
    m_isWaiting = false;
    const auto self = shared_from_this();
    const auto onOutcome = std::move(m_callbacks.onOutcome);
    m_callbacks = {};
    onOutcome(std::move(result));
}
}
