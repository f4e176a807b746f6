/// The software versions that a service's targets had lately, kept in the platform's store.
#pragma once

#include "gateway/recovery_watch.hpp"
#include "loop/timer.hpp"
#include "platform/store_client.hpp"
#include "policy/stream_origins.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bilberryseam::gateway {

/// Answers whether a stream of unknown origin may have begun at another version than the ones that are listed now, also after
/// all entries were killed and the targets were replaced before they started again.
///
/// Each entry writes the versions that it sees listed for a service when they differ from the ones in the store, so nothing is
/// written as long as the versions stay the same.
class version_history {
public:
    using version_set = std::set<std::string>;
    /// What the records of a service's targets say about one version.
    struct listing {
        /// Earliest start of a target, in Unix milliseconds; zero if none is stated.
        int64_t firstStartMs = 0;
        bool isInService = false;
    };
    /// By version, with an empty text for targets that state none.
    using listings = std::map<std::string, listing, std::less<>>;
    /// @return What the listed targets of a service say.
    using listed_versions = std::function<listings(std::string_view service)>;
    using on_loaded = std::function<void()>;

    /// Begins to read what earlier processes wrote.
    version_history(platform::store_client& store, recovery_watch& recovery, listed_versions listed);
    version_history(const version_history&) = delete;
    version_history& operator=(const version_history&) = delete;

    /// Waits until what earlier processes wrote is read; reads it again if that has failed. `onLoaded` is called once, also if
    /// it fails again.
    void load(on_loaded onLoaded);

    /// Compares the listed versions of a service with the known ones, and writes them if they have changed.
    void check(const std::string& service, time_point now);

    /// A stream begins only at a version that the store is known to have, so that its origin can be concluded later. If no such
    /// version is in service, it may begin at any.
    /// @param now  Time of the decision; what was found out is used again for the same time.
    [[nodiscard]] bool mayBegin(const std::string& service, std::string_view version, time_point now);

    /// @return Whether several versions are known to have been listed within the lifetime of a stream.
    [[nodiscard]] bool hadSeveral(const std::string& service, time_point now);
    /// @return Whether several versions were listed within the lifetime of a stream, or this is not known.
    [[nodiscard]] bool mayHaveHadSeveral(const std::string& service, time_point now);

    /// @return Time after which the store's recovery is over, if nothing else makes it unknown whether several versions were listed;
    /// otherwise zero.
    [[nodiscard]] milliseconds recoveryTimeLeft(const std::string& service, time_point now);

    /// @return Whether the store has acknowledged the versions of each service in its present era.
    [[nodiscard]] bool isRecorded();

    /// @return The version that began the streams which were in progress when this process started, if there was only one.
    [[nodiscard]] std::optional<std::string> versionBeforeStart(const std::string& service, time_point now);

private:
    struct service_state {
        version_set versions;
        /// Time of the last change of `versions`; zero if the first ones are still listed.
        wall_time changedAt {};
        /// Time at which several versions were last known to be listed.
        std::optional<time_point> severalSeenAt;
        bool isWritten = false;
        /// The versions that the store has acknowledged last, and its era then.
        version_set recorded;
        uint64_t recordedEra = platform::noEra;
    };
    /// The versions at which streams of a service may begin.
    struct beginnings {
        /// Empty if they may begin at any version.
        version_set versions;
        time_point decidedAt {};
    };

    void readPage(std::string_view after);
    void handlePage(const platform::newest_page& page);
    void applyRecord(const std::string& service, std::string_view text);
    void finishLoad();
    /// Writes the record again if the store may have lost it.
    void checkEra(const std::string& service, service_state& state);
    [[nodiscard]] version_set versionsToBegin(const std::string& service) const;
    void write(const std::string& service);
    void writePending();

    platform::store_client& m_store;
    recovery_watch& m_recovery;
    listed_versions m_listed;
    time_point m_startedAt;
    std::map<std::string, service_state, std::less<>> m_services;
    std::map<std::string, std::string, std::less<>> m_versionsBeforeStart;
    std::map<std::string, beginnings, std::less<>> m_beginnings;
    bool m_isLoaded = false;
    bool m_isLoading = false;
    std::vector<on_loaded> m_waiting;
    platform::store_call m_loadCall;
    time_point m_nextLoadAt {};
    time_point m_firstWriteAt {};
    std::map<std::string, platform::store_call, std::less<>> m_writes;
    timer m_writeRetry;
};

namespace detail {
    /// @return The version of the target that started first, or null if no start is stated.
    [[nodiscard]] const std::string* longestRunningVersion(const version_history::listings& listed, bool isOnlyInService) noexcept;

    struct version_record {
        version_history::version_set versions;
        /// Zero if the versions never changed.
        wall_time changedAt {};
    };
    [[nodiscard]] std::string encodeVersionRecord(const version_record& record);
    /// @return The record, or `InvalidMessage`.
    [[nodiscard]] result<version_record> decodeVersionRecord(std::string_view service, std::string_view text);
}
}
