#include "side/call_gate.hpp"

#include "side/detail/call_gate_state.hpp"
#include "telemetry/log.hpp"

namespace bilberryseam::side {

namespace {
    constexpr std::string_view part = "gate";
    constexpr milliseconds sweepPeriod { 50 };
    constexpr milliseconds firstProbeDelay { 50 };
    constexpr milliseconds probePeriod { 250 };
    constexpr uint32_t refusedRetryAfterMs = 500;
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

call_gate::call_gate(const settings::side_settings& settings, metrics& metrics, execution::suspicion_exchange& suspicions, callbacks calls)
    : m_settings(settings)
    , m_metrics(metrics)
    , m_suspicions(suspicions)
    , m_callbacks(std::move(calls))
    , m_log(settings.platform.log)
{
    m_sweep.startEvery(sweepPeriod, [this] { sweep(); });
}

call_gate::~call_gate() = default;

call_gate::target_slot* call_gate::find(std::string_view target)
{
    const auto found = m_slots.find(target);
    return found == m_slots.end() ? nullptr : found->second.get();
}

void call_gate::follow(const configuration::state& state)
{
    for (const auto& [name, entry] : state.of<configuration::target>()) {
        if (entry.value->side != m_settings.advertise)
            continue;
        auto& slot = m_slots[name];
        const bool isNew = !slot;
        if (isNew)
            slot = std::make_unique<target_slot>();
        slot->target = *entry.value;
        slot->service = state.find<configuration::service>(entry.value->service);
        slot->isWithdrawn = !slot->service;
        slot->gate.capacity = entry.value->capacity;
        slot->gate.maxWaiting = slot->service ? slot->service->maxQueue : 0;
        refreshLeaving(*slot);
        if (isNew)
            broadcastLoad(*slot);
        // Reading the claims starts before the first call needs them.
        if (slot->service && !slot->service->isRepeatable)
            claims();
    }
    for (auto& [name, slot] : m_slots) {
        const auto current = state.find<configuration::target>(name);
        if (current && current->side == m_settings.advertise)
            continue;
        slot->isWithdrawn = true;
        refreshLeaving(*slot);
    }
}

void call_gate::start(identifier session, wire::start_call& call)
{
    target_slot* slot = find(call.target);
    if (!slot || !slot->service) {
        refuse(session, call, wire::refusal::UnknownTarget);
        return;
    }
    if (m_calls.size() >= m_settings.limits.maxCalls) {
        refuse(session, call, wire::refusal::QueueFull);
        return;
    }
    const time_point now = monotonicNow();
    const policy::execution_mode treatment = m_suspicions.treatmentOf(call.fingerprint, now);
    if (treatment == policy::execution_mode::Refused) {
        refuse(session, call, wire::refusal::Quarantined);
        return;
    }
    call.isAlone = call.isAlone || treatment == policy::execution_mode::Isolated;
    auto& accepted = m_calls[call.attempt];
    if (accepted) {
        m_metrics.count("duplicate_attempts_total");
        return;
    }
    accepted = std::make_unique<running_call>();
    accepted->session = session;
    accepted->slot = slot;
    accepted->acceptedAt = now;
    accepted->deadline = now + milliseconds(call.remainingMs);
    accepted->call = std::move(call);
    if (slot->service->isRepeatable)
        enqueue(*accepted);
    else
        askForKey(*accepted);
}

void call_gate::judge(const running_call& call, const target_answer& answer)
{
    if (answer.end == wire::call_end::TargetCrashed)
        m_suspicions.strike(call.call.fingerprint, call.call.isAlone, monotonicNow());
    else if (answer.end == wire::call_end::Answered && call.call.isAlone)
        m_suspicions.absolve(call.call.fingerprint);
}

void call_gate::enqueue(running_call& call)
{
    const policy::queued_call waiting { call.call.attempt, call.deadline, call.call.priority, call.call.isAlone };
    const policy::admission_verdict verdict = policy::admit(call.slot->gate, waiting, monotonicNow());
    if (verdict != policy::admission_verdict::Accept) {
        refuseWaiting(call, detail::refusalOf(verdict));
        return;
    }
    pump(*call.slot);
}

void call_gate::refuseQuarantined(target_slot& slot)
{
    // What was queued before its fingerprint was quarantined must not start either.
    std::vector<identifier> guilty;
    for (const policy::queued_call& waiting : slot.gate.waiting) {
        const wire::start_call& call = m_calls.at(waiting.attempt)->call;
        if (m_suspicions.treatmentOf(call.fingerprint, monotonicNow()) == policy::execution_mode::Refused)
            guilty.push_back(waiting.attempt);
    }
    for (const identifier& attempt : guilty) {
        static_cast<void>(policy::removeCall(slot.gate, attempt));
        refuseWaiting(*m_calls.at(attempt), wire::refusal::Quarantined);
    }
}

void call_gate::pump(target_slot& slot)
{
    refuseQuarantined(slot);
    const policy::dispatch_result step = policy::startCalls(slot.gate, monotonicNow());
    for (const auto& expired : step.expired)
        refuseWaiting(*m_calls.at(expired.attempt), wire::refusal::DeadlinePassed);
    for (const auto& started : step.started)
        launch(*m_calls.at(started.attempt));
}

void call_gate::launch(running_call& call)
{
    call.isRunning = true;
    call.startedAt = monotonicNow();
    const identifier attempt = call.call.attempt;
    m_callbacks.send(call.session, wire::call_started { attempt });
    target_call::callbacks calls;
    calls.onOutput = [this, attempt](std::string_view text) { takeOutput(attempt, text); };
    calls.onEnd = [this, attempt](target_answer answer) { takeEnd(attempt, std::move(answer)); };
    call.exchange = std::make_unique<target_call>(m_http, *call.slot->service, call.slot->target, call.call, m_settings.limits.targetSilence, std::move(calls));
}

void call_gate::takeOutput(identifier attempt, std::string_view text)
{
    running_call& call = *m_calls.at(attempt);
    m_callbacks.send(call.session, wire::call_output { call.call.request, attempt, call.outputCount++, std::string(text) });
}

void call_gate::takeEnd(identifier attempt, target_answer answer)
{
    running_call& call = *m_calls.at(attempt);
    target_slot& slot = *call.slot;
    const double ranSeconds = asSeconds(monotonicNow() - call.startedAt);
    const bool isTypical = answer.end == wire::call_end::Answered;
    policy::finishCall(slot.gate, call.call.isAlone, isTypical ? std::optional(ranSeconds) : std::nullopt);
    settleClaim(call, answer);
    judge(call, answer);
    if (answer.isNotStarted) {
        call.hasKey = false;
        if (!call.isOrphaned)
            refuse(call.session, call.call, wire::refusal::TargetDown);
        forget(call);
        markDown(slot, "A target refuses connections.");
        return;
    }
    const bool hasCrashed = answer.end == wire::call_end::TargetCrashed;
    if (call.isOrphaned)
        forget(call);
    else
        finish(call, answer.end, std::move(answer.body), std::move(answer.detail));
    // What started now might meet a target that is still dying, and be blamed for it.
    if (hasCrashed)
        markDown(slot, "A target cut off a call.");
    else
        pump(slot);
}

void call_gate::finish(running_call& call, wire::call_end end, std::string body, std::string detail)
{
    const time_point now = monotonicNow();
    m_metrics.count("calls_finished_total", { { "target", call.call.target }, { "end", std::string(nameOf(end)) } });
    m_metrics.observeSeconds("call_run_seconds", { { "target", call.call.target } }, asSeconds(now - call.startedAt));
    wire::call_finished finished { call.call.request, call.call.attempt, end, call.outputCount, 0, 0, std::move(body), std::move(detail) };
    finished.queuedMs = static_cast<uint32_t>(asMilliseconds(call.startedAt - call.acceptedAt));
    finished.ranMs = static_cast<uint32_t>(asMilliseconds(now - call.startedAt));
    logLine(log_level::Debug, part, "A call ended.", { { "request", call.call.request.toString() }, { "end", std::string(nameOf(end)) }, { "detail", finished.detail } });
    m_callbacks.send(call.session, std::move(finished));
    reportLoad(*call.slot, call.session);
    forget(call);
}

void call_gate::refuse(identifier session, const wire::start_call& call, wire::refusal reason)
{
    m_metrics.count("calls_refused_total", { { "reason", std::string(nameOf(reason)) } });
    logLine(log_level::Debug, part, "A call was refused.", { { "request", call.request.toString() }, { "reason", std::string(nameOf(reason)) } });
    uint32_t retryAfterMs = refusedRetryAfterMs;
    if (const target_slot* slot = find(call.target)) {
        retryAfterMs = std::max(retryAfterMs, static_cast<uint32_t>(1000 * policy::expectedWaitSeconds(slot->gate)));
        reportLoad(*slot, session);
    }
    m_callbacks.send(session, wire::call_refused { call.request, call.attempt, reason, retryAfterMs });
}

void call_gate::refuseWaiting(running_call& call, wire::refusal reason)
{
    if (call.hasKey)
        claims().release(call.key, call.call.attempt);
    if (call.isClaiming && m_claims)
        m_claims->forget(call.call.attempt);
    refuse(call.session, call.call, reason);
    forget(call);
}

void call_gate::cancel(identifier attempt)
{
    const auto found = m_calls.find(attempt);
    if (found == m_calls.end())
        return;
    giveUp(*found->second, wire::call_end::Cancelled);
}

void call_gate::giveUp(running_call& call, wire::call_end end)
{
    target_slot& slot = *call.slot;
    if (call.isClaiming) {
        refuseWaiting(call, end == wire::call_end::Cancelled ? wire::refusal::Cancelled : wire::refusal::DeadlinePassed);
        return;
    }
    if (!call.isRunning) {
        static_cast<void>(policy::removeCall(slot.gate, call.call.attempt));
        refuseWaiting(call, end == wire::call_end::Cancelled ? wire::refusal::Cancelled : wire::refusal::DeadlinePassed);
        return;
    }
    if (!slot.service->isRepeatable) {
        orphan(call);
        return;
    }
    call.exchange.reset();
    policy::finishCall(slot.gate, call.call.isAlone, std::nullopt);
    finish(call, end, "", "The call was given up.");
    pump(slot);
}

void call_gate::forget(running_call& call)
{
    // The target's call may be the one that is reporting; it is dropped when the loop is back.
    if (call.exchange) {
        auto* dropped = call.exchange.release();
        g_idle_add([](gpointer data) -> gboolean { delete static_cast<target_call*>(data); return G_SOURCE_REMOVE; }, dropped);
    }
    m_calls.erase(identifier(call.call.attempt));
}

void call_gate::sessionExpired(identifier session)
{
    std::vector<identifier> abandoned;
    for (const auto& [attempt, call] : m_calls) {
        if (call->session == session)
            abandoned.push_back(attempt);
    }
    for (const identifier& attempt : abandoned)
        cancel(attempt);
}

void call_gate::sweep()
{
    const time_point now = monotonicNow();
    if (m_claims)
        m_claims->tick(now);
    std::vector<identifier> late;
    for (const auto& [attempt, call] : m_calls) {
        if (call->deadline <= now)
            late.push_back(attempt);
    }
    for (const identifier& attempt : late) {
        if (const auto found = m_calls.find(attempt); found != m_calls.end())
            giveUp(*found->second, wire::call_end::TimedOut);
    }
    std::erase_if(m_slots, [](const auto& item) { return item.second->isWithdrawn && item.second->gate.running == 0 && item.second->gate.waiting.empty(); });
}

void call_gate::markDown(target_slot& slot, std::string_view sentence)
{
    if (slot.gate.isDown)
        return;
    slot.gate.isDown = true;
    logLine(log_level::Warning, part, sentence, { { "target", slot.target.name } });
    m_metrics.count("target_down_total", { { "target", slot.target.name } });
    while (!slot.gate.waiting.empty()) {
        const identifier attempt = slot.gate.waiting.front().attempt;
        slot.gate.waiting.pop_front();
        refuseWaiting(*m_calls.at(attempt), wire::refusal::TargetDown);
    }
    broadcastLoad(slot);
    slot.probe.startOnce(firstProbeDelay, [this, &slot] {
        probe(slot);
        slot.probe.startEvery(probePeriod, [this, &slot] { probe(slot); });
    });
}

void call_gate::probe(target_slot& slot)
{
    http_request request { "GET", urlOf(slot.target.address, "/health"), "", {}, true, probePeriod };
    slot.probing = m_http.send(request, [this, &slot](http_reply reply) {
        // Any answer shows that the target accepts connections again.
        if (reply.end != exchange_end::Complete)
            return;
        slot.probe.stop();
        slot.gate.isDown = false;
        logLine(log_level::Info, part, "A target accepts connections again.", { { "target", slot.target.name } });
        broadcastLoad(slot);
    });
}

wire::target_load call_gate::loadOf(const target_slot& slot) const
{
    const auto waitMs = static_cast<uint32_t>(1000 * policy::expectedWaitSeconds(slot.gate));
    return { slot.target.name, static_cast<uint32_t>(slot.gate.waiting.size()), slot.gate.running, slot.gate.capacity, waitMs, slot.gate.isDraining, slot.gate.isDown, static_cast<uint32_t>(std::max<size_t>(1, m_callbacks.entryCount())) };
}

void call_gate::reportLoad(const target_slot& slot, identifier session)
{
    m_callbacks.send(session, loadOf(slot));
}

void call_gate::broadcastLoad(const target_slot& slot)
{
    m_callbacks.sendToAll(loadOf(slot));
}

void call_gate::greet(identifier session)
{
    for (const auto& [name, slot] : m_slots)
        reportLoad(*slot, session);
}

void call_gate::refreshLeaving(target_slot& slot)
{
    const bool isLeaving = !m_leaving.empty() || slot.isWithdrawn || slot.isDrainedByOperator;
    const bool hasChanged = slot.gate.isDraining != isLeaving;
    slot.gate.isDraining = isLeaving;
    if (!hasChanged)
        return;
    logLine(log_level::Info, part, isLeaving ? "A target takes no new work." : "A target takes work again.", { { "target", slot.target.name } });
    broadcastLoad(slot);
}

void call_gate::setLeaving(leaving_reason reason, bool isLeaving)
{
    if (isLeaving)
        m_leaving.insert(reason);
    else
        m_leaving.erase(reason);
    for (auto& [name, slot] : m_slots)
        refreshLeaving(*slot);
}

bool call_gate::setTargetLeaving(std::string_view target, bool isLeaving)
{
    target_slot* slot = find(target);
    if (!slot)
        return false;
    slot->isDrainedByOperator = isLeaving;
    refreshLeaving(*slot);
    return true;
}

nlohmann::json call_gate::status() const
{
    nlohmann::json targets = nlohmann::json::array();
    for (const auto& [name, slot] : m_slots) {
        targets.push_back({ { "name", name }, { "service", slot->target.service }, { "running", slot->gate.running }, { "queued", slot->gate.waiting.size() },
            { "capacity", slot->gate.capacity }, { "leaving", slot->gate.isDraining }, { "down", slot->gate.isDown }, { "meanRunMs", 1000 * slot->gate.meanRunSeconds } });
    }
    return targets;
}
}
