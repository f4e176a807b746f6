/// Regions that the route and the account of a request permit, and evacuated failure domains.
#include "gateway/request_run.hpp"

#include "gateway/target_eligibility.hpp"
#include "gateway/target_pauses.hpp"

namespace bilberryseam::gateway {

namespace {
    constexpr std::string_view logComponent = "request";

    /// Delay after which callers may retry if regions or evacuations leave no target; the operator has to change something.
    constexpr milliseconds retryUnplaceable { 1000 };
}

const deployment::permitted_regions& request_run::regionsNow() const
{
    if (m_regionsConfiguration != m_context.configuration) {
        m_regionsConfiguration = m_context.configuration;
        const bool isNewest = m_context.configuration == m_request.configuration;
        m_regionsNow = isNewest ? m_request.permittedRegions : gateway::regionsNow(m_context, m_request.permittedRegions, m_request.route->name, m_request.account);
    }
    return m_regionsNow;
}

bool request_run::isSuitable(const target_state& target) const
{
    const auto& regions = regionsNow();
    return !isEvacuated(m_context, target) && (!regions.isRestricted() || regions.permits(regionOf(m_context, target.listed.failureDomain)));
}

std::optional<request_run::placement_refusal> request_run::findPlacementRefusal(time_point now, std::optional<size_t> failedStage) const
{
    // After a freeze, what is known may be outdated; the request waits until it was read again.
    if (isTargetListUncertain(m_context, now))
        return std::nullopt;
    const auto& regions = regionsNow();
    std::string_view service = m_request.service;
    const auto isOfVersion = [this](const target_state& target) { return !m_origin || m_origin->softwareVersion.empty() || target.listed.softwareVersion == m_origin->softwareVersion; };
    auto obstacle = placementObstacle(m_context, service, regions, isOfVersion);
    const auto& stages = m_request.route->stages;
    for (size_t i = 0; i < stages.size() && !obstacle; ++i) {
        const bool isStarted = !m_areInputsReleased && i < m_stages.size() && m_stages[i].isStarted && failedStage != i;
        if (taskCountOf(i) == 0 || isStarted)
            continue;
        service = stages[i].service;
        obstacle = placementObstacle(m_context, service, regions);
    }
    if (!obstacle)
        return std::nullopt;
    return placement_refusal { *obstacle, service, retryUnplaceable + spreadOver(retryUnplaceable) };
}

bool request_run::refuseUnplaceable(time_point now, std::optional<size_t> failedStage)
{
    const auto refusal = findPlacementRefusal(now, failedStage);
    if (!refusal)
        return false;
    const auto& [reason, service, retryAfter] = *refusal;
    const auto& regions = regionsNow();
    m_context.counters.count("unplaceable_requests_total", { { "reason", std::string(reason) }, { "service", std::string(service) } });
    logLine(log_level::Info, logComponent, "Permitted regions or evacuations leave no target for the request.", { { "request", m_request.callerRequest.id }, { "service", std::string(service) }, { "reason", std::string(reason) }, { "permitted_regions", textOf(regions) }, { "evacuated", textOfEvacuations(m_context, now) }, { "version", std::to_string(m_request.configuration->version) }, { "newest_version", std::to_string(m_context.configuration->version) }, { "checked_ms_ago", std::to_string(asMilliseconds(now - m_context.configurationCheckedAt)) }, { "unavailable", textOfUnavailable(m_context, m_context.targets.ofService(service), regions, now) } });
    if (m_request.exchange->isStarted() || m_mayHaveRun)
        finishWithoutResponse(reason);
    else
        refuse(reason, retryAfter);
    return true;
}

void request_run::checkPlacementRules(time_point now)
{
    if (m_checkedRules == m_context.placementRules || m_current || isTargetListUncertain(m_context, now))
        return;
    m_checkedRules = m_context.placementRules;
    refuseUnplaceable(now);
}
}
