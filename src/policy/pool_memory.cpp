#include "policy/pool_memory.hpp"

#include <algorithm>

namespace bilberryseam::policy {

foreign_use foreignUseOf(const pool_report& report, const own_use& own, const pool_limits& limits, time_point askedAt, time_point now) noexcept
{
    foreign_use use;
    if (limits.memoryBytes > 0) {
        const double usedBytes = limits.memoryBytes - std::clamp(report.freeBytes, 0.0, limits.memoryBytes);
        use.bytes = std::max(0.0, usedBytes - own.bytes);
        // A result of a call that runs now lives from the end of that call.
        use.expiresAt = askedAt + limits.resultLifetime + (report.running > 0 ? limits.callTime : milliseconds(0));
    }
    const uint32_t calls = report.running + report.waiting;
    const uint32_t foreignCalls = calls - std::min(calls, own.calls);
    if (calls >= std::max<uint32_t>(1, limits.slots) && foreignCalls > 0)
        use.busyUntil = now + limits.callTime / 2;
    return use;
}

double foreignBytesAt(const foreign_use& use, time_point now) noexcept
{
    return now < use.expiresAt ? use.bytes : 0;
}

bool needsReport(const report_state& state, time_point now) noexcept
{
    if (state.isPending)
        return false;
    const bool hasForeignUse = foreignBytesAt(state.foreign, now) > 0 || now < state.foreign.busyUntil;
    return (state.isWanted && now - state.askedAt >= minReportPause) || (hasForeignUse && now - state.askedAt >= foreignUsePause);
}

bool awaitsReport(const report_state& state, time_point now) noexcept
{
    return state.isPending && now - state.askedAt < reportTimeout;
}

bool mayHaveOtherResults(time_point lastUseAt, const pool_limits& limits, time_point now) noexcept
{
    return lastUseAt == time_point() || now - lastUseAt > limits.resultLifetime;
}
}
