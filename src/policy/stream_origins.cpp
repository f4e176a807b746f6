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

origin_evidence evidenceOf(uint32_t number) noexcept
{
    return number > static_cast<uint32_t>(origin_evidence::LaterRecord) ? origin_evidence::Doubtful : static_cast<origin_evidence>(number);
}

std::string_view nameOf(origin_evidence evidence) noexcept
{
    switch (evidence) {
    case origin_evidence::Doubtful:
        return "doubtful";
    case origin_evidence::Record:
        return "record";
    case origin_evidence::LaterRecord:
        return "later_record";
    }
    return "doubtful";
}

bool addOrigin(stream_origin_table& table, uint64_t stream, const stream_origin& origin)
{
    const auto [position, isNew] = table.byStream.try_emplace(stream, origin);
    if (isNew) {
        table.order.push_back(stream);
        if (origin.evidence != origin_evidence::LaterRecord && !origin.softwareVersion.empty())
            table.unproven.push_back(stream);
        return true;
    }
    stream_origin& known = position->second;
    const bool isProof = origin.evidence == origin_evidence::LaterRecord && !origin.softwareVersion.empty();
    const bool isKnownProven = known.evidence == origin_evidence::LaterRecord && !known.softwareVersion.empty();
    if (isProof && !isKnownProven) {
        known.softwareVersion = origin.softwareVersion;
        known.evidence = origin_evidence::LaterRecord;
        return true;
    }
    if (known.softwareVersion == origin.softwareVersion || known.softwareVersion.empty() || (isKnownProven && !isProof))
        return false;
    known.softwareVersion.clear();
    return true;
}

bool isProvenBy(const stream_origin& origin, const target_run& run, time_point now, wall_time wallTime) noexcept
{
    if (origin.softwareVersion.empty() || run.softwareVersion != origin.softwareVersion || run.writtenAfter < origin.beganAt + recordWriteTime)
        return false;
    const wall_time beganAt = wallTime - std::chrono::ceil<milliseconds>(now - origin.beganAt) - origin.uncertainty;
    return (origin.run != 0 && run.run == origin.run) || run.startedAt + recordWriteTime <= beganAt;
}

void proveOrigins(stream_origin_table& table, const run_lookup& runOf, time_point now, wall_time wallTime)
{
    std::erase_if(table.unproven, [&](uint64_t stream) {
        const auto position = table.byStream.find(stream);
        if (position == table.byStream.end() || position->second.softwareVersion.empty() || now - position->second.beganAt > targetRecordLag)
            return true;
        stream_origin& origin = position->second;
        const target_run* run = runOf(origin.target);
        if (run && isProvenBy(origin, *run, now, wallTime))
            origin.evidence = origin_evidence::LaterRecord;
        return origin.evidence == origin_evidence::LaterRecord;
    });
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
        if (origin.target != target || now - origin.beganAt > targetRecordLag || origin.softwareVersion.empty() || origin.evidence == origin_evidence::LaterRecord)
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
    if (!origin->isCertain())
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
