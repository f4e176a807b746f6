#include "gateway/context.hpp"

#include "gateway/target_pauses.hpp"
#include "platform/ingress.hpp"

#include <algorithm>
#include <utility>

namespace bilberryseam::gateway {

namespace {
    /// Share of the slack that may be spent at once; the rest is refilled over one retry window.
    constexpr double burstShare = 0.6;

    /// Share of the allowed retry ratio that is used, as a margin for retries by other entries and by the network.
    constexpr double ratioShare = 0.8;
    constexpr double percent = 100;

    constexpr std::string_view limitComponent = "limits";
    /// Bytes of a malformed limit that are logged.
    constexpr size_t maxLoggedBytes = 40;

    /// Entries that may call the targets of a pool at the same time: its owner, and others while ownership moves.
    constexpr double poolOwners = 3;

    constexpr std::string_view coldComponent = "cold";

    double coldRateOf(const context& context, const target_state& target)
    {
        return context.configuration ? deployment::coldRateOf(*context.configuration, target.listed.service) : 0;
    }

    void applyColdShare(context& context, target_state& target, const policy::cold_share& share, time_point now)
    {
        const auto change = policy::updateCold(target.coldStart, share, now);
        if (change == policy::cold_change::None)
            return;
        const bool isCold = change == policy::cold_change::TurnedCold;
        const auto respondedAt = target.coldStart.respondedAt;
        context.counters.count("cold_targets_total", { { "change", isCold ? "cold" : "warm" } });
        logLine(log_level::Info, coldComponent, isCold ? "A target is cold; its requests are limited." : "A target is warm; its rate rises for some seconds.", { { "target", target.listed.id }, { "service", target.listed.service }, { "left_ms", std::to_string(std::max<int64_t>(0, asMilliseconds(target.coldStart.until - now))) }, { "per_second", std::to_string(share.perSecond) }, { "share", std::to_string(share.share) }, { "listed_ms_ago", std::to_string(asMilliseconds(now - target.listedAt)) }, { "responded_ms_ago", respondedAt ? std::to_string(asMilliseconds(now - *respondedAt)) : "" } });
    }

    retry_budget& budgetOf(context& context, std::string_view service, time_point now)
    {
        const auto& bounds = context.settings.bounds;
        const bool isPool = context.configuration && deployment::poolOf(*context.configuration, service);
        const double share = bounds.retrySlack / (isPool ? poolOwners : context.entryCount);
        auto position = context.retryBudgets.find(service);
        if (position == context.retryBudgets.end()) {
            const retry_budget initial { policy::budgetOf(share * burstShare), now };
            position = context.retryBudgets.emplace(std::string(service), initial).first;
        }
        retry_budget& budget = position->second;
        const double elapsedWindows = asSeconds(now - budget.refilledAt) / asSeconds(bounds.retryWindow);
        policy::earn(budget.units, elapsedWindows * share * (1 - burstShare) * percent);
        budget.refilledAt = now;
        return budget;
    }

    void applyLimit(context& context, const target_ptr& limitedTarget, const http1::response_head& head, time_point sentAt)
    {
        target_state& target = *limitedTarget;
        const auto stated = platform::decodeLimit(head);
        if (stated.text && !stated.perSecond) {
            context.counters.count("malformed_limits_total");
            logLine(log_level::Warning, limitComponent, "The limit that a target states is no positive number and is ignored.", { { "target", target.listed.id }, { "value", std::string(stated.text->substr(0, maxLoggedBytes)) } });
            return;
        }
        const bool wasLimited = target.limit.perSecond.has_value();
        if (!policy::applyStatedLimit(target.limit, stated.perSecond, sentAt, monotonicNow()))
            return;
        if (!wasLimited)
            context.limitedTargets.push_back(limitedTarget);
        context.counters.count("target_limits_total", { { "change", stated.perSecond ? "stated" : "lifted" } });
        logLine(log_level::Info, limitComponent, stated.perSecond ? "A target states how many requests a second it takes." : "A target no longer states a limit; its rate rises for some seconds.", { { "target", target.listed.id }, { "per_second", std::to_string(*target.limit.perSecond) }, { "share", std::to_string(target.limit.share) } });
    }

    void logColdProblem(context& context, target_state& target, std::string_view text)
    {
        context.counters.count("malformed_cold_times_total");
        if (!std::exchange(target.isColdProblemLogged, true))
            logLine(log_level::Warning, coldComponent, "The cold time that a target states is not taken as stated.", { { "target", target.listed.id }, { "value", std::string(text) } });
    }

    void applyCold(context& context, const target_ptr& target, const http1::response_head& head, time_point sentAt)
    {
        const auto stated = platform::decodeCold(head);
        if (stated.text && (!stated.left || stated.isTooLong))
            logColdProblem(context, *target, *stated.text);
        if (!stated.left)
            return;
        const time_point now = monotonicNow();
        policy::applyColdResponse(target->coldStart, *stated.left, sentAt, now);
        if (policy::isActive(target->coldStart, now) && std::find(context.coldTargets.begin(), context.coldTargets.end(), target) == context.coldTargets.end())
            context.coldTargets.push_back(target);
        // No further request is sent before the share is known; a share is set with the next tick.
        if (const double rate = coldRateOf(context, *target); rate > 0 && now < target->coldStart.until && !target->isColdNow())
            applyColdShare(context, *target, { rate, 0, now }, now);
    }

    /// The statement orders targets with the setting `loadSharing` only.
    void applyLoad(context& context, target_state& target, const http1::response_head& head)
    {
        if (!context.loads)
            return;
        const auto stated = platform::decodeLoad(head);
        if (!stated.text)
            return;
        context.counters.count("stated_loads_total", { { "valid", stated.isValid ? "true" : "false" } });
        if (stated.isValid)
            target.statedLoad = { stated.running, stated.waiting, stated.slots, stated.workPercent, monotonicNow() };
        else if (!std::exchange(target.isLoadProblemLogged, true))
            logLine(log_level::Warning, "load", "The load that a target states cannot be read and is ignored; further ones of it are only counted.", { { "target", target.listed.id }, { "value", *stated.text } });
    }

    void applyLeaving(context& context, target_state& target, const http1::response_head& head)
    {
        if (!platform::isLeaving(head) || std::exchange(target.isLeaving, true))
            return;
        context.counters.count("leaving_responses_total");
        logLine(log_level::Info, "targets", "A target said in a response that it leaves; it gets no new requests.", { { "target", target.listed.id }, { "service", target.listed.service }, { "status", std::to_string(head.status) } });
    }
}

void recordLoopDelay(context& context, milliseconds period, time_point now)
{
    if (const auto delay = policy::recordRun(context.loopDelays, period, now); delay.count() > 0)
        context.counters.observeSeconds("loop_delay_seconds", {}, asSeconds(delay));
    if (const auto report = policy::takeReport(context.loopDelays, now))
        logLine(log_level::Warning, "gateway", "The main loop ran late; its timers expired before its sockets were read.", { { "times", std::to_string(report->count) }, { "longest_ms", std::to_string(asMilliseconds(report->longest)) } });
}

bool isTargetListUncertain(const context& context, time_point now) noexcept
{
    return now < std::max(context.targetsUncertainUntil, context.evacuationsUncertainUntil) || now - context.lastTickAt > freezeTime;
}

std::shared_ptr<http1::client_call> sendToTarget(context& context, const target_ptr& target, const http1::outgoing_request& request, const http1::call_options& options, http1::client_call::callbacks callbacks)
{
    const time_point sentAt = monotonicNow();
    policy::recordSend(target->limit, sentAt);
    policy::recordSend(target->coldStart, sentAt);
    const auto trial = std::make_shared<return_trial>(target);
    callbacks.onHead = [&context, target, sentAt, trial, onHead = std::move(callbacks.onHead)](const http1::response_head& head) {
        applyLimit(context, target, head, sentAt);
        applyCold(context, target, head, sentAt);
        applyLoad(context, *target, head);
        applyLeaving(context, *target, head);
        trial->onResponse(head);
        applyPause(context, target, head, monotonicNow());
        if (head.status != http1::statusUnavailable)
            recordServed(context, target->listed.service, monotonicNow());
        if (onHead)
            onHead(head);
    };
    callbacks.onEnd = [target, onEnd = std::move(callbacks.onEnd)](http1::call_outcome outcome) {
        const bool isBroken = outcome == http1::call_outcome::NotSent || outcome == http1::call_outcome::NoResponse || outcome == http1::call_outcome::Truncated;
        if (isBroken)
            target->lastBrokenAt = monotonicNow();
        if (onEnd)
            onEnd(outcome);
    };
    return context.client.send(target->listed.endpoint, request, options, std::move(callbacks));
}

void updateLimits(context& context, const std::function<double(const target_state&)>& shareOf, time_point now)
{
    for (const auto& target : context.limitedTargets) {
        policy::setShare(target->limit, shareOf(*target), now);
        policy::removeLifted(target->limit, now);
    }
    std::erase_if(context.limitedTargets, [](const auto& target) { return target->isForgotten || !target->limit.perSecond; });
}

void updateColdTargets(context& context, const std::function<policy::cold_membership(const target_state&)>& membershipOf, time_point now)
{
    for (const auto& target : context.targets.takeColdTargets()) {
        if (target->listed.cold.isMalformed)
            logColdProblem(context, *target, "in_its_record");
        if (std::find(context.coldTargets.begin(), context.coldTargets.end(), target) == context.coldTargets.end())
            context.coldTargets.push_back(target);
    }
    const policy::cold_bounds bounds { context.settings.bounds.coldOverage, context.settings.bounds.coldSlack };
    for (const auto& target : context.coldTargets) {
        const double rate = coldRateOf(context, *target);
        const bool isLimited = rate > 0 && now < target->coldStart.until;
        applyColdShare(context, *target, isLimited ? policy::coldShareOf(rate, bounds, membershipOf(*target), now) : policy::cold_share(), now);
    }
    std::erase_if(context.coldTargets, [now](const auto& target) { return target->isForgotten || !policy::isActive(target->coldStart, now); });
}

void earnRetries(context& context, std::string_view service, time_point now)
{
    policy::earn(budgetOf(context, service, now).units, context.settings.bounds.retryRatio * ratioShare * percent);
}

bool trySpendRetry(context& context, std::string_view service, time_point now)
{
    return policy::trySpend(budgetOf(context, service, now).units);
}
}
