/// The call gate's part for calls that may not be repeated: keys, claims, answers.
#include "side/detail/call_gate_state.hpp"

namespace bilberryseam::side {

namespace {

    std::string_view nameOf(claim_end end)
    {
        switch (end) {
        case claim_end::Won:
            return "won";
        case claim_end::Answered:
            return "answered";
        case claim_end::HeldElsewhere:
            return "held_elsewhere";
        case claim_end::KeyReused:
            return "key_reused";
        case claim_end::NotCovered:
            return "not_covered";
        case claim_end::LogUnavailable:
            return "log_unavailable";
        case claim_end::DeadlinePassed:
            return "deadline_passed";
        }
        return "unknown";
    }
}

claim_keeper& call_gate::claims()
{
    if (m_claims)
        return *m_claims;
    // A handle stays until the next exchange of its kind, which comes only after its end.
    claim_ports ports;
    ports.append = [this](std::string record, platform::log_client::on_append done) {
        const std::vector<std::string> records { std::move(record) };
        m_appending = m_log.append(m_settings.platform.claimsStream, records, std::move(done));
    };
    ports.read = [this](uint64_t from, platform::log_client::on_read done) {
        m_reading = m_log.read(m_settings.platform.claimsStream, from, std::move(done));
    };
    ports.wallNow = [] { return wallNow(); };
    m_claims = std::make_unique<claim_keeper>(std::move(ports), m_settings.limits.idempotencyWindow);
    m_claims->tick(monotonicNow());
    return *m_claims;
}

void call_gate::askForKey(running_call& call)
{
    const int64_t ageMs = wallNow().time_since_epoch().count() - call.call.keyIssuedMs;
    if (ageMs > m_settings.limits.idempotencyWindow.count()) {
        refuseWaiting(call, wire::refusal::KeyExpired);
        return;
    }
    call.key = policy::hashOfKey(call.call.account, call.call.pipeline, call.call.stage, call.call.idempotencyKey);
    call.isClaiming = true;
    const identifier attempt = call.call.attempt;
    const claim_request request { call.key, attempt, call.call.fingerprint, call.call.keyIssuedMs, call.deadline };
    // A call that the gate would refuse is worth no claim, unless its key is known already.
    const policy::queued_call waiting { attempt, call.deadline, call.call.priority, call.call.isAlone };
    const policy::admission_verdict verdict = policy::checkAdmission(call.slot->gate, waiting, monotonicNow());
    if (verdict != policy::admission_verdict::Accept && claims().known(request) == policy::claim_verdict::Unclaimed) {
        refuseWaiting(call, detail::refusalOf(verdict));
        return;
    }
    claims().claim(request, [this, attempt](claim_reply reply) { takeClaim(attempt, reply); });
}

void call_gate::takeClaim(identifier attempt, const claim_reply& reply)
{
    const auto found = m_calls.find(attempt);
    if (found == m_calls.end())
        return;
    running_call& call = *found->second;
    call.isClaiming = false;
    m_metrics.count("claims_total", { { "end", std::string(nameOf(reply.end)) } });
    switch (reply.end) {
    case claim_end::Won:
        call.hasKey = true;
        enqueue(call);
        return;
    case claim_end::Answered:
        call.startedAt = call.acceptedAt;
        finish(call, reply.isAnswerKept ? wire::call_end::Answered : wire::call_end::Unknown, reply.answer, "The key ran before; this is its answer.");
        return;
    case claim_end::HeldElsewhere:
        refuseWaiting(call, wire::refusal::RunsElsewhere);
        return;
    case claim_end::KeyReused:
        refuseWaiting(call, wire::refusal::KeyReused);
        return;
    case claim_end::NotCovered:
        refuseWaiting(call, wire::refusal::ClaimsNotReady);
        return;
    case claim_end::LogUnavailable:
        refuseWaiting(call, wire::refusal::LogUnavailable);
        return;
    case claim_end::DeadlinePassed:
        refuseWaiting(call, wire::refusal::DeadlinePassed);
        return;
    }
}

void call_gate::settleClaim(const running_call& call, const target_answer& answer)
{
    if (!call.hasKey)
        return;
    if (answer.isNotStarted || answer.end == wire::call_end::Rejected)
        claims().release(call.key, call.call.attempt);
    else if (answer.end == wire::call_end::Answered)
        claims().answer(call.key, call.call.attempt, answer.body);
    // Otherwise it may have run: the key stays held for good.
}

void call_gate::orphan(running_call& call)
{
    // It may be acting at this moment: it runs on, so that a repeat of its key can be answered.
    if (std::exchange(call.isOrphaned, true))
        return;
    wire::call_finished finished { call.call.request, call.call.attempt, wire::call_end::Unknown, call.outputCount, 0, 0, "", "The call was given up while it ran." };
    m_callbacks.send(call.session, std::move(finished));
}
}
