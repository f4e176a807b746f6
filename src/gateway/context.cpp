#include "gateway/context.hpp"

namespace bilberryseam::gateway {

namespace {
    /// Part of the slack that may be spent at once; the rest comes back over a window.
    constexpr double burstShare = 0.6;

    /// Part of the allowed ratio that is used, for what other entries and the network repeat.
    constexpr double ratioShare = 0.8;
    constexpr double percent = 100;

    /// Entries that may call a pool's targets at the same time: its owner, and others while it changes.
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
