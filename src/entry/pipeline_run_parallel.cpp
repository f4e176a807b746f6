/// Attempts beside the first one: hedges of slow attempts.
#include "entry/pipeline_run.hpp"

#include "entry/stage_body.hpp"

namespace bilberryseam::entry {

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
}
