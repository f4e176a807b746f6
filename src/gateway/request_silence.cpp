/// A second run beside a target that is silent or presumably lost.
#include "gateway/request_run.hpp"

#include <algorithm>

namespace bilberryseam::gateway {

namespace {
    constexpr std::string_view logComponent = "request";

    /// A target counts as silent if it sends no first byte for this multiple of the latency objective, or no further byte for
    /// this multiple of the gap objective.
    constexpr double silentObjectiveFactor = 1.5;
    constexpr int silentGapFactor = 5;
    constexpr milliseconds minFirstByteTimeout { 150 };
    /// Lower limit of the time without a further byte, since routes may state no gap objective.
    constexpr milliseconds minGapTimeout { 1000 };
    /// Pause between two searches for a target beside a silent one.
    constexpr milliseconds backupSearchPeriod { 200 };

    /// A target that presumably ended counts as silent after this time, or after this multiple of the gap objective: it may
    /// only have lost the store, and go on.
    constexpr milliseconds minLostSilence { 500 };
    constexpr int lostGapFactor = 2;

    /// After this silence, stages whose results were released are repeated for a second run. A target that falls silent for
    /// a moment goes on earlier, and the second results would be in vain.
    constexpr milliseconds longSilence = http1::unresponsivePeerTimeout;
}

bool request_run::isSilent(const target_attempt& attempt, time_point now) const
{
    const auto silence = attempt.silenceAt(now);
    if (attempt.hasFirstByte)
        return m_request.exchange->pendingBytes() == 0 && silence > std::max<microseconds>(minGapTimeout, m_request.route->gapObjective * silentGapFactor);
    return silence > minFirstByteTimeout && asSeconds(silence) > asSeconds(m_request.route->objective) * silentObjectiveFactor;
}

bool request_run::isPresumablyLost(const target_attempt& attempt) const noexcept
{
    const target_state& target = *attempt.target;
    const time_point lastSignAt = attempt.hasFirstByte ? attempt.lastByteAt : attempt.sentAt;
    // A target that leaves as planned finishes its requests after its record has gone.
    const bool isGone = target.isRemoved && !target.listed.isDraining && !target.isLeaving;
    return isGone || target.isReplaced || policy::isUnreachableSince(target.health, lastSignAt);
}

bool request_run::needsSecondRun(const target_attempt& attempt, time_point now) const
{
    const auto lostSilence = std::max<microseconds>(minLostSilence, m_request.route->gapObjective * lostGapFactor);
    const bool isLost = attempt.isReading && isPresumablyLost(attempt) && attempt.silenceAt(now) > lostSilence;
    return isLost || isSilent(attempt, now);
}

bool request_run::mayRepeatStages(time_point now)
{
    const bool isLikelyLost = isPresumablyLost(*m_current) || m_current->silenceAt(now) > longSilence;
    const bool isInTime = now + remainingTime(0) < m_deadline;
    return isLikelyLost && isInTime && m_stageRuns < detail::maxStageRuns && chooseSecondTarget(now) && trySpendRetry(m_context, m_request.service, now);
}

std::optional<std::string_view> request_run::secondRunObstacle(time_point now) const
{
    const auto& route = *m_request.route;
    const bool mayRunAgain = route.isRetryable() && (isStream() || !m_request.exchange->isStarted());
    if (!mayRunAgain)
        return "not_repeatable";
    if (!hasAttemptsLeft() || m_sends >= detail::maxSends)
        return "attempts";
    if (!m_areInputsReleased && !areStagesDone())
        return "stages_running";
    if (refusedSegment(now))
        return "segment_refused";
    // The target may have started again with another version, so that it is doubtful which one began the stream.
    if (const auto decision = continuationNow(); decision == policy::continuation::VersionGone || decision == policy::continuation::OriginUnknown)
        return "version_unknown";
    return std::nullopt;
}

void request_run::checkSilence(time_point now)
{
    // After a freeze of this process, responses may wait in the sockets.
    const bool mayBeUnread = isTargetListUncertain(m_context, now);
    if (!m_current || m_current->isComplete || m_backup || mayBeUnread || now < m_nextBackupSearchAt || !needsSecondRun(*m_current, now))
        return;
    m_nextBackupSearchAt = now + backupSearchPeriod;
    updateOrigin(now);
    if (m_origin && m_origin->mayBeProven())
        m_context.recordsAwaitedAt = now;
    if (const auto obstacle = secondRunObstacle(now)) {
        recordSilence(*m_current, *obstacle, now);
        return;
    }
    if (m_areInputsReleased) {
        recordSilence(*m_current, "inputs_released", now);
        if (mayRepeatStages(now))
            repeatStages();
        return;
    }
    const target_ptr target = chooseSecondTarget(now);
    const bool hasBudget = target && trySpendRetry(m_context, m_request.service, now);
    recordSilence(*m_current, !target ? "no_target" : hasBudget ? "sent"
                                                                : "retry_budget",
        now);
    if (!hasBudget)
        return;
    m_context.counters.count("repeats_total", { { "reason", "silent" } });
    send(target);
}

target_ptr request_run::chooseSecondTarget(time_point now)
{
    const target_ptr target = chooseTarget(now);
    if (target || m_fullTargets.empty() || now < m_nextFullTargetAt)
        return target;
    std::erase_if(m_triedTargets, [this](const auto& id) { return std::find(m_fullTargets.begin(), m_fullTargets.end(), id) != m_fullTargets.end(); });
    m_fullTargets.clear();
    return chooseTarget(now);
}

void request_run::recordSilence(target_attempt& attempt, std::string_view secondRun, time_point now)
{
    if (std::exchange(attempt.isSilenceRecorded, true))
        return;
    if (m_request.route->isRetryable())
        policy::recordSilence(attempt.target->health, now);
    m_context.counters.count("silent_targets_total", { { "second_run", std::string(secondRun) } });
    logLine(log_level::Info, logComponent, "The target of a request is silent.", { { "request", m_request.callerRequest.id }, { "target", attempt.target->listed.id }, { "silent_ms", std::to_string(asMilliseconds(attempt.silenceAt(now))) }, { "presumably_lost", isPresumablyLost(attempt) ? "true" : "false" }, { "response_begun", m_request.exchange->isStarted() ? "true" : "false" }, { "inside_event", attempt.events.isAtBoundary() ? "false" : "true" }, { "second_run", std::string(secondRun) }, { "attempts", std::to_string(m_attempts) }, { "version", std::to_string(m_request.configuration->version) }, { "newest_version", std::to_string(m_context.configuration->version) } });
}

bool request_run::areInputsFetched(time_point now) const noexcept
{
    const auto isFetched = [now](const target_attempt_ptr& attempt) { return !attempt || (attempt->inputsFetchedAt && now >= *attempt->inputsFetchedAt); };
    return isFetched(m_current) && isFetched(m_backup);
}
}
