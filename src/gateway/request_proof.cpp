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
    if (claim.evidence != policy::origin_evidence::Record)
        return false;
    // A run of another version in between, of which there is no record, is likely only where several versions serve.
    const bool isSuccessor = run && run->softwareVersion == claim.softwareVersion && run->writtenAfter >= claim.beganAt + policy::recordWriteTime;
    if (isSuccessor && !m_context.streams->mayHaveHadOtherVersions(m_request.service, now))
        return true;
    // Another run would have written a record by now if it had lasted.
    return m_context.targets.isUncontradicted(claim.target, claim.run, m_request.service, claim.beganAt + policy::longestRecordPause);
}

bool request_run::mustHold(target_attempt& attempt, time_point now) const
{
    const bool continuesOtherRun = m_request.route->isResumable && (m_origin || isContinuation());
    if (attempt.isRunKnown || !continuesOtherRun)
        return false;
    // Targets that state no version, or no start, cannot be told apart.
    const bool isUnprovable = attempt.softwareVersion.empty() || attempt.incarnation == 0;
    // If nobody knows which run began the stream, its version is listed by now.
    const bool areVersionsListed = m_origin || m_context.targets.freshAsOf() >= m_arrivedAt + policy::longestRecordPause;
    attempt.isRunKnown = !attempt.target->isVersionChanged && (isUnprovable || (areVersionsListed && isProven(claimOf(attempt), now)));
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

void request_run::passOnHeld(target_attempt& attempt)
{
    if (std::exchange(attempt.heldSince, {}) != time_point())
        m_request.exchange->setBufferedBytes(0);
    const std::string events = std::exchange(attempt.heldEvents, {});
    if (events.empty())
        return;
    keepOnly(attempt);
    if (m_request.callerRequest.generation && !m_areInputsReleased)
        cancelAndReleaseStages();
    m_lastEventId = attempt.events.lastId();
    recordOrigin(attempt);
    startRelay(attempt);
    relay(events);
}

std::optional<std::string_view> request_run::dropReason(const target_attempt& attempt, time_point now) const
{
    if (attempt.target->isVersionChanged || (!m_origin && continuationNow() == policy::continuation::OriginUnknown))
        return "other_version";
    if (now - attempt.heldSince > detail::maxProofTime)
        return "version_unknown";
    return std::nullopt;
}

void request_run::checkHeld(time_point now)
{
    for (const target_attempt_ptr* place : { &m_current, &m_backup }) {
        if (!*place || (*place)->heldSince == time_point())
            continue;
        target_attempt& attempt = **place;
        if (const auto reason = dropReason(attempt, now)) {
            logLine(log_level::Info, logComponent, "The events of a target are dropped: it is not known to have the software version that began the stream.", { { "request", m_request.callerRequest.id }, { "target", attempt.target->listed.id }, { "reason", std::string(*reason) }, { "held_ms", std::to_string(asMilliseconds(now - attempt.heldSince)) } });
            m_context.counters.count("dropped_streams_total", { { "reason", std::string(*reason) } });
            static_cast<void>(extract(attempt));
            onAttemptFailed(*reason, true);
            return;
        }
        if (mustHold(attempt, now)) {
            m_context.recordsAwaitedAt = now;
            continue;
        }
        passOnHeld(attempt);
        if (attempt.isComplete) {
            const target_attempt_ptr completed = extract(attempt);
            detachFromTargets();
            completeResponse(*completed);
        }
        return;
    }
}
}
