/// Calls of services that are not retryable: idempotency keys, claims and stored responses.
#include "side/detail/call_dispatcher_state.hpp"

namespace bilberryseam::side {

namespace {

    std::string_view nameOf(claim_outcome outcome)
    {
        switch (outcome) {
        case claim_outcome::Won:
            return "won";
        case claim_outcome::Completed:
            return "answered";
        case claim_outcome::HeldElsewhere:
            return "held_elsewhere";
        case claim_outcome::KeyReused:
            return "key_reused";
        case claim_outcome::NotCovered:
            return "not_covered";
        case claim_outcome::LogUnavailable:
            return "log_unavailable";
        case claim_outcome::DeadlinePassed:
            return "deadline_passed";
        }
        return "unknown";
    }
}

claim_client& call_dispatcher::claimClient()
{
    if (m_claimClient)
        return *m_claimClient;
    // Destroying a handle discards the response. The claim client runs one append and one read at a time, so a handle is
    // replaced only after its exchange has finished.
    claim_client_dependencies dependencies;
    dependencies.append = [this](std::string record, platform::log_client::on_append done) {
        const std::vector<std::string> records { std::move(record) };
        m_appendHandle = m_log.append(m_settings.platform.claimsStream, records, std::move(done));
    };
    dependencies.read = [this](uint64_t from, platform::log_client::on_read done) {
        m_readHandle = m_log.read(m_settings.platform.claimsStream, from, std::move(done));
    };
    dependencies.wallNow = [] { return wallNow(); };
    m_claimClient = std::make_unique<claim_client>(std::move(dependencies), m_settings.limits.idempotencyWindow);
    m_claimClient->tick(monotonicNow());
    return *m_claimClient;
}

void call_dispatcher::claimKey(active_call& call)
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
    // If the queue would refuse the call, no claim is written, unless the key's state is already known.
    const policy::queued_call queuedCall { attempt, call.deadline, call.call.priority, call.call.isIsolated };
    const policy::admission_verdict verdict = policy::checkAdmission(call.runtime->callQueue, queuedCall, monotonicNow());
    if (verdict != policy::admission_verdict::Accept && claimClient().localVerdict(request) == policy::claim_verdict::Unclaimed) {
        refuseWaiting(call, detail::refusalOf(verdict));
        return;
    }
    claimClient().claim(request, [this, attempt](claim_result result) { handleClaimResult(attempt, result); });
}

void call_dispatcher::handleClaimResult(identifier attempt, const claim_result& result)
{
    const auto position = m_calls.find(attempt);
    if (position == m_calls.end())
        return;
    active_call& call = *position->second;
    call.isClaiming = false;
    m_metrics.count("claims_total", { { "end", std::string(nameOf(result.outcome)) } });
    switch (result.outcome) {
    case claim_outcome::Won:
        call.hasKey = true;
        enqueue(call);
        return;
    case claim_outcome::Completed:
        call.startedAt = call.acceptedAt;
        finish(call, result.isResponseStored ? wire::call_end::Answered : wire::call_end::Unknown, result.response, "The key ran before; this is its answer.");
        return;
    case claim_outcome::HeldElsewhere:
        refuseWaiting(call, wire::refusal::RunsElsewhere);
        return;
    case claim_outcome::KeyReused:
        refuseWaiting(call, wire::refusal::KeyReused);
        return;
    case claim_outcome::NotCovered:
        refuseWaiting(call, wire::refusal::ClaimsNotReady);
        return;
    case claim_outcome::LogUnavailable:
        refuseWaiting(call, wire::refusal::LogUnavailable);
        return;
    case claim_outcome::DeadlinePassed:
        refuseWaiting(call, wire::refusal::DeadlinePassed);
        return;
    }
}

void call_dispatcher::updateClaim(const active_call& call, const call_result& result)
{
    if (!call.hasKey)
        return;
    if (result.isNotStarted || result.end == wire::call_end::Rejected)
        claimClient().release(call.key, call.call.attempt);
    else if (result.end == wire::call_end::Answered)
        claimClient().storeResponse(call.key, call.call.attempt, result.body);
    // Otherwise the call may have run, so the claim is never released.
}

void call_dispatcher::orphan(active_call& call)
{
    // The target may be executing the call, so it runs to its end; a duplicate request can then get its response.
    if (std::exchange(call.isOrphaned, true))
        return;
    wire::call_finished message { call.call.request, call.call.attempt, wire::call_end::Unknown, call.outputCount, 0, 0, "", "The call was given up while it ran." };
    m_callbacks.send(call.session, std::move(message));
}
}
