/// The client of the platform's metadata store: appends to its topics and reads them.
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

/// Longest wait for an answer of the store, beyond the time that it may hold a read.
constexpr milliseconds storeTimeout { 2000 };

/// Most that one read returns, in KiB; a larger record comes alone.
constexpr uint32_t maxReadKib = 1024;

/// What became of an append.
enum class append_outcome {
    Appended,
    /// The store did not take it and will not.
    Refused,
    /// The answer is missing: the records may or may not be in the topic, now or later.
    Unknown,
};

struct append_result {
    append_outcome outcome = append_outcome::Unknown;
    /// Offset of the first record, if appended.
    uint64_t firstOffset = 0;
    /// What went wrong; for logs.
    std::string detail;
};

enum class read_outcome {
    Ok,
    /// The topic no longer keeps the records that were asked for.
    Expired,
    /// The answer cannot be read.
    Malformed,
    /// No answer, or the store refused.
    Failed,
};

/// Records of a topic, from the offset that was asked for.
struct topic_read_result {
    read_outcome outcome = read_outcome::Failed;
    /// Oldest offset that the topic still keeps.
    uint64_t oldestOffset = 0;
    /// Offset that the next append will get; unknown if `Expired`.
    uint64_t nextOffset = 0;
    std::vector<std::string> records;
    std::string detail;
};

/// Some of the newest records of a keyed topic, in the order of their keys.
struct newest_page {
    bool isOk = false;
    /// Values by key; those that cannot be decoded are left out.
    std::map<std::string, std::string> values;
    /// Last key of the page; the next page follows it.
    std::string lastKey;
    bool hasMore = false;
    /// Offset that the next append will get.
    uint64_t nextOffset = 0;
    std::string detail;
};

/// How long a read may take.
struct read_timeouts {
    /// How long the store may hold the read until there is a record; zero answers at once.
    milliseconds longPollWait { 0 };
    /// Longest wait for the answer, beyond `held`.
    milliseconds timeout = storeTimeout;
};

/// An exchange under way. Dropping it forgets the answer; the call may still have been executed.
using store_call = std::shared_ptr<http1::client_call>;

/// Calls the store at one address. Every topic has one partition.
class store_client {
public:
    explicit store_client(ip_endpoint endpoint)
        : m_endpoint(std::move(endpoint))
    {
    }

    using on_append = std::function<void(append_result)>;
    using on_read = std::function<void(topic_read_result)>;
    using on_newest = std::function<void(newest_page)>;

    /// Uses another address from the next call on.
    void setEndpoint(ip_endpoint endpoint) { m_endpoint = std::move(endpoint); }
    [[nodiscard]] const ip_endpoint& endpoint() const noexcept { return m_endpoint; }

    /// Appends records in order, all or none. Never repeated by itself.
    [[nodiscard]] store_call append(std::string_view topic, std::span<const std::string> records, on_append done);

    /// Reads records from an offset on.
    [[nodiscard]] store_call read(std::string_view topic, uint64_t from, read_timeouts timeouts, on_read done);

    /// Reads the newest record of each key that follows `after` in a keyed topic; an empty text is before all.
    [[nodiscard]] store_call newest(std::string_view topic, std::string_view after, milliseconds timeout, on_newest done);

private:
    using on_response = std::function<void(http1::call_outcome outcome, unsigned status, const std::string& body)>;
    [[nodiscard]] store_call send(http1::outgoing_request request, milliseconds timeout, on_response done);

    ip_endpoint m_endpoint;
    http1::client m_client;
};

namespace detail {
    /// @return The records of an append, each behind its length.
    [[nodiscard]] std::string encodeRecords(std::span<const std::string> records);
    /// @return The answer to a read, or `Malformed`.
    [[nodiscard]] topic_read_result decodeReadResponse(std::string_view body);
    /// @return The page; not `isOk` if it is malformed.
    [[nodiscard]] newest_page decodeNewestResponse(std::string_view body);
    /// @return The bytes of a base64 text, or nothing if it is malformed.
    [[nodiscard]] std::optional<std::string> decodeBase64(const std::string& text);
    /// @return An unsigned number as the store writes it, most significant byte first.
    [[nodiscard]] std::string encodeBigEndian(uint64_t number, size_t bytes);
    [[nodiscard]] uint64_t decodeBigEndian(std::string_view bytes) noexcept;
}
}
