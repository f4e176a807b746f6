#include "policy/suspicion.hpp"

#include <algorithm>

namespace bilberryseam::policy {

namespace {
    void makeRoom(suspicion_table& table, time_point now)
    {
        if (table.byFingerprint.size() < maxSuspicions)
            return;
        std::erase_if(table.byFingerprint, [now](const auto& item) { return item.second.expires <= now; });
        if (table.byFingerprint.size() < maxSuspicions)
            return;
        const auto oldest = std::min_element(table.byFingerprint.begin(), table.byFingerprint.end(), [](const auto& a, const auto& b) { return a.second.expires < b.second.expires; });
        table.byFingerprint.erase(oldest);
    }

    suspicion& recordOf(suspicion_table& table, uint64_t fingerprint, time_point now)
    {
        if (const auto it = table.byFingerprint.find(fingerprint); it != table.byFingerprint.end()) {
            if (it->second.expires <= now)
                it->second = {};
            return it->second;
        }
        makeRoom(table, now);
        return table.byFingerprint[fingerprint];
    }
}

execution_mode executionModeOf(const suspicion_table& table, uint64_t fingerprint, time_point now) noexcept
{
    const auto it = table.byFingerprint.find(fingerprint);
    if (it == table.byFingerprint.end() || it->second.expires <= now)
        return execution_mode::Normal;
    return it->second.isQuarantined ? execution_mode::Refused : execution_mode::Isolated;
}

suspicion recordCrash(suspicion_table& table, uint64_t fingerprint, bool wasIsolated, time_point now)
{
    suspicion& record = recordOf(table, fingerprint, now);
    ++record.crashCount;
    record.lastCrashAt = now;
    record.isQuarantined = record.isQuarantined || wasIsolated;
    record.expires = now + (record.isQuarantined ? quarantineTime : suspicionTime);
    return record;
}

std::optional<suspicion> recordStrike(suspicion_table& table, uint64_t fingerprint, uint64_t strike, time_point now)
{
    const suspicion known = recordOf(table, fingerprint, now);
    if (known.lastStrike == strike)
        return std::nullopt;
    recordCrash(table, fingerprint, known.crashCount + 1 >= crashesToQuarantine, now);
    suspicion& record = table.byFingerprint.at(fingerprint);
    record.lastStrike = strike;
    return record;
}

void clearSuspicion(suspicion_table& table, uint64_t fingerprint) noexcept
{
    if (const auto it = table.byFingerprint.find(fingerprint); it != table.byFingerprint.end() && !it->second.isQuarantined)
        table.byFingerprint.erase(it);
}

void withdrawSuspicions(suspicion_table& table, time_point since)
{
    std::erase_if(table.byFingerprint, [since](const auto& item) { return item.second.lastCrashAt >= since; });
}

bool mergeSuspicion(suspicion_table& table, uint64_t fingerprint, const suspicion& report, time_point now)
{
    suspicion& record = recordOf(table, fingerprint, now);
    const bool isWorse = (report.isQuarantined && !record.isQuarantined) || report.crashCount > record.crashCount;
    if (!isWorse)
        return false;
    record.crashCount = std::max(record.crashCount, report.crashCount);
    record.isQuarantined = record.isQuarantined || report.isQuarantined;
    record.expires = std::max(record.expires, report.expires);
    record.lastCrashAt = now;
    return true;
}
}
