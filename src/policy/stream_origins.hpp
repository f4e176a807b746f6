/// Origins of streams: which software version of a target began a stream, so that only that version continues it.
///
/// Load pattern: during a release, targets of several versions serve the same streams side by side. Callers come back with
/// streams that broke off, at any entry; what two versions write cannot be joined.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bilberryseam::policy {

/// A stream is continued within this time after its first event, or not at all.
constexpr seconds streamOriginLifetime { 120 };

/// A target's record may be older than its present incarnation by this much.
constexpr seconds targetRecordLag { 10 };

/// A record may still be on its way to the store for so long when its target ends.
constexpr milliseconds recordWriteTime { 500 };

/// A target that runs writes a record within this time, its first one after its start, too.
constexpr milliseconds longestRecordPause { 3000 };

/// What shows that the target that began a stream had the version that its record names.
enum class origin_evidence : uint8_t {
    /// The target may have restarted since its record was written.
    Doubtful,
    /// The record, with no sign of a restart.
    Record,
    /// A record that was written after the stream began.
    LaterRecord,
};

/// @return The evidence with this number in a message; an unknown one is doubtful.
[[nodiscard]] origin_evidence evidenceOf(uint32_t number) noexcept;
/// @return The name used in logs.
[[nodiscard]] std::string_view nameOf(origin_evidence evidence) noexcept;

struct stream_origin {
    /// Empty if records of different versions make it unknown which one began the stream.
    std::string softwareVersion;
    /// Hash of the identifier of the target that began it.
    uint64_t target = 0;
    time_point beganAt {};
    /// Hash of the target's identifier and start in its record then; zero if the start is not stated.
    uint64_t run = 0;
    origin_evidence evidence = origin_evidence::Record;
    /// The stream may have begun earlier than `beganAt` by so much.
    milliseconds uncertainty { 0 };

    /// A record shows what the target was when it was written, so only a later one is a proof. Without starts in records there is none.
    [[nodiscard]] bool isCertain() const noexcept { return !softwareVersion.empty() && (evidence == origin_evidence::LaterRecord || (evidence == origin_evidence::Record && run == 0)); }
    /// @return Whether a later record may prove the origin.
    [[nodiscard]] bool mayBeProven() const noexcept { return !softwareVersion.empty() && !isCertain(); }
    bool operator==(const stream_origin&) const = default;
};

/// The newest run of a target that its records name.
struct target_run {
    /// See `stream_origin::run`.
    uint64_t run = 0;
    std::string softwareVersion;
    wall_time startedAt {};
    /// A record of the run was written after this time.
    time_point writtenAfter {};
};

/// @return Whether a record of the run shows that the stream began at its version: it was written later, and names the same run or
/// one that had started before. Behind the run that began a stream, others may have ended without a record.
[[nodiscard]] bool isProvenBy(const stream_origin& origin, const target_run& run, time_point now, wall_time wallTime) noexcept;

/// Origins by the hash of the request that brought a stream's first event.
struct stream_origin_table {
    std::unordered_map<uint64_t, stream_origin> byStream;
    /// Streams in the order in which they were added.
    std::deque<uint64_t> order;
    /// Streams whose origins a later record may still prove.
    std::deque<uint64_t> unproven;
};

/// Adds an origin, or what another entry knows about it. If two name different versions, and no later record proves one of them,
/// the version is unknown from then on.
/// @return True if the table changed.
bool addOrigin(stream_origin_table& table, uint64_t stream, const stream_origin& origin);

/// @return The origin of a stream, or null.
[[nodiscard]] const stream_origin* findOrigin(const stream_origin_table& table, uint64_t stream, time_point now) noexcept;

/// @return The newest run of the target with this hash; null if no record states its start.
using run_lookup = std::function<const target_run*(uint64_t target)>;
/// Decides the origins that records written since then prove.
void proveOrigins(stream_origin_table& table, const run_lookup& runOf, time_point now, wall_time wallTime);

/// Makes the versions unknown of the streams that a target began while its record may have named its previous run.
/// @return The streams concerned.
std::vector<uint64_t> doubtOriginsOf(stream_origin_table& table, uint64_t target, time_point now);

/// Removes origins that are too old, and the oldest ones of a table that is too large.
void removeExpiredOrigins(stream_origin_table& table, time_point now);

/// What a request that continues a stream may do.
enum class continuation {
    /// It may run at any target.
    Unrestricted,
    /// It may run at targets of the version that began the stream.
    Pinned,
    /// No target in service has that version.
    VersionGone,
    /// It is not known which version began the stream, and it may be another one than a target's.
    OriginUnknown,
};

/// @param origin                    The stream's origin; null if it is not known.
/// @param versions                  Versions of the targets in service; empty texts for targets that state none.
/// @param mayHaveHadOtherVersions   A stream without a known origin may have begun at a version that is not in service.
[[nodiscard]] continuation decideContinuation(const stream_origin* origin, const std::set<std::string_view>& versions, bool mayHaveHadOtherVersions = false) noexcept;

/// @return The entries that keep the origin of a stream, best first: at most `count` of `entries`.
[[nodiscard]] std::vector<std::string_view> originKeepers(std::span<const std::string> entries, uint64_t stream, size_t count);

/// @return How many of the deployment's entries keep origins for all.
[[nodiscard]] size_t originKeeperCount(size_t entryCount) noexcept;
}
