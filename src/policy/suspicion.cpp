#include "policy/suspicion.hpp"

#include <algorithm>

namespace bilberryseam::policy {

namespace {
    void makeRoom(suspicion_table& table, time_point now)
    {
        if (table.entries.size() < maxSuspicions)
            return;
        std::erase_if(table.entries, [now](const auto& item) { return item.second.expires <= now; });
        if (table.entries.size() < maxSuspicions)
            return;
        const auto oldest = std::min_element(table.entries.begin(), table.entries.end(), [](const auto& a, const auto& b) { return a.second.expires < b.second.expires; });
        table.entries.erase(oldest);
    }

    suspicion& entryOf(suspicion_table& table, uint64_t fingerprint, time_point now)
    {
        if (const auto found = table.entries.find(fingerprint); found != table.entries.end()) {
            if (found->second.expires <= now)
                found->second = {};
            return found->second;
        }
        makeRoom(table, now);
        return table.entries[fingerprint];
    }
}

treatment treatmentOf(const suspicion_table& table, uint64_t fingerprint, time_point now) noexcept
{
    const auto found = table.entries.find(fingerprint);
    if (found == table.entries.end() || found->second.expires <= now)
        return treatment::Normal;
    return found->second.isQuarantined ? treatment::Refuse : treatment::Alone;
}

suspicion strike(suspicion_table& table, uint64_t fingerprint, bool wasAlone, time_point now)
{
    suspicion& held = entryOf(table, fingerprint, now);
    ++held.strikes;
    held.isQuarantined = held.isQuarantined || wasAlone;
    held.expires = now + (held.isQuarantined ? quarantineTime : suspicionTime);
    return held;
}

void absolve(suspicion_table& table, uint64_t fingerprint) noexcept
{
    if (const auto found = table.entries.find(fingerprint); found != table.entries.end() && !found->second.isQuarantined)
        table.entries.erase(found);
}

bool mergeSuspicion(suspicion_table& table, uint64_t fingerprint, const suspicion& told, time_point now)
{
    suspicion& held = entryOf(table, fingerprint, now);
    const bool isNews = (told.isQuarantined && !held.isQuarantined) || told.strikes > held.strikes;
    if (!isNews)
        return false;
    held.strikes = std::max(held.strikes, told.strikes);
    held.isQuarantined = held.isQuarantined || told.isQuarantined;
    held.expires = std::max(held.expires, told.expires);
    return true;
}
}
