/// Client of the platform's append-only log. docs/PLATFORM.md gives the protocol.
#pragma once

#include "base/endpoint.hpp"
#include "base/time.hpp"
#include "loop/http.hpp"

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace bilberryseam::platform {

/// Longest wait for an answer of the log.
constexpr milliseconds logTimeout { 2000 };

/// A record as the log keeps it.
struct stored_record {
    uint64_t offset = 0;
    int64_t appendedMs = 0;
    std::string text;
};

/// What became of an append.
enum class append_end {
    Appended,
    /// The log did not take it and will not.
    Refused,
    /// The answer is missing: the records may or may not be in the log.
    Unknown,
};

struct append_reply {
    append_end end = append_end::Unknown;
    uint64_t firstOffset = 0;
    std::string detail;
};

struct read_reply {
    bool isOk = false;
    /// Oldest offset that the log still keeps.
    uint64_t start = 0;
    /// Offset that the next append will get.
    uint64_t end = 0;
    std::vector<stored_record> records;
    std::string detail;
};

/// Appends to and reads from named streams.
class log_client {
public:
    explicit log_client(ip_endpoint log)
        : m_log(std::move(log))
    {
    }

    using on_append = std::function<void(append_reply)>;
    using on_read = std::function<void(read_reply)>;

    /// Appends records in order, all or none. Dropping the handle forgets the answer.
    [[nodiscard]] std::shared_ptr<void> append(std::string_view stream, std::span<const std::string> records, on_append done);

    /// Reads up to `limit` records from an offset on.
    [[nodiscard]] std::shared_ptr<void> read(std::string_view stream, uint64_t from, uint32_t limit, on_read done);

private:
    ip_endpoint m_log;
    http_client m_http;
};
}
