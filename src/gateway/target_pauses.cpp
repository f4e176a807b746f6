#include "gateway/target_pauses.hpp"

#include "base/hash.hpp"
#include "gateway/target_eligibility.hpp"
#include "platform/ingress.hpp"

namespace bilberryseam::gateway {

namespace {
    constexpr std::string_view logComponent = "targets";

    /// Callers of a service that takes no further request come back after this time if no target pauses.
    constexpr milliseconds retryWhenServiceIsFull { 500 };

    /// Targets that one log line names.
    constexpr size_t maxNamedTargets = 8;

    policy::service_state stateOf(const context& context, std::string_view service, time_point now)
    {
        policy::service_state state;
        for (const auto& target : context.targets.ofService(service)) {
            if (policy::isPaused(target->pause, now)) {
                ++state.pausing;
            } else if (target->isInService() && !isEvacuated(context, *target)) {
                ++state.available;
                state.unanswered += target->inFlight;
            }
        }
        return state;
    }

    void logPause(std::string_view message, const target_state& target, time_point now)
    {
        logLine(log_level::Info, logComponent, message, { { "target", target.listed.id }, { "service", target.listed.service }, { "pause_ms", std::to_string(asMilliseconds(target.pause.until - target.pause.since)) }, { "left_ms", std::to_string(asMilliseconds(target.pause.until - now)) }, { "listed", target.isRemoved ? "false" : "true" } });
    }

    std::string unavailabilityOf(const context& context, const target_state& target, const deployment::permitted_regions& regions, time_point now)
    {
        const auto reason = policy::reasonAgainst(conditionsOf(context, target, regions), now);
        if (reason == policy::ineligibility::None)
            return {};
        const auto ago = [now](time_point since) { return std::to_string(asMilliseconds(now - since)); };
        std::string times = ":";
        if (reason == policy::ineligibility::Evacuated)
            times = ago(context.evacuations.domains.find(target.listed.failureDomain)->second.since) + ":";
        if (reason == policy::ineligibility::Paused)
            times = ago(target.pause.since) + ":" + std::to_string(asMilliseconds(target.pause.until - now));
        if (reason == policy::ineligibility::Blocked)
            times = ago(target.health.changedAt) + ":" + std::to_string(asMilliseconds(target.health.blockedUntil - now));
        if (reason == policy::ineligibility::Returning)
            times = ago(target.pause.until) + ":";
        if (reason == policy::ineligibility::Cold)
            times = ":" + std::to_string(asMilliseconds(target.coldStart.until - now));
        return std::string(nameOf(reason)) + ":" + times;
    }
}

return_trial::return_trial(target_ptr target)
    : m_target(std::move(target))
    , m_pausedSince(m_target->pause.since)
    , m_isOpen(policy::beginTrial(m_target->pause))
{
}

return_trial::~return_trial()
{
    end(policy::trial_outcome::Unknown);
}

void return_trial::onResponse(const http1::response_head& head)
{
    end(head.status == http1::statusUnavailable ? policy::trial_outcome::Refused : policy::trial_outcome::Served);
}

void return_trial::end(policy::trial_outcome outcome)
{
    if (std::exchange(m_isOpen, false))
        policy::endTrial(m_target->pause, m_pausedSince, outcome, monotonicNow());
}

void applyPause(context& context, const target_ptr& target, const http1::response_head& head, time_point now)
{
    const auto stated = platform::decodePause(head);
    if (!stated.problem.empty() && head.status == http1::statusUnavailable)
        logLine(log_level::Warning, logComponent, "The pause that a target asks for is not kept as stated.", { { "target", target->listed.id }, { "value", stated.text }, { "reason", std::string(stated.problem) }, { "pause_ms", std::to_string(stated.length.value_or(milliseconds(0)).count()) } });
    if (!stated.length || stated.length->count() == 0)
        return;
    const double position = static_cast<double>(hashOf(context.settings.name, target->hash) % 1000) / 1000;
    const auto length = *stated.length + policy::returnDelay(context.entryCount, position);
    context.counters.count("target_pauses_total");
    const auto change = policy::applyPause(target->pause, length, now);
    if (change == policy::pause_change::None)
        return;
    if (change == policy::pause_change::Lengthened) {
        logPause("The pause of a target was lengthened.", *target, now);
        return;
    }
    context.pausedTargets.push_back(target);
    policy::service_limit& limit = context.serviceLimits[target->listed.service];
    policy::recordRefusal(limit, stateOf(context, target->listed.service, now), now);
    if (limit.refusedAt == now)
        logLine(log_level::Info, logComponent, "A service turns requests away; the requests that are sent to it are limited for some seconds.", { { "service", target->listed.service }, { "max_per_target", std::to_string(limit.maxPerTarget) } });
    logPause("A target asks for a pause; it gets no requests meanwhile.", *target, now);
}

void recordServed(context& context, std::string_view service, time_point now)
{
    const auto limit = context.serviceLimits.find(service);
    if (limit == context.serviceLimits.end())
        return;
    if (now - limit->second.refusedAt > policy::serviceLimitLifetime)
        context.serviceLimits.erase(limit);
    else
        policy::recordServed(limit->second, stateOf(context, service, now).available);
}

std::optional<milliseconds> waitForService(const context& context, std::string_view service, time_point now)
{
    const auto limit = context.serviceLimits.find(service);
    if (limit == context.serviceLimits.end() || !policy::isFull(limit->second, stateOf(context, service, now), now))
        return std::nullopt;
    std::optional<time_point> end;
    for (const auto& target : context.targets.ofService(service)) {
        if (policy::isPaused(target->pause, now))
            end = std::min(end.value_or(target->pause.until), target->pause.until);
    }
    return end ? std::chrono::ceil<milliseconds>(*end - now) : retryWhenServiceIsFull;
}

void endPauses(context& context, time_point now)
{
    std::erase_if(context.pausedTargets, [now](const target_ptr& target) {
        if (policy::isPaused(target->pause, now))
            return false;
        logPause("The pause of a target ended.", *target, now);
        return true;
    });
}

void logRecordChange(const target_state& target, std::string_view change, time_point now)
{
    logLine(log_level::Info, logComponent, "The record of a target in the target list changed.", { { "target", target.listed.id }, { "change", std::string(change) }, { "service", target.listed.service }, { "address", target.listed.endpoint.toString() }, { "failure_domain", target.listed.failureDomain }, { "software_version", target.listed.softwareVersion }, { "started_at_ms", std::to_string(target.listed.startedAtMs) }, { "pause_left_ms", std::to_string(std::max<int64_t>(0, asMilliseconds(target.pause.until - now))) }, { "says_it_leaves", target.isLeaving ? "true" : "false" } });
}

std::string textOfUnavailable(const context& context, std::span<const target_ptr> targets, const deployment::permitted_regions& regions, time_point now)
{
    std::string text;
    size_t count = 0;
    for (const auto& target : targets) {
        const std::string reason = unavailabilityOf(context, *target, regions, now);
        if (!reason.empty() && ++count <= maxNamedTargets)
            text.append(text.empty() ? "" : ",").append(target->listed.id).append(":").append(reason);
    }
    if (count > maxNamedTargets)
        text.append(",and ").append(std::to_string(count - maxNamedTargets));
    return text;
}
}
