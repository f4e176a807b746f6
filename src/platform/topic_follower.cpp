#include "platform/topic_follower.hpp"

#include "telemetry/log.hpp"

#include <algorithm>

namespace bilberryseam::platform {

namespace {
    constexpr std::string_view logComponent = "store";

    /// Pause after the first failure, and limit for the pause after further ones.
    constexpr milliseconds initialBackoff { 150 };
    constexpr milliseconds maxBackoff { 500 };

    /// While the store is unreachable, reads use no long poll and this timeout, so that its recovery is detected immediately.
    /// Every third read uses the configured timeout, in case the store is only slow.
    constexpr milliseconds probeTimeout { 700 };
    constexpr unsigned fullTimeoutProbeInterval = 3;

    /// The store may end a long poll early by up to this time.
    constexpr milliseconds longPollSlack { 50 };

    /// Share of a long poll's wait from which on the age of what is known shortens it. Below, the wait would be shortened after
    /// each long poll that ended without a record, which proves nothing about its last milliseconds.
    constexpr double shorteningShare = 0.25;

    /// Share of the time between two reads after which a process asks its peer, and a process that is asked reads the store.
    /// Together they are one, so that what is relayed is no older than what is read.
    constexpr double askShare = 0.4;
    constexpr double relayedReadShare = 0.6;

    /// A process that was not asked for this long reads the store as if it had no peers.
    constexpr milliseconds askerTimeout { 8000 };
    constexpr milliseconds peerTimeout { 600 };
    /// Time by which a response may be older than the time between two reads of the peer.
    constexpr milliseconds relayDelay { 700 };

    /// While reads fail, one of so many goes to the store, the others to the peer.
    constexpr unsigned ownProbeInterval = 6;

    /// A snapshot is continued after a failed or abandoned call for this long after its first page, and then read anew: its
    /// records would be older than the time by which the record of a restarted target may lag.
    constexpr milliseconds maxSnapshotTime { 10000 };

    constexpr size_t maxHistoryRecords = 2000;
    constexpr size_t maxHistoryBytes = 1024 * 1024;
    constexpr size_t maxExtractRecords = 500;
    constexpr size_t maxExtractBytes = 256 * 1024;

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
    if (m_timer.isRunning() && !m_isAskingPeer)
        scheduleRead(milliseconds(0));
}

void topic_follower::restartRead()
{
    m_call.reset();
    m_isAskingPeer = false;
    m_mustReadStore = true;
    m_mustReadAtOnce = true;
    scheduleRead(milliseconds(0));
}

void topic_follower::scheduleRead(milliseconds delay)
{
    m_timer.startOnce(delay, [this] {
        // Offsets are valid only for the store that issued them.
        if (!m_offset || m_offsetEndpoint != m_store.endpoint())
            continueSnapshot();
        else if (!askPeer())
            readChanges();
    });
}

bool topic_follower::askPeer()
{
    // While the store is away, its return is noticed by the peer; some reads of its own show whether only the peer lacks it.
    const bool isOwnProbeDue = m_consecutiveFailures > 0 && m_consecutiveFailures % ownProbeInterval == 0;
    const bool mayAsk = m_peer.ask && !isOwnProbeDue && !std::exchange(m_mustReadStore, false);
    if (!mayAsk || !m_peer.ask(++m_queryNumber, m_era, *m_offset))
        return false;
    m_isAskingPeer = true;
    m_sentAt = monotonicNow();
    m_timer.startOnce(peerTimeout, [this] { onPeerFailure("no response"); });
    return true;
}

void topic_follower::onPeerFailure(std::string_view reason)
{
    m_isAskingPeer = false;
    m_timer.stop();
    m_peer.onFailure(reason);
    readChanges();
}

void topic_follower::handlePeer(const topic_extract& extract, uint64_t number)
{
    if (!m_isAskingPeer || number != m_queryNumber)
        return;
    if (extract.isUnavailable || extract.era != m_era) {
        m_isAskingPeer = false;
        m_timer.stop();
        // The peer responds, and is asked again.
        if (m_consecutiveFailures == 0)
            readChanges();
        else
            handleFailure("peer without the store");
        return;
    }
    if (extract.age > m_options.longPollWait + m_options.pause + relayDelay) {
        onPeerFailure("response too old");
        return;
    }
    m_isAskingPeer = false;
    m_consecutiveFailures = 0;
    m_offset = std::max(*m_offset, extract.nextOffset);
    if (!extract.hasMore)
        m_freshAsOf = std::max(m_freshAsOf, m_sentAt - extract.age);
    m_callbacks.onReadSuccess(m_freshAsOf);
    applyRecords(extract.records);
    scheduleRead(extract.hasMore ? milliseconds(0) : shareOfPeriod(m_options.longPollWait + m_options.pause, askShare));
}

topic_extract topic_follower::extractFrom(uint64_t era, uint64_t offset, time_point now)
{
    m_askedAt = now;
    topic_extract extract { m_era, offset, std::chrono::ceil<milliseconds>(now - m_freshAsOf), false, false, {} };
    const bool isKnown = m_offset && era == m_era && offset >= m_historyFrom && m_consecutiveFailures == 0;
    if (!isKnown) {
        extract.isUnavailable = true;
        return extract;
    }
    extract.nextOffset = std::max(offset, *m_offset);
    size_t bytes = 0;
    const auto first = std::lower_bound(m_history.begin(), m_history.end(), offset, [](const auto& record, uint64_t wanted) { return record.offset < wanted; });
    for (auto record = first; record != m_history.end(); ++record) {
        if (extract.records.size() >= maxExtractRecords || bytes >= maxExtractBytes) {
            extract.hasMore = true;
            extract.nextOffset = record->offset;
            break;
        }
        bytes += record->bytes.size();
        extract.records.push_back(*record);
    }
    return extract;
}

bool topic_follower::hasAskers() const noexcept
{
    return m_askedAt != time_point() && monotonicNow() - m_askedAt < askerTimeout;
}

milliseconds topic_follower::shareOfPeriod(milliseconds time, double share) const noexcept
{
    return milliseconds(static_cast<int64_t>(static_cast<double>(time.count()) * share));
}

void topic_follower::remember(const numbered_record& record)
{
    m_history.push_back(record);
    m_historyBytes += record.bytes.size();
    while (m_history.size() > maxHistoryRecords || m_historyBytes > maxHistoryBytes) {
        m_historyFrom = m_history.front().offset + 1;
        m_historyBytes -= m_history.front().bytes.size();
        m_history.pop_front();
    }
}

void topic_follower::forgetHistory(uint64_t nextOffset)
{
    m_history.clear();
    m_historyBytes = 0;
    m_historyFrom = nextOffset;
}

void topic_follower::applyRecords(std::span<const numbered_record> records)
{
    for (const auto& record : records) {
        // Unreadable records are skipped; the offset includes them.
        const keyed_record keyed = detail::decodeKeyedRecord(record.bytes);
        if (keyed.key.empty())
            continue;
        if (!m_callbacks.isRepetition || !m_callbacks.isRepetition(keyed))
            remember(record);
        m_callbacks.onRecord(keyed);
    }
    if (!records.empty() && m_callbacks.onRecordsApplied)
        m_callbacks.onRecordsApplied();
}

bool topic_follower::checkEra(uint64_t era)
{
    if (era == m_era)
        return false;
    logLine(log_level::Warning, logComponent, "The store returned from an older copy; the topic is read anew.", { { "topic", m_topic }, { "era", std::to_string(era) }, { "before", std::to_string(m_era) } });
    // Records may be missing until their writers have written them again.
    m_callbacks.onReadFailure("older copy");
    m_offset.reset();
    return true;
}

void topic_follower::continueSnapshot()
{
    const bool isInProgress = m_snapshotOffset && m_offsetEndpoint == m_store.endpoint() && monotonicNow() - m_sentAt < maxSnapshotTime;
    m_isSnapshotResumed = isInProgress;
    if (isInProgress)
        logLine(log_level::Info, logComponent, "The read of a topic was interrupted and is continued.", { { "topic", m_topic }, { "keys", std::to_string(m_snapshot.size()) } });
    readSnapshotPage(isInProgress ? m_snapshotLastKey : std::string());
}

void topic_follower::readSnapshotPage(const std::string& after)
{
    if (after.empty()) {
        m_isSnapshotResumed = false;
        m_snapshotEra = noEra;
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
    if (m_snapshotOffset && page.era != m_snapshotEra) {
        readSnapshotPage({});
        return;
    }
    m_snapshotEra = page.era;
    for (auto& [key, value] : page.values)
        m_snapshot[key] = std::move(value);
    // Later pages may be newer than the first one but never older, so changes are read from the offset of the first.
    if (!m_snapshotOffset)
        m_snapshotOffset = page.nextOffset;
    if (page.hasMore) {
        m_snapshotLastKey = page.lastKey;
        readSnapshotPage(page.lastKey);
        return;
    }
    m_offset = std::exchange(m_snapshotOffset, std::nullopt);
    m_era = m_snapshotEra;
    forgetHistory(*m_offset);
    m_consecutiveFailures = 0;
    m_freshAsOf = m_sentAt;
    m_callbacks.onReadSuccess(m_freshAsOf);
    m_callbacks.onSnapshot(std::exchange(m_snapshot, {}));
    // What changed while the snapshot was interrupted is read at once.
    scheduleRead(m_isSnapshotResumed ? milliseconds(0) : m_options.pause);
}

void topic_follower::readChanges()
{
    m_sentAt = monotonicNow();
    read_timeouts timeouts = nextReadTimeouts();
    if (std::exchange(m_mustReadAtOnce, false))
        timeouts.longPollWait = milliseconds(0);
    m_call = m_store.read(m_topic, *m_offset, timeouts, [this, timeouts](const topic_read_result& result) { handleChanges(result, timeouts.longPollWait); });
}

read_timeouts topic_follower::nextReadTimeouts() const noexcept
{
    if (m_consecutiveFailures == 0) {
        // What a read with records or a peer proved is older than the read. The store then holds the next read for less long,
        // so that the age stays near the time between two reads.
        const milliseconds wait = hasAskers() ? shareOfPeriod(m_options.longPollWait, relayedReadShare) : m_options.longPollWait;
        const auto age = std::chrono::ceil<milliseconds>(monotonicNow() - m_freshAsOf);
        return { age > shareOfPeriod(wait, shorteningShare) ? std::max(milliseconds(0), wait - age) : wait, m_options.timeout };
    }
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
    if (checkEra(result.era)) {
        scheduleRead(milliseconds(0));
        return;
    }
    m_consecutiveFailures = 0;
    const uint64_t firstOffset = *m_offset;
    *m_offset += result.records.size();
    // A read may return only the first of the records up to the end of the topic.
    const bool hasAllRecords = *m_offset >= result.nextOffset;
    if (hasAllRecords)
        m_freshAsOf = detail::freshAsOf(m_sentAt, monotonicNow(), longPollWait, result.records.empty());
    m_callbacks.onReadSuccess(m_freshAsOf);
    std::vector<numbered_record> records;
    for (const std::string& record : result.records)
        records.push_back({ firstOffset + records.size(), record });
    applyRecords(records);
    const milliseconds pause = hasAskers() ? shareOfPeriod(m_options.pause, relayedReadShare) : m_options.pause;
    scheduleRead(hasAllRecords || records.empty() ? pause : milliseconds(0));
}

void topic_follower::handleFailure(std::string_view reason)
{
    ++m_consecutiveFailures;
    m_callbacks.onReadFailure(reason);
    scheduleRead(std::min(maxBackoff, initialBackoff * (1 << std::min(m_consecutiveFailures, maxDoublings)) / 2));
}
}
