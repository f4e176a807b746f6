/// Reads and appends streams of text records in the platform's store. Each record contains the time at which it was sent.
#pragma once

#include "base/time.hpp"
#include "platform/store_client.hpp"

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace bilberryseam::platform {

struct stream_record {
    uint64_t offset = 0;
    /// The writer's clock when it sent the record, in milliseconds since 1970.
    int64_t appendedMs = 0;
    std::string text;
};

struct stream_read_result {
    bool isOk = false;
    /// Oldest offset that the stream retains.
    uint64_t oldestOffset = 0;
    /// Offset of the next record to be appended.
    uint64_t nextOffset = 0;
    std::vector<stream_record> records;
    std::string detail;
};

/// Appends to and reads from named streams; each is a topic of the store.
class log_client {
public:
    explicit log_client(ip_endpoint store)
        : m_store(std::move(store))
    {
    }

    using on_append = std::function<void(append_result)>;
    using on_read = std::function<void(stream_read_result)>;

    /// Appends records in order, all or none. No callback runs after the handle is destroyed.
    [[nodiscard]] store_call append(std::string_view stream, std::span<const std::string> records, on_append done);

    /// Reads records from an offset, or from the oldest retained one if that offset has expired, up to the size limit of one read.
    /// No callback runs after the handle is destroyed.
    [[nodiscard]] std::shared_ptr<void> read(std::string_view stream, uint64_t from, on_read done);

private:
    store_client m_store;
};

namespace detail {
    /// @return A record in the format of the topic: the time in 8 bytes, then the text.
    [[nodiscard]] std::string encodeStreamRecord(int64_t appendedMs, std::string_view text);
    /// @return The record; with an empty text if it is unreadable, since it occupies its offset nevertheless.
    [[nodiscard]] stream_record decodeStreamRecord(uint64_t offset, std::string_view record);
}
}
