/// The attempts of a request: what targets respond and how attempts end.
#include "gateway/request_run.hpp"

#include "gateway/crash_watch.hpp"
#include "policy/crash_evidence.hpp"

#include <algorithm>

namespace bilberryseam::gateway {

namespace {
    constexpr std::string_view logComponent = "request";

    /// Largest body of a response that is not relayed while it arrives.
    constexpr size_t maxUnrelayedBytes = 1024 * 1024;

    /// A target that was full is not asked again for this long while another one is silent: each refusal takes one of the
    /// request's sends and of the retry budget.
    constexpr milliseconds fullTargetRetryDelay { 1000 };

    /// After a target missed a result, results for its service are released only at the first event for this long, about the
    /// length of a burst.
    constexpr milliseconds keepInputsDuration { 10000 };

    /// A retry after a crash waits until the crash is known everywhere, which may refuse it.
    constexpr milliseconds crashReportTime { 50 };

    /// @return True for a status that tells the caller that the request did not run and never will.
    bool impliesNotRun(unsigned status) noexcept
    {
        return status == http1::statusUnavailable || status == http1::statusTooManyRequests || status == http1::statusTimeout;
    }
}

// Responses.

void request_run::onHead(target_attempt& attempt, const http1::response_head& head)
{
    attempt.hasHead = true;
    attempt.head = head;
    attempt.response = platform::decodeResponse(head, m_request.callerRequest.id);
}

void request_run::onBytes(target_attempt& attempt, std::string_view bytes)
{
    const auto keepAlive = shared_from_this();
    const time_point now = monotonicNow();
    if (attempt.hasFirstByte && isStream() && attempt.resumedAt < attempt.lastByteAt)
        recordPause(attempt, now - attempt.lastByteAt, now);
    attempt.lastByteAt = now;
    attempt.isSilenceRecorded = false;
    if (!std::exchange(attempt.hasFirstByte, true))
        onFirstByte(attempt);
    if (now - attempt.firstByteAt >= policy::survivalTime)
        recordSurvival(attempt, now);
    if (isStream() && attempt.isRelayable()) {
        onEventBytes(attempt, bytes);
        return;
    }
    attempt.buffer.append(bytes);
    m_request.exchange->setBufferedBytes(attempt.buffer.size());
    // The other run is kept until this one is complete, or as large as the gateway buffers.
    const bool isLarge = attempt.buffer.size() > (m_backup ? maxUnrelayedBytes : m_request.exchange->pendingLimit());
    if (attempt.isRelayable() && (isLarge || m_request.exchange->isStarted())) {
        keepOnly(attempt);
        startRelay(attempt);
        m_request.exchange->setBufferedBytes(0);
        relay(std::exchange(attempt.buffer, {}));
    }
    if (attempt.buffer.size() > maxUnrelayedBytes)
        abandonAttempt(attempt, "too_large");
}

void request_run::onFirstByte(target_attempt& attempt)
{
    attempt.firstByteAt = attempt.lastByteAt;
    attempt.endPrefill();
    if (attempt.response.status == http1::statusOk && isStream()) {
        attempt.beginStream();
        recordFirstEvent(attempt);
    }
    if (!m_request.callerRequest.generation || attempt.response.status != http1::statusOk)
        return;
    for (const uint64_t hash : deployment::prefixHashes(*m_request.callerRequest.generation))
        rememberPrefix(*attempt.target, hash, attempt.firstByteAt);
    // The events of a target that may have another version are dropped, and the results are needed once more.
    if (!m_backup && !mustHold(attempt, attempt.firstByteAt))
        cancelAndReleaseStages();
}

void request_run::onEventBytes(target_attempt& attempt, std::string_view bytes)
{
    if (!m_request.route->isResumable) {
        attempt.events.observe(bytes);
        startRelay(attempt);
        relay(bytes);
        return;
    }
    std::string wholeEvents;
    const auto state = attempt.events.append(bytes, wholeEvents);
    // A run that cannot go on does not end the other one.
    const bool isUseful = state == event_stream::state::Good || !m_backup;
    if (!wholeEvents.empty() && isUseful) {
        if (mustHold(attempt, attempt.lastByteAt))
            hold(attempt, wholeEvents, attempt.lastByteAt);
        else {
            attempt.heldEvents.append(wholeEvents);
            passOnHeld(attempt);
        }
    }
    if (state == event_stream::state::TooLong)
        abandonAttempt(attempt, "too_large");
    if (state == event_stream::state::Gap) {
        static_cast<void>(extract(attempt));
        onAttemptFailed("gap", true);
    }
}

void request_run::startRelay(target_attempt& attempt)
{
    if (m_request.exchange->isStarted())
        return;
    m_context.counters.observeSeconds("first_byte_seconds", { { "route", m_request.route->name } }, asSeconds(monotonicNow() - m_arrivedAt));
    m_request.exchange->startChunked(attempt.response.status, platform::encodeCallerHeaders(attempt.head));
}

void request_run::relay(std::string_view bytes)
{
    m_request.exchange->writeChunk(bytes);
    if (m_request.exchange->pendingBytes() >= m_request.exchange->pendingLimit() && m_current)
        m_current->setReading(false, monotonicNow());
}

void request_run::keepOnly(target_attempt& attempt)
{
    if (!m_backup)
        return;
    const target_attempt_ptr other = extract(m_backup.get() == &attempt ? *m_current : *m_backup);
    m_mayHaveRun = true;
    m_endedRuns.push_back(other->target);
    m_context.counters.count("second_runs_total", { { "delivered", other->sentAt < attempt.sentAt ? "second" : "first" } });
    logLine(log_level::Info, logComponent, "One of two targets has delivered; the run at the other one is ended.", { { "request", m_request.callerRequest.id }, { "target", attempt.target->listed.id }, { "ended_at", other->target->listed.id } });
    if (attempt.hasFirstByte)
        cancelAndReleaseStages();
}

target_attempt_ptr request_run::extract(const target_attempt& attempt)
{
    target_attempt_ptr extracted = std::move(m_backup.get() == &attempt ? m_backup : m_current);
    if (!m_current)
        m_current = std::move(m_backup);
    if (extracted->heldSince != time_point())
        m_request.exchange->setBufferedBytes(0);
    return extracted;
}

void request_run::detachFromTargets()
{
    m_backup.reset();
    m_current.reset();
}

// Ends of attempts.

void request_run::abandonAttempt(target_attempt& attempt, std::string_view reason)
{
    logLine(log_level::Warning, logComponent, "A target sends a response that may have no end; its connection is closed.", { { "request", m_request.callerRequest.id }, { "target", attempt.target->listed.id }, { "status", std::to_string(attempt.response.status) }, { "reason", std::string(reason) } });
    policy::recordFailure(attempt.target->health, policy::call_failure::Failed, attempt.lastByteAt);
    static_cast<void>(extract(attempt));
    onAttemptFailed(reason, true);
}

void request_run::onAttemptEnded(target_attempt& endedAttempt, http1::call_outcome outcome)
{
    const auto keepAlive = shared_from_this();
    const time_point now = monotonicNow();
    logResponseEnd(endedAttempt, outcome);
    target_attempt_ptr attempt = extract(endedAttempt);
    if (m_isFinished)
        return;
    const platform::target_response& response = attempt->response;
    auto& health = attempt->target->health;
    if (outcome == http1::call_outcome::NotSent) {
        policy::recordFailure(health, policy::call_failure::Unreachable, now);
        uncount(*attempt);
        onAttemptFailed("unreachable", false);
        return;
    }
    if (attempt->hasHead && response.isNotExecuted && http1::isReceived(outcome)) {
        onNotExecuted(*attempt, now);
        return;
    }
    const bool isTruncatedStream = isStreamTruncated(*attempt, outcome);
    if (!http1::isReceived(outcome) || !attempt->isOwnResponse() || isTruncatedStream) {
        const bool isCrash = isTruncatedStream || outcome == http1::call_outcome::NoResponse || outcome == http1::call_outcome::Truncated;
        policy::recordFailure(health, policy::call_failure::Failed, now);
        // The response of this request may follow on the connection.
        if (attempt->hasHead && !response.isForRequest)
            m_context.client.closeIdleConnections(attempt->target->listed.endpoint);
        if (isCrash && !attempt->hasSurvived)
            recordCrash(*attempt, now);
        const std::string_view reason = isTruncatedStream ? "half_event" : "not_own_answer";
        onAttemptFailed(http1::isReceived(outcome) ? reason : nameOf(outcome), true);
        return;
    }
    const bool isServerFailure = response.status >= 500;
    if (isServerFailure)
        policy::recordFailure(health, policy::call_failure::Failed, now);
    else {
        policy::recordSuccess(health, 1, now);
        recordSurvival(*attempt, now);
    }
    policy::clearSuspicion(m_context.suspicions, m_request.fingerprint);
    // A response that has begun is continued only by the body of a success.
    const bool mayPassOn = !m_request.exchange->isStarted() || attempt->isRelayable();
    if (((isServerFailure || impliesNotRun(response.status)) && m_current) || !mayPassOn) {
        onAttemptFailed("target_failed", true);
        return;
    }
    const bool mayRetry = m_request.route->isRetryable() && m_attempts < m_request.route->maxAttempts && !m_request.exchange->isStarted();
    if (isServerFailure && mayRetry && trySpendRetry(m_context, m_request.service, now)) {
        m_context.counters.count("repeats_total", { { "reason", "server_failure" } });
        m_mayHaveRun = true;
        dispatch();
        return;
    }
    if (attempt->isRelayable() && mustHold(*attempt, now)) {
        attempt->isComplete = true;
        hold(*attempt, {}, now);
        (m_current ? m_backup : m_current) = std::move(attempt);
        return;
    }
    passOnHeld(*attempt);
    detachFromTargets();
    completeResponse(*attempt);
}

void request_run::onNotExecuted(const target_attempt& attempt, time_point now)
{
    const std::string& targetId = attempt.target->listed.id;
    uncount(attempt);
    if (!attempt.response.isInputMissing) {
        attempt.target->isReplaced = attempt.target->isReplaced || attempt.response.isWrongTarget;
        policy::recordFailure(attempt.target->health, policy::call_failure::Full, now);
        if (!attempt.response.isWrongTarget) {
            m_fullTargets.push_back(targetId);
            m_nextFullTargetAt = now + fullTargetRetryDelay;
        }
        onAttemptFailed(attempt.response.isWrongTarget ? "wrong_target" : "target_full", false);
        return;
    }
    m_context.keepInputsUntil[m_request.service] = now + keepInputsDuration;
    logLine(log_level::Warning, logComponent, "The target could not find a stage result that the request needs.", { { "request", m_request.callerRequest.id }, { "target", targetId }, { "was_given_up", m_areInputsReleased ? "true" : "false" } });
    if (m_current) {
        onAttemptFailed("input_gone", false);
        return;
    }
    // The target is healthy, and may be tried again with new results.
    std::erase(m_triedTargets, targetId);
    restartStages("input_gone");
}

void request_run::uncount(const target_attempt& attempt)
{
    if (attempt.isReturn)
        m_endedRuns.push_back(attempt.target);
    else
        --m_attempts;
}

void request_run::logResponseEnd(const target_attempt& attempt, http1::call_outcome outcome)
{
    const http1::response_trace& trace = attempt.call->trace();
    const std::string_view connection = trace.connectionEnd ? nameOf(*trace.connectionEnd) : "open";
    const time_point connectedAt = attempt.call->connectedAt();
    // Positive if an earlier request used the connection.
    const std::string connectedBefore = connectedAt == time_point() ? "" : std::to_string(asMilliseconds(attempt.sentAt - connectedAt));
    m_context.counters.count("responses_total", { { "framing", std::string(nameOf(trace.framing)) }, { "connection", std::string(connection) }, { "end", std::string(nameOf(outcome)) } });
    logLine(log_level::Info, logComponent, "The response of a target ended.", { { "request", m_request.callerRequest.id }, { "target", attempt.target->listed.id }, { "end", std::string(nameOf(outcome)) }, { "status", std::to_string(attempt.hasHead ? attempt.head.status : 0) }, { "framing", std::string(nameOf(trace.framing)) }, { "connection", std::string(connection) }, { "body_bytes", std::to_string(trace.bodyBytes) }, { "inside_event", attempt.events.isAtBoundary() ? "false" : "true" }, { "unsent_bytes", std::to_string(trace.unsentBytes) }, { "stated_limit", attempt.hasHead ? std::string(platform::decodeLimit(attempt.head).text.value_or("")) : "" }, { "retry_after", attempt.hasHead ? platform::decodePause(attempt.head).text : "" }, { "not_executed", attempt.response.isNotExecuted ? "true" : "false" }, { "connected_ms_before", connectedBefore } });
}

bool request_run::isStreamTruncated(const target_attempt& attempt, http1::call_outcome outcome) const noexcept
{
    if (!http1::isReceived(outcome) || !isStream() || attempt.response.status != http1::statusOk)
        return false;
    const bool isWithoutEvents = outcome == http1::call_outcome::Unframed && !attempt.hasFirstByte;
    return isWithoutEvents || !attempt.events.isAtBoundary();
}

void request_run::completeResponse(target_attempt& attempt)
{
    const unsigned status = attempt.response.status;
    if (impliesNotRun(status)) {
        // The request ran, but these statuses would tell the caller that it did not.
        fail(http1::statusBadGateway, "target_failed");
        return;
    }
    if (m_request.exchange->isStarted())
        m_request.exchange->finishChunked();
    else
        m_request.exchange->respond(status, platform::encodeCallerHeaders(attempt.head), attempt.buffer);
    finish("answered", "", status);
}

std::optional<std::string_view> request_run::retryObstacle(time_point now) const
{
    const auto& route = *m_request.route;
    // Only events can be continued; the rest of a plain response cannot be asked for.
    const bool mayContinue = isStream() || !m_request.exchange->isStarted();
    if (!mayContinue || (m_mayHaveRun && !route.isRetryable()))
        return "not_repeatable";
    if ((m_mayHaveRun && !hasAttemptsLeft()) || m_sends >= detail::maxSends)
        return "attempts";
    if (now >= m_deadline)
        return "deadline";
    return std::nullopt;
}

bool request_run::mayReturnTo(const target_state& target) const noexcept
{
    return std::any_of(m_endedRuns.begin(), m_endedRuns.end(), [&target](const target_ptr& ended) { return ended.get() == &target; });
}

bool request_run::mayReturn() const noexcept
{
    return std::any_of(m_endedRuns.begin(), m_endedRuns.end(), [this](const target_ptr& ended) { return ended->isInService() && isSuitable(*ended); });
}

void request_run::onAttemptFailed(std::string_view reason, bool mayHaveRun)
{
    const time_point now = monotonicNow();
    m_mayHaveRun = m_mayHaveRun || mayHaveRun;
    const bool hasUsableTarget = reason != "no_target";
    std::optional<std::string_view> obstacle = retryObstacle(now);
    if (m_current)
        obstacle = "other_attempt";
    else if (!hasUsableTarget)
        obstacle = "no_target";
    if (!obstacle && m_sends > 0 && !trySpendRetry(m_context, m_request.service, now))
        obstacle = "retry_budget";
    logLine(log_level::Info, logComponent, "An attempt of the request failed.", { { "request", m_request.callerRequest.id }, { "reason", std::string(reason) }, { "may_have_run", m_mayHaveRun ? "true" : "false" }, { "after_ms", std::to_string(m_sends == 0 ? 0 : asMilliseconds(now - m_lastSentAt)) }, { "other_attempt", m_current ? m_current->target->listed.id : "" }, { "attempts", std::to_string(m_attempts) }, { "ended_runs", std::to_string(m_endedRuns.size()) }, { "no_retry_because", std::string(obstacle.value_or("")) } });
    if (m_current)
        return;
    if (obstacle == "retry_budget" && mayReturn()) {
        // Without the run that was ended for the failed one, the request would still have a target.
        m_isRetryUnpaid = true;
        waitForTarget(now);
        return;
    }
    if (obstacle) {
        finishWithoutResponse(reason, hasUsableTarget);
        return;
    }
    m_context.counters.count("repeats_total", { { "reason", std::string(reason) } });
    if (std::exchange(m_mayHaveCrashed, false)) {
        m_isWaitingForTarget = true;
        m_retryAt = now + crashReportTime;
    } else
        dispatch();
}
}
