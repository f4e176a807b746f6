#include "platform/log_client.hpp"

namespace bilberryseam::platform {

namespace {
    constexpr size_t timeBytes = 8;

    /// A read that may start twice: again from the oldest record if the first one is no longer kept.
    struct reading {
        store_call call;
    };

    stream_read_result replyOf(const topic_read_result& slice, uint64_t from)
    {
        if (slice.outcome != read_outcome::Ok)
            return { false, 0, 0, {}, slice.detail };
        stream_read_result reply { true, slice.oldestOffset, slice.nextOffset, {}, "" };
        for (const std::string& record : slice.records)
            reply.records.push_back(detail::decodeStreamRecord(from + reply.records.size(), record));
        return reply;
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
    std::vector<std::string> stored;
    for (const std::string& text : records)
        stored.push_back(detail::encodeStreamRecord(nowMs, text));
    return m_store.append(stream, stored, std::move(done));
}

std::shared_ptr<void> log_client::read(std::string_view stream, uint64_t from, on_read done)
{
    auto handle = std::make_shared<reading>();
    // The call owns its callback, and the handle owns the call.
    handle->call = m_store.read(stream, from, {}, [this, weak = std::weak_ptr(handle), topic = std::string(stream), from, done = std::move(done)](const topic_read_result& slice) {
        const auto held = weak.lock();
        if (slice.outcome != read_outcome::Expired || !held) {
            done(replyOf(slice, from));
            return;
        }
        const uint64_t first = slice.oldestOffset;
        held->call = m_store.read(topic, first, {}, [done, first](const topic_read_result& rest) { done(replyOf(rest, first)); });
    });
    return handle;
}
}
