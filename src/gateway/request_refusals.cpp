#include "base/hash.hpp"
#include "gateway/crash_watch.hpp"
#include "gateway/load_exchange.hpp"
#include "gateway/request_run.hpp"
#include "gateway/target_eligibility.hpp"
#include "gateway/target_pauses.hpp"
#include "policy/pool_admission.hpp"
#include "policy/suspicion.hpp"

#include <algorithm>
#include <limits>

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

std::optional<request_run::limit_forecast> request_run::forecastLimits(time_point now) const
{
    limit_forecast forecast;
    bool isLimited = false;
    for (const auto& target : m_context.targets.ofService(m_request.service)) {
        if (!mayRunAt(*target) || !isSuitable(*target))
            continue;
        // A target without a limit that is blocked for a moment, or was tried already, is soon usable again.
        if (target->isInService() && !target->ownRate(now))
            return std::nullopt;
        if (!isAvailable(m_context, *target, regionsNow(), now))
            continue;
        isLimited = true;
        forecast.rate += target->ownRate(now).value_or(0);
        forecast.isAnyCold = forecast.isAnyCold || target->isColdNow();
    }
    if (!isLimited || m_mayHaveRun || m_limitPlace)
        return std::nullopt;
    const auto waiting = m_context.waitingForLimits.find(m_request.service);
    forecast.waiting = waiting == m_context.waitingForLimits.end() ? 0 : waiting->second;
    forecast.expected = policy::expectedWait(forecast.waiting, forecast.rate);
    // Without a share in the limits, this entry can only send the caller to another one.
    if (forecast.rate == 0)
        forecast.refusal = retryElsewhereTime;
    else if (forecast.expected >= detail::maxPlacementTime)
        forecast.refusal = forecast.expected;
    return forecast;
}

std::optional<milliseconds> request_run::waitForLimits(time_point now)
{
    const auto forecast = forecastLimits(now);
    if (!forecast)
        return std::nullopt;
    if (forecast->isAnyCold) {
        m_context.counters.count("cold_waits_total", { { "service", m_request.service }, { "outcome", forecast->refusal ? "refused" : "waits" } });
        logLine(log_level::Info, logComponent, "The targets that the request may use are cold or limited.", { { "request", m_request.callerRequest.id }, { "service", m_request.service }, { "own_per_second", std::to_string(forecast->rate) }, { "waiting", std::to_string(forecast->waiting) }, { "expected_ms", std::to_string(forecast->expected.count()) }, { "next", forecast->refusal ? "refused" : "waits" } });
    }
    if (!forecast->refusal)
        m_limitPlace.emplace(m_context.waitingForLimits[m_request.service]);
    return forecast->refusal;
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

milliseconds request_run::retryAfterPause(milliseconds pauseLeft) const
{
    // Other targets may be listed before a long pause ends.
    const milliseconds shortest = std::min(longestPauseOfCallers, pauseLeft);
    return shortest + spreadOver(shortest / pauseSpreadDivisor);
}

void request_run::refusePaused(milliseconds pauseLeft, time_point now)
{
    logPauses("refused", now);
    refuse("targets_paused", retryAfterPause(pauseLeft));
}

void request_run::logPauses(std::string_view next, time_point now)
{
    const auto& targets = m_context.targets.ofService(m_request.service);
    const bool isAnyPaused = std::any_of(targets.begin(), targets.end(), [now](const auto& target) { return policy::isPaused(target->pause, now); });
    if (!isAnyPaused || std::exchange(m_arePausesReported, true))
        return;
    logLine(log_level::Info, logComponent, "No target is available for the request while targets pause.", { { "request", m_request.callerRequest.id }, { "service", m_request.service }, { "next", std::string(next) }, { "unavailable", textOfUnavailable(m_context, targets, regionsNow(), now) } });
}

milliseconds request_run::retryAfterLimit(milliseconds expectedWait) const
{
    // Callers that are refused at the same moment come back spread over as long again.
    const auto retryAfter = std::min(longestRetryAfter, expectedWait + spreadOver(expectedWait));
    return std::max(detail::retryAfterTransientFailure, retryAfter);
}

void request_run::refuseLimited(milliseconds expectedWait)
{
    refuse("rate_limited", retryAfterLimit(expectedWait));
}

milliseconds request_run::retryAfterOverload(milliseconds wait) const
{
    // The owner spread the wait over the time that its queue needs.
    const milliseconds spreadWait = std::min(policy::maxReturnTime * 2, wait);
    return std::max(detail::retryAfterTransientFailure, spreadWait + spreadOver(shortestOverloadSpread));
}

void request_run::refuseOverloaded(milliseconds wait)
{
    constexpr std::string_view reason = "pool_overloaded";
    if (m_mayHaveRun || m_request.exchange->isStarted())
        finishWithoutResponse(reason);
    else
        refuse(reason, retryAfterOverload(wait));
}

std::optional<milliseconds> request_run::retryAfterTooLarge() const
{
    if (policy::fitsMemory(m_memoryTokens, 0, m_neededTokens))
        return std::nullopt;
    // Only another configuration can help.
    return longestRetryAfter;
}

bool request_run::refuseTooLarge()
{
    const auto retryAfter = retryAfterTooLarge();
    if (!retryAfter)
        return false;
    m_context.counters.count("prompts_too_large_total", { { "service", m_request.service } });
    logLine(log_level::Info, logComponent, "The request is larger than the memory of every target of its service.", { { "request", m_request.callerRequest.id }, { "service", m_request.service }, { "needed_tokens", std::to_string(m_neededTokens) }, { "memory_tokens", std::to_string(m_memoryTokens) }, { "version", std::to_string(m_request.configuration->version) } });
    refuse("prompt_too_large", *retryAfter);
    return true;
}

void request_run::refuseForMemory()
{
    const time_point now = monotonicNow();
    uint64_t least = std::numeric_limits<uint64_t>::max();
    for (const auto& target : m_context.targets.ofService(m_request.service)) {
        if (target->isInService() && isSuitable(*target))
            least = std::min(least, m_context.loads->heldTokensOf(*target, m_memoryTokens, now));
    }
    m_context.counters.count("memory_refusals_total", { { "service", m_request.service } });
    logLine(log_level::Info, logComponent, "No target has memory for the request.", { { "request", m_request.callerRequest.id }, { "service", m_request.service }, { "needed_tokens", std::to_string(m_neededTokens) }, { "memory_tokens", std::to_string(m_memoryTokens) }, { "least_held_tokens", std::to_string(least) }, { "age_ms", m_context.loads->isUsable(m_request.service, now) ? std::to_string(asMilliseconds(m_context.loads->figureAge(now))) : "own_view" } });
    refuse("no_memory", shortestOverloadSpread + spreadOver(shortestOverloadSpread));
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
