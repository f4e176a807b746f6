#include "gateway/entry_directory.hpp"

#include "base/json_numbers.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bilberryseam::gateway {

using nlohmann::json;

namespace {
    constexpr std::string_view topic = "keyed.entries";
    constexpr std::string_view logComponent = "directory";

    /// Pause between two reads; entries change rarely, and a lost connection shows at once which entry has stopped.
    constexpr milliseconds readPeriod { 4000 };
    /// Delay of an early read, so that several signs of new entries cause one read.
    constexpr milliseconds earlyReadDelay { 200 };
    constexpr milliseconds publishRetryDelay { 1000 };

    constexpr double maxWeight = 1e6;
}

std::string entry_record::encode() const
{
    return json { { "peerListen", peerListen.toString() }, { "weight", weight }, { "startedAtMs", startedAtMs }, { "failureDomain", failureDomain } }.dump();
}

result<entry_record> entry_record::decode(std::string_view name, std::string_view text)
{
    try {
        const json document = json::parse(text);
        entry_record record { std::string(name), ip_endpoint::parse(document.at("peerListen").get<std::string>(), name).value(), document.at("weight"), wholeNumber<int64_t>(document.at("startedAtMs"), "startedAtMs", 0, latestUnixMs), document.value("failureDomain", "") };
        if (!(record.weight > 0 && record.weight <= maxWeight))
            return error(error_kind::InvalidMessage, "The weight in an entry's record is out of range.", "Run the same release on all entries.", name);
        if (record.peerListen.port == 0)
            return error(error_kind::InvalidMessage, "The port in an entry's record is zero.", "Run the same release on all entries.", name);
        return record;
    } catch (const json::exception& problem) {
        return error(error_kind::InvalidMessage, problem.what(), "Run the same release on all entries.", name);
    } catch (const error& problem) {
        return problem;
    }
}

entry_directory::entry_directory(context& context, entry_record own, std::function<void()> onChange)
    : m_context(context)
    , m_own(std::move(own))
    , m_onChange(std::move(onChange))
    , m_follower(context.store, std::string(topic), { milliseconds(0), readPeriod }, followCallbacks())
{
    publishOwn();
}

void entry_directory::publishOwn()
{
    m_listedAt.reset();
    m_put = platform::putKey(m_context.store, topic, m_own.name, m_own.encode(), [this](bool isAcknowledged) {
        m_isPublished = isAcknowledged;
        if (isAcknowledged)
            m_listedAt = monotonicNow();
        if (!isAcknowledged)
            m_publishRetry.startOnce(publishRetryDelay, [this] { publishOwn(); });
    });
}

void entry_directory::scheduleRead()
{
    if (!m_scheduledRead.isRunning())
        m_scheduledRead.startOnce(earlyReadDelay, [this] { m_follower.readNow(); });
}

void entry_directory::withdraw()
{
    m_publishRetry.stop();
    m_isWithdrawn = true;
    m_listedAt.reset();
    m_put = platform::putKey(m_context.store, topic, m_own.name, {}, [](bool isAcknowledged) {
        if (!isAcknowledged)
            logLine(log_level::Warning, logComponent, "This entry could not remove its record from the store; other entries detect the stop by lost connections.");
    });
}

platform::follow_callbacks entry_directory::followCallbacks()
{
    platform::follow_callbacks callbacks;
    callbacks.onSnapshot = [this](std::map<std::string, std::string> newest) {
        // A store that returned from an older copy may lack the record.
        if (m_isPublished && !m_isWithdrawn && !newest.contains(m_own.name))
            publishOwn();
        m_others.clear();
        for (auto& [name, text] : newest)
            applyRecord({ name, std::move(text) });
        m_onChange();
    };
    callbacks.onRecord = [this](const platform::keyed_record& record) {
        applyRecord(record);
        m_isChanged = true;
    };
    // Rankings and connections follow once from all records of a read: hundreds of entries may start at the same time.
    callbacks.onRecordsApplied = [this] {
        if (std::exchange(m_isChanged, false))
            m_onChange();
    };
    callbacks.onReadSuccess = [this](time_point freshAsOf) { m_readAt = std::max(m_readAt, freshAsOf); };
    // The followers of the configuration and of the target list log an unreachable store.
    callbacks.onReadFailure = [](std::string_view) {};
    return callbacks;
}

void entry_directory::applyRecord(const platform::keyed_record& record)
{
    if (record.key == m_own.name)
        return;
    if (!record.value) {
        m_others.erase(record.key);
        logLine(log_level::Info, logComponent, "Another entry was removed from the directory.", { { "entry", record.key } });
        return;
    }
    const auto decoded = entry_record::decode(record.key, *record.value);
    if (!decoded) {
        logLine(log_level::Warning, logComponent, "The record of another entry could not be decoded and is ignored.", { { "entry", record.key }, { "problem", decoded.error().what() } });
        return;
    }
    m_others[record.key] = decoded.value();
    logLine(log_level::Info, logComponent, "Another entry is listed in the directory.", { { "entry", record.key }, { "address", decoded.value().peerListen.toString() } });
}
}
