#include "gateway/recovery_watch.hpp"

#include "base/hash.hpp"
#include "platform/topic_follower.hpp"
#include "telemetry/log.hpp"

#include <nlohmann/json.hpp>

namespace bilberryseam::gateway {

using nlohmann::json;

namespace {
    constexpr std::string_view topic = "keyed.recovery";
    constexpr std::string_view key = "era";
    constexpr std::string_view logComponent = "store";

    constexpr milliseconds callTimeout { 500 };
    constexpr milliseconds retryDelay { 500 };
    /// The processes look for the mark within this time after a recovery, so that few of them write it.
    constexpr uint64_t markSpreadMs = 1000;
    /// Time in which the target list is read once its records are back.
    constexpr milliseconds targetReadTime { 100 };
}

namespace detail {

    std::string encodeEraMark(uint64_t era)
    {
        return json { { "era", era } }.dump();
    }

    uint64_t decodeEraMark(std::string_view text)
    {
        const json document = json::parse(text, nullptr, false);
        const auto era = document.is_object() ? document.find("era") : document.end();
        return era != document.end() && era->is_number_unsigned() ? era->get<uint64_t>() : platform::noEra;
    }
}

recovery_watch::recovery_watch(metrics& metrics, platform::store_client& store, std::string_view ownName, std::function<bool()> isRecorded)
    : m_metrics(metrics)
    , m_store(store)
    , m_isRecorded(std::move(isRecorded))
    , m_markDelay(static_cast<int64_t>(hashOf(ownName) % markSpreadMs))
{
    readMark();
}

bool recovery_watch::isRecovering(time_point now)
{
    observeEra(now);
    return policy::isRecovering(m_recovery);
}

milliseconds recovery_watch::timeLeft(time_point now)
{
    return isRecovering(now) ? policy::rewriteTimeLeft(m_recovery, now) + targetReadTime : milliseconds(0);
}

bool recovery_watch::isReadComplete(time_point freshAsOf, time_point now)
{
    observeEra(now);
    return policy::isReadComplete(m_recovery, freshAsOf);
}

void recovery_watch::observeEra(time_point now)
{
    if (!policy::observeEra(m_recovery, m_store.era(), now))
        return;
    m_isTargetReadDue = true;
    m_metrics.count("store_eras_total");
    logLine(log_level::Info, logComponent, "The store is in an era that this process has not met before.", { { "era", std::to_string(m_recovery.era) }, { "may_lack_records", policy::isRecovering(m_recovery) ? "true" : "false" } });
}

void recovery_watch::onTargetsRead(time_point freshAsOf, time_point now)
{
    observeEra(now);
    if (policy::observeTargetRead(m_recovery, freshAsOf))
        logLine(log_level::Info, logComponent, "Records that the store may have lost are back.", { { "era", std::to_string(m_recovery.era) }, { "after_ms", std::to_string(asMilliseconds(now - m_recovery.eraSeenAt)) } });
}

bool recovery_watch::tick(time_point now)
{
    observeEra(now);
    const time_point rewrittenAt = m_recovery.eraSeenAt + policy::recordRewriteTime;
    if (!m_call && now >= m_nextCallAt) {
        const bool isMarkDue = m_recovery.era != m_markedEra && m_recovery.isComplete && now >= rewrittenAt + m_markDelay && m_isRecorded();
        // Another process may have written it meanwhile.
        if (!m_markReadAt || (isMarkDue && *m_markReadAt < rewrittenAt))
            readMark();
        else if (isMarkDue)
            writeMark();
    }
    return policy::isRecovering(m_recovery) && now >= rewrittenAt && std::exchange(m_isTargetReadDue, false);
}

void recovery_watch::afterMarkRead(std::function<void()> onTried)
{
    if (m_markReadAt) {
        onTried();
        return;
    }
    m_waiting.push_back(std::move(onTried));
    if (!m_call)
        readMark();
}

void recovery_watch::readMark()
{
    m_call = m_store.newest(topic, {}, callTimeout, [this](const platform::newest_page& page) { handleMark(page); });
}

void recovery_watch::handleMark(const platform::newest_page& page)
{
    const time_point now = monotonicNow();
    m_call.reset();
    if (page.isOk) {
        m_markReadAt = now;
        observeEra(now);
        const auto mark = page.values.find(std::string(key));
        if (mark != page.values.end() && detail::decodeEraMark(mark->second) == page.era) {
            m_markedEra = page.era;
            policy::observeMark(m_recovery, m_markedEra, now);
        }
    } else {
        logLine(log_level::Warning, logComponent, "It could not be read in which era the records of the store were complete.", { { "problem", page.detail } });
        m_nextCallAt = now + retryDelay;
    }
    for (const auto& onTried : std::exchange(m_waiting, {}))
        onTried();
}

void recovery_watch::writeMark()
{
    m_call = platform::putKey(m_store, topic, key, detail::encodeEraMark(m_recovery.era), [this, era = m_recovery.era](bool isAcknowledged) { handleMarkWritten(era, isAcknowledged); });
}

void recovery_watch::handleMarkWritten(uint64_t era, bool isAcknowledged)
{
    m_call.reset();
    m_metrics.count("store_era_marks_total", { { "outcome", isAcknowledged ? "written" : "failed" } });
    if (isAcknowledged)
        m_markedEra = era;
    else
        m_nextCallAt = monotonicNow() + retryDelay;
}
}
