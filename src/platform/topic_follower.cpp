#include "platform/topic_follower.hpp"

#include <algorithm>

namespace bilberryseam::platform {

namespace {
    /// Pause after the first failure, and limit for the pause after further ones.
    constexpr milliseconds initialBackoff { 150 };
    constexpr milliseconds maxBackoff { 500 };

    /// While the store is unreachable, reads use no long poll and this timeout, so that its recovery is detected immediately.
    /// Every third read uses the configured timeout, in case the store is only slow.
    constexpr milliseconds probeTimeout { 700 };
    constexpr unsigned fullTimeoutProbeInterval = 3;

    /// The store may end a long poll early by up to this time.
    constexpr milliseconds longPollSlack { 50 };

    /// Number of consecutive failures after which the pause no longer grows.
    constexpr unsigned maxDoublings = 4;
}

namespace detail {

    time_point freshAsOf(time_point sentAt, time_point respondedAt, milliseconds longPollWait, bool isEmpty) noexcept
    {
        const milliseconds guaranteedWait = longPollWait - longPollSlack;
        const bool wasHeld = isEmpty && guaranteedWait.count() > 0 && respondedAt - sentAt >= longPollWait;
        return wasHeld ? sentAt + guaranteedWait : sentAt;
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
        keyed_record result { std::string(record.substr(1, keyBytes)), std::nullopt };
        if (const std::string_view value = record.substr(1 + keyBytes); !value.empty())
            result.value = std::string(value);
        return result;
    }
}

store_call putKey(store_client& store, std::string_view topic, std::string_view key, std::string_view value, std::function<void(bool)> onDone)
{
    const std::string records[] { detail::encodeKeyedRecord(key, value) };
    return store.append(topic, records, [onDone = std::move(onDone)](const append_result& result) { onDone(result.outcome == append_outcome::Appended); });
}

topic_follower::topic_follower(store_client& store, std::string topic, follow_options options, follow_callbacks callbacks)
    : m_store(store)
    , m_topic(std::move(topic))
    , m_options(options)
    , m_callbacks(std::move(callbacks))
{
    scheduleRead(milliseconds(0));
}

void topic_follower::readNow()
{
    if (m_timer.isRunning())
        scheduleRead(milliseconds(0));
}

void topic_follower::restartRead()
{
    m_call.reset();
    scheduleRead(milliseconds(0));
}

void topic_follower::scheduleRead(milliseconds delay)
{
    m_timer.startOnce(delay, [this] {
        // Offsets are valid only for the store that issued them.
        if (m_offset && m_offsetEndpoint == m_store.endpoint())
            readChanges();
        else
            readSnapshotPage({});
    });
}

void topic_follower::readSnapshotPage(const std::string& after)
{
    if (after.empty()) {
        m_snapshot.clear();
        m_snapshotOffset.reset();
        m_offsetEndpoint = m_store.endpoint();
        m_sentAt = monotonicNow();
    }
    m_call = m_store.newest(m_topic, after, nextReadTimeouts().timeout, [this](newest_page page) { handleSnapshotPage(std::move(page)); });
}

void topic_follower::handleSnapshotPage(newest_page page)
{
    if (!page.isOk) {
        handleFailure(page.detail);
        return;
    }
    for (auto& [key, value] : page.values)
        m_snapshot[key] = std::move(value);
    // Later pages may be newer than the first one but never older, so changes are read from the offset of the first.
    if (!m_snapshotOffset)
        m_snapshotOffset = page.nextOffset;
    if (page.hasMore) {
        readSnapshotPage(page.lastKey);
        return;
    }
    m_offset = m_snapshotOffset;
    m_consecutiveFailures = 0;
    m_freshAsOf = m_sentAt;
    m_callbacks.onReadSuccess(m_freshAsOf);
    m_callbacks.onSnapshot(std::exchange(m_snapshot, {}));
    scheduleRead(m_options.pause);
}

void topic_follower::readChanges()
{
    m_sentAt = monotonicNow();
    const read_timeouts timeouts = nextReadTimeouts();
    m_call = m_store.read(m_topic, *m_offset, timeouts, [this, timeouts](const topic_read_result& result) { handleChanges(result, timeouts.longPollWait); });
}

read_timeouts topic_follower::nextReadTimeouts() const noexcept
{
    if (m_consecutiveFailures == 0)
        return { m_options.longPollWait, m_options.timeout };
    return { milliseconds(0), m_consecutiveFailures % fullTimeoutProbeInterval == 0 ? m_options.timeout : std::min(probeTimeout, m_options.timeout) };
}

void topic_follower::handleChanges(const topic_read_result& result, milliseconds longPollWait)
{
    if (result.outcome == read_outcome::Expired) {
        // An expired offset is not a failure of the store, which retains the newest record of each key.
        m_offset.reset();
        scheduleRead(milliseconds(0));
        return;
    }
    if (result.outcome != read_outcome::Ok) {
        if (result.outcome == read_outcome::Malformed)
            m_offset.reset();
        handleFailure(result.detail);
        return;
    }
    m_consecutiveFailures = 0;
    *m_offset += result.records.size();
    // A read may return only the first of the records up to the end of the topic.
    const bool hasAllRecords = *m_offset >= result.nextOffset;
    if (hasAllRecords)
        m_freshAsOf = detail::freshAsOf(m_sentAt, monotonicNow(), longPollWait, result.records.empty());
    m_callbacks.onReadSuccess(m_freshAsOf);
    for (const std::string& record : result.records) {
        // Unreadable records are skipped; the offset above includes them.
        if (const keyed_record keyed = detail::decodeKeyedRecord(record); !keyed.key.empty())
            m_callbacks.onRecord(keyed);
    }
    scheduleRead(hasAllRecords || result.records.empty() ? m_options.pause : milliseconds(0));
}

void topic_follower::handleFailure(std::string_view reason)
{
    ++m_consecutiveFailures;
    m_callbacks.onReadFailure(reason);
    scheduleRead(std::min(maxBackoff, initialBackoff * (1 << std::min(m_consecutiveFailures, maxDoublings)) / 2));
}
}
