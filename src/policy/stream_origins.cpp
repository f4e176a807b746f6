#include "policy/stream_origins.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace bilberryseam::policy {

namespace {
    /// Largest number of origins that one entry keeps.
    constexpr size_t maxOrigins = 50000;

    constexpr size_t minKeepers = 4;
    /// Entries for each further keeper.
    constexpr size_t entriesPerKeeper = 16;
}

bool addOrigin(stream_origin_table& table, uint64_t stream, const stream_origin& origin)
{
    const auto [position, isNew] = table.byStream.try_emplace(stream, origin);
    if (isNew) {
        table.order.push_back(stream);
        return true;
    }
    if (position->second.softwareVersion == origin.softwareVersion || position->second.softwareVersion.empty())
        return false;
    position->second.softwareVersion.clear();
    return true;
}

const stream_origin* findOrigin(const stream_origin_table& table, uint64_t stream, time_point now) noexcept
{
    const auto position = table.byStream.find(stream);
    return position == table.byStream.end() || now - position->second.beganAt > streamOriginLifetime ? nullptr : &position->second;
}

std::vector<uint64_t> doubtOriginsOf(stream_origin_table& table, uint64_t target, time_point now)
{
    std::vector<uint64_t> streams;
    for (auto& [stream, origin] : table.byStream) {
        if (origin.target != target || now - origin.beganAt > targetRecordLag || origin.softwareVersion.empty())
            continue;
        origin.softwareVersion.clear();
        streams.push_back(stream);
    }
    return streams;
}

void removeExpiredOrigins(stream_origin_table& table, time_point now)
{
    while (!table.order.empty() && (table.order.size() > maxOrigins || !findOrigin(table, table.order.front(), now))) {
        table.byStream.erase(table.order.front());
        table.order.pop_front();
    }
}

continuation decideContinuation(const stream_origin* origin, const std::set<std::string_view>& versions, bool mayHaveHadOtherVersions) noexcept
{
    if (!origin && mayHaveHadOtherVersions)
        return continuation::OriginUnknown;
    const bool isVersioned = std::any_of(versions.begin(), versions.end(), [](std::string_view version) { return !version.empty(); });
    if (!isVersioned)
        return continuation::Unrestricted;
    if (!origin)
        return versions.size() > 1 ? continuation::OriginUnknown : continuation::Unrestricted;
    if (origin->softwareVersion.empty())
        return continuation::OriginUnknown;
    return versions.contains(origin->softwareVersion) ? continuation::Pinned : continuation::VersionGone;
}

std::vector<std::string_view> originKeepers(std::span<const std::string> entries, uint64_t stream, size_t count)
{
    std::vector<std::string_view> keepers(entries.begin(), entries.end());
    std::sort(keepers.begin(), keepers.end(), [stream](std::string_view left, std::string_view right) { return hashOfPair(hashOf(left), stream) > hashOfPair(hashOf(right), stream); });
    keepers.resize(std::min(keepers.size(), count));
    return keepers;
}

size_t originKeeperCount(size_t entryCount) noexcept
{
    return std::max(minKeepers, entryCount / entriesPerKeeper);
}
}
