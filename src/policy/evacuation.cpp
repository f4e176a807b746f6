#include "policy/evacuation.hpp"

#include <algorithm>

namespace bilberryseam::policy {

evacuation_change evacuate(evacuation_table& table, std::string_view domain, time_point now)
{
    if (const auto known = table.domains.find(domain); known != table.domains.end()) {
        const bool wasLost = known->second.endsAt.has_value();
        known->second.endsAt.reset();
        return wasLost ? evacuation_change::Confirmed : evacuation_change::None;
    }
    if (table.domains.size() >= maxEvacuatedDomains)
        return evacuation_change::Rejected;
    table.domains.emplace(std::string(domain), evacuation { now, std::nullopt });
    return evacuation_change::Begun;
}

evacuation_change withdraw(evacuation_table& table, std::string_view domain)
{
    const auto known = table.domains.find(domain);
    if (known == table.domains.end())
        return evacuation_change::None;
    table.domains.erase(known);
    return evacuation_change::Withdrawn;
}

std::vector<domain_change> applySnapshot(evacuation_table& table, const std::set<std::string, std::less<>>& present, uint64_t era, time_point now)
{
    const bool isOtherEra = table.era && *table.era != era;
    table.era = era;
    std::vector<domain_change> changes;
    for (auto known = table.domains.begin(); known != table.domains.end();) {
        auto& [domain, state] = *known;
        if (present.contains(domain)) {
            ++known;
        } else if (isOtherEra) {
            state.endsAt = now + lostEvacuationLifetime;
            changes.push_back({ domain, evacuation_change::Unconfirmed });
            ++known;
        } else if (state.endsAt) {
            ++known;
        } else {
            changes.push_back({ domain, evacuation_change::Withdrawn });
            known = table.domains.erase(known);
        }
    }
    for (const auto& domain : present) {
        if (const auto change = evacuate(table, domain, now); change != evacuation_change::None)
            changes.push_back({ domain, change });
    }
    return changes;
}

std::vector<domain_change> dropLost(evacuation_table& table, time_point confirmedAt)
{
    std::vector<domain_change> changes;
    std::erase_if(table.domains, [&](const auto& item) {
        const bool isLost = item.second.endsAt && *item.second.endsAt <= confirmedAt;
        if (isLost)
            changes.push_back({ item.first, evacuation_change::Dropped });
        return isLost;
    });
    return changes;
}

std::string_view nameOf(evacuation_change change) noexcept
{
    switch (change) {
    case evacuation_change::None:
        return "none";
    case evacuation_change::Begun:
        return "begun";
    case evacuation_change::Withdrawn:
        return "withdrawn";
    case evacuation_change::Unconfirmed:
        return "unconfirmed";
    case evacuation_change::Confirmed:
        return "confirmed";
    case evacuation_change::Dropped:
        return "dropped";
    case evacuation_change::Rejected:
        return "rejected";
    }
    return "none";
}
}
