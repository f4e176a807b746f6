/// Software versions that began streams, shared among the entries, so that a caller may continue its stream at any of them.
#pragma once

#include "deployment/deployment.hpp"
#include "gateway/origin_archive.hpp"
#include "gateway/version_history.hpp"
#include "policy/stream_origins.hpp"
#include "telemetry/metrics.hpp"
#include "wire/message.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace bilberryseam::gateway {

/// Each origin is kept by the entry that began the stream and by two others, which the hash of the stream selects. An entry
/// that does not know a stream asks those. If none of them knows it, which proves nothing since they may have started a moment
/// ago, it reads the store.
class stream_directory {
public:
    struct callbacks {
        /// Sends a message to an entry.
        /// @return False if it is not connected.
        std::function<bool(std::string_view entry, wire::message message)> send;
        /// Sends the messages that are queued for an entry now.
        std::function<void(std::string_view entry)> flush;
        /// @return All entries that keep origins, with this one if it does.
        std::function<std::span<const std::string>()> keepers;
        /// @return Number of entries of the deployment.
        std::function<size_t()> entryCount;
        /// What the listed targets of a service say about their versions.
        version_history::listed_versions listedVersions;
        /// What the target list says about the runs of targets.
        policy::run_lookup runOf;
    };
    /// The result of a search.
    struct found_origin {
        /// Not set if no entry that responded knows the stream.
        std::optional<policy::stream_origin> origin;
        /// All entries that may know the stream have responded, or one of them knows it.
        bool isCertain = false;
        /// The entry that knows the stream, or what the origin was concluded from; empty if it is not known.
        std::string knownBy;
        /// The origin is not known, and the stream may have begun at a version that is not listed now.
        bool mayHaveHadOtherVersions = false;
    };
    using on_origin = std::function<void(const found_origin& found)>;

    stream_directory(metrics& metrics, platform::store_client& store, recovery_watch& recovery, std::string ownName, callbacks callbacks);

    /// Records the origin of a stream, and tells the entries that keep it.
    /// @param service  Service that runs the stream.
    void record(uint64_t stream, const std::string& service, const policy::stream_origin& origin);
    /// Records that a target restarted with another version, so that streams which it began lately are doubtful.
    void onVersionChanged(uint64_t target, const std::string& service, time_point now);
    /// Finds the origin of a stream; `onFound` may be called at once.
    /// @param service  Service that runs the stream.
    void find(uint64_t stream, const std::string& service, time_point now, on_origin onFound);
    /// @return What this entry knows about the origin of a stream, or null.
    [[nodiscard]] const policy::stream_origin* known(uint64_t stream, time_point now) { return lookUp(stream, now); }
    /// @return Whether a stream of the service whose origin is not known may have begun at a version that is not listed now.
    [[nodiscard]] bool mayHaveHadOtherVersions(const std::string& service, time_point now) { return m_versions.mayHaveHadSeveral(service, now); }

    /// @return Time after which the origin of a stream that is not known may be concluded; zero if it will not be.
    [[nodiscard]] milliseconds timeUntilConclusion(const std::string& service, time_point now) { return m_versions.recoveryTimeLeft(service, now); }
    /// @return Whether the store has acknowledged the versions of all services in its present era.
    [[nodiscard]] bool areVersionsRecorded() { return m_versions.isRecorded(); }

    /// Records the listed versions of a service before a stream begins at one of them.
    void checkVersions(const std::string& service, time_point now) { m_versions.check(service, now); }
    /// @return Whether a stream of the service may begin at a version; see `version_history::mayBegin`.
    [[nodiscard]] bool mayBegin(const std::string& service, std::string_view version, time_point now) { return m_versions.mayBegin(service, version, now); }

    /// Handles a message of another entry.
    /// @param from   Name of the entry.
    /// @param reply  Sends a response to it.
    /// @return False if it is about something else.
    [[nodiscard]] bool handle(const wire::message& message, std::string_view from, const std::function<void(wire::message)>& reply, time_point now);
    /// Sends the newest origins that an entry has to keep to it, after it has started.
    void sendKept(std::string_view entry, time_point now) const;

    /// Ends searches that have lasted too long, and removes old origins.
    void tick(time_point now);
    [[nodiscard]] size_t size() const noexcept { return m_origins.byStream.size(); }

private:
    /// A search that waits for responses of other entries.
    struct search {
        std::string service;
        std::vector<on_origin> waiting;
        /// Entries that have not responded.
        std::vector<std::string> asked;
        bool isComplete = true;
        time_point endsAt {};
    };

    void tell(uint64_t stream, const policy::stream_origin& origin, time_point now) const;
    /// @return The origin of a stream by all that this entry knows, or null.
    [[nodiscard]] const policy::stream_origin* lookUp(uint64_t stream, time_point now);
    [[nodiscard]] std::vector<std::string_view> othersFor(uint64_t stream, size_t count) const;
    /// Handles the response of an entry to a search, after what it says was applied.
    void onResponse(uint64_t stream, std::string_view from, time_point now);
    /// @param knownBy  The entry that sent the origin; empty if none did.
    void finish(uint64_t stream, std::string_view knownBy, time_point now);
    /// Ends a search that found nothing at the other entries.
    void searchStore(uint64_t stream, search ended);
    [[nodiscard]] found_origin concludeFromStore(uint64_t stream, const std::string& service, bool isComplete);

    metrics& m_metrics;
    std::string m_ownName;
    callbacks m_callbacks;
    policy::stream_origin_table m_origins;
    std::map<uint64_t, search> m_searches;
    version_history m_versions;
    origin_archive m_archive;
    time_point m_nextProofAt {};
};
}
