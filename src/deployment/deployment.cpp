#include "deployment/deployment.hpp"

#include <algorithm>
#include <iterator>
#include <limits>

namespace bilberryseam::deployment {

namespace {
    using regions_by_name = std::map<std::string, permitted_regions, std::less<>>;

    void addRegions(regions_by_name& index, const std::string& name, const permitted_regions& regions)
    {
        if (!regions.isRestricted())
            return;
        permitted_regions& indexed = index[name];
        indexed = intersectionOf(indexed, regions);
    }
}

bool permitted_regions::permits(std::string_view region) const noexcept
{
    return !names || (!region.empty() && std::binary_search(names->begin(), names->end(), region));
}

permitted_regions intersectionOf(const permitted_regions& left, const permitted_regions& right)
{
    if (!left.isRestricted() || !right.isRestricted())
        return left.isRestricted() ? left : right;
    permitted_regions common { std::vector<std::string>() };
    std::set_intersection(left.names->begin(), left.names->end(), right.names->begin(), right.names->end(), std::back_inserter(*common.names));
    return common;
}

void configuration::indexRegions()
{
    regionsByRoute.clear();
    regionsByAccount.clear();
    for (const auto& route : routes)
        addRegions(regionsByRoute, route.name, route.allowedRegions);
    for (const auto& [key, account] : accountsByApiKey)
        addRegions(regionsByAccount, account.name, account.allowedRegions);
}

permitted_regions regionsOf(const configuration& configuration, std::string_view route, std::string_view account)
{
    const auto find = [](const regions_by_name& index, std::string_view name) {
        const auto position = index.find(name);
        return position == index.end() ? permitted_regions() : position->second;
    };
    return intersectionOf(find(configuration.regionsByRoute, route), find(configuration.regionsByAccount, account));
}

void configuration::indexRoutes()
{
    routesByHost.clear();
    for (size_t i = 0; i < routes.size(); ++i)
        routesByHost[routes[i].host].push_back(i);
    for (auto& [host, indexes] : routesByHost)
        std::stable_sort(indexes.begin(), indexes.end(), [this](size_t left, size_t right) { return routes[left].pathPrefix.size() > routes[right].pathPrefix.size(); });
}

double coldRateOf(const configuration& configuration, std::string_view service) noexcept
{
    const auto position = configuration.services.find(service);
    return position == configuration.services.end() ? 0 : position->second.coldPerSecond;
}

bool target::isSameApartFromCold(const target& other) const
{
    target copy = other;
    copy.cold = cold;
    return *this == copy;
}

const pool_profile* poolOf(const configuration& configuration, std::string_view service) noexcept
{
    const auto it = configuration.services.find(service);
    return it == configuration.services.end() || !it->second.pool ? nullptr : &*it->second.pool;
}

const engine_profile* engineOf(const configuration& configuration, std::string_view service) noexcept
{
    const auto position = configuration.services.find(service);
    return position != configuration.services.end() && position->second.engine ? &*position->second.engine : nullptr;
}

milliseconds gapObjectiveOf(const configuration& configuration, std::string_view service) noexcept
{
    milliseconds shortest { 0 };
    for (const auto& route : configuration.routes) {
        const bool isToService = std::any_of(route.services.begin(), route.services.end(), [service](const auto& item) { return item.service == service; });
        if (isToService && route.gapObjective.count() > 0 && (shortest.count() == 0 || route.gapObjective < shortest))
            shortest = route.gapObjective;
    }
    return shortest;
}

const route* matchRoute(const configuration& configuration, std::string_view host, std::string_view path) noexcept
{
    const auto it = configuration.routesByHost.find(host);
    if (it == configuration.routesByHost.end())
        return nullptr;
    for (const size_t index : it->second) {
        if (path.starts_with(configuration.routes[index].pathPrefix))
            return &configuration.routes[index];
    }
    return nullptr;
}

std::string_view pickService(const route& route, uint64_t draw) noexcept
{
    double total = 0;
    for (const auto& item : route.services)
        total += item.weight;
    double remaining = total * (static_cast<double>(draw) / static_cast<double>(std::numeric_limits<uint64_t>::max()));
    for (const auto& item : route.services) {
        if (remaining < item.weight)
            return item.service;
        remaining -= item.weight;
    }
    return route.services.empty() ? std::string_view() : std::string_view(route.services.back().service);
}

std::vector<size_t> finalStages(const route& route)
{
    std::vector<size_t> finals;
    for (size_t i = 0; i < route.stages.size(); ++i) {
        const bool isInput = std::any_of(route.stages.begin(), route.stages.end(), [i](const stage& other) { return std::find(other.inputStages.begin(), other.inputStages.end(), i) != other.inputStages.end(); });
        if (!isInput)
            finals.push_back(i);
    }
    return finals;
}
}
