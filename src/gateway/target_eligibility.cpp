#include "gateway/target_eligibility.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace bilberryseam::gateway {

namespace {
    constexpr std::string_view logComponent = "eligibility";

    /// Names in one log line, and bytes of a name from outside.
    constexpr size_t maxNamedItems = 16;
    constexpr size_t maxLoggedBytes = 40;

    template <typename Items, typename TextOf>
    std::string joinedTexts(const Items& items, const TextOf& textOfItem)
    {
        std::string text;
        size_t count = 0;
        for (const auto& item : items) {
            if (++count <= maxNamedItems)
                text.append(text.empty() ? "" : ",").append(textOfItem(item));
        }
        if (count > maxNamedItems)
            text.append(",and ").append(std::to_string(count - maxNamedItems));
        return text;
    }

    void recordChange(context& context, std::string_view domain, policy::evacuation_change change, time_point now)
    {
        if (change == policy::evacuation_change::None)
            return;
        ++context.placementRules;
        const bool isRejected = change == policy::evacuation_change::Rejected;
        context.counters.count("evacuations_total", { { "change", std::string(nameOf(change)) } });
        context.counters.set("evacuated_domains", {}, static_cast<double>(context.evacuations.domains.size()));
        logLine(isRejected ? log_level::Warning : log_level::Info, logComponent, isRejected ? "There are too many evacuated failure domains; one is ignored." : "The evacuation of a failure domain changed.", { { "failure_domain", std::string(domain.substr(0, maxLoggedBytes)) }, { "change", std::string(nameOf(change)) }, { "region", std::string(regionOf(context, domain)) }, { "evacuated", textOfEvacuations(context, now) }, { "checked_ms_ago", std::to_string(asMilliseconds(now - context.configurationCheckedAt)) } });
    }

    bool isKnownRegion(const context& context, std::string_view name)
    {
        const auto& regions = context.settings.regions;
        return name == context.settings.region || std::any_of(regions.begin(), regions.end(), [name](const auto& item) { return item.second == name; });
    }

    bool isObject(const std::string& text)
    {
        return nlohmann::json::parse(text, nullptr, false).is_object();
    }

    /// @return False if the key names no failure domain.
    bool checkRecord(std::string_view domain, const std::optional<std::string>& value)
    {
        if (domain.empty())
            logLine(log_level::Warning, logComponent, "An evacuation names no failure domain and is ignored.");
        else if (value && !isObject(*value))
            logLine(log_level::Warning, logComponent, "The value of an evacuation is no object; the failure domain is evacuated nevertheless.", { { "failure_domain", std::string(domain.substr(0, maxLoggedBytes)) }, { "value", value->substr(0, maxLoggedBytes) } });
        return !domain.empty();
    }
}

std::string_view regionOf(const context& context, std::string_view failureDomain) noexcept
{
    const auto region = context.settings.regions.find(failureDomain);
    if (region != context.settings.regions.end())
        return region->second;
    return failureDomain == context.settings.failureDomain ? std::string_view(context.settings.region) : std::string_view();
}

bool isEvacuated(const context& context, const target_state& target) noexcept
{
    return policy::isEvacuated(context.evacuations, target.listed.failureDomain);
}

policy::target_conditions conditionsOf(const context& context, const target_state& target, const deployment::permitted_regions& regions) noexcept
{
    policy::target_conditions conditions;
    conditions.isInPermittedRegion = !regions.isRestricted() || regions.permits(regionOf(context, target.listed.failureDomain));
    conditions.isEvacuated = isEvacuated(context, target);
    conditions.isReplaced = target.isReplaced;
    conditions.isLeaving = target.isRemoved || target.isLeaving || target.listed.isDraining;
    conditions.pause = &target.pause;
    conditions.health = &target.health;
    conditions.limit = &target.limit;
    conditions.coldStart = &target.coldStart;
    return conditions;
}

bool isAvailable(const context& context, const target_state& target, const deployment::permitted_regions& regions, time_point now) noexcept
{
    const auto reason = policy::reasonAgainst(conditionsOf(context, target, regions), now);
    return reason == policy::ineligibility::None || reason == policy::ineligibility::Limited || reason == policy::ineligibility::Cold || reason == policy::ineligibility::Memory;
}

deployment::permitted_regions regionsNow(const context& context, const deployment::permitted_regions& accepted, std::string_view route, std::string_view account)
{
    return context.configuration ? deployment::intersectionOf(accepted, deployment::regionsOf(*context.configuration, route, account)) : accepted;
}

const deployment::permitted_regions& regionsNow(const context& context, stage_job& job)
{
    if (job.regionsConfiguration != context.configuration) {
        job.regionsConfiguration = context.configuration;
        job.regionsNow = regionsNow(context, job.permittedRegions, job.route, job.account);
    }
    return job.regionsNow;
}

std::optional<std::string_view> placementObstacle(const context& context, std::string_view service, const deployment::permitted_regions& regions, const std::function<bool(const target_state&)>& isSuitable)
{
    if (!regions.isRestricted() && context.evacuations.domains.empty())
        return std::nullopt;
    bool isAnyPermitted = false;
    bool isAnyEvacuated = false;
    for (const auto& target : context.targets.ofService(service)) {
        if (regions.isRestricted() && !regions.permits(regionOf(context, target->listed.failureDomain)))
            continue;
        isAnyPermitted = true;
        if (!target->isInService() || (isSuitable && !isSuitable(*target)))
            continue;
        if (!isEvacuated(context, *target))
            return std::nullopt;
        isAnyEvacuated = true;
    }
    if (regions.isRestricted() && !isAnyPermitted)
        return "no_permitted_region";
    return isAnyEvacuated ? std::optional<std::string_view>("evacuated") : std::nullopt;
}

std::vector<std::string> knownRegionsOf(const context& context, const deployment::permitted_regions& regions)
{
    std::vector<std::string> known;
    if (regions.names)
        std::copy_if(regions.names->begin(), regions.names->end(), std::back_inserter(known), [&context](const auto& name) { return isKnownRegion(context, name); });
    return known;
}

std::string textOf(const deployment::permitted_regions& regions)
{
    return regions.names ? joinedTexts(*regions.names, [](const std::string& name) { return name.substr(0, maxLoggedBytes); }) : "any";
}

std::string textOfEvacuations(const context& context, time_point now)
{
    return joinedTexts(context.evacuations.domains, [now](const auto& item) { return item.first.substr(0, maxLoggedBytes) + ":" + std::to_string(asMilliseconds(now - item.second.since)); });
}

void applyEvacuation(context& context, std::string_view domain, const std::optional<std::string>& value, time_point now)
{
    if (checkRecord(domain, value))
        recordChange(context, domain, value ? policy::evacuate(context.evacuations, domain, now) : policy::withdraw(context.evacuations, domain), now);
}

void applyEvacuations(context& context, const std::map<std::string, std::string, std::less<>>& domains, uint64_t era, time_point now)
{
    std::set<std::string, std::less<>> present;
    for (const auto& [domain, value] : domains) {
        if (checkRecord(domain, value))
            present.insert(domain);
    }
    for (const auto& [domain, change] : policy::applySnapshot(context.evacuations, present, era, now))
        recordChange(context, domain, change, now);
}

void dropLostEvacuations(context& context, time_point now)
{
    for (const auto& [domain, change] : policy::dropLost(context.evacuations, context.configurationCheckedAt))
        recordChange(context, domain, change, now);
}

void logUnknownRegions(const context& context, const deployment::configuration& configuration)
{
    std::set<std::string_view> unknown;
    for (const auto* index : { &configuration.regionsByRoute, &configuration.regionsByAccount }) {
        for (const auto& [name, regions] : *index)
            std::copy_if(regions.names->begin(), regions.names->end(), std::inserter(unknown, unknown.end()), [&context](const auto& region) { return !isKnownRegion(context, region); });
    }
    if (!unknown.empty())
        logLine(log_level::Warning, logComponent, "A configuration permits regions that the settings do not contain; they permit no target.", { { "version", std::to_string(configuration.version) }, { "regions", joinedTexts(unknown, [](std::string_view name) { return std::string(name.substr(0, maxLoggedBytes)); }) } });
}
}
