/// Evacuated failure domains, as far as a process knows them from the operator's topic.
///
/// Load pattern: an operator empties a failure domain before maintenance. The store may return from a copy that lacks the
/// evacuation; until the operator has had time to write it again, sending there would be wrong.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bilberryseam::policy {

/// An evacuation that is missing after the store's era rose stays in force for this long.
constexpr milliseconds lostEvacuationLifetime { 5000 };

/// Failure domains that are kept; further ones are rejected, as no deployment has nearly as many.
constexpr size_t maxEvacuatedDomains = 1000;

struct evacuation {
    time_point since {};
    /// Set if the record is missing since the store's era rose: the evacuation ends at this time.
    std::optional<time_point> endsAt;
};

struct evacuation_table {
    std::map<std::string, evacuation, std::less<>> domains;
    /// Era of the newest snapshot.
    std::optional<uint64_t> era;
};

enum class evacuation_change {
    None,
    Begun,
    Withdrawn,
    /// The record is missing after the store's era rose.
    Unconfirmed,
    /// The record was written again after the store's era rose.
    Confirmed,
    /// The record was not written again in time.
    Dropped,
    /// There are too many evacuated domains.
    Rejected,
};

/// A change of a domain's evacuation.
struct domain_change {
    std::string domain;
    evacuation_change change = evacuation_change::None;
};

[[nodiscard]] inline bool isEvacuated(const evacuation_table& table, std::string_view domain) noexcept { return !table.domains.empty() && table.domains.contains(domain); }

/// Applies one record.
[[nodiscard]] evacuation_change evacuate(evacuation_table& table, std::string_view domain, time_point now);
[[nodiscard]] evacuation_change withdraw(evacuation_table& table, std::string_view domain);

/// Applies all records of the topic.
/// @param era  Era of the store in which they were read.
[[nodiscard]] std::vector<domain_change> applySnapshot(evacuation_table& table, const std::set<std::string, std::less<>>& present, uint64_t era, time_point now);

/// Ends the evacuations that were not written again in time.
/// @param confirmedAt  Time up to which all records were read; while the store is away, nothing ends.
[[nodiscard]] std::vector<domain_change> dropLost(evacuation_table& table, time_point confirmedAt);

/// @return The name of a change, used in logs and counters.
[[nodiscard]] std::string_view nameOf(evacuation_change change) noexcept;
}
