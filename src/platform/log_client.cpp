#include "platform/log_client.hpp"

namespace bilberryseam::platform {

namespace {
    constexpr size_t timeBytes = 8;

    /// A read that is repeated from the oldest retained record if the requested offset has expired.
    struct read_operation {
        store_call call;
    };

    stream_read_result toReadResult(const topic_read_result& topicResult, uint64_t from)
    {
        if (topicResult.outcome != read_outcome::Ok)
            return { false, 0, 0, {}, topicResult.detail };
        stream_read_result result { true, topicResult.oldestOffset, topicResult.nextOffset, {}, "" };
        for (const std::string& record : topicResult.records)
            result.records.push_back(detail::decodeStreamRecord(from + result.records.size(), record));
        return result;
    }
}

namespace detail {

    std::string encodeStreamRecord(int64_t appendedMs, std::string_view text)
    {
        return encodeBigEndian(static_cast<uint64_t>(appendedMs), timeBytes).append(text);
    }

    stream_record decodeStreamRecord(uint64_t offset, std::string_view record)
    {
        if (record.size() < timeBytes)
            return { offset, 0, "" };
        return { offset, static_cast<int64_t>(decodeBigEndian(record.substr(0, timeBytes))), std::string(record.substr(timeBytes)) };
    }
}

store_call log_client::append(std::string_view stream, std::span<const std::string> records, on_append done)
{
    const int64_t nowMs = wallNow().time_since_epoch().count();
    std::vector<std::string> encodedRecords;
    for (const std::string& text : records)
        encodedRecords.push_back(detail::encodeStreamRecord(nowMs, text));
    return m_store.append(stream, encodedRecords, std::move(done));
}

std::shared_ptr<void> log_client::read(std::string_view stream, uint64_t from, on_read done)
{
    auto handle = std::make_shared<read_operation>();
    // The handle owns the call and the call owns this callback, so a strong reference would be a cycle.
    handle->call = m_store.read(stream, from, {}, [this, weak = std::weak_ptr(handle), topic = std::string(stream), from, done = std::move(done)](const topic_read_result& topicResult) {
        const auto operation = weak.lock();
        if (topicResult.outcome != read_outcome::Expired || !operation) {
            done(toReadResult(topicResult, from));
            return;
        }
        const uint64_t oldest = topicResult.oldestOffset;
        operation->call = m_store.read(topic, oldest, {}, [done, oldest](const topic_read_result& retryResult) { done(toReadResult(retryResult, oldest)); });
    });
    return handle;
}
}
