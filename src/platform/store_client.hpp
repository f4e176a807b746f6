/// A client of the platform's metadata store that appends to topics and reads them.
#pragma once

#include "http1/client.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bilberryseam::platform {

/// Timeout of a call, in addition to the long poll wait of a read.
constexpr milliseconds storeTimeout { 2000 };

/// Size limit of one read, in KiB; a larger record is returned on its own.
constexpr uint32_t maxReadKib = 1024;

/// Era of a response that states none. The era rises when the store returns from an older copy: offsets are then given out
/// again, and records that it had acknowledged may be missing.
constexpr uint64_t noEra = 0;

enum class append_outcome {
    Appended,
    /// The records were not appended and will not be.
    Refused,
    /// No valid response was received: the records may be in the topic, or may be added to it later.
    Unknown,
};

struct append_result {
    append_outcome outcome = append_outcome::Unknown;
    /// Offset of the first record, if appended.
    uint64_t firstOffset = 0;
    /// Cause of a failure, for logs.
    std::string detail;
};

enum class read_outcome {
    Ok,
    /// The topic no longer retains the record at the requested offset.
    Expired,
    /// The response is malformed.
    Malformed,
    /// The store sent no complete response, or an error status.
    Failed,
};

/// Records of a topic, beginning at the requested offset.
struct topic_read_result {
    read_outcome outcome = read_outcome::Failed;
    /// Oldest offset that the topic retains.
    uint64_t oldestOffset = 0;
    /// Offset of the next record to be appended; not set if `Expired`.
    uint64_t nextOffset = 0;
    std::vector<std::string> records;
    std::string detail;
    /// Era of the store that responded; see `noEra`.
    uint64_t era = 0;
};

/// One page of the newest records of a keyed topic, ordered by key.
struct newest_page {
    bool isOk = false;
    /// Values by key; empty ones cannot be decoded.
    std::map<std::string, std::string> values;
    /// Last key of the page; the next page begins after it.
    std::string lastKey;
    bool hasMore = false;
    /// Offset of the next record to be appended.
    uint64_t nextOffset = 0;
    std::string detail;
    /// Era of the store that responded; see `noEra`.
    uint64_t era = 0;
};

struct read_timeouts {
    /// How long the store may delay its response until there is a record; zero for an immediate response.
    milliseconds longPollWait { 0 };
    /// Timeout of the call, in addition to `longPollWait`.
    milliseconds timeout = storeTimeout;
};

/// A running call. Destroying it cancels the callback; the store may execute the call nevertheless.
using store_call = std::shared_ptr<http1::client_call>;

/// Calls the store at one address. Only partition 0 of each topic is used; every topic has one partition.
class store_client {
public:
    explicit store_client(ip_endpoint endpoint)
        : m_endpoint(std::move(endpoint))
    {
    }

    using on_append = std::function<void(append_result)>;
    using on_read = std::function<void(topic_read_result)>;
    using on_newest = std::function<void(newest_page)>;

    /// Changes the address for subsequent calls.
    void setEndpoint(ip_endpoint endpoint) { m_endpoint = std::move(endpoint); }
    [[nodiscard]] const ip_endpoint& endpoint() const noexcept { return m_endpoint; }
    /// @return The newest era that a response stated; see `noEra`.
    [[nodiscard]] uint64_t era() const noexcept { return m_era; }

    /// Appends records in order, all or none. The client never retries an append.
    [[nodiscard]] store_call append(std::string_view topic, std::span<const std::string> records, on_append done);

    /// Reads records, beginning at an offset.
    [[nodiscard]] store_call read(std::string_view topic, uint64_t from, read_timeouts timeouts, on_read done);

    /// Reads the newest record of each key greater than `after` in a keyed topic; an empty text precedes all keys.
    [[nodiscard]] store_call newest(std::string_view topic, std::string_view after, milliseconds timeout, on_newest done);

private:
    using on_response = std::function<void(http1::call_outcome outcome, unsigned status, const std::string& body, uint64_t era)>;
    [[nodiscard]] store_call send(http1::outgoing_request request, milliseconds timeout, on_response done);

    ip_endpoint m_endpoint;
    uint64_t m_era = noEra;
    http1::client m_client;
};

namespace detail {
    /// @return The body of an append: each record with its length in front.
    [[nodiscard]] std::string encodeRecords(std::span<const std::string> records);
    /// @return The result of a read, or `Malformed`.
    [[nodiscard]] topic_read_result decodeReadResponse(std::string_view body);
    /// @return The page; `isOk` is false if the response is malformed.
    [[nodiscard]] newest_page decodeNewestResponse(std::string_view body);
    /// @return The decoded bytes of a base64 text, or `std::nullopt` if it is malformed.
    [[nodiscard]] std::optional<std::string> decodeBase64(const std::string& text);
    /// @return An unsigned number in the store's byte order, most significant byte first.
    [[nodiscard]] std::string encodeBigEndian(uint64_t number, size_t bytes);
    [[nodiscard]] uint64_t decodeBigEndian(std::string_view bytes) noexcept;
}
}
