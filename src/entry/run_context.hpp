/// What all pipeline runs of an entry share.
#pragma once

#include "configuration/state.hpp"
#include "entry/links.hpp"
#include "telemetry/metrics.hpp"

#include <list>
#include <map>
#include <random>
#include <string>

namespace bilberryseam::entry {

/// Running figures of one stage's service.
struct service_figures {
    double meanRunSeconds = 0;
    uint64_t roundRobinTurn = 0;
};

/// Shared by reference; outlives all runs.
struct run_context {
    links& sides;
    metrics& counters;
    std::string ownRegion;
    identifier_generator identifiers;
    std::mt19937_64 random;
    std::map<std::string, service_figures, std::less<>> services;
    /// Price of one GiB from region to region, as in force.
    std::map<std::pair<std::string, std::string>, double> prices;

    /// @return The price of one GiB between two regions; zero if none is configured.
    [[nodiscard]] double priceOf(const std::string& from, const std::string& to) const
    {
        const auto found = prices.find({ from, to });
        return found == prices.end() ? 0 : found->second;
    }
};
}
