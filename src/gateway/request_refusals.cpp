#include "base/hash.hpp"
#include "gateway/crash_watch.hpp"
#include "gateway/request_run.hpp"
#include "gateway/target_eligibility.hpp"
#include "gateway/target_pauses.hpp"
#include "policy/pool_admission.hpp"
#include "policy/suspicion.hpp"

#include <algorithm>

// Requests that crash targets, and requests beyond the limits that targets state.

namespace bilberryseam::gateway {

namespace {
    constexpr std::string_view logComponent = "request";

    /// Reason of requests that are refused because targets crashed on them or on a segment of their prompt.
    constexpr std::string_view crashReason = "crashes_targets";

    /// Delay after which callers may retry at an entry that has a share in the limits of targets.
    constexpr milliseconds retryElsewhereTime { 300 };

    /// Callers that are refused in a pause come back spread over this part of it.
    constexpr int pauseSpreadDivisor = 2;

    /// Longest time that a caller is asked to stay away because all targets pause, without the spread.
    constexpr milliseconds longestPauseOfCallers { 30000 };

    /// Longest time that a caller is asked to stay away because all targets are limited.
    constexpr milliseconds longestRetryAfter { 10000 };

    /// Shortest time over which callers that a pool refused come back, so that they do not return in one burst.
    constexpr milliseconds shortestOverloadSpread { 1000 };
}

std::optional<milliseconds> request_run::waitForLimits(time_point now)
{
    double rate = 0;
    bool isLimited = false;
    bool isAnyCold = false;
    for (const auto& target : m_context.targets.ofService(m_request.service)) {
        if (!mayRunAt(*target) || !isSuitable(*target))
            continue;
        // A target without a limit that is blocked for a moment, or was tried already, is soon usable again.
        if (target->isInService() && !target->ownRate(now))
            return std::nullopt;
        if (!isAvailable(m_context, *target, regionsNow(), now))
            continue;
        isLimited = true;
        rate += target->ownRate(now).value_or(0);
        isAnyCold = isAnyCold || target->isColdNow();
    }
    if (!isLimited || m_mayHaveRun || m_limitPlace)
        return std::nullopt;
    size_t& waiting = m_context.waitingForLimits[m_request.service];
    const milliseconds expected = policy::expectedWait(waiting, rate);
    if (isAnyCold) {
        const bool isRefused = rate == 0 || expected >= detail::maxPlacementTime;
        m_context.counters.count("cold_waits_total", { { "service", m_request.service }, { "outcome", isRefused ? "refused" : "waits" } });
        logLine(log_level::Info, logComponent, "The targets that the request may use are cold or limited.", { { "request", m_request.callerRequest.id }, { "service", m_request.service }, { "own_per_second", std::to_string(rate) }, { "waiting", std::to_string(waiting) }, { "expected_ms", std::to_string(expected.count()) }, { "next", isRefused ? "refused" : "waits" } });
    }
    // Without a share in the limits, this entry can only send the caller to another one.
    if (rate == 0)
        return retryElsewhereTime;
    if (expected >= detail::maxPlacementTime)
        return expected;
    m_limitPlace.emplace(waiting);
    return std::nullopt;
}

std::optional<milliseconds> request_run::pauseOfAllTargets(time_point now) const
{
    std::optional<time_point> end;
    bool isAnyPaused = false;
    for (const auto& target : m_context.targets.ofService(m_request.service)) {
        if (!target->isInService() || !mayRunAt(*target) || !isSuitable(*target))
            continue;
        isAnyPaused = isAnyPaused || policy::isPaused(target->pause, now);
        const time_point availableAt = std::max(target->pause.until, target->health.blockedUntil);
        end = std::min(end.value_or(availableAt), availableAt);
    }
    if (!isAnyPaused || *end < std::min(m_deadline, m_arrivedAt + detail::maxPlacementTime))
        return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(*end - now);
}

milliseconds request_run::spreadOver(milliseconds time) const
{
    const double position = static_cast<double>(hashOf(m_request.callerRequest.id) % 1000) / 1000;
    return milliseconds(static_cast<int64_t>(asSeconds(time) * 1000 * position));
}

void request_run::refusePaused(milliseconds pauseLeft, time_point now)
{
    logPauses("refused", now);
    // Other targets may be listed before a long pause ends.
    const milliseconds shortest = std::min(longestPauseOfCallers, pauseLeft);
    refuse("targets_paused", shortest + spreadOver(shortest / pauseSpreadDivisor));
}

void request_run::logPauses(std::string_view next, time_point now)
{
    const auto& targets = m_context.targets.ofService(m_request.service);
    const bool isAnyPaused = std::any_of(targets.begin(), targets.end(), [now](const auto& target) { return policy::isPaused(target->pause, now); });
    if (!isAnyPaused || std::exchange(m_arePausesReported, true))
        return;
    logLine(log_level::Info, logComponent, "No target is available for the request while targets pause.", { { "request", m_request.callerRequest.id }, { "service", m_request.service }, { "next", std::string(next) }, { "unavailable", textOfUnavailable(m_context, targets, regionsNow(), now) } });
}

void request_run::refuseLimited(milliseconds expectedWait)
{
    // Callers that are refused at the same moment come back spread over as long again.
    const auto retryAfter = std::min(longestRetryAfter, expectedWait + spreadOver(expectedWait));
    refuse("rate_limited", std::max(detail::retryAfterTransientFailure, retryAfter));
}

void request_run::refuseOverloaded(milliseconds wait)
{
    constexpr std::string_view reason = "pool_overloaded";
    if (m_mayHaveRun || m_request.exchange->isStarted()) {
        finishWithoutResponse(reason);
        return;
    }
    // The owner spread the wait over the time that its queue needs.
    const milliseconds spreadWait = std::min(policy::maxReturnTime * 2, wait);
    refuse(reason, std::max(detail::retryAfterTransientFailure, spreadWait + spreadOver(shortestOverloadSpread)));
}

void request_run::recordCrash(const target_attempt& attempt, time_point now)
{
    policy::suspicion suspicion = policy::recordCrash(m_context.suspicions, m_request.fingerprint, false, now);
    if (suspicion.crashCount >= policy::crashesToQuarantine)
        suspicion = policy::recordCrash(m_context.suspicions, m_request.fingerprint, true, now);
    logCrash(attempt, suspicion, now);
    // Nothing connects to an evacuated failure domain, where broken responses may have other causes than a crash.
    m_mayHaveCrashed = !m_request.segments.empty() && !isEvacuated(m_context, *attempt.target);
    if (m_mayHaveCrashed)
        m_context.crashes->onBrokenRequest(*attempt.target, { m_request.segments, attempt.sentAt }, now);
    if (suspicion.isQuarantined)
        m_pools.broadcastSuspicion(m_request.fingerprint, suspicion, now);
    else
        m_pools.reportStrike(m_request.fingerprint, now);
}

void request_run::recordSurvival(target_attempt& attempt, time_point now)
{
    const bool isOwnResponse = attempt.hasFirstByte && attempt.response.status == http1::statusOk && attempt.response.isForRequest && attempt.response.isSealed;
    if (!isOwnResponse || std::exchange(attempt.hasSurvived, true) || m_request.segments.empty())
        return;
    m_context.crashes->recordSurvival(m_request.segments, attempt.firstByteAt, now);
}

std::optional<uint64_t> request_run::refusedSegment(time_point now) const noexcept
{
    if (m_request.isTrial && m_sends == 0)
        return std::nullopt;
    return m_context.crashes->refusedSegment(m_request.segments, now);
}

void request_run::onVerdict(time_point now)
{
    const auto segment = m_isFinished ? std::nullopt : refusedSegment(now);
    if (!segment || (m_request.isTrial && m_sends == 1))
        return;
    // Responses that are under way refute a verdict which other causes of the crashes led to.
    const bool isAtTarget = m_current || m_backup;
    if (isAtTarget && m_context.crashes->hasSurvived(*segment))
        return;
    const auto keepAlive = shared_from_this();
    // Most targets drop a request that they have not begun when its connection closes.
    for (const auto* attempt : { m_backup.get(), m_current.get() }) {
        if (!attempt || attempt->hasFirstByte)
            continue;
        m_mayHaveRun = true;
        static_cast<void>(extract(*attempt));
    }
    if (!m_current)
        refuseSegment(*segment, now);
}

void request_run::logCrash(const target_attempt& attempt, const policy::suspicion& suspicion, time_point now) const
{
    std::string segments;
    for (const uint64_t hash : m_request.segments)
        segments.append(segments.empty() ? "" : ",").append(textOfHash(hash));
    const std::string begunMs = attempt.hasFirstByte ? std::to_string(asMilliseconds(now - attempt.firstByteAt)) : "not_begun";
    m_context.counters.count("crash_strikes_total", { { "begun", attempt.hasFirstByte ? "true" : "false" } });
    logLine(log_level::Info, logComponent, "The request is suspected of crashing its target.", { { "request", m_request.callerRequest.id }, { "target", attempt.target->listed.id }, { "fingerprint", std::to_string(m_request.fingerprint) }, { "strikes", std::to_string(suspicion.crashCount) }, { "segments", segments }, { "first_event_ms_ago", begunMs }, { "others_in_flight", std::to_string(attempt.target->inFlight - 1) } });
}

void request_run::refuseSegment(uint64_t segment, time_point now)
{
    logLine(log_level::Info, logComponent, "The request contains a prompt segment on which targets crashed.", { { "request", m_request.callerRequest.id }, { "segment", textOfHash(segment) }, { "may_have_run", m_mayHaveRun ? "true" : "false" } });
    if (m_request.exchange->isStarted() || m_mayHaveRun)
        finishWithoutResponse(crashReason);
    else
        refuse(crashReason, m_context.crashes->retryAfter(segment, now));
}
}
