#include "gateway/stream_directory.hpp"

#include "base/hash.hpp"
#include "telemetry/log.hpp"

#include <algorithm>
#include <limits>

namespace bilberryseam::gateway {

namespace {
    constexpr std::string_view logComponent = "streams";

    /// Entries that keep an origin besides the one that began the stream.
    constexpr size_t copies = 2;

    /// A search ends after this time; it allows two round trips between regions.
    constexpr milliseconds maxSearchTime { 150 };

    constexpr size_t maxSearches = 10000;

    /// Origins that are sent to an entry that has started; more would occupy both while callers wait.
    constexpr size_t maxResent = 500;

    /// Time between two checks which origins are proven.
    constexpr milliseconds proofPeriod { 250 };

    uint32_t ageOf(const policy::stream_origin& origin, time_point now)
    {
        return static_cast<uint32_t>(std::clamp<int64_t>(asMilliseconds(now - origin.beganAt), 0, std::numeric_limits<uint32_t>::max()));
    }

    wire::message toMessage(uint64_t stream, const policy::stream_origin& origin, time_point now)
    {
        return wire::stream_begun { stream, origin.softwareVersion, origin.target, ageOf(origin, now), origin.run, static_cast<uint32_t>(origin.evidence) };
    }

    /// @return False for what only the archive tells, which others read themselves: messages state no uncertainty.
    bool isTellable(const policy::stream_origin& origin) noexcept
    {
        return origin.uncertainty.count() == 0 || origin.evidence == policy::origin_evidence::LaterRecord;
    }
}

stream_directory::stream_directory(metrics& metrics, platform::store_client& store, recovery_watch& recovery, std::string ownName, callbacks callbacks)
    : m_metrics(metrics)
    , m_ownName(std::move(ownName))
    , m_callbacks(std::move(callbacks))
    , m_versions(store, recovery, m_callbacks.listedVersions)
    , m_archive(metrics, store,
          origin_archive::callbacks { [this](const std::string& service, time_point now) { return m_versions.hadSeveral(service, now); },
              [this](uint64_t stream, time_point now) { return lookUp(stream, now); },
              [this](uint64_t stream, policy::stream_origin origin) { policy::addOrigin(m_origins, stream, origin); },
              m_callbacks.entryCount })
{
}

std::vector<std::string_view> stream_directory::othersFor(uint64_t stream, size_t count) const
{
    auto keepers = policy::originKeepers(m_callbacks.keepers(), stream, count + 1);
    std::erase(keepers, std::string_view(m_ownName));
    keepers.resize(std::min(keepers.size(), count));
    return keepers;
}

void stream_directory::tell(uint64_t stream, const policy::stream_origin& origin, time_point now) const
{
    for (const auto entry : othersFor(stream, copies)) {
        if (!m_callbacks.send(entry, toMessage(stream, origin, now)))
            m_metrics.count("stream_origins_not_sent_total");
        // The event follows at once, and this entry may end right after it.
        m_callbacks.flush(entry);
    }
}

void stream_directory::record(uint64_t stream, const std::string& service, const policy::stream_origin& origin)
{
    const time_point now = origin.beganAt;
    m_versions.check(service, now);
    if (!policy::addOrigin(m_origins, stream, origin))
        return;
    tell(stream, m_origins.byStream.at(stream), now);
    m_archive.add(service, stream, now);
}

void stream_directory::onVersionChanged(uint64_t target, const std::string& service, time_point now)
{
    const auto streams = policy::doubtOriginsOf(m_origins, target, now);
    for (const uint64_t stream : streams) {
        tell(stream, m_origins.byStream.at(stream), now);
        m_archive.add(service, stream, now);
    }
    if (!streams.empty())
        logLine(log_level::Info, logComponent, "A target restarted with another software version; it is doubtful which one began its last streams.", { { "target", textOfHash(target) }, { "streams", std::to_string(streams.size()) } });
}

const policy::stream_origin* stream_directory::lookUp(uint64_t stream, time_point now)
{
    const auto* origin = policy::findOrigin(m_origins, stream, now);
    if (!origin || origin->isCertain() || origin->softwareVersion.empty())
        return origin;
    // The doubt is about one run at one moment; a record of that run which was written later ends it.
    const policy::target_run* run = m_callbacks.runOf(origin->target);
    if (run && policy::isProvenBy(*origin, *run, now, wallNow()))
        m_origins.byStream.at(stream).evidence = policy::origin_evidence::LaterRecord;
    return origin;
}

void stream_directory::find(uint64_t stream, const std::string& service, time_point now, on_origin onFound)
{
    // Another entry may have seen a record that proves a doubtful origin.
    if (const auto* origin = lookUp(stream, now); origin && origin->isCertain()) {
        onFound({ *origin, true, m_ownName, false });
        return;
    }
    // The entry that began the stream may itself be one of those that keep it, so one more than the copies may know it.
    const auto others = othersFor(stream, copies + 1);
    const auto position = m_searches.find(stream);
    if (position != m_searches.end()) {
        position->second.waiting.push_back(std::move(onFound));
        return;
    }
    search newSearch { service, {}, {}, true, now + maxSearchTime };
    for (const auto entry : others) {
        if (m_searches.size() < maxSearches && m_callbacks.send(entry, wire::stream_query { stream }))
            newSearch.asked.emplace_back(entry);
        else
            newSearch.isComplete = false;
    }
    newSearch.waiting.push_back(std::move(onFound));
    if (newSearch.asked.empty())
        searchStore(stream, std::move(newSearch));
    else
        m_searches.emplace(stream, std::move(newSearch));
}

bool stream_directory::handle(const wire::message& message, std::string_view from, const std::function<void(wire::message)>& reply, time_point now)
{
    if (const auto* begun = std::get_if<wire::stream_begun>(&message)) {
        const bool isPlausible = begun->softwareVersion.size() <= deployment::maxSoftwareVersionBytes;
        policy::addOrigin(m_origins, begun->stream, { isPlausible ? begun->softwareVersion : "", begun->target, now - milliseconds(begun->ageMs), begun->run, policy::evidenceOf(begun->evidence) });
        onResponse(begun->stream, from, now);
    } else if (const auto* query = std::get_if<wire::stream_query>(&message)) {
        const auto* origin = lookUp(query->stream, now);
        reply(origin && isTellable(*origin) ? toMessage(query->stream, *origin, now) : wire::stream_unknown { query->stream });
    } else if (const auto* unknown = std::get_if<wire::stream_unknown>(&message)) {
        onResponse(unknown->stream, from, now);
    } else
        return false;
    return true;
}

void stream_directory::onResponse(uint64_t stream, std::string_view from, time_point now)
{
    const auto position = m_searches.find(stream);
    if (position == m_searches.end())
        return;
    const bool wasAsked = std::erase(position->second.asked, from) > 0;
    const auto* origin = lookUp(stream, now);
    if ((origin && origin->isCertain()) || (wasAsked && position->second.asked.empty()))
        finish(stream, origin ? from : std::string_view(), now);
}

void stream_directory::finish(uint64_t stream, std::string_view knownBy, time_point now)
{
    auto finished = m_searches.extract(stream);
    if (finished.empty())
        return;
    search& ended = finished.mapped();
    const auto* origin = lookUp(stream, now);
    if (!origin) {
        searchStore(stream, std::move(ended));
        return;
    }
    m_metrics.count("stream_searches_total", { { "outcome", "found" } });
    const found_origin found { *origin, true, std::string(knownBy), false };
    for (const auto& onFound : ended.waiting)
        onFound(found);
}

void stream_directory::searchStore(uint64_t stream, search ended)
{
    const bool isComplete = ended.isComplete && ended.asked.empty();
    m_versions.load([this, stream, isComplete, service = std::move(ended.service), waiting = std::move(ended.waiting)] {
        m_archive.read([this, stream, isComplete, service, waiting] {
            const found_origin found = concludeFromStore(stream, service, isComplete);
            for (const auto& onFound : waiting)
                onFound(found);
        });
    });
}

stream_directory::found_origin stream_directory::concludeFromStore(uint64_t stream, const std::string& service, bool isComplete)
{
    const time_point now = monotonicNow();
    found_origin found { std::nullopt, isComplete, {}, false };
    if (const auto* origin = lookUp(stream, now))
        found = { *origin, true, "store", false };
    else if (m_versions.mayHaveHadSeveral(service, now)) {
        const auto version = m_versions.versionBeforeStart(service, now);
        if (version)
            found = { policy::stream_origin { *version, 0, now }, true, "versions", false };
        else
            found.mayHaveHadOtherVersions = true;
    }
    m_metrics.count("stream_searches_total", { { "outcome", found.origin ? "found" : "unknown" } });
    return found;
}

void stream_directory::sendKept(std::string_view entry, time_point now) const
{
    size_t sent = 0;
    for (auto stream = m_origins.order.rbegin(); stream != m_origins.order.rend() && sent < maxResent; ++stream) {
        const auto* origin = policy::findOrigin(m_origins, *stream, now);
        const auto keepers = policy::originKeepers(m_callbacks.keepers(), *stream, copies + 1);
        if (!origin || !isTellable(*origin) || std::find(keepers.begin(), keepers.end(), entry) == keepers.end())
            continue;
        static_cast<void>(m_callbacks.send(entry, toMessage(*stream, *origin, now)));
        ++sent;
    }
}

void stream_directory::tick(time_point now)
{
    policy::removeExpiredOrigins(m_origins, now);
    if (now >= m_nextProofAt) {
        m_nextProofAt = now + proofPeriod;
        policy::proveOrigins(m_origins, m_callbacks.runOf, now, wallNow());
    }
    m_archive.tick(now);
    std::vector<uint64_t> overdue;
    for (const auto& [stream, search] : m_searches) {
        if (now >= search.endsAt)
            overdue.push_back(stream);
    }
    for (const uint64_t stream : overdue)
        finish(stream, {}, now);
}
}
