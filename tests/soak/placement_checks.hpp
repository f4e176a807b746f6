/// Decides from what reached targets whether permitted regions, evacuations and limits of cold targets were kept.
#pragma once

#include "fakes/platform_target.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace bilberryseam::tests {

/// Bounds of docs/design/placement-and-load.md (`evacuate_ms`, `cold_overage`, `cold_slack`) and of the settings
/// (`bounds.configurationMs`).
constexpr milliseconds evacuationBound { 5000 };
constexpr milliseconds configurationBound { 2500 };
constexpr double coldOverage = 1.5;
constexpr double coldSlack = 5;
/// Longest time between two reads of the target list.
constexpr milliseconds targetReadTime { 2400 };

/// A time in which a failure domain is evacuated or a target is cold, from the acknowledgement of its record.
struct rule_period {
    /// Failure domain or identifier of a target.
    std::string name;
    time_point from {};
    /// Not reached yet as long as it is `time_point::max()`.
    time_point until = time_point::max();
};

/// Permitted regions from one configuration on; empty lists permit all regions.
struct region_lists {
    time_point writtenAt {};
    std::set<std::string> route;
    std::set<std::string> account;
};

/// Which of the lists bind a request.
struct region_binding {
    bool isRouteRestricted = false;
    bool isAccountRestricted = false;
};

struct checked_target {
    const fakes::platform_target* target = nullptr;
    std::string domain;
    std::string region;
};

struct placement_history {
    std::vector<rule_period> evacuations;
    std::vector<rule_period> coldTimes;
    std::vector<region_lists> configurations;
    std::map<std::string, region_binding> requests;
    double coldPerSecond = 0;
};

/// @return The last period of a name, or null.
[[nodiscard]] inline rule_period* lastPeriodOf(std::vector<rule_period>& periods, const std::string& name)
{
    const auto position = std::find_if(periods.rbegin(), periods.rend(), [&](const auto& item) { return item.name == name; });
    return position == periods.rend() ? nullptr : &*position;
}

[[nodiscard]] inline std::string describe(const fakes::target_arrival& arrival, const checked_target& item)
{
    constexpr const char* kinds[] { "request", "task", "release" };
    return std::string(kinds[static_cast<size_t>(arrival.kind)]) + " " + arrival.requestId + " reached " + item.target->id() + " in " + item.domain;
}

/// @return Whether a configuration that may have been in force up to the bound before the arrival permits the region.
[[nodiscard]] inline bool isPermitted(const placement_history& history, const fakes::target_arrival& arrival, const std::string& region)
{
    const auto binding = history.requests.find(arrival.requestId);
    if (binding == history.requests.end())
        return true;
    const auto permits = [&](bool isRestricted, const std::set<std::string>& list) { return !isRestricted || list.empty() || list.contains(region); };
    for (size_t i = 0; i < history.configurations.size(); ++i) {
        const region_lists& lists = history.configurations[i];
        const bool isReplaced = i + 1 < history.configurations.size() && history.configurations[i + 1].writtenAt + configurationBound <= arrival.at;
        if (!isReplaced && lists.writtenAt <= arrival.at && permits(binding->second.isRouteRestricted, lists.route) && permits(binding->second.isAccountRestricted, lists.account))
            return true;
    }
    return false;
}

/// @return The most requests and tasks in one second of the time in which all gateways know that the target is cold.
[[nodiscard]] inline size_t mostInOneSecond(const std::vector<fakes::target_arrival>& arrivals, const rule_period& coldTime)
{
    std::vector<time_point> times;
    for (const auto& arrival : arrivals) {
        if (arrival.kind != fakes::arrival_kind::Release && arrival.at >= coldTime.from + targetReadTime && arrival.at < coldTime.until)
            times.push_back(arrival.at);
    }
    size_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first)
        most = std::max(most, static_cast<size_t>(std::lower_bound(first, times.end(), *first + seconds(1)) - first));
    return most;
}

/// @return What reached a target against the rules.
[[nodiscard]] inline std::vector<std::string> placementComplaints(const placement_history& history, const checked_target& item)
{
    std::vector<std::string> complaints;
    for (const auto& arrival : item.target->arrivals()) {
        for (const auto& evacuation : history.evacuations) {
            if (evacuation.name == item.domain && arrival.at > evacuation.from + evacuationBound && arrival.at < evacuation.until)
                complaints.push_back(describe(arrival, item) + ", evacuated " + std::to_string(asMilliseconds(arrival.at - evacuation.from)) + " ms before");
        }
        if (!isPermitted(history, arrival, item.region))
            complaints.push_back(describe(arrival, item) + ", outside the permitted regions");
    }
    for (const auto& coldTime : history.coldTimes) {
        const size_t most = coldTime.name == item.target->id() ? mostInOneSecond(item.target->arrivals(), coldTime) : 0;
        if (static_cast<double>(most) > history.coldPerSecond * coldOverage + coldSlack)
            complaints.push_back(std::to_string(most) + " requests in a second reached " + item.target->id() + " while it was cold");
    }
    return complaints;
}
}
