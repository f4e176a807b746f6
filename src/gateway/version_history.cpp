#include "gateway/version_history.hpp"

#include "platform/topic_follower.hpp"
#include "telemetry/log.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bilberryseam::gateway {

using nlohmann::json;

namespace {
    constexpr std::string_view topic = "keyed.versions";
    constexpr std::string_view logComponent = "versions";

    constexpr milliseconds loadTimeout { 500 };
    constexpr milliseconds writeRetryDelay { 500 };
    /// Pause after a failed read.
    constexpr milliseconds loadRetryDelay { 250 };
    /// After an outage in which this process started, others that started too read the record before it is replaced.
    constexpr milliseconds firstWriteDelay { 1000 };

    /// Callers come back with the streams that a restart broke off within this time after it.
    constexpr seconds restartTime { 15 };

    constexpr size_t maxVersions = 1000;

    error invalidRecord(std::string_view service, std::string_view problem)
    {
        return { error_kind::InvalidMessage, std::string(problem), "Run the same release on all entries.", service };
    }
}

namespace detail {

    const std::string* longestRunningVersion(const version_history::listings& listed, bool isOnlyInService) noexcept
    {
        const std::string* longest = nullptr;
        int64_t firstStartMs = 0;
        for (const auto& [version, listing] : listed) {
            if (listing.firstStartMs <= 0 || (isOnlyInService && !listing.isInService))
                continue;
            if (!longest || listing.firstStartMs < firstStartMs) {
                longest = &version;
                firstStartMs = listing.firstStartMs;
            }
        }
        return longest;
    }

    std::string encodeVersionRecord(const version_record& record)
    {
        return json { { "versions", record.versions }, { "changedAtMs", record.changedAt.time_since_epoch().count() } }.dump(-1, ' ', false, json::error_handler_t::replace);
    }

    result<version_record> decodeVersionRecord(std::string_view service, std::string_view text)
    {
        try {
            const json document = json::parse(text);
            const json& versions = document.at("versions");
            if (!versions.is_array() || versions.empty() || versions.size() > maxVersions)
                return invalidRecord(service, "The record has no valid list of versions.");
            version_record record;
            for (const json& version : versions)
                record.versions.insert(version.get<std::string>());
            const int64_t changedAtMs = document.at("changedAtMs");
            record.changedAt = wall_time(milliseconds(std::clamp<int64_t>(changedAtMs, 0, wallNow().time_since_epoch().count())));
            return record;
        } catch (const json::exception& problem) {
            return invalidRecord(service, problem.what());
        }
    }
}

version_history::version_history(platform::store_client& store, recovery_watch& recovery, listed_versions listed)
    : m_store(store)
    , m_recovery(recovery)
    , m_listed(std::move(listed))
    , m_startedAt(monotonicNow())
{
    // Before another entry that starts beside this one writes what it sees now.
    load([] {});
}

void version_history::load(on_loaded onLoaded)
{
    if (m_isLoaded) {
        onLoaded();
        return;
    }
    m_waiting.push_back(std::move(onLoaded));
    // The mark counts only for what is read after it.
    if (!std::exchange(m_isLoading, true))
        m_recovery.afterMarkRead([this] { readPage({}); });
}

void version_history::readPage(std::string_view after)
{
    m_loadCall = m_store.newest(topic, after, loadTimeout, [this](const platform::newest_page& page) { handlePage(page); });
}

void version_history::handlePage(const platform::newest_page& page)
{
    if (!page.isOk) {
        logLine(log_level::Warning, logComponent, "The versions that targets had before could not be read.", { { "problem", page.detail } });
        m_nextLoadAt = monotonicNow() + loadRetryDelay;
        finishLoad();
        return;
    }
    for (const auto& [service, text] : page.values)
        applyRecord(service, text);
    // An older copy may name a version that is not the only one any more.
    if (!m_recovery.isMarked(page.era))
        m_versionsBeforeStart.clear();
    if (page.hasMore) {
        readPage(page.lastKey);
        return;
    }
    m_isLoaded = true;
    if (m_nextLoadAt != time_point())
        m_firstWriteAt = monotonicNow() + firstWriteDelay;
    m_beginnings.clear();
    finishLoad();
}

void version_history::applyRecord(const std::string& service, std::string_view text)
{
    const auto decoded = detail::decodeVersionRecord(service, text);
    if (!decoded) {
        logLine(log_level::Warning, logComponent, "A record with the versions of a service could not be decoded; it may have named several.", { { "service", service }, { "problem", decoded.error().what() } });
        m_services[service].severalSeenAt = monotonicNow();
        return;
    }
    const auto& record = decoded.value();
    const time_point now = monotonicNow();
    const milliseconds age = wallNow() - record.changedAt;
    service_state& state = m_services[service];
    state.versions = record.versions;
    state.changedAt = record.changedAt;
    state.isWritten = true;
    state.recorded = record.versions;
    state.recordedEra = m_store.era();
    if (record.versions.size() > 1)
        state.severalSeenAt = now;
    else if (age < policy::streamOriginLifetime)
        state.severalSeenAt = now - age;
    else
        m_versionsBeforeStart[service] = *record.versions.begin();
}

void version_history::finishLoad()
{
    m_loadCall.reset();
    m_isLoading = false;
    for (const auto& onLoaded : std::exchange(m_waiting, {}))
        onLoaded();
}

void version_history::check(const std::string& service, time_point now)
{
    // What earlier processes saw must not be overwritten before it is known.
    if (!m_isLoaded) {
        if (!m_isLoading && now >= m_nextLoadAt)
            load([] {});
        return;
    }
    version_set listed;
    for (const auto& [version, listing] : m_listed(service))
        listed.insert(version);
    if (listed.empty())
        return;
    const auto [position, isNew] = m_services.try_emplace(service);
    service_state& state = position->second;
    checkEra(service, state);
    const bool isChanged = !isNew && state.versions != listed;
    if (isChanged || listed.size() > 1)
        state.severalSeenAt = now;
    if (!isNew && !isChanged)
        return;
    if (isChanged) {
        state.changedAt = wallNow();
        logLine(log_level::Info, logComponent, "The targets of a service have other software versions than before.", { { "service", service }, { "versions", std::to_string(listed.size()) } });
    }
    state.versions = std::move(listed);
    state.isWritten = false;
    if (now >= m_firstWriteAt)
        write(service);
    else
        m_writeRetry.startOnce(std::chrono::ceil<milliseconds>(m_firstWriteAt - now), [this] { writePending(); });
}

void version_history::checkEra(const std::string& service, service_state& state)
{
    if (state.recorded.empty() || state.recordedEra == m_store.era())
        return;
    logLine(log_level::Info, logComponent, "The store returned from an older copy; the software versions of a service are written again.", { { "service", service } });
    state.recorded.clear();
    state.isWritten = false;
    m_beginnings.erase(service);
    write(service);
}

bool version_history::mayBegin(const std::string& service, std::string_view version, time_point now)
{
    auto position = m_beginnings.find(service);
    if (position == m_beginnings.end() || position->second.decidedAt != now) {
        check(service, now);
        position = m_beginnings.insert_or_assign(service, beginnings { versionsToBegin(service), now }).first;
    }
    const auto& versions = position->second.versions;
    return versions.empty() || versions.contains(std::string(version));
}

version_history::version_set version_history::versionsToBegin(const std::string& service) const
{
    const listings listed = m_listed(service);
    if (!m_isLoaded) {
        // A version that joined while the store could not record it has not run for as long as one that is recorded.
        const std::string* longest = detail::longestRunningVersion(listed, true);
        return longest ? version_set { *longest } : version_set {};
    }
    const auto state = m_services.find(service);
    if (state == m_services.end())
        return {};
    const version_set& recorded = state->second.recorded;
    const bool isAnyInService = std::any_of(listed.begin(), listed.end(), [&recorded](const auto& item) { return item.second.isInService && recorded.contains(item.first); });
    return isAnyInService ? recorded : version_set {};
}

void version_history::write(const std::string& service)
{
    service_state& state = m_services.at(service);
    const std::string text = detail::encodeVersionRecord({ state.versions, state.changedAt });
    m_writes[service] = platform::putKey(m_store, topic, service, text, [this, service, written = state.versions, era = m_store.era()](bool isAcknowledged) {
        service_state& current = m_services.at(service);
        current.isWritten = isAcknowledged && current.versions == written;
        if (isAcknowledged) {
            current.recorded = written;
            current.recordedEra = era;
            m_beginnings.erase(service);
        }
        if (!current.isWritten)
            m_writeRetry.startOnce(writeRetryDelay, [this] { writePending(); });
    });
}

void version_history::writePending()
{
    for (const auto& [service, state] : m_services) {
        if (!state.isWritten)
            write(service);
    }
}

bool version_history::hadSeveral(const std::string& service, time_point now)
{
    check(service, now);
    const auto position = m_services.find(service);
    return position != m_services.end() && position->second.severalSeenAt && now - *position->second.severalSeenAt < policy::streamOriginLifetime;
}

bool version_history::mayHaveHadSeveral(const std::string& service, time_point now)
{
    return !m_isLoaded || hadSeveral(service, now) || m_recovery.isRecovering(now);
}

milliseconds version_history::recoveryTimeLeft(const std::string& service, time_point now)
{
    return m_isLoaded && !hadSeveral(service, now) ? m_recovery.timeLeft(now) : milliseconds(0);
}

bool version_history::isRecorded()
{
    if (!m_isLoaded)
        return false;
    bool isRecorded = true;
    for (auto& [service, state] : m_services) {
        checkEra(service, state);
        isRecorded = isRecorded && state.isWritten && state.recordedEra == m_store.era();
    }
    return isRecorded;
}

std::optional<std::string> version_history::versionBeforeStart(const std::string& service, time_point now)
{
    const auto position = m_versionsBeforeStart.find(service);
    if (position == m_versionsBeforeStart.end() || now - m_startedAt > restartTime)
        return std::nullopt;
    // Another version that has run for longer shows that the record could not be renewed.
    const listings listed = m_listed(service);
    const std::string* longest = detail::longestRunningVersion(listed, false);
    if (longest && *longest != position->second) {
        logLine(log_level::Warning, logComponent, "The recorded software version of a service is not the one that has run longest; it proves nothing about streams of unknown origin.", { { "service", service }, { "recorded", position->second }, { "longest", *longest } });
        m_versionsBeforeStart.erase(position);
        return std::nullopt;
    }
    return position->second;
}
}
