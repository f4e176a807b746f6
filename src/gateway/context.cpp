#include "gateway/context.hpp"

namespace bilberryseam::gateway {

namespace {
    /// Share of the slack that may be spent at once; the rest is refilled over one retry window.
    constexpr double burstShare = 0.6;

    /// Share of the allowed retry ratio that is used, as a margin for retries by other entries and by the network.
    constexpr double ratioShare = 0.8;
    constexpr double percent = 100;

    /// Entries that may call the targets of a pool at the same time: its owner, and others while ownership moves.
    constexpr double poolOwners = 3;

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
