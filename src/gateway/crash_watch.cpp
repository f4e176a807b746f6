#include "gateway/crash_watch.hpp"

#include "base/hash.hpp"
#include "telemetry/log.hpp"

#include <algorithm>

namespace bilberryseam::gateway {

namespace {
    constexpr std::string_view logComponent = "crashes";
    constexpr std::string_view topic = "keyed.crashes";

    /// Pause between two reads. Connected entries learn of verdicts at once; the store is for those that start or are cut off.
    constexpr milliseconds readPause { 4000 };

    /// Reports of one entry in the store; the next one replaces the oldest.
    constexpr size_t storedReports = 8;
    /// Shortest time between two reports of one entry in the store; a wave of crashes says no more than its first one.
    constexpr milliseconds storedReportPeriod { 1000 };
    constexpr size_t maxPuts = 64;

    /// Records older than this are removed by the entry that reads them.
    constexpr seconds recordLifetime { 24 * 3600 };

    /// Time by which the next entry in rank waits longer before it starts a trial.
    constexpr milliseconds trialRankDelay { 500 };

    /// Callers may retry a refused segment after this time if no trial is due.
    constexpr milliseconds retryLater { 60000 };
}

crash_watch::crash_watch(metrics& metrics, platform::store_client& store, std::string ownName, callbacks callbacks)
    : m_store(store)
    , m_ownName(std::move(ownName))
    , m_callbacks(std::move(callbacks))
    , m_probe(metrics, [this](const execution::probed_target& target, std::span<const std::vector<uint64_t>> requests, time_point at) { m_exchange.reportCrash(target.hash, target.name, requests, at); })
    , m_exchange(metrics, m_ownName, { m_callbacks.sendToAll, m_callbacks.onVerdict, [this](const wire::message& message) { storeChange(message); }, m_callbacks.sendToCollectors, m_callbacks.role })
    , m_follower(store, std::string(topic), { milliseconds(0), readPause }, followCallbacks())
{
}

void crash_watch::onBrokenRequest(const target_state& target, execution::broken_request request, time_point now)
{
    const uint64_t hash = hashOfPair(target.hash, static_cast<uint64_t>(target.listed.startedAtMs));
    m_probe.onBrokenRequest({ hash, target.listed.id, target.listed.endpoint }, std::move(request), now);
}

bool crash_watch::tryStartTrial(std::span<const uint64_t> segments, time_point now)
{
    const auto segment = m_exchange.refusedSegment(segments, now);
    return segment && m_exchange.tryStartTrial(segments, trialRankDelay * static_cast<int64_t>(m_callbacks.trialRankOf(*segment)), now);
}

milliseconds crash_watch::retryAfter(uint64_t segment, time_point now) const
{
    const milliseconds untilTrial = m_exchange.timeUntilTrial(segment, now);
    return untilTrial.count() > 0 ? std::min(untilTrial, retryLater) : retryLater;
}

void crash_watch::tick(time_point now)
{
    m_exchange.tick(now);
}

// The store.

void crash_watch::storeChange(const wire::message& message)
{
    std::string key;
    if (std::holds_alternative<wire::crash_report>(message)) {
        const time_point now = monotonicNow();
        if (m_nextReport > 0 && now - m_lastReportStoredAt < storedReportPeriod)
            return;
        m_lastReportStoredAt = now;
        key = "report/" + m_ownName + "/" + std::to_string(m_nextReport++ % storedReports);
    } else if (const auto* verdict = std::get_if<wire::segment_verdict>(&message))
        key = "segment/" + textOfHash(verdict->segment);
    else if (const auto* survival = std::get_if<wire::segment_survival>(&message))
        key = "segment/" + textOfHash(survival->segment);
    put(key, encodeCrashRecord({ message, wallNow() }));
}

void crash_watch::put(const std::string& key, const std::string& value)
{
    // A call is kept until later ones replace it; it has ended or timed out by then.
    if (m_puts.size() >= maxPuts)
        m_puts.pop_front();
    m_puts.push_back(platform::putKey(m_store, topic, key, value, [key](bool isAcknowledged) {
        if (!isAcknowledged)
            logLine(log_level::Warning, logComponent, "The store did not acknowledge a record about crashes; entries that start later may not learn of it.", { { "key", key } });
    }));
}

platform::follow_callbacks crash_watch::followCallbacks()
{
    platform::follow_callbacks callbacks;
    callbacks.onSnapshot = [this](const std::map<std::string, std::string>& newest) {
        for (const auto& [key, text] : newest)
            applyRecord(key, text);
        m_hasRecords = true;
    };
    callbacks.onRecord = [this](const platform::keyed_record& record) {
        if (record.value)
            applyRecord(record.key, *record.value);
    };
    callbacks.onReadSuccess = [](time_point) {};
    // The followers of the configuration and of the target list log an unreachable store.
    callbacks.onReadFailure = [](std::string_view) {};
    return callbacks;
}

void crash_watch::applyRecord(const std::string& key, const std::string& text)
{
    const auto record = decodeCrashRecord(key, text);
    if (!record) {
        logLine(log_level::Warning, logComponent, "A record about crashes could not be decoded and is ignored.", { { "key", key }, { "problem", record.error().what() } });
        return;
    }
    const wall_time now = wallNow();
    if (now - record.value().writtenAt > recordLifetime) {
        put(key, {});
        return;
    }
    static_cast<void>(m_exchange.handle(messageAsOf(record.value(), now), "store", monotonicNow()));
}
}
