/// Budgets in percent of traffic that keep retries and hedges from multiplying load.
#pragma once

#include <algorithm>

namespace bilberryseam::policy {

/// Gains a fraction of a unit with each call and spends one unit on each extra attempt.
struct budget {
    /// Units available now; starts at the burst size, before any call was made.
    double units = 0;
    double maxUnits = 0;
};

/// @param burst  Most extra attempts in a burst.
[[nodiscard]] inline budget budgetOf(double burst) noexcept
{
    return { burst, burst };
}

/// Records a call.
/// @param percent  Extra attempts allowed, in percent of calls.
inline void earn(budget& budget, double percent) noexcept
{
    budget.units = std::min(budget.maxUnits, budget.units + percent / 100);
}

/// @return Whether an extra attempt is allowed; if so, spends one unit.
[[nodiscard]] inline bool trySpend(budget& budget) noexcept
{
    if (budget.units < 1)
        return false;
    budget.units -= 1;
    return true;
}
}
