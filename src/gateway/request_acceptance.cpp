/// Which requests the gateway accepts, and why it refuses the others.
#include "base/hash.hpp"
#include "gateway/gateway.hpp"
#include "policy/stop_schedule.hpp"

#include <algorithm>
#include <numeric>

namespace bilberryseam::gateway {

namespace {
    constexpr std::string_view logComponent = "gateway";

    /// All keys are refused this long before a missed removal of a key would have to be in force.
    constexpr milliseconds revocationMargin { 400 };

    /// If the store has been unreachable for this share of the time within which a configuration must be in force, an unknown
    /// route or key may be new.
    constexpr double possiblyNewShare = 0.6;

    /// Memory of a task in the queue of a pool, with its result handle and its part of a batch call.
    constexpr size_t bytesPerTask = 512;

    constexpr milliseconds retryWhenNotReady { 500 };
    constexpr milliseconds retryElsewhere { 50 };

    uint64_t fingerprintOf(std::string_view target, std::string_view body, std::string_view key)
    {
        return hashOf(body, hashOf(target, hashOf(key)));
    }

    bool isWithinRevocation(const context& context, time_point readAt, time_point now) noexcept
    {
        return now - readAt < context.settings.bounds.revocation - revocationMargin;
    }
}

bool gateway::areKeysFresh(time_point now) const
{
    return isWithinRevocation(m_context, m_context.configurationCheckedAt, now);
}

bool gateway::isConfigurationFresh(time_point now) const
{
    // Only keys need a proof that nothing was taken away; other requests are served beside an older copy, too.
    if (!m_context.configuration || m_context.configuration->hasAccounts)
        return areKeysFresh(now);
    return isWithinRevocation(m_context, m_configurationReadAt, now);
}

bool gateway::holdTasks(const accepted_request& request) const
{
    const auto& counts = request.callerRequest.taskCounts;
    const size_t tasks = std::accumulate(counts.begin(), counts.end(), size_t(0));
    return tasks == 0 || request.exchange->holdBody(serverLimits().bodyCopies * request.exchange->body().size() + tasks * bytesPerTask);
}

bool gateway::accept(accepted_request& request, time_point now)
{
    http1::exchange& exchange = *request.exchange;
    const std::string& id = request.callerRequest.id;
    if (m_isStopping)
        exchange.closeAfterResponse();
    auto refusal = refusalOf(request, exchange.head().target, now);
    if (!refusal && !holdTasks(request))
        refusal = acceptance_refusal { http1::statusUnavailable, "memory", detail::retryWhenFull, {} };
    if (!refusal)
        return true;
    if (refusal->segment) {
        request.isTrial = m_crashes->tryStartTrial(request.segments, now);
        logLine(log_level::Info, logComponent, request.isTrial ? "The request runs as the trial of a refused prompt segment." : "The request contains a prompt segment on which targets crashed.", { { "request", id }, { "segment", textOfHash(*refusal->segment) } });
        if (request.isTrial)
            return true;
    }
    refuse(exchange, id, refusal->status, refusal->reason, refusal->retryAfter);
    return false;
}

std::optional<acceptance_refusal> gateway::refusalOf(accepted_request& request, std::string_view target, time_point now) const
{
    if (m_isStopping && now - m_stopRequestedAt > policy::stopScheduleFor(m_context.settings.bounds.stop).accepting)
        return acceptance_refusal { http1::statusUnavailable, "stopping", retryElsewhere, {} };
    if (!request.configuration)
        return acceptance_refusal { http1::statusUnavailable, "no_configuration", retryWhenNotReady, {} };
    if (!m_isConfigurationConfirmed)
        return acceptance_refusal { http1::statusUnavailable, "configuration_unconfirmed", retryWhenNotReady, {} };
    if (auto refusal = findRoute(request, target, now))
        return refusal;
    if (auto refusal = identifyAccount(request, now))
        return refusal;
    return refusalByCrashes(request, target, now);
}

std::optional<acceptance_refusal> gateway::refusalByCrashes(accepted_request& request, std::string_view target, time_point now) const
{
    request.fingerprint = fingerprintOf(target, request.exchange->body(), request.callerRequest.apiKey);
    if (request.callerRequest.generation)
        request.segments = deployment::sharedSegmentHashes(*request.callerRequest.generation);
    if (policy::executionModeOf(m_context.suspicions, request.fingerprint, now) == policy::execution_mode::Refused)
        return acceptance_refusal { http1::statusUnavailable, "crashes_targets", {}, {} };
    if (const auto segment = m_crashes->refusedSegment(request.segments, now))
        return acceptance_refusal { http1::statusUnavailable, "crashes_targets", m_crashes->retryAfter(*segment, now), segment };
    return std::nullopt;
}

acceptance_refusal gateway::refusalOfUnknown(unsigned status, std::string_view reason, time_point now) const
{
    const auto age = asSeconds(now - m_context.configurationCheckedAt);
    const bool mayBeNew = age > asSeconds(m_context.settings.bounds.configuration) * possiblyNewShare;
    if (mayBeNew)
        return { http1::statusUnavailable, "configuration_old", retryElsewhere, {} };
    return { status, reason, {}, {} };
}

std::optional<acceptance_refusal> gateway::findRoute(accepted_request& request, std::string_view target, time_point now) const
{
    request.route = deployment::matchRoute(*request.configuration, request.callerRequest.host, http1::pathOf(target));
    if (!request.route)
        return refusalOfUnknown(http1::statusNotFound, "no_route", now);
    request.rank = request.route->priority;
    request.permittedRegions = request.route->allowedRegions;
    return std::nullopt;
}

std::optional<acceptance_refusal> gateway::identifyAccount(accepted_request& request, time_point now) const
{
    const deployment::configuration& configuration = *request.configuration;
    if (!configuration.hasAccounts || request.route->isPublic)
        return std::nullopt;
    if (!areKeysFresh(now))
        return acceptance_refusal { http1::statusUnavailable, "keys_old", std::max(retryElsewhere, m_context.recovery->timeLeft(now)), {} };
    const auto position = configuration.accountsByApiKey.find(request.callerRequest.apiKey);
    if (position == configuration.accountsByApiKey.end())
        return refusalOfUnknown(http1::statusUnauthorized, "unknown_key", now);
    request.account = position->second.name;
    request.permittedRegions = deployment::intersectionOf(request.permittedRegions, position->second.allowedRegions);
    request.rank = position->second.priority.value_or(request.rank);
    return std::nullopt;
}

std::string gateway::serviceOf(const accepted_request& request)
{
    // A stream goes on at the service that began it, as long as the split of the route stays.
    const std::string& continued = request.callerRequest.continuedRequest;
    return std::string(deployment::pickService(*request.route, hashOf(continued.empty() ? request.callerRequest.id : continued)));
}
}
