/// Streams of text records on the platform's store, each with the time at which its writer sent it.
#pragma once

#include "base/time.hpp"
#include "platform/store_client.hpp"

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace bilberryseam::platform {

/// A record of a stream.
struct stream_record {
    uint64_t offset = 0;
    /// The writer's clock when it sent the record, in milliseconds since 1970.
    int64_t appendedMs = 0;
    std::string text;
};

struct stream_read_result {
    bool isOk = false;
    /// Oldest offset that the stream still keeps.
    uint64_t oldestOffset = 0;
    /// Offset that the next append will get.
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

    /// Appends records in order, all or none. Dropping the handle forgets the answer.
    [[nodiscard]] store_call append(std::string_view stream, std::span<const std::string> records, on_append done);

    /// Reads records from an offset on, or from the oldest that is kept if that one is gone; as many as one read returns.
    [[nodiscard]] std::shared_ptr<void> read(std::string_view stream, uint64_t from, on_read done);

private:
    store_client m_store;
};

namespace detail {
    /// @return A record as the topic holds it.
    [[nodiscard]] std::string encodeStreamRecord(int64_t appendedMs, std::string_view text);
    /// @return The record; without a text if it is unreadable, so that its offset still counts.
    [[nodiscard]] stream_record decodeStreamRecord(uint64_t offset, std::string_view record);
}
}
