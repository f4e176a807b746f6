/// Streams that a request continues: only the software version that began a stream may go on with it.
#include "gateway/request_run.hpp"

#include "base/hash.hpp"
#include "gateway/recovery_watch.hpp"

#include <algorithm>

namespace bilberryseam::gateway {

namespace {
    constexpr std::string_view logComponent = "request";

    /// Delay after which callers may retry if an entry that may know the beginning of the stream did not respond.
    constexpr milliseconds retryUnknownOrigin { 200 };

    /// Time between two searches for an origin that a later record may prove.
    constexpr milliseconds originRetryDelay { 250 };

    constexpr std::string_view versionGoneText = "The software version that began this stream is no longer in service. Start a new request without the fields that continue a stream.\n";
    constexpr std::string_view originUnknownText = "It is not known which software version began this stream, and several are in service. Start a new request without the fields that continue a stream.\n";

    constexpr std::string_view recoveringText = "The platform's store is back from an older copy. It is not known yet which targets have the software version that began this stream.\n";

    std::string_view nameOf(policy::continuation decision)
    {
        switch (decision) {
        case policy::continuation::Unrestricted:
            return "any_version";
        case policy::continuation::Pinned:
            return "same_version";
        case policy::continuation::VersionGone:
            return "version_gone";
        case policy::continuation::OriginUnknown:
            return "version_unknown";
        }
        return "version_unknown";
    }
}

void request_run::retryOrigin(time_point now)
{
    if (m_originRetryAt == time_point() || now < m_originRetryAt)
        return;
    m_originRetryAt = {};
    findOrigin();
}

bool request_run::isContinuation() const noexcept
{
    return isStream() && m_request.route->isResumable && (!m_lastEventId.empty() || !m_request.callerRequest.continuedRequest.empty());
}

uint64_t request_run::streamKey() const noexcept
{
    const auto& caller = m_request.callerRequest;
    // With the account, no caller can affect the streams of another one.
    return hashOf(caller.continuedRequest.empty() ? caller.id : caller.continuedRequest, hashOf(m_request.account));
}

void request_run::findOrigin()
{
    m_context.streams->find(streamKey(), m_request.service, monotonicNow(), [weak = weak_from_this()](const stream_directory::found_origin& found) {
        if (const auto self = weak.lock())
            self->runGuarded([&] { self->onOrigin(found); });
    });
}

void request_run::onOrigin(const stream_directory::found_origin& found)
{
    if (m_isFinished)
        return;
    const time_point now = monotonicNow();
    m_origin = found.origin;
    updateOrigin(now);
    const auto* origin = m_origin ? &*m_origin : nullptr;
    const auto versions = versionsInService();
    m_hasSeveralVersions = versions.size() > 1;
    const auto decision = policy::decideContinuation(origin, versions, found.mayHaveHadOtherVersions);
    // The next record of the target may prove which version began the stream.
    const bool mayBeProven = origin && origin->mayBeProven();
    if (decision == policy::continuation::OriginUnknown && awaitProof(now)) {
        m_originRetryAt = now + originRetryDelay;
        return;
    }
    m_context.counters.count("continued_streams_total", { { "decision", std::string(nameOf(decision)) } });
    logLine(log_level::Info, logComponent, "A caller continues a stream.", { { "request", m_request.callerRequest.id }, { "began_at_version", origin ? origin->softwareVersion : "" }, { "evidence", origin ? std::string(nameOf(origin->evidence)) : "" }, { "began_at_target", origin ? textOfHash(origin->target) : "" }, { "began_ms_ago", origin ? std::to_string(asMilliseconds(now - origin->beganAt)) : "" }, { "decision", std::string(nameOf(decision)) }, { "known_by", found.knownBy }, { "certain", found.isCertain ? "true" : "false" }, { "versions_in_service", std::to_string(versions.size()) }, { "searched_ms", std::to_string(asMilliseconds(now - m_arrivedAt)) } });
    if (decision == policy::continuation::VersionGone || decision == policy::continuation::OriginUnknown)
        refuseContinuation(decision, found.isCertain && !mayBeProven);
    else if (decision == policy::continuation::Pinned && waitsForRecovery(now))
        refuseUntilRecovered(now);
    else
        startStages();
}

bool request_run::waitsForRecovery(time_point now) const
{
    if (now + m_context.recovery->timeLeft(now) <= std::min(m_deadline, m_arrivedAt + detail::maxPlacementTime))
        return false;
    const auto& targets = m_context.targets.ofService(m_request.service);
    const auto isOfVersion = [this](const target_ptr& target) { return target->isInService() && target->listed.softwareVersion == m_origin->softwareVersion; };
    return std::none_of(targets.begin(), targets.end(), [&](const target_ptr& target) { return isOfVersion(target) && !target->mayBeOlderRecord; });
}

void request_run::refuseUntilRecovered(time_point now)
{
    m_request.exchange->respond(http1::statusUnavailable, { { "Content-Type", "text/plain; charset=utf-8" }, platform::retryAfterHeader(m_context.recovery->timeLeft(now)) }, recoveringText);
    finish("refused", "store_recovering", http1::statusUnavailable);
}

std::set<std::string_view> request_run::versionsInService() const
{
    std::set<std::string_view> versions;
    for (const auto& target : m_context.targets.ofService(m_request.service)) {
        if (target->isInService())
            versions.insert(target->listed.softwareVersion);
    }
    return versions;
}

void request_run::updateOrigin(time_point now)
{
    if (!m_origin || !m_origin->mayBeProven())
        return;
    if (const auto* known = m_context.streams->known(streamKey(), now); known && (known->isCertain() || known->softwareVersion.empty()))
        m_origin = *known;
    else if (isProven(*m_origin, now))
        m_origin->evidence = policy::origin_evidence::LaterRecord;
}

bool request_run::awaitProof(time_point now)
{
    const bool mayBeProven = m_origin && m_origin->mayBeProven() && !(m_originTarget && m_originTarget->isVersionChanged);
    if (!mayBeProven)
        return false;
    if (m_proofDeadline == time_point())
        m_proofDeadline = std::min(m_deadline, now + detail::maxProofTime);
    m_context.recordsAwaitedAt = now;
    m_proofAwaitedAt = now;
    return now < m_proofDeadline;
}

policy::continuation request_run::continuationNow() const
{
    if (!m_origin) {
        const bool mayHaveBegun = isContinuation() && m_context.streams->mayHaveHadOtherVersions(m_request.service, monotonicNow());
        return mayHaveBegun ? policy::decideContinuation(nullptr, versionsInService(), true) : policy::continuation::Unrestricted;
    }
    policy::stream_origin origin = *m_origin;
    if (m_originTarget && m_originTarget->isVersionChanged && origin.evidence != policy::origin_evidence::LaterRecord)
        origin.softwareVersion.clear();
    return policy::decideContinuation(&origin, versionsInService());
}

bool request_run::mayRunAt(const target_state& target) const
{
    if (!m_origin && isStream() && m_request.route->isResumable)
        return m_context.streams->mayBegin(m_request.service, target.listed.softwareVersion, m_context.lastTickAt);
    if (!m_origin || !m_origin->isCertain())
        return true;
    const time_point now = monotonicNow();
    return target.listed.softwareVersion == m_origin->softwareVersion && !target.mayHaveRestarted(now) && !target.mayBeOlderRecord && !(m_hasSeveralVersions && target.mayHaveMissedRestart(now));
}

void request_run::recordOrigin(target_attempt& attempt)
{
    if (m_origin)
        return;
    m_originTarget = attempt.target;
    attempt.isRunKnown = true;
    const time_point now = monotonicNow();
    m_hasSeveralVersions = versionsInService().size() > 1;
    // A target that is not trusted to continue a stream is not trusted to have begun one at the version in its record either.
    const bool mayBeOtherVersion = attempt.target->mayHaveRestarted(now) || attempt.target->mayHaveMissedRestart(now);
    // Also while one version is listed: an older copy of the store, or a record that is still to come, may lack the second.
    const bool isDoubtful = mayBeOtherVersion && (m_hasSeveralVersions || attempt.incarnation != 0);
    m_origin = claimOf(attempt);
    m_origin->evidence = isDoubtful ? policy::origin_evidence::Doubtful : policy::origin_evidence::Record;
    // The run is the one to which the connection was opened.
    if (m_origin->mayBeProven() && isProven(*m_origin, now))
        m_origin->evidence = policy::origin_evidence::LaterRecord;
    // The record named another version since the request was sent.
    if (attempt.target->isVersionChanged)
        m_origin->softwareVersion.clear();
    m_origin->beganAt = now;
    m_context.streams->record(streamKey(), m_request.service, *m_origin);
}

void request_run::refuseContinuation(policy::continuation decision, bool isCertain)
{
    const std::string_view reason = nameOf(decision);
    if (m_request.exchange->isStarted() || m_mayHaveRun) {
        finishWithoutResponse(reason);
        return;
    }
    http1::header_list headers { { "Content-Type", "text/plain; charset=utf-8" } };
    const bool isUnknown = decision == policy::continuation::OriginUnknown && !m_origin;
    const milliseconds conclusion = isUnknown ? m_context.streams->timeUntilConclusion(m_request.service, monotonicNow()) : milliseconds(0);
    if (!isCertain || conclusion.count() > 0)
        headers.push_back(platform::retryAfterHeader(std::max(retryUnknownOrigin, conclusion)));
    m_request.exchange->respond(http1::statusUnavailable, std::move(headers), decision == policy::continuation::VersionGone ? versionGoneText : originUnknownText);
    finish("refused", reason, http1::statusUnavailable);
}
}
