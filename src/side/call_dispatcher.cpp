#include "side/call_dispatcher.hpp"

#include "base/hash.hpp"
#include "side/detail/call_dispatcher_state.hpp"
#include "telemetry/log.hpp"

#include <algorithm>

namespace bilberryseam::side {

namespace {
    constexpr std::string_view logComponent = "gate";
    constexpr milliseconds cleanupPeriod { 50 };
    constexpr milliseconds firstProbeDelay { 50 };
    constexpr milliseconds probePeriod { 250 };
    /// Lower bound of the retry time of a refusal; the expected wait at the target may raise it.
    constexpr uint32_t minRetryAfterMs = 500;
}

wire::refusal detail::refusalOf(policy::admission_verdict verdict) noexcept
{
    switch (verdict) {
    case policy::admission_verdict::Draining:
        return wire::refusal::Draining;
    case policy::admission_verdict::Down:
        return wire::refusal::TargetDown;
    case policy::admission_verdict::Infeasible:
        return wire::refusal::DeadlinePassed;
    case policy::admission_verdict::QueueFull:
    case policy::admission_verdict::Accept:
        break;
    }
    return wire::refusal::QueueFull;
}

call_dispatcher::call_dispatcher(const settings::side_settings& settings, metrics& metrics, execution::suspicion_exchange& suspicions, callbacks callbacks)
    : m_settings(settings)
    , m_metrics(metrics)
    , m_suspicions(suspicions)
    , m_callbacks(std::move(callbacks))
    , m_log(settings.platform.log)
{
    m_cleanupTimer.startEvery(cleanupPeriod, [this] { removeExpired(); });
}

call_dispatcher::~call_dispatcher() = default;

call_dispatcher::target_runtime* call_dispatcher::findTarget(std::string_view target)
{
    const auto position = m_targets.find(target);
    return position == m_targets.end() ? nullptr : position->second.get();
}

void call_dispatcher::applyConfiguration(const configuration::state& state)
{
    for (const auto& [name, record] : state.of<configuration::target>()) {
        if (record.value->side != m_settings.advertise)
            continue;
        auto& runtime = m_targets[name];
        const bool isNew = !runtime;
        if (isNew)
            runtime = std::make_unique<target_runtime>();
        runtime->target = *record.value;
        runtime->service = state.find<configuration::service>(record.value->service);
        runtime->isWithdrawn = !runtime->service;
        runtime->callQueue.capacity = record.value->capacity;
        runtime->callQueue.maxWaiting = runtime->service ? runtime->service->maxQueue : 0;
        updateDraining(*runtime);
        if (isNew)
            broadcastLoad(*runtime);
        // Creates the claim client now, so that it reads the claims stream before the first call.
        if (runtime->service && !runtime->service->isRetryable)
            claimClient();
    }
    for (auto& [name, runtime] : m_targets) {
        const auto current = state.find<configuration::target>(name);
        if (current && current->side == m_settings.advertise)
            continue;
        runtime->isWithdrawn = true;
        updateDraining(*runtime);
    }
}

void call_dispatcher::start(identifier session, wire::start_call& call)
{
    target_runtime* runtime = findTarget(call.target);
    if (!runtime || !runtime->service) {
        refuse(session, call, wire::refusal::UnknownTarget);
        return;
    }
    if (m_calls.size() >= m_settings.limits.maxCalls) {
        refuse(session, call, wire::refusal::QueueFull);
        return;
    }
    const time_point now = monotonicNow();
    const policy::execution_mode mode = m_suspicions.executionModeOf(call.fingerprint, {}, now);
    if (mode == policy::execution_mode::Refused) {
        refuse(session, call, wire::refusal::Quarantined);
        return;
    }
    call.isIsolated = call.isIsolated || mode == policy::execution_mode::Isolated;
    auto& newCall = m_calls[call.attempt];
    if (newCall) {
        m_metrics.count("duplicate_attempts_total");
        return;
    }
    newCall = std::make_unique<active_call>();
    newCall->session = session;
    newCall->runtime = runtime;
    newCall->acceptedAt = now;
    newCall->deadline = now + milliseconds(call.remainingMs);
    newCall->call = std::move(call);
    if (isRefused(*newCall)) {
        refuseWaiting(*newCall, wire::refusal::Quarantined);
        return;
    }
    if (runtime->service->isRetryable)
        enqueue(*newCall);
    else
        claimKey(*newCall);
}

bool call_dispatcher::isRefused(const active_call& call) const
{
    const std::vector<uint64_t> segments = call.call.isTrial ? std::vector<uint64_t>() : call.segments();
    return m_suspicions.executionModeOf(call.call.fingerprint, segments, monotonicNow()) == policy::execution_mode::Refused;
}

void call_dispatcher::recordSurvival(active_call& call)
{
    if (!std::exchange(call.hasSurvived, true) && !call.call.segments.empty())
        m_suspicions.recordSurvival(call.segments(), call.firstOutputAt, monotonicNow());
}

void call_dispatcher::updateSuspicion(active_call& call, const call_result& result)
{
    const time_point now = monotonicNow();
    if (result.end == wire::call_end::Answered && call.outputCount > 0)
        recordSurvival(call);
    const configuration::target& target = call.runtime->target;
    if (result.end == wire::call_end::TargetCrashed && !call.hasSurvived && !call.call.segments.empty())
        m_suspicions.onBrokenRequest({ hashOf(target.name), target.name, target.address }, { call.segments(), call.startedAt }, now);
    if (result.end == wire::call_end::TargetCrashed)
        m_suspicions.recordCrash(call.call.fingerprint, call.call.isIsolated, now);
    else if (result.end == wire::call_end::Answered && call.call.isIsolated)
        m_suspicions.clearSuspicion(call.call.fingerprint);
}

void call_dispatcher::enqueue(active_call& call)
{
    const policy::queued_call queuedCall { call.call.attempt, call.deadline, call.call.priority, call.call.isIsolated };
    const policy::admission_verdict verdict = policy::admit(call.runtime->callQueue, queuedCall, monotonicNow());
    if (verdict != policy::admission_verdict::Accept) {
        refuseWaiting(call, detail::refusalOf(verdict));
        return;
    }
    startQueuedCalls(*call.runtime);
}

void call_dispatcher::refuseQuarantined(target_runtime& runtime)
{
    // Calls that were queued before their fingerprint was quarantined must not start.
    std::vector<identifier> quarantinedAttempts;
    for (const policy::queued_call& queuedCall : runtime.callQueue.waiting) {
        if (isRefused(*m_calls.at(queuedCall.attempt)))
            quarantinedAttempts.push_back(queuedCall.attempt);
    }
    for (const identifier& attempt : quarantinedAttempts) {
        static_cast<void>(policy::removeCall(runtime.callQueue, attempt));
        refuseWaiting(*m_calls.at(attempt), wire::refusal::Quarantined);
    }
}

void call_dispatcher::refuseQuarantined()
{
    for (auto& [name, runtime] : m_targets)
        refuseQuarantined(*runtime);
}

void call_dispatcher::startQueuedCalls(target_runtime& runtime)
{
    refuseQuarantined(runtime);
    const policy::dispatch_result dispatch = policy::startCalls(runtime.callQueue, monotonicNow());
    for (const auto& call : dispatch.expired)
        refuseWaiting(*m_calls.at(call.attempt), wire::refusal::DeadlinePassed);
    for (const auto& call : dispatch.started)
        launch(*m_calls.at(call.attempt));
}

void call_dispatcher::launch(active_call& call)
{
    call.isRunning = true;
    call.startedAt = monotonicNow();
    const identifier attempt = call.call.attempt;
    m_callbacks.send(call.session, wire::call_started { attempt });
    target_call::callbacks callbacks;
    callbacks.onOutput = [this, attempt](std::string_view text) { handleOutput(attempt, text); };
    callbacks.onSilence = [this, attempt] { recordSilence(*m_calls.at(attempt)); };
    callbacks.onEnd = [this, attempt](call_result result) { handleEnd(attempt, std::move(result)); };
    call.targetCall = std::make_unique<target_call>(m_http, *call.runtime->service, call.runtime->target, call.call, m_settings.limits.targetInactivityTimeout, std::move(callbacks));
}

void call_dispatcher::recordSilence(const active_call& call)
{
    m_metrics.count("target_silences_total", { { "target", call.call.target } });
    logLine(log_level::Warning, logComponent, "A target has sent nothing for the inactivity timeout; the call goes on.", { { "request", call.call.request.toString() }, { "target", call.call.target } });
}

void call_dispatcher::handleOutput(identifier attempt, std::string_view text)
{
    active_call& call = *m_calls.at(attempt);
    const time_point now = monotonicNow();
    if (call.outputCount == 0)
        call.firstOutputAt = now;
    else if (now - call.firstOutputAt >= policy::survivalTime)
        recordSurvival(call);
    m_callbacks.send(call.session, wire::call_output { call.call.request, attempt, call.outputCount++, std::string(text) });
}

void call_dispatcher::recordErrorStatus(const active_call& call, const call_result& result)
{
    const std::string status = std::to_string(result.errorStatus);
    m_metrics.count("target_error_responses_total", { { "target", call.call.target }, { "status", status } });
    logLine(log_level::Info, logComponent, "A target answered with an error status.", { { "request", call.call.request.toString() }, { "target", call.call.target }, { "status", status }, { "retryAfter", result.retryAfter } });
}

void call_dispatcher::handleEnd(identifier attempt, call_result result)
{
    active_call& call = *m_calls.at(attempt);
    target_runtime& runtime = *call.runtime;
    const double runSeconds = asSeconds(monotonicNow() - call.startedAt);
    const bool isAnswered = result.end == wire::call_end::Answered;
    policy::finishCall(runtime.callQueue, call.call.isIsolated, isAnswered ? std::optional(runSeconds) : std::nullopt);
    if (result.errorStatus != 0)
        recordErrorStatus(call, result);
    updateClaim(call, result);
    updateSuspicion(call, result);
    if (result.isNotStarted) {
        call.hasKey = false;
        if (!call.isOrphaned)
            refuse(call.session, call.call, wire::refusal::TargetDown);
        remove(call);
        markDown(runtime, "A target refused a connection and is marked down.");
        return;
    }
    const bool hasCrashed = result.end == wire::call_end::TargetCrashed;
    const bool isPaused = pauseTarget(runtime, result);
    if (isPaused && result.end == wire::call_end::Rejected && !call.isOrphaned) {
        // The target did not run the call, so another one may.
        refuse(call.session, call.call, wire::refusal::QueueFull);
        remove(call);
    } else if (call.isOrphaned)
        remove(call);
    else
        finish(call, result.end, std::move(result.body), std::move(result.detail));
    // After a crash no queued call starts: it could reach the crashing target and be counted as the cause.
    if (hasCrashed)
        markDown(runtime, "A target closed the connection before a call finished and is marked down.");
    else
        startQueuedCalls(runtime);
}

void call_dispatcher::finish(active_call& call, wire::call_end end, std::string body, std::string detail)
{
    const time_point now = monotonicNow();
    m_metrics.count("calls_finished_total", { { "target", call.call.target }, { "end", std::string(nameOf(end)) } });
    m_metrics.observeSeconds("call_run_seconds", { { "target", call.call.target } }, asSeconds(now - call.startedAt));
    wire::call_finished message { call.call.request, call.call.attempt, end, call.outputCount, 0, 0, std::move(body), std::move(detail) };
    message.queuedMs = static_cast<uint32_t>(asMilliseconds(call.startedAt - call.acceptedAt));
    message.runMs = static_cast<uint32_t>(asMilliseconds(now - call.startedAt));
    logLine(log_level::Debug, logComponent, "A call finished.", { { "request", call.call.request.toString() }, { "end", std::string(nameOf(end)) }, { "detail", message.detail } });
    m_callbacks.send(call.session, std::move(message));
    sendLoad(*call.runtime, call.session);
    remove(call);
}

void call_dispatcher::refuse(identifier session, const wire::start_call& call, wire::refusal reason)
{
    m_metrics.count("calls_refused_total", { { "reason", std::string(nameOf(reason)) } });
    logLine(log_level::Debug, logComponent, "A call was refused.", { { "request", call.request.toString() }, { "reason", std::string(nameOf(reason)) } });
    uint32_t retryAfterMs = minRetryAfterMs;
    if (const target_runtime* runtime = findTarget(call.target)) {
        retryAfterMs = std::max(retryAfterMs, static_cast<uint32_t>(1000 * policy::expectedWaitSeconds(runtime->callQueue, monotonicNow())));
        sendLoad(*runtime, session);
    }
    m_callbacks.send(session, wire::call_refused { call.request, call.attempt, reason, retryAfterMs });
}

void call_dispatcher::refuseWaiting(active_call& call, wire::refusal reason)
{
    if (call.hasKey)
        claimClient().release(call.key, call.call.attempt);
    if (call.isClaiming && m_claimClient)
        m_claimClient->cancel(call.call.attempt);
    refuse(call.session, call.call, reason);
    remove(call);
}

void call_dispatcher::cancel(identifier attempt)
{
    const auto position = m_calls.find(attempt);
    if (position == m_calls.end())
        return;
    abort(*position->second, wire::call_end::Cancelled);
}

void call_dispatcher::abort(active_call& call, wire::call_end end)
{
    target_runtime& runtime = *call.runtime;
    if (call.isClaiming) {
        refuseWaiting(call, end == wire::call_end::Cancelled ? wire::refusal::Cancelled : wire::refusal::DeadlinePassed);
        return;
    }
    if (!call.isRunning) {
        static_cast<void>(policy::removeCall(runtime.callQueue, call.call.attempt));
        refuseWaiting(call, end == wire::call_end::Cancelled ? wire::refusal::Cancelled : wire::refusal::DeadlinePassed);
        return;
    }
    if (!runtime.service->isRetryable) {
        orphan(call);
        return;
    }
    call.targetCall.reset();
    policy::finishCall(runtime.callQueue, call.call.isIsolated, std::nullopt);
    finish(call, end, "", "The call was given up.");
    startQueuedCalls(runtime);
}

void call_dispatcher::remove(active_call& call)
{
    // This may run inside a callback of the target call, so the call is deleted from the main loop.
    if (call.targetCall) {
        auto* targetCall = call.targetCall.release();
        g_idle_add([](gpointer data) -> gboolean { delete static_cast<target_call*>(data); return G_SOURCE_REMOVE; }, targetCall);
    }
    m_calls.erase(identifier(call.call.attempt));
}

void call_dispatcher::onSessionExpired(identifier session)
{
    std::vector<identifier> attempts;
    for (const auto& [attempt, call] : m_calls) {
        if (call->session == session)
            attempts.push_back(attempt);
    }
    for (const identifier& attempt : attempts)
        cancel(attempt);
}

bool call_dispatcher::hasCalls(const target_runtime& runtime) const
{
    return std::ranges::any_of(m_calls, [&runtime](const auto& item) { return item.second->runtime == &runtime; });
}

void call_dispatcher::removeExpired()
{
    const time_point now = monotonicNow();
    if (m_claimClient)
        m_claimClient->tick(now);
    std::vector<identifier> expiredAttempts;
    for (const auto& [attempt, call] : m_calls) {
        if (call->deadline <= now)
            expiredAttempts.push_back(attempt);
    }
    for (const identifier& attempt : expiredAttempts) {
        if (const auto position = m_calls.find(attempt); position != m_calls.end())
            abort(*position->second, wire::call_end::TimedOut);
    }
    std::erase_if(m_targets, [this](const auto& item) { return item.second->isWithdrawn && !hasCalls(*item.second); });
}

void call_dispatcher::markDown(target_runtime& runtime, std::string_view message)
{
    if (runtime.callQueue.isDown)
        return;
    runtime.callQueue.isDown = true;
    logLine(log_level::Warning, logComponent, message, { { "target", runtime.target.name } });
    m_metrics.count("target_down_total", { { "target", runtime.target.name } });
    while (!runtime.callQueue.waiting.empty()) {
        const identifier attempt = runtime.callQueue.waiting.front().attempt;
        runtime.callQueue.waiting.pop_front();
        refuseWaiting(*m_calls.at(attempt), wire::refusal::TargetDown);
    }
    broadcastLoad(runtime);
    runtime.probeTimer.startOnce(firstProbeDelay, [this, &runtime] {
        probe(runtime);
        runtime.probeTimer.startEvery(probePeriod, [this, &runtime] { probe(runtime); });
    });
}

void call_dispatcher::probe(target_runtime& runtime)
{
    http1::call_options options;
    options.isOnNewConnection = true;
    options.timeout = probePeriod;
    http1::client_call::callbacks callbacks;
    callbacks.onEnd = [this, &runtime](http1::call_outcome outcome) {
        // A response with any status shows that the target accepts connections.
        if (!http1::isReceived(outcome))
            return;
        runtime.probeTimer.stop();
        runtime.callQueue.isDown = false;
        logLine(log_level::Info, logComponent, "A target accepts connections again.", { { "target", runtime.target.name } });
        broadcastLoad(runtime);
    };
    const http1::outgoing_request request { "GET", "/health", { { "Host", runtime.target.address.toString() } }, "" };
    runtime.probeExchange = m_http.send(runtime.target.address, request, options, std::move(callbacks));
}

wire::target_load call_dispatcher::loadOf(const target_runtime& runtime) const
{
    const auto waitMs = static_cast<uint32_t>(1000 * policy::expectedWaitSeconds(runtime.callQueue, monotonicNow()));
    return { runtime.target.name, static_cast<uint32_t>(runtime.callQueue.waiting.size()), runtime.callQueue.running, runtime.callQueue.capacity, waitMs, runtime.callQueue.isDraining, runtime.callQueue.isDown, static_cast<uint32_t>(std::max<size_t>(1, m_callbacks.entryCount())) };
}

void call_dispatcher::sendLoad(const target_runtime& runtime, identifier session)
{
    m_callbacks.send(session, loadOf(runtime));
}

void call_dispatcher::broadcastLoad(const target_runtime& runtime)
{
    m_callbacks.sendToAll(loadOf(runtime));
}

void call_dispatcher::sendAllLoads(identifier session)
{
    for (const auto& [name, runtime] : m_targets)
        sendLoad(*runtime, session);
}

void call_dispatcher::updateDraining(target_runtime& runtime)
{
    const bool isDraining = !m_drainReasons.empty() || runtime.isWithdrawn || runtime.isDrainedByOperator;
    const bool hasChanged = runtime.callQueue.isDraining != isDraining;
    runtime.callQueue.isDraining = isDraining;
    if (!hasChanged)
        return;
    logLine(log_level::Info, logComponent, isDraining ? "A target is draining and accepts no new calls." : "A target is no longer draining and accepts new calls.", { { "target", runtime.target.name } });
    broadcastLoad(runtime);
}

void call_dispatcher::setDraining(drain_reason reason, bool isDraining)
{
    if (isDraining)
        m_drainReasons.insert(reason);
    else
        m_drainReasons.erase(reason);
    for (auto& [name, runtime] : m_targets)
        updateDraining(*runtime);
}

bool call_dispatcher::setTargetDraining(std::string_view target, bool isDraining)
{
    target_runtime* runtime = findTarget(target);
    if (!runtime)
        return false;
    runtime->isDrainedByOperator = isDraining;
    updateDraining(*runtime);
    return true;
}

nlohmann::json call_dispatcher::status() const
{
    nlohmann::json targets = nlohmann::json::array();
    for (const auto& [name, runtime] : m_targets) {
        targets.push_back({ { "name", name }, { "service", runtime->target.service }, { "running", runtime->callQueue.running }, { "queued", runtime->callQueue.waiting.size() },
            { "capacity", runtime->callQueue.capacity }, { "leaving", runtime->callQueue.isDraining }, { "down", runtime->callQueue.isDown }, { "meanRunMs", 1000 * runtime->callQueue.meanRunSeconds } });
    }
    return targets;
}
}
