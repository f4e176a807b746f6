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

    /// Callers come back with the streams that a restart broke off within this time after it.
    constexpr seconds restartTime { 15 };

    constexpr size_t maxVersions = 64;

    error invalidRecord(std::string_view service, std::string_view problem)
    {
        return { error_kind::InvalidMessage, std::string(problem), "Run the same release on all entries.", service };
    }
}

namespace detail {

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

version_history::version_history(platform::store_client& store, listed_versions listed)
    : m_store(store)
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
    if (!m_loadCall)
        m_loadCall = m_store.newest(topic, {}, loadTimeout, [this](const platform::newest_page& page) { handlePage(page); });
}

void version_history::handlePage(const platform::newest_page& page)
{
    if (!page.isOk) {
        logLine(log_level::Warning, logComponent, "The versions that targets had before could not be read.", { { "problem", page.detail } });
        finishLoad();
        return;
    }
    for (const auto& [service, text] : page.values)
        applyRecord(service, text);
    if (page.hasMore) {
        m_loadCall = m_store.newest(topic, page.lastKey, loadTimeout, [this](const platform::newest_page& next) { handlePage(next); });
        return;
    }
    m_isLoaded = true;
    finishLoad();
}

void version_history::applyRecord(const std::string& service, std::string_view text)
{
    const auto decoded = detail::decodeVersionRecord(service, text);
    if (!decoded) {
        logLine(log_level::Warning, logComponent, "A record with the versions of a service could not be decoded and is ignored.", { { "service", service }, { "problem", decoded.error().what() } });
        return;
    }
    const auto& record = decoded.value();
    const time_point now = monotonicNow();
    const milliseconds age = wallNow() - record.changedAt;
    service_state& state = m_services[service];
    state.versions = record.versions;
    state.changedAt = record.changedAt;
    state.isWritten = true;
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
    for (const auto& onLoaded : std::exchange(m_waiting, {}))
        onLoaded();
}

void version_history::check(const std::string& service, time_point now)
{
    // What earlier processes saw must not be overwritten before it is known.
    if (!m_isLoaded) {
        if (!m_loadCall)
            load([] {});
        return;
    }
    version_set listed = m_listed(service);
    if (listed.empty())
        return;
    const auto [position, isNew] = m_services.try_emplace(service);
    service_state& state = position->second;
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
    write(service);
}

void version_history::write(const std::string& service)
{
    service_state& state = m_services.at(service);
    const std::string text = detail::encodeVersionRecord({ state.versions, state.changedAt });
    m_writes[service] = platform::putKey(m_store, topic, service, text, [this, service, written = state.versions](bool isAcknowledged) {
        service_state& current = m_services.at(service);
        current.isWritten = isAcknowledged && current.versions == written;
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
    return !m_isLoaded || hadSeveral(service, now);
}

std::optional<std::string> version_history::versionBeforeStart(std::string_view service, time_point now) const
{
    const auto position = m_versionsBeforeStart.find(service);
    if (position == m_versionsBeforeStart.end() || now - m_startedAt > restartTime)
        return std::nullopt;
    return position->second;
}
}
