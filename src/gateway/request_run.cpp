#include "gateway/request_run.hpp"

#include "base/hash.hpp"
#include "gateway/crash_watch.hpp"
#include "policy/placement.hpp"

#include <algorithm>

namespace bilberryseam::gateway {

namespace {
    constexpr std::string_view logComponent = "request";

    /// Bytes of a response that are buffered before it is relayed, so that an attempt that breaks off can be retried.
    constexpr size_t maxBufferedBytes = 256 * 1024;

    /// Largest body of a response that is not relayed while it arrives.
    constexpr size_t maxUnrelayedBytes = 1024 * 1024;

    /// Unsent bytes towards a caller at which the gateway stops reading from the target.
    constexpr size_t maxUnreadBytes = 256 * 1024;

    /// Limit of how often one request is sent, including the sends that targets refused.
    constexpr int maxSends = 5;

    /// A prompt segment counts as cached at a target for this long after it was last processed there.
    constexpr seconds cachedPrefixLifetime { 60 };

    /// Pause before another search for a target when none is usable.
    constexpr milliseconds placementRetryDelay { 40 };

    /// Delay after which callers may retry if no target is usable.
    constexpr milliseconds retryWithoutTargets { 1000 };
    /// A target counts as unresponsive if it sends no first byte for this multiple of the latency objective, or no further
    /// byte for this multiple of the gap objective; the request then moves to another target.
    constexpr double unresponsiveObjectiveFactor = 1.5;
    constexpr int unresponsiveGapFactor = 5;
    constexpr milliseconds minFirstByteTimeout { 150 };
    /// Lower limit of the time without a further byte, since routes may state no gap objective.
    constexpr milliseconds minGapTimeout { 1000 };

    /// After a target missed a result, results for its service are released only at the first event for this long, about the
    /// length of a burst.
    constexpr milliseconds keepInputsDuration { 10000 };

    /// A retry after a crash waits until the crash is known everywhere, which may refuse it.
    constexpr milliseconds crashReportTime { 50 };

    std::vector<uint64_t> prefixHashes(const deployment::generation_request& prompt)
    {
        std::vector<uint64_t> hashes;
        uint64_t hash = hashOf(prompt.model);
        for (const auto& item : prompt.segments) {
            hash = hashOf(item.id, hash);
            hashes.push_back(hash);
        }
        return hashes;
    }
}

request_run::request_run(context& context, pool_router& pools, accepted_request request, std::function<void(request_run*)> onFinished)
    : m_context(context)
    , m_pools(pools)
    , m_request(std::move(request))
    , m_onFinished(std::move(onFinished))
    , m_arrivedAt(m_request.exchange->arrivedAt())
    , m_deadline(m_arrivedAt + m_request.route->timeout)
{
    if (m_request.callerRequest.deadline.count() > 0)
        m_deadline = std::min(m_deadline, m_arrivedAt + m_request.callerRequest.deadline);
    m_context.heldBodyBytes += m_request.exchange->body().size();
    if (const auto last = http1::findHeader(m_request.exchange->head().headers, "Last-Event-Id"))
        m_events.setLastId(*last);
}

request_run::~request_run()
{
    m_context.heldBodyBytes -= m_request.exchange->body().size();
}

void request_run::start()
{
    const std::weak_ptr<request_run> weak = weak_from_this();
    m_request.exchange->setOnDisconnect([weak] {
        if (const auto self = weak.lock())
            self->onCallerDisconnected();
    });
    startStages();
}

void request_run::tick(time_point now)
{
    if (m_isFinished)
        return;
    if (now >= m_deadline) {
        expire("deadline");
        return;
    }
    if (m_isWaitingForTarget && now >= m_retryAt) {
        dispatch();
        return;
    }
    if (m_call && !m_areInputsReleased && m_inputsFetchedAt && now >= *m_inputsFetchedAt)
        cancelAndReleaseStages();
    if (isTargetUnresponsive(now)) {
        logSilence(now);
        policy::recordFailure(m_target->health, policy::call_failure::Failed, now);
        detachFromTarget();
        onAttemptFailed("silent", true);
    }
    if (m_call && m_request.exchange->isStarted())
        m_call->setReading(m_request.exchange->pendingBytes() < maxUnreadBytes);
}

// Attempts.

target_ptr request_run::chooseTarget(time_point now) const
{
    const auto& listed = m_context.targets.ofService(m_request.service);
    policy::placement_request placement;
    std::vector<uint64_t> hashes;
    if (m_request.callerRequest.generation) {
        hashes = prefixHashes(*m_request.callerRequest.generation);
        // The last segment belongs to this request alone.
        if (!hashes.empty())
            hashes.pop_back();
        placement.sharedTokens = m_request.callerRequest.generation->sharedTokens();
        placement.prefixHash = hashes.empty() ? 0 : hashes.back();
    }
    const auto inputBytes = resultBytesByDomain();
    std::vector<policy::placement_candidate> candidates;
    candidates.reserve(listed.size());
    for (const auto& target : listed)
        candidates.push_back(candidateOf(*target, hashes, inputBytes, now));
    const auto chosenIndex = policy::chooseTarget(candidates, placement, {});
    return chosenIndex ? listed[*chosenIndex] : nullptr;
}

policy::placement_candidate request_run::candidateOf(const target_state& target, std::span<const uint64_t> sharedHashes, const bytes_by_domain& inputBytes, time_point now) const
{
    policy::placement_candidate candidate;
    candidate.hash = target.hash;
    const bool wasTried = std::find(m_triedTargets.begin(), m_triedTargets.end(), target.listed.id) != m_triedTargets.end();
    candidate.isUsable = target.mayGetWork(now) && !wasTried;
    candidate.isInOwnDomain = target.listed.failureDomain == m_context.settings.failureDomain;
    const auto region = m_context.settings.regions.find(target.listed.failureDomain);
    candidate.isInOwnRegion = region != m_context.settings.regions.end() && region->second == m_context.settings.region;
    candidate.inFlight = target.inFlight;
    candidate.slots = static_cast<uint32_t>(std::max(1, target.listed.slots));
    candidate.queuedPrefillTokens = target.queuedPrefillTokens;
    candidate.penalty = policy::penaltyOf(target.health);
    for (const auto& [domain, bytes] : inputBytes) {
        if (domain != target.listed.failureDomain)
            candidate.remoteInputBytes += bytes;
    }
    for (size_t i = 0; i < sharedHashes.size(); ++i) {
        const auto position = target.cachedPrefixes.find(sharedHashes[i]);
        if (position == target.cachedPrefixes.end() || now - position->second > cachedPrefixLifetime)
            break;
        candidate.cachedTokens += m_request.callerRequest.generation->segments[i].tokens;
    }
    return candidate;
}

void request_run::dispatch()
{
    const time_point now = monotonicNow();
    m_isWaitingForTarget = false;
    if (const auto segment = refusedSegment(now)) {
        refuseSegment(*segment, now);
        return;
    }
    if (m_areInputsReleased) {
        restartStages("inputs_freed");
        return;
    }
    if (isTargetListUncertain(m_context, now)) {
        m_isWaitingForTarget = true;
        m_retryAt = now + placementRetryDelay;
        return;
    }
    const target_ptr target = chooseTarget(now);
    if (target) {
        m_limitPlace.reset();
        send(target);
        return;
    }
    if (const auto limitWait = waitForLimits(now)) {
        refuseLimited(*limitWait);
        return;
    }
    const bool hasTargets = !m_context.targets.ofService(m_request.service).empty();
    const bool mayWait = hasTargets && m_sends < maxSends && now - m_arrivedAt < detail::maxPlacementTime && !m_request.exchange->isStarted();
    if (!mayWait && m_limitPlace && !m_mayHaveRun) {
        refuseLimited(detail::maxPlacementTime);
        return;
    }
    if (!mayWait) {
        onAttemptFailed("no_target", false);
        return;
    }
    m_triedTargets.clear();
    m_isWaitingForTarget = true;
    m_retryAt = now + placementRetryDelay;
}

void request_run::send(const target_ptr& target)
{
    const time_point now = monotonicNow();
    std::vector<std::string> inputs;
    for (const size_t index : deployment::finalStages(*m_request.route))
        inputs.insert(inputs.end(), m_stages[index].handles.begin(), m_stages[index].handles.end());
    platform::target_request_fields call;
    call.timeLeft = std::chrono::duration_cast<milliseconds>(m_deadline - now);
    call.targetId = target->listed.id;
    call.account = m_request.account;
    call.inputs = inputs;
    const bool isResumed = m_request.exchange->isStarted();
    if (isResumed)
        call.lastEventId = m_events.lastId();
    const http1::request_head& head = m_request.exchange->head();
    const http1::outgoing_request request { head.method, head.target, platform::encodeTargetHeaders(head, call), m_request.exchange->body() };

    m_target = target;
    m_sentAt = now;
    m_inputsFetchedAt = inputsFetchedAt(*target, now);
    m_hasHead = false;
    m_hasFirstByte = false;
    m_hasSurvived = false;
    m_events.restart();
    m_buffer.clear();
    ++m_sends;
    ++m_attempts;
    ++target->inFlight;
    m_sentTokens = 0;
    if (m_request.callerRequest.generation) {
        m_sentTokens = m_request.callerRequest.generation->promptTokens;
        target->queuedPrefillTokens += m_sentTokens;
    }
    m_triedTargets.push_back(target->listed.id);

    http1::client_call::callbacks callbacks;
    callbacks.onHead = [this](const http1::response_head& responseHead) { onHead(responseHead); };
    callbacks.onBody = [this](std::string_view bytes) { onBytes(bytes); };
    callbacks.onEnd = [this](http1::call_outcome outcome) { onAttemptEnded(outcome); };
    const bool needsNewConnection = !m_request.route->isRetryable();
    m_call = sendToTarget(m_context, target, request, { needsNewConnection }, std::move(callbacks));
    m_context.counters.count("sends_total", { { "service", m_request.service } });
    logLine(log_level::Info, logComponent, "The request was sent to a target.", { { "request", m_request.callerRequest.id }, { "target", target->listed.id }, { "send", std::to_string(m_sends) }, { "left_ms", std::to_string(call.timeLeft.count()) }, { "listed_ms_ago", std::to_string(asMilliseconds(now - target->listedAt)) }, { "in_flight", std::to_string(target->inFlight) } });
}

void request_run::onHead(const http1::response_head& head)
{
    m_hasHead = true;
    m_head = head;
    m_response = platform::decodeResponse(head, m_request.callerRequest.id);
}

void request_run::onBytes(std::string_view bytes)
{
    const auto keepAlive = shared_from_this();
    m_lastByteAt = monotonicNow();
    if (!m_hasFirstByte) {
        m_hasFirstByte = true;
        const time_point now = m_lastByteAt;
        m_firstByteAt = now;
        m_target->queuedPrefillTokens -= std::exchange(m_sentTokens, 0);
        if (m_request.callerRequest.generation && m_response.status == http1::statusOk) {
            for (const uint64_t hash : prefixHashes(*m_request.callerRequest.generation))
                m_target->cachedPrefixes[hash] = now;
            cancelAndReleaseStages();
        }
    }
    if (m_lastByteAt - m_firstByteAt >= policy::survivalTime)
        recordSurvival(m_lastByteAt);
    const bool isRelayable = m_response.status == http1::statusOk && m_response.isForRequest && m_response.isSealed && !m_response.isEncoded;
    if (!isStream() || !isRelayable) {
        m_buffer.append(bytes);
        if (m_buffer.size() > maxBufferedBytes && isRelayable)
            startRelay();
        if (isRelayable && m_request.exchange->isStarted())
            relay(std::exchange(m_buffer, {}));
        if (m_buffer.size() > maxUnrelayedBytes)
            abandonAttempt("too_large");
        return;
    }
    if (!m_request.route->isResumable) {
        m_events.observe(bytes);
        startRelay();
        relay(bytes);
        return;
    }
    std::string wholeEvents;
    const auto state = m_events.append(bytes, wholeEvents);
    if (!wholeEvents.empty()) {
        startRelay();
        relay(wholeEvents);
    }
    if (state == event_stream::state::TooLong)
        abandonAttempt("too_large");
    if (state == event_stream::state::Gap) {
        detachFromTarget();
        onAttemptFailed("gap", true);
    }
}

void request_run::abandonAttempt(std::string_view reason)
{
    logLine(log_level::Warning, logComponent, "A target sends a response that may have no end; its connection is closed.", { { "request", m_request.callerRequest.id }, { "target", m_target->listed.id }, { "status", std::to_string(m_response.status) }, { "reason", std::string(reason) } });
    policy::recordFailure(m_target->health, policy::call_failure::Failed, m_lastByteAt);
    detachFromTarget();
    onAttemptFailed(reason, true);
}

void request_run::startRelay()
{
    if (m_request.exchange->isStarted())
        return;
    m_context.counters.observeSeconds("first_byte_seconds", { { "route", m_request.route->name } }, asSeconds(monotonicNow() - m_arrivedAt));
    m_request.exchange->startChunked(m_response.status, platform::encodeCallerHeaders(m_head));
    relay(std::exchange(m_buffer, {}));
}

void request_run::relay(std::string_view bytes)
{
    m_request.exchange->writeChunk(bytes);
    if (m_request.exchange->pendingBytes() >= maxUnreadBytes && m_call)
        m_call->setReading(false);
}

bool request_run::isTargetUnresponsive(time_point now) const
{
    const auto& route = *m_request.route;
    if (!m_call || !route.isRetryable() || m_attempts >= route.maxAttempts)
        return false;
    if (m_request.exchange->isStarted())
        return m_request.exchange->pendingBytes() == 0 && now - m_lastByteAt > std::max<microseconds>(minGapTimeout, route.gapObjective * unresponsiveGapFactor);
    return !m_hasFirstByte && now - m_sentAt > minFirstByteTimeout && asSeconds(now - m_sentAt) > asSeconds(route.objective) * unresponsiveObjectiveFactor;
}

void request_run::logSilence(time_point now) const
{
    const bool hasOther = static_cast<bool>(chooseTarget(now));
    const bool hasBudget = m_context.retryBudgets.contains(m_request.service) && m_context.retryBudgets.at(m_request.service).units.units >= 1;
    m_context.counters.count("silent_targets_total", { { "begun", m_request.exchange->isStarted() ? "true" : "false" } });
    logLine(log_level::Info, logComponent, "The target of a request is silent.", { { "request", m_request.callerRequest.id }, { "target", m_target->listed.id }, { "silent_ms", std::to_string(asMilliseconds(now - (m_hasFirstByte ? m_lastByteAt : m_sentAt))) }, { "response_begun", m_request.exchange->isStarted() ? "true" : "false" }, { "inside_event", m_events.isAtBoundary() ? "false" : "true" }, { "other_target", hasOther ? "true" : "false" }, { "retry_budget", hasBudget ? "true" : "false" }, { "attempts", std::to_string(m_attempts) }, { "version", std::to_string(m_request.configuration->version) }, { "newest_version", std::to_string(m_context.configuration->version) } });
}

void request_run::detachFromTarget()
{
    m_call.reset();
    if (!m_target)
        return;
    m_target->queuedPrefillTokens -= std::exchange(m_sentTokens, 0);
    --m_target->inFlight;
    m_target.reset();
}

void request_run::onAttemptEnded(http1::call_outcome outcome)
{
    const auto keepAlive = shared_from_this();
    const time_point now = monotonicNow();
    const target_ptr target = m_target;
    logResponseEnd(outcome);
    detachFromTarget();
    if (m_isFinished)
        return;
    if (outcome == http1::call_outcome::NotSent) {
        policy::recordFailure(target->health, policy::call_failure::Unreachable, now);
        --m_attempts;
        onAttemptFailed("unreachable", false);
        return;
    }
    if (m_hasHead && m_response.isInputMissing && http1::isReceived(outcome)) {
        // The target is healthy, and may be tried again with new results.
        m_context.keepInputsUntil[m_request.service] = now + keepInputsDuration;
        logLine(log_level::Warning, logComponent, "The target could not find a stage result that the request needs.", { { "request", m_request.callerRequest.id }, { "target", target->listed.id }, { "was_given_up", m_areInputsReleased ? "true" : "false" } });
        --m_attempts;
        m_triedTargets.pop_back();
        restartStages("input_gone");
        return;
    }
    if (m_hasHead && m_response.isNotExecuted && http1::isReceived(outcome)) {
        target->isReplaced = target->isReplaced || m_response.isWrongTarget;
        policy::recordFailure(target->health, policy::call_failure::Full, now);
        --m_attempts;
        onAttemptFailed(m_response.isWrongTarget ? "wrong_target" : "target_full", false);
        return;
    }
    const bool isOwnResponse = m_hasHead && m_response.isForRequest && m_response.isSealed && !m_response.isEncoded;
    const bool isTruncatedStream = isStreamTruncated(outcome);
    if (!http1::isReceived(outcome) || !isOwnResponse || isTruncatedStream) {
        const bool isCrash = isTruncatedStream || outcome == http1::call_outcome::NoResponse || outcome == http1::call_outcome::Truncated;
        policy::recordFailure(target->health, policy::call_failure::Failed, now);
        if (isCrash && !m_hasSurvived)
            recordCrash(*target, now);
        const std::string_view reason = isTruncatedStream ? "half_event" : "not_own_answer";
        onAttemptFailed(http1::isReceived(outcome) ? reason : nameOf(outcome), true);
        return;
    }
    const bool isServerFailure = m_response.status >= 500;
    if (isServerFailure)
        policy::recordFailure(target->health, policy::call_failure::Failed, now);
    else {
        policy::recordSuccess(target->health, 1, now);
        recordSurvival(now);
    }
    policy::clearSuspicion(m_context.suspicions, m_request.fingerprint);
    if (isServerFailure && m_request.exchange->isStarted()) {
        onAttemptFailed("target_failed", true);
        return;
    }
    const bool mayRetry = m_request.route->isRetryable() && m_attempts < m_request.route->maxAttempts && !m_request.exchange->isStarted();
    if (isServerFailure && mayRetry && trySpendRetry(m_context, m_request.service, now)) {
        m_context.counters.count("repeats_total", { { "reason", "server_failure" } });
        dispatch();
        return;
    }
    completeResponse();
}

void request_run::logResponseEnd(http1::call_outcome outcome)
{
    const http1::response_trace& trace = m_call->trace();
    const std::string_view connection = trace.connectionEnd ? nameOf(*trace.connectionEnd) : "open";
    m_context.counters.count("responses_total", { { "framing", std::string(nameOf(trace.framing)) }, { "connection", std::string(connection) }, { "end", std::string(nameOf(outcome)) } });
    logLine(log_level::Info, logComponent, "The response of a target ended.", { { "request", m_request.callerRequest.id }, { "target", m_target->listed.id }, { "end", std::string(nameOf(outcome)) }, { "status", std::to_string(m_hasHead ? m_head.status : 0) }, { "framing", std::string(nameOf(trace.framing)) }, { "connection", std::string(connection) }, { "body_bytes", std::to_string(trace.bodyBytes) }, { "inside_event", m_events.isAtBoundary() ? "false" : "true" }, { "unsent_bytes", std::to_string(trace.unsentBytes) }, { "stated_limit", m_hasHead ? std::string(platform::decodeLimit(m_head).text.value_or("")) : "" } });
}

bool request_run::isStreamTruncated(http1::call_outcome outcome) const noexcept
{
    if (!http1::isReceived(outcome) || !isStream() || m_response.status != http1::statusOk)
        return false;
    const bool isWithoutEvents = outcome == http1::call_outcome::Unframed && !m_hasFirstByte;
    return isWithoutEvents || !m_events.isAtBoundary();
}

void request_run::completeResponse()
{
    const bool impliesNotRun = m_response.status == http1::statusUnavailable || m_response.status == http1::statusTooManyRequests || m_response.status == http1::statusTimeout;
    if (impliesNotRun) {
        // The request ran, but these statuses would tell the caller that it did not.
        fail(http1::statusBadGateway, "target_failed");
        return;
    }
    if (m_request.exchange->isStarted())
        m_request.exchange->finishChunked();
    else
        m_request.exchange->respond(m_response.status, platform::encodeCallerHeaders(m_head), m_buffer);
    finish("answered", "", m_response.status);
}

void request_run::onAttemptFailed(std::string_view reason, bool mayHaveRun)
{
    const time_point now = monotonicNow();
    m_mayHaveRun = m_mayHaveRun || mayHaveRun;
    const auto& route = *m_request.route;
    const bool mayRetry = !m_mayHaveRun || (route.isRetryable() && m_attempts < route.maxAttempts);
    const bool isInTime = now < m_deadline;
    logLine(log_level::Info, logComponent, "An attempt of the request failed.", { { "request", m_request.callerRequest.id }, { "reason", std::string(reason) }, { "may_have_run", m_mayHaveRun ? "true" : "false" }, { "after_ms", std::to_string(m_sends == 0 ? 0 : asMilliseconds(now - m_sentAt)) } });
    const bool hasUsableTarget = reason != "no_target";
    if (mayRetry && isInTime && hasUsableTarget && m_sends < maxSends && (m_sends == 0 || trySpendRetry(m_context, m_request.service, now))) {
        m_context.counters.count("repeats_total", { { "reason", std::string(reason) } });
        if (std::exchange(m_mayHaveCrashed, false)) {
            m_isWaitingForTarget = true;
            m_retryAt = now + crashReportTime;
        } else
            dispatch();
        return;
    }
    finishWithoutResponse(reason, hasUsableTarget);
}

// End of the request.

void request_run::finishWithoutResponse(std::string_view reason, bool hasUsableTarget)
{
    if (m_request.exchange->isStarted()) {
        m_request.exchange->abort();
        finish("cut", reason, 0);
    } else if (m_mayHaveRun)
        fail(http1::statusBadGateway, reason);
    else
        refuse(reason, hasUsableTarget ? detail::retryAfterTransientFailure : retryWithoutTargets);
}

void request_run::refuse(std::string_view reason, milliseconds retryAfter)
{
    m_request.exchange->respond(http1::statusUnavailable, { platform::retryAfterHeader(retryAfter) }, {});
    finish("refused", reason, http1::statusUnavailable);
}

void request_run::fail(unsigned status, std::string_view reason)
{
    m_request.exchange->respond(status, {}, {});
    finish("failed", reason, status);
}

void request_run::expire(std::string_view reason)
{
    const bool wasSent = m_mayHaveRun || m_call;
    detachFromTarget();
    if (m_request.exchange->isStarted()) {
        m_request.exchange->abort();
        finish("cut", reason, 0);
    } else if (wasSent)
        fail(http1::statusGatewayTimeout, reason);
    else
        refuse(reason, detail::retryAfterTransientFailure);
}

void request_run::onCallerDisconnected()
{
    const auto keepAlive = shared_from_this();
    detachFromTarget();
    finish("caller_gone", "", 0);
}

void request_run::finish(std::string_view outcome, std::string_view reason, unsigned status)
{
    if (std::exchange(m_isFinished, true))
        return;
    m_limitPlace.reset();
    cancelAndReleaseStages();
    const auto duration = monotonicNow() - m_arrivedAt;
    m_context.counters.count("requests_total", { { "outcome", std::string(outcome) }, { "reason", std::string(reason) } });
    m_context.counters.observeSeconds("request_seconds", { { "outcome", std::string(outcome) } }, asSeconds(duration));
    logLine(log_level::Info, logComponent, "The request finished.", { { "request", m_request.callerRequest.id }, { "outcome", std::string(outcome) }, { "reason", std::string(reason) }, { "status", std::to_string(status) }, { "sends", std::to_string(m_sends) }, { "took_ms", std::to_string(asMilliseconds(duration)) } });
    m_onFinished(this);
}
}
