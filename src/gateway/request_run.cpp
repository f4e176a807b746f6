#include "gateway/request_run.hpp"

#include "gateway/crash_watch.hpp"
#include "gateway/load_exchange.hpp"
#include "gateway/target_eligibility.hpp"
#include "gateway/target_pauses.hpp"
#include "loop/callback_guard.hpp"
#include "policy/placement_search.hpp"

#include <algorithm>

namespace bilberryseam::gateway {

namespace {
    constexpr std::string_view logComponent = "request";

    /// Bytes of an identifier from outside that are logged.
    constexpr size_t maxLoggedBytes = 40;

    /// A prompt segment counts as cached at a target for this long after it was last processed there.

    /// Pause before another search for a target when none is usable.
    constexpr milliseconds placementRetryDelay { 40 };
}

namespace {
    /// @return Whether no other target in service has the version of this one, although other versions are in service: a stream
    /// that begins there can hardly go on.
    /// @param isSuitable  Whether a later request that continues the stream could use a target.
    bool isOnlyOfVersion(std::span<const target_ptr> targets, const target_state& candidate, const std::function<bool(const target_state&)>& isSuitable)
    {
        size_t sameVersion = 0;
        bool hasOtherVersion = false;
        for (const auto& target : targets) {
            if (!target->isInService() || !isSuitable(*target))
                continue;
            if (target->listed.softwareVersion != candidate.listed.softwareVersion)
                hasOtherVersion = true;
            else if (++sameVersion > 1)
                return false;
        }
        return hasOtherVersion && sameVersion == 1;
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
    const auto service = m_request.configuration->services.find(m_request.service);
    if (m_context.loads && m_request.callerRequest.generation && service != m_request.configuration->services.end() && service->second.engine) {
        m_memoryTokens = service->second.engine->memoryTokens;
        m_neededTokens = m_request.callerRequest.generation->promptTokens + m_request.callerRequest.generation->maxOutputTokens;
    }
    if (const auto last = http1::findHeader(m_request.exchange->head().headers, "Last-Event-Id"))
        m_lastEventId = *last;
}

request_run::~request_run() = default;

void request_run::start()
{
    runGuarded([this] { begin(); });
}

void request_run::begin()
{
    const std::weak_ptr<request_run> weak = weak_from_this();
    m_request.exchange->setOnDisconnect([weak] {
        if (const auto self = weak.lock())
            self->onCallerDisconnected();
    });
    const time_point now = monotonicNow();
    m_checkedRules = m_context.placementRules;
    if (refuseUnplaceable(now) || refuseTooLarge())
        return;
    if (const auto wait = waitForService(m_context, m_request.service, now)) {
        refusePaused(*wait, now);
        return;
    }
    if (isContinuation())
        findOrigin();
    else
        startStages();
}

void request_run::runGuarded(const std::function<void()>& function) noexcept
{
    const auto keepAlive = shared_from_this();
    if (bilberryseam::runGuarded("request", function) || m_isFinished)
        return;
    bilberryseam::runGuarded("request", [this] {
        logLine(log_level::Error, logComponent, "The request is given up after an internal error.", { { "request", m_request.callerRequest.id }, { "sends", std::to_string(m_sends) } });
        // What was done before the exception is not known.
        m_mayHaveRun = m_mayHaveRun || m_sends > 0;
        finishWithoutResponse("internal_error");
    });
}

void request_run::tick(time_point now)
{
    runGuarded([this, now] { handleTick(now); });
}

void request_run::handleTick(time_point now)
{
    if (m_isFinished)
        return;
    if (now >= m_deadline) {
        expire("deadline");
        return;
    }
    checkPlacementRules(now);
    if (m_isFinished)
        return;
    if (m_isWaitingForTarget && now >= m_retryAt) {
        dispatch();
        return;
    }
    retryOrigin(now);
    checkHeld(now);
    if (m_isFinished)
        return;
    releaseUnneededResults(now);
    if (m_current && m_request.exchange->isStarted())
        m_current->setReading(m_request.exchange->pendingBytes() + m_current->heldEvents.size() < m_request.exchange->pendingLimit(), now);
    checkSilence(now);
}

// Attempts.

request_run::placement_inputs request_run::placementInputs() const
{
    placement_inputs inputs;
    if (m_request.callerRequest.generation) {
        inputs.prefixHashes = deployment::prefixHashes(*m_request.callerRequest.generation);
        // The last segment belongs to this request alone.
        if (!inputs.prefixHashes.empty())
            inputs.prefixHashes.pop_back();
        inputs.request.sharedTokens = m_request.callerRequest.generation->sharedTokens();
        inputs.request.prefixHash = inputs.prefixHashes.empty() ? 0 : inputs.prefixHashes.back();
    }
    inputs.inputBytes = resultBytesByDomain();
    return inputs;
}

target_ptr request_run::chooseTarget(time_point now) const
{
    const auto& listed = m_context.targets.ofService(m_request.service);
    const placement_inputs inputs = placementInputs();
    const auto& placement = inputs.request;
    const auto& inputBytes = inputs.inputBytes;
    m_loadChoice.reset();
    m_promptChoice.reset();
    m_prefixHash = placement.prefixHash;
    m_lacksMemory = false;
    if (m_context.loads && m_context.loads->isUsable(m_request.service, now))
        return chooseByLoad(inputs, now);
    const bool prefersSharedVersions = m_request.route->isResumable && !m_origin;
    // What a target costs at least that has no calls of this process, with and without the prompt prefix.
    const policy::placement_costs costs;
    std::vector<double> leastCosts;
    std::vector<double> leastCostsUncached;
    for (const auto& domain : m_context.targets.failureDomains()) {
        policy::placement_candidate idle;
        locate(idle, domain, inputBytes);
        leastCostsUncached.push_back(policy::costOf(idle, placement, costs));
        idle.cachedTokens = placement.sharedTokens;
        leastCosts.push_back(policy::costOf(idle, placement, costs));
    }
    const auto outlines = m_context.targets.outlinesOf(m_request.service);
    policy::placement_search_steps steps;
    const auto chosenIndex = policy::searchTarget(
        outlines, leastCosts, placement, costs,
        [&](size_t i) { return listed[i]->cachedPrefixes.empty() ? leastCostsUncached[outlines[i].domain] : leastCosts[outlines[i].domain]; },
        [&](size_t i) {
            auto candidate = candidateOf(*listed[i], inputs.prefixHashes, inputBytes, now);
            candidate.isOnlyOfVersion = prefersSharedVersions && candidate.isUsable && isOnlyOfVersion(listed, *listed[i], [this](const target_state& target) { return isSuitable(target); });
            return candidate;
        },
        steps);
    return chosenIndex ? listed[*chosenIndex] : nullptr;
}

std::vector<policy::placement_candidate> request_run::candidates(const placement_inputs& inputs, bool isByLoad, time_point now) const
{
    const auto& listed = m_context.targets.ofService(m_request.service);
    const bool prefersSharedVersions = m_request.route->isResumable && !m_origin;
    std::vector<policy::placement_candidate> candidates;
    candidates.reserve(listed.size());
    const auto loads = isByLoad ? m_context.loads->loadsOf(m_request.service, listed, now) : std::vector<policy::target_load>();
    for (size_t i = 0; i < listed.size(); ++i) {
        auto& candidate = candidates.emplace_back(candidateOf(*listed[i], inputs.prefixHashes, inputs.inputBytes, now));
        candidate.isOnlyOfVersion = prefersSharedVersions && candidate.isUsable && isOnlyOfVersion(listed, *listed[i], [this](const target_state& other) { return isSuitable(other); });
        if (isByLoad) {
            candidate.load = loads[i];
            candidate.load.requests = std::max(candidate.load.requests, static_cast<double>(candidate.inFlight));
        }
    }
    return candidates;
}

policy::load_placement_request request_run::loadRequest(uint64_t prefixHash, time_point now) const
{
    policy::load_placement_request load;
    load.tieHash = hashOfPair(m_context.loads->ownHash(), hashOf(m_request.callerRequest.id));
    load.unseenSends = m_context.loads->unseenSends(m_request.service, now);
    load.figureAge = m_context.loads->figureAge(now);
    load.isByTrend = m_context.settings.loadTrends;
    load.prefixShare = m_context.loads->prefixShare(m_request.service, prefixHash, now);
    return load;
}

target_ptr request_run::chooseByLoad(const placement_inputs& inputs, time_point now) const
{
    auto all = candidates(inputs, true, now);
    const auto load = loadRequest(inputs.request.prefixHash, now);
    const auto prompt = promptRequest(now);
    m_loadChoice = prompt ? chooseByPrompt(all, inputs.request, load, *prompt) : policy::chooseByLoad(all, inputs.request, load, {});
    return m_loadChoice ? m_context.targets.ofService(m_request.service)[m_loadChoice->index] : nullptr;
}

void request_run::locate(policy::placement_candidate& candidate, std::string_view domain, const bytes_by_domain& inputBytes) const
{
    const auto& settings = m_context.settings;
    candidate.isInOwnDomain = domain == settings.failureDomain;
    const auto region = settings.regions.find(domain);
    candidate.isInOwnRegion = region != settings.regions.end() && region->second == settings.region;
    for (const auto& [otherDomain, bytes] : inputBytes) {
        if (otherDomain != domain)
            candidate.remoteInputBytes += bytes;
    }
}

policy::ineligibility request_run::verdictOn(const target_state& target, time_point now) const
{
    const bool wasTried = std::find(m_triedTargets.begin(), m_triedTargets.end(), target.listed.id) != m_triedTargets.end();
    const bool isFree = !wasTried && (!m_mayHaveRun || m_attempts < m_request.route->maxAttempts);
    policy::target_conditions conditions = conditionsOf(m_context, target, regionsNow());
    conditions.isOtherVersion = !mayRunAt(target);
    conditions.isTried = !isFree && !mayReturnTo(target);
    if (m_memoryTokens > 0) {
        conditions.memoryTokens = m_memoryTokens;
        conditions.heldTokens = m_context.loads->heldTokensOf(target, m_memoryTokens, now);
        conditions.neededTokens = m_neededTokens;
    }
    return policy::reasonAgainst(conditions, now);
}

policy::placement_candidate request_run::candidateOf(const target_state& target, std::span<const uint64_t> sharedHashes, const bytes_by_domain& inputBytes, time_point now) const
{
    policy::placement_candidate candidate;
    candidate.hash = target.hash;
    const auto reason = verdictOn(target, now);
    candidate.isUsable = reason == policy::ineligibility::None;
    m_lacksMemory = m_lacksMemory || reason == policy::ineligibility::Memory;
    locate(candidate, target.listed.failureDomain, inputBytes);
    candidate.inFlight = policy::callsAt(target.statedLoad, target.inFlight, now);
    candidate.slots = static_cast<uint32_t>(std::max(1, target.listed.slots));
    candidate.queuedPrefillTokens = target.queuedPrefillTokens;
    candidate.isCold = target.isColdNow();
    candidate.penalty = policy::penaltyOf(target.health) * policy::workFactor(target.statedLoad, now);
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
    if (refuseUnplaceable(now))
        return;
    if (m_isRetryUnpaid && !trySpendRetry(m_context, m_request.service, now)) {
        waitForTarget(now);
        return;
    }
    m_isRetryUnpaid = false;
    if (m_areInputsReleased) {
        restartStages("inputs_freed");
        return;
    }
    // The last of the repeated stages calls this function again.
    if (!areStagesDone())
        return;
    if (isTargetListUncertain(m_context, now)) {
        waitForTarget(now);
        return;
    }
    updateOrigin(now);
    if (const auto decision = continuationNow(); decision == policy::continuation::VersionGone || decision == policy::continuation::OriginUnknown) {
        if (decision == policy::continuation::OriginUnknown && awaitProof(now))
            waitForTarget(now);
        else
            refuseContinuation(decision, true);
        return;
    }
    const target_ptr target = chooseTarget(now);
    if (target) {
        m_limitPlace.reset();
        send(target);
        return;
    }
    if (const auto pause = pauseOfAllTargets(now); pause && !m_mayHaveRun && !m_request.exchange->isStarted()) {
        refusePaused(*pause, now);
        return;
    }
    if (const auto limitWait = waitForLimits(now)) {
        logPauses("refused", now);
        refuseLimited(*limitWait);
        return;
    }
    const bool hasTargets = !m_context.targets.ofService(m_request.service).empty();
    const bool isInPlacementTime = now - std::max(m_arrivedAt, m_proofAwaitedAt) < detail::maxPlacementTime && !m_request.exchange->isStarted();
    const bool mayWait = hasTargets && m_sends < detail::maxSends && (isInPlacementTime || mayReturn());
    if (!mayWait && m_limitPlace && !m_mayHaveRun) {
        refuseLimited(detail::maxPlacementTime);
        return;
    }
    if (!mayWait && m_lacksMemory && !m_mayHaveRun && !m_request.exchange->isStarted()) {
        refuseForMemory();
        return;
    }
    if (!mayWait) {
        logPauses("ends", now);
        onAttemptFailed("no_target", false);
        return;
    }
    logPauses("waits", now);
    // A record may show that a target which may have restarted has not.
    if (isContinuation())
        m_context.recordsAwaitedAt = now;
    m_triedTargets.clear();
    waitForTarget(now);
}

void request_run::waitForTarget(time_point now)
{
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
    if (m_request.exchange->isStarted())
        call.lastEventId = m_lastEventId;
    const http1::request_head& head = m_request.exchange->head();
    const http1::outgoing_request request { head.method, head.target, platform::encodeTargetHeaders(head, call), m_request.exchange->body() };

    const uint64_t promptTokens = m_request.callerRequest.generation ? m_request.callerRequest.generation->promptTokens : 0;
    target_attempt_ptr& place = m_current ? m_backup : m_current;
    place = std::make_unique<target_attempt>(target, promptTokens, m_loadChoice ? m_loadChoice->cachedTokens : 0, m_request.callerRequest.generation ? m_request.callerRequest.generation->maxOutputTokens : 0, now);
    target_attempt& attempt = *place;
    attempt.inputsFetchedAt = inputsFetchedAt(*target, now);
    attempt.events.setLastId(m_lastEventId);
    m_lastSentAt = now;
    ++m_sends;
    attempt.isReturn = mayReturnTo(*target);
    std::erase(m_endedRuns, target);
    m_attempts += attempt.isReturn ? 0 : 1;
    m_triedTargets.push_back(target->listed.id);

    http1::client_call::callbacks callbacks;
    callbacks.onHead = [this, &attempt](const http1::response_head& responseHead) { runGuarded([&] { onHead(attempt, responseHead); }); };
    callbacks.onBody = [this, &attempt](std::string_view bytes) { runGuarded([&] { onBytes(attempt, bytes); }); };
    callbacks.onEnd = [this, &attempt](http1::call_outcome outcome) { runGuarded([&] { onAttemptEnded(attempt, outcome); }); };
    const bool needsNewConnection = !m_request.route->isRetryable();
    attempt.call = sendToTarget(m_context, target, request, { needsNewConnection }, std::move(callbacks));
    m_context.counters.count("sends_total", { { "service", m_request.service } });
    if (m_context.loads)
        m_context.loads->recordSend(m_request.service, m_prefixHash, m_request.callerRequest.id, *target, m_loadChoice, now);
    recordPrompt(attempt, now);
    logLine(log_level::Info, logComponent, "The request was sent to a target.", { { "request", m_request.callerRequest.id }, { "target", target->listed.id }, { "send", std::to_string(m_sends) }, { "left_ms", std::to_string(call.timeLeft.count()) }, { "listed_ms_ago", std::to_string(asMilliseconds(now - target->listedAt)) }, { "software_version", target->listed.softwareVersion }, { "started_at_ms", std::to_string(target->listed.startedAtMs) }, { "after_event", m_lastEventId.substr(0, maxLoggedBytes) }, { "in_flight", std::to_string(target->inFlight) }, { "beside_a_silent_target", m_backup ? "true" : "false" } });
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
        refuse(reason, hasUsableTarget ? detail::retryAfterTransientFailure : detail::retryWithoutTargets);
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
    const bool wasSent = m_mayHaveRun || m_current;
    detachFromTargets();
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
    detachFromTargets();
    finish("caller_gone", nameOf(m_request.exchange->disconnectReason().value_or(http1::close_reason::Closed)), 0);
}

void request_run::finish(std::string_view outcome, std::string_view reason, unsigned status)
{
    if (std::exchange(m_isFinished, true))
        return;
    m_limitPlace.reset();
    cancelAndReleaseStages();
    const auto duration = monotonicNow() - m_arrivedAt;
    if (m_context.loads && m_longestPause.count() > 0)
        m_context.counters.observeSeconds("longest_pause_seconds", { { "route", m_request.route->name } }, asSeconds(m_longestPause));
    m_context.counters.count("requests_total", { { "outcome", std::string(outcome) }, { "reason", std::string(reason) } });
    m_context.counters.observeSeconds("request_seconds", { { "outcome", std::string(outcome) } }, asSeconds(duration));
    logLine(log_level::Info, logComponent, "The request finished.", { { "request", m_request.callerRequest.id }, { "outcome", std::string(outcome) }, { "reason", std::string(reason) }, { "status", std::to_string(status) }, { "sends", std::to_string(m_sends) }, { "took_ms", std::to_string(asMilliseconds(duration)) } });
    m_onFinished(this);
}
}
