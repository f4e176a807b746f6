/// Which run of a target wrote an event: streams go on only behind events of the same software version.
///
/// The record of a target shows what the target was when the record was written. The target may have restarted since, with another
/// version, and no response says so. A record that is written after the connection was established, and names the same version,
/// shows which run the connection leads to; events that continue those of another run are held until then.
#include "gateway/request_run.hpp"

namespace bilberryseam::gateway {

namespace {
    constexpr std::string_view logComponent = "request";
}

policy::stream_origin request_run::claimOf(const target_attempt& attempt)
{
    const auto evidence = attempt.mayBeOtherRun ? policy::origin_evidence::Doubtful : policy::origin_evidence::Record;
    const time_point connectedAt = attempt.call->connectedAt();
    return { attempt.softwareVersion, attempt.target->hash, connectedAt == time_point() ? attempt.lastByteAt : connectedAt, attempt.incarnation, evidence };
}

bool request_run::isProven(const policy::stream_origin& claim, time_point now) const
{
    if (claim.isCertain())
        return true;
    const policy::target_run* run = m_context.targets.runOf(claim.target);
    if (run && policy::isProvenBy(claim, *run, now, wallNow()))
        return true;
    // No record will follow, and none named another version.
    return claim.evidence == policy::origin_evidence::Record && m_context.targets.hasEnded(claim.target, m_request.service, claim.beganAt + policy::recordWriteTime);
}

bool request_run::mustHold(target_attempt& attempt, time_point now) const
{
    const bool continuesOtherRun = m_request.route->isResumable && (m_origin || isContinuation());
    if (attempt.isRunKnown || !continuesOtherRun)
        return false;
    // Targets that state no version, or no start, cannot be told apart.
    attempt.isRunKnown = !attempt.target->isVersionChanged && (attempt.softwareVersion.empty() || attempt.incarnation == 0 || isProven(claimOf(attempt), now));
    return !attempt.isRunKnown;
}

void request_run::hold(target_attempt& attempt, std::string_view events, time_point now)
{
    if (attempt.heldSince == time_point()) {
        attempt.heldSince = now;
        m_context.counters.count("held_streams_total");
    }
    attempt.heldEvents.append(events);
    m_request.exchange->setBufferedBytes(attempt.heldEvents.size());
    m_context.recordsAwaitedAt = now;
    if (!attempt.isComplete && attempt.heldEvents.size() >= m_request.exchange->pendingLimit())
        attempt.setReading(false, now);
}

void request_run::passOn(target_attempt& attempt, std::string_view wholeEvents)
{
    keepOnly(attempt);
    m_lastEventId = attempt.events.lastId();
    recordOrigin(attempt);
    startRelay(attempt);
    relay(wholeEvents);
}

void request_run::checkHeld(time_point now)
{
    for (const target_attempt_ptr* place : { &m_current, &m_backup }) {
        if (!*place || (*place)->heldSince == time_point())
            continue;
        target_attempt& attempt = **place;
        const bool isOtherVersion = attempt.target->isVersionChanged;
        if (isOtherVersion || now - attempt.heldSince > detail::maxProofTime) {
            logLine(log_level::Info, logComponent, "The events of a target are dropped: it is not known to have the software version that began the stream.", { { "request", m_request.callerRequest.id }, { "target", attempt.target->listed.id }, { "version_changed", isOtherVersion ? "true" : "false" }, { "held_ms", std::to_string(asMilliseconds(now - attempt.heldSince)) } });
            m_context.counters.count("dropped_streams_total", { { "reason", isOtherVersion ? "other_version" : "version_unknown" } });
            static_cast<void>(extract(attempt));
            onAttemptFailed(isOtherVersion ? "other_version" : "version_unknown", true);
            return;
        }
        if (mustHold(attempt, now)) {
            m_context.recordsAwaitedAt = now;
            continue;
        }
        attempt.heldSince = {};
        m_request.exchange->setBufferedBytes(0);
        if (!attempt.heldEvents.empty())
            passOn(attempt, std::exchange(attempt.heldEvents, {}));
        if (attempt.isComplete) {
            const target_attempt_ptr completed = extract(attempt);
            detachFromTargets();
            completeResponse(*completed);
        }
        return;
    }
}
}
