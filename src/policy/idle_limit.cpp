#include "policy/idle_limit.hpp"

#include <algorithm>

namespace bilberryseam::policy {

namespace {
    bool isReliedOn(const former_idle_limit& former, time_point now) noexcept
    {
        return now - former.endedAt <= former.limit;
    }
}

void changeIdleLimit(idle_limits& limits, milliseconds limit, time_point now)
{
    if (limits.current > limit)
        limits.former.push_back({ limits.current, now });
    limits.current = limit;
    std::erase_if(limits.former, [&](const former_idle_limit& former) { return former.limit <= limit || !isReliedOn(former, now); });
}

milliseconds longestIdleLimit(const idle_limits& limits, time_point now) noexcept
{
    const auto position = std::find_if(limits.former.begin(), limits.former.end(), [now](const former_idle_limit& former) { return isReliedOn(former, now); });
    return position == limits.former.end() ? limits.current : position->limit;
}
}
