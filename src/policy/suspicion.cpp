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

    suspicion& entryOf(suspicion_table& table, uint64_t fingerprint, time_point now)
    {
        if (const auto found = table.byFingerprint.find(fingerprint); found != table.byFingerprint.end()) {
            if (found->second.expires <= now)
                found->second = {};
            return found->second;
        }
        makeRoom(table, now);
        return table.byFingerprint[fingerprint];
    }
}

execution_mode executionModeOf(const suspicion_table& table, uint64_t fingerprint, time_point now) noexcept
{
    const auto found = table.byFingerprint.find(fingerprint);
    if (found == table.byFingerprint.end() || found->second.expires <= now)
        return execution_mode::Normal;
    return found->second.isQuarantined ? execution_mode::Refused : execution_mode::Isolated;
}

suspicion recordCrash(suspicion_table& table, uint64_t fingerprint, bool wasAlone, time_point now)
{
    suspicion& held = entryOf(table, fingerprint, now);
    ++held.crashCount;
    held.isQuarantined = held.isQuarantined || wasAlone;
    held.expires = now + (held.isQuarantined ? quarantineTime : suspicionTime);
    return held;
}

void clearSuspicion(suspicion_table& table, uint64_t fingerprint) noexcept
{
    if (const auto found = table.byFingerprint.find(fingerprint); found != table.byFingerprint.end() && !found->second.isQuarantined)
        table.byFingerprint.erase(found);
}

bool mergeSuspicion(suspicion_table& table, uint64_t fingerprint, const suspicion& told, time_point now)
{
    suspicion& held = entryOf(table, fingerprint, now);
    const bool isNews = (told.isQuarantined && !held.isQuarantined) || told.crashCount > held.crashCount;
    if (!isNews)
        return false;
    held.crashCount = std::max(held.crashCount, told.crashCount);
    held.isQuarantined = held.isQuarantined || told.isQuarantined;
    held.expires = std::max(held.expires, told.expires);
    return true;
}
}
