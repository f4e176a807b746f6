/// Origins of streams in the platform's store, for the time after all entries that knew them have ended.
#pragma once

#include "loop/timer.hpp"
#include "platform/store_client.hpp"
#include "policy/stream_origins.hpp"
#include "telemetry/metrics.hpp"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bilberryseam::gateway {

/// Writes the origins of the streams that this entry begins to the store, and reads those of all entries.
///
/// Load pattern: nearly always the targets of a service have one version, and any of them may continue a stream; nothing is
/// written then. While several versions are listed, and for `policy::streamOriginLifetime` after that, each entry appends its
/// new origins in batches. The first batch has the streams that began before the second version was listed. The records expire
/// with the history of the topic. They are read only for a stream that no entry knows.
class origin_archive {
public:
    struct callbacks {
        /// @return Whether the targets of a service had several versions within the lifetime of a stream.
        std::function<bool(const std::string& service, time_point now)> hadSeveralVersions;
        /// @return The origin of a stream, or null if it has expired.
        std::function<const policy::stream_origin*(uint64_t stream, time_point now)> find;
        /// Called with each origin that was read.
        std::function<void(uint64_t stream, policy::stream_origin origin)> onOrigin;
        /// @return Number of entries that may write.
        std::function<size_t()> entryCount;
    };
    using on_read = std::function<void()>;

    origin_archive(metrics& metrics, platform::store_client& store, callbacks callbacks);
    origin_archive(const origin_archive&) = delete;
    origin_archive& operator=(const origin_archive&) = delete;

    /// Adds a stream that this entry began, or whose origin has changed.
    void add(const std::string& service, uint64_t stream, time_point now);
    /// Reads what was written until now. `onDone` is called once, also if the store could not be read.
    void read(on_read onDone);
    /// Writes what is due.
    void tick(time_point now);

private:
    void write(time_point now);
    void startRead();
    void continueRead();
    void handleRead(const platform::topic_read_result& result);
    void finishRead(std::string_view outcome);
    void applyRecord(std::string_view text, time_point now);

    metrics& m_metrics;
    platform::store_client& m_store;
    callbacks m_callbacks;

    /// Streams that have not been written, by service, in the order in which they were added.
    std::map<std::string, std::deque<uint64_t>, std::less<>> m_pending;
    time_point m_nextWriteAt {};
    platform::store_call m_writeCall;

    /// Requests that wait for the read in progress, and for the one after it.
    std::vector<on_read> m_reading;
    std::vector<on_read> m_waiting;
    timer m_readTimer;
    time_point m_nextReadAt {};
    uint64_t m_offset = 0;
    uint64_t m_era = platform::noEra;
    unsigned m_expiredReads = 0;
    platform::store_call m_readCall;
};

namespace detail {
    /// What one record of the archive says.
    struct archived_origins {
        std::string service;
        wall_time writtenAt {};
        struct item {
            uint64_t stream = 0;
            std::string softwareVersion;
            uint64_t target = 0;
            /// Time from the stream's first event until the record was written.
            milliseconds age { 0 };
            uint64_t run = 0;
            policy::origin_evidence evidence = policy::origin_evidence::Record;
        };
        std::vector<item> streams;
    };
    [[nodiscard]] std::string encodeArchivedOrigins(const archived_origins& origins);
    /// @return The origins, or `InvalidMessage`.
    [[nodiscard]] result<archived_origins> decodeArchivedOrigins(std::string_view text);
}
}
