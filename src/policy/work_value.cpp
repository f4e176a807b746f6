#include "policy/work_value.hpp"

#include <algorithm>
#include <cmath>

namespace bilberryseam::policy {

milliseconds noteValue(value_scale& scale, double tokens, uint32_t pieces, const value_rules& rules)
{
    if (tokens <= 0 || pieces == 0)
        return milliseconds(0);
    const double value = std::log2(tokens / pieces);
    scale.seen = std::min(scale.seen + 1, rules.memory);
    scale.meanLog += (value - scale.meanLog) / scale.seen;
    const auto longest = static_cast<double>(rules.longestLead.count());
    const double lead = static_cast<double>(rules.leadOfDoubling.count()) * (value - scale.meanLog);
    return milliseconds(static_cast<int64_t>(std::clamp(lead, -longest, longest)));
}
}
