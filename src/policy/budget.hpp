/// Budgets in percent of traffic, so that retries and hedges never multiply load.
#pragma once

#include <algorithm>

namespace bilberryseam::policy {

/// Earns a share of each call and spends one unit for each extra attempt.
struct budget {
    /// Units that may be spent now; the first burst is allowed before anything was earned.
    double units = 0;
    double maxUnits = 0;
};

/// @param burst  Extra attempts that are allowed at once.
[[nodiscard]] inline budget budgetOf(double burst) noexcept
{
    return { burst, burst };
}

/// A call was made.
/// @param percent  Extra attempts allowed, in percent of calls.
inline void earn(budget& budget, double percent) noexcept
{
    budget.units = std::min(budget.maxUnits, budget.units + percent / 100);
}

/// @return Whether an extra attempt is allowed; if so, it is paid for.
[[nodiscard]] inline bool trySpend(budget& budget) noexcept
{
    if (budget.units < 1)
        return false;
    budget.units -= 1;
    return true;
}
}
