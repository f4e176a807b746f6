/// Attempts beside the first one: hedges of slow attempts, and replacements of attempts that may not deliver any more.
#include "entry/pipeline_run.hpp"

#include "entry/stage_body.hpp"
#include "telemetry/log.hpp"

namespace bilberryseam::entry {

namespace {
    constexpr std::string_view logComponent = "run";
}

void pipeline_run::scheduleHedge()
{
    service_statistics& statistics = m_context.serviceStatistics[stage().service->name];
    policy::earn(statistics.hedgeBudget, m_request.policy->hedgePercent);
    policy::earn(retryBudget(), m_request.policy->retryPercent);
    const bool isHedgeable = stage().service->isRetryable && m_request.policy->mode != "baseline" && m_attempts.size() == 1 && !m_attempts.begin()->second.isIsolated;
    if (!isHedgeable)
        return;
    if (const auto delay = policy::hedgeDelay(statistics.latencies))
        m_hedgeTimer.startOnce(*delay, [this] { startHedge(); });
}

void pipeline_run::startHedge()
{
    const bool hasOutput = isEngine(stage()) && !m_attempts.empty() && m_attempts.begin()->second.bytesReceived > 0;
    if (m_isFinished || m_attempts.size() != 1 || hasOutput || m_isTrial || executionMode() == policy::execution_mode::Refused)
        return;
    std::string body = writeStageBody(stage(), m_request.input, m_previousOutput, m_outputText);
    const std::vector<policy::routing_candidate> candidates = listCandidates();
    const std::optional<size_t> candidateIndex = chooseCandidate(candidates, static_cast<double>(body.size()));
    if (!candidateIndex || !policy::trySpend(m_context.serviceStatistics[stage().service->name].hedgeBudget))
        return;
    m_context.counters.count("hedges_total", { { "stage", stage().stage.name } });
    dispatchTo(*m_context.links.targetsOf(stage().service->name)[*candidateIndex], std::move(body), true);
}

policy::budget& pipeline_run::retryBudget()
{
    return m_context.retryBudgets.try_emplace({ m_request.account->name, stage().stage.name }, policy::budgetOf(retryBurst)).first->second;
}

milliseconds pipeline_run::timeUntilDoubt(identifier id, const active_attempt& attempt) const
{
    if (m_context.links.isStalled(id))
        return milliseconds(0);
    // Time in the queue of the side is not silence of the target.
    if (!attempt.hasStarted)
        return m_context.targetSilence;
    return std::max(milliseconds(0), std::chrono::ceil<milliseconds>(m_context.targetSilence - (monotonicNow() - attempt.lastSignAt)));
}

void pipeline_run::replaceDoubtful()
{
    // A call that must not run twice waits for its target until the deadline.
    if (m_isFinished || m_attempts.empty() || !stage().service->isRetryable)
        return;
    milliseconds wait { 0 };
    for (const auto& [id, attempt] : m_attempts)
        wait = std::max(wait, timeUntilDoubt(id, attempt));
    if (wait.count() == 0 && startReplacement())
        return;
    m_replacementTimer.startOnce(std::max(wait, replacementCheckPeriod), [this] { replaceDoubtful(); });
}

bool pipeline_run::startReplacement()
{
    if (m_isTrial || m_retryCount >= maxRetriesPerStage || executionMode() == policy::execution_mode::Refused)
        return false;
    m_triedTargets.clear();
    for (const auto& [id, attempt] : m_attempts)
        m_triedTargets.insert(attempt.target->config->name);
    std::string body = writeStageBody(stage(), m_request.input, m_previousOutput, m_outputText);
    const std::optional<size_t> candidateIndex = chooseCandidate(listCandidates(), static_cast<double>(body.size()));
    if (!candidateIndex || !policy::trySpend(retryBudget()))
        return false;
    ++m_retryCount;
    m_context.counters.count("retries_total", { { "stage", stage().stage.name }, { "reason", "silent" } });
    logLine(log_level::Info, logComponent, "Starting a second attempt, because the first may not deliver any more.", { { "request", m_request.id.toString() }, { "stage", stage().stage.name } });
    dispatchTo(*m_context.links.targetsOf(stage().service->name)[*candidateIndex], std::move(body), false);
    return true;
}
}
