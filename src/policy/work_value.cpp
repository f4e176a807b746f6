#include "policy/work_value.hpp"

#include <algorithm>
#include <cmath>

namespace bilberryseam::policy {

milliseconds recordValue(value_average& average, double tokens, uint32_t tasks, const value_rules& rules)
{
    if (tokens <= 0 || tasks == 0)
        return milliseconds(0);
    const double value = std::log2(tokens / tasks);
    average.samples = std::min(average.samples + 1, rules.maxSamples);
    average.meanLog2 += (value - average.meanLog2) / average.samples;
    const auto limit = static_cast<double>(rules.maxBoost.count());
    const double boost = static_cast<double>(rules.boostPerDoubling.count()) * (value - average.meanLog2);
    return milliseconds(static_cast<int64_t>(std::clamp(boost, -limit, limit)));
}
}
