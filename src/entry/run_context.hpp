/// State shared by all pipeline runs of an entry.
#pragma once

#include "configuration/state.hpp"
#include "entry/side_links.hpp"
#include "execution/suspicion_exchange.hpp"
#include "policy/policy.hpp"
#include "telemetry/metrics.hpp"

#include <list>
#include <map>
#include <random>
#include <string>

namespace bilberryseam::entry {

/// Initial hedge budget of a service: hedges that may start before any call has earned one.
constexpr double hedgeBurst = 10;

/// Initial retry budget of an account at a stage: retries that may start before any call has earned
/// one. Large enough to retry all calls that were in flight at a target that crashed.
constexpr double retryBurst = 64;

/// Statistics and budgets of one service.
struct service_statistics {
    double meanRunSeconds = 0;
    uint64_t roundRobinTurn = 0;
    policy::latency_window latencies;
    policy::budget hedgeBudget = policy::budgetOf(hedgeBurst);
};

/// Passed by reference; outlives all runs.
struct run_context {
    side_links& links;
    metrics& counters;
    execution::suspicion_exchange& suspicions;
    std::string ownRegion;
    identifier_generator identifiers;
    std::mt19937_64 random;
    std::map<std::string, service_statistics, std::less<>> serviceStatistics;
    /// Keyed by account and stage.
    std::map<std::pair<std::string, std::string>, policy::budget> retryBudgets;
    /// Configured price of one GiB, keyed by source and destination region.
    std::map<std::pair<std::string, std::string>, double> prices;
    /// Time without output of a started call after which another target may run it too.
    milliseconds targetSilence { 0 };

    /// @return The price of one GiB between two regions, or zero if none is configured.
    [[nodiscard]] double priceOf(const std::string& from, const std::string& to) const
    {
        const auto it = prices.find({ from, to });
        return it == prices.end() ? 0 : it->second;
    }
};
}
