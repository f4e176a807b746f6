#include "platform/topic_follower.hpp"

#include <algorithm>

namespace bilberryseam::platform {

namespace {
    /// Pause after the first failure and the longest pause.
    constexpr milliseconds firstBackoff { 150 };
    constexpr milliseconds longestBackoff { 500 };

    /// While the store is away, reads are not held and are given up after this, so that its return is seen at once;
    /// each third one gets the whole time, for a store that is only slow.
    constexpr milliseconds probeTimeout { 700 };
    constexpr unsigned patientProbe = 3;

    /// The store may end the time for which it holds a read by so much too early.
    constexpr milliseconds heldTimeSlack { 50 };

    /// Failures in a row after which the pause no longer grows.
    constexpr unsigned mostDoublings = 4;
}

namespace detail {

    time_point freshAsOf(time_point sentAt, time_point answeredAt, milliseconds held, bool isEmpty) noexcept
    {
        const milliseconds sure = held - heldTimeSlack;
        const bool wasHeld = isEmpty && sure.count() > 0 && answeredAt - sentAt >= held;
        return wasHeld ? sentAt + sure : sentAt;
    }

    std::string encodeKeyedRecord(std::string_view key, std::string_view value)
    {
        return encodeBigEndian(key.size(), 1).append(key).append(value);
    }

    keyed_record decodeKeyedRecord(std::string_view record)
    {
        const size_t keyBytes = record.empty() ? 0 : static_cast<unsigned char>(record[0]);
        if (record.size() < 1 + keyBytes)
            return {};
        keyed_record made { std::string(record.substr(1, keyBytes)), std::nullopt };
        if (const std::string_view value = record.substr(1 + keyBytes); !value.empty())
            made.value = std::string(value);
        return made;
    }
}

store_call putKey(store_client& store, std::string_view topic, std::string_view key, std::string_view value, std::function<void(bool)> onEnd)
{
    const std::string records[] { detail::encodeKeyedRecord(key, value) };
    return store.append(topic, records, [onEnd = std::move(onEnd)](const append_result& reply) { onEnd(reply.outcome == append_outcome::Appended); });
}

topic_follower::topic_follower(store_client& store, std::string topic, follow_options options, follow_callbacks calls)
    : m_store(store)
    , m_topic(std::move(topic))
    , m_options(options)
    , m_calls(std::move(calls))
{
    next(milliseconds(0));
}

void topic_follower::readNow()
{
    if (m_timer.isRunning())
        next(milliseconds(0));
}

void topic_follower::next(milliseconds delay)
{
    m_timer.startOnce(delay, [this] {
        // Another store has offsets of its own.
        if (m_offset && m_offsetOf == m_store.endpoint())
            readTail();
        else
            readNewest({});
    });
}

void topic_follower::readNewest(const std::string& after)
{
    if (after.empty()) {
        m_page.clear();
        m_pageEnd.reset();
        m_offsetOf = m_store.endpoint();
        m_sentAt = monotonicNow();
    }
    m_call = m_store.newest(m_topic, after, waitOfNext().timeout, [this](newest_page page) { takeNewest(std::move(page)); });
}

void topic_follower::takeNewest(newest_page page)
{
    if (!page.isOk) {
        fail(page.detail);
        return;
    }
    for (auto& [key, value] : page.values)
        m_page[key] = std::move(value);
    // Later pages may be newer than the first, never older.
    if (!m_pageEnd)
        m_pageEnd = page.nextOffset;
    if (page.hasMore) {
        readNewest(page.lastKey);
        return;
    }
    m_offset = m_pageEnd;
    m_failures = 0;
    m_calls.onReadSuccess(m_sentAt);
    m_calls.onSnapshot(std::exchange(m_page, {}));
    next(m_options.pause);
}

void topic_follower::readTail()
{
    m_sentAt = monotonicNow();
    const read_timeouts wait = waitOfNext();
    m_call = m_store.read(m_topic, *m_offset, wait, [this, wait](const topic_read_result& slice) { takeTail(slice, wait.longPollWait); });
}

read_timeouts topic_follower::waitOfNext() const noexcept
{
    if (m_failures == 0)
        return { m_options.longPollWait, m_options.timeout };
    return { milliseconds(0), m_failures % patientProbe == 0 ? m_options.timeout : std::min(probeTimeout, m_options.timeout) };
}

void topic_follower::takeTail(const topic_read_result& slice, milliseconds held)
{
    if (slice.outcome == read_outcome::Expired) {
        // Expired history is not a failure of the store: the newest records are kept.
        m_offset.reset();
        next(milliseconds(0));
        return;
    }
    if (slice.outcome != read_outcome::Ok) {
        if (slice.outcome == read_outcome::Malformed)
            m_offset.reset();
        fail(slice.detail);
        return;
    }
    m_failures = 0;
    *m_offset += slice.records.size();
    m_calls.onReadSuccess(detail::freshAsOf(m_sentAt, monotonicNow(), held, slice.records.empty()));
    for (const std::string& record : slice.records) {
        // An unreadable record still has its offset.
        if (const keyed_record keyed = detail::decodeKeyedRecord(record); !keyed.key.empty())
            m_calls.onRecord(keyed);
    }
    next(m_options.pause);
}

void topic_follower::fail(std::string_view why)
{
    ++m_failures;
    m_calls.onReadFailure(why);
    next(std::min(longestBackoff, firstBackoff * (1 << std::min(m_failures, mostDoublings)) / 2));
}
}
