#include "policy/work_value.hpp"

#include <algorithm>
#include <cmath>

namespace bilberryseam::policy {

milliseconds recordValue(value_average& scale, double tokens, uint32_t pieces, const value_rules& rules)
{
    if (tokens <= 0 || pieces == 0)
        return milliseconds(0);
    const double value = std::log2(tokens / pieces);
    scale.samples = std::min(scale.samples + 1, rules.maxSamples);
    scale.meanLog2 += (value - scale.meanLog2) / scale.samples;
    const auto longest = static_cast<double>(rules.maxBoost.count());
    const double lead = static_cast<double>(rules.boostPerDoubling.count()) * (value - scale.meanLog2);
    return milliseconds(static_cast<int64_t>(std::clamp(lead, -longest, longest)));
}
}
