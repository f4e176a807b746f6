#include "gateway/origin_archive.hpp"

#include "base/result.hpp"
#include "deployment/deployment.hpp"
#include "telemetry/log.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bilberryseam::gateway {

using nlohmann::json;

namespace {
    constexpr std::string_view topic = "stream-origins";
    constexpr std::string_view logComponent = "streams";

    /// Time between two writes of one entry, and the part of it for each entry of the deployment, so that all of them together
    /// make at most 200 writes a second.
    constexpr milliseconds minWritePeriod { 250 };
    constexpr milliseconds writePeriodPerEntry { 5 };

    /// Pause after a failed write.
    constexpr milliseconds failedWritePause { 1000 };

    /// Time between two reads; requests that arrive meanwhile share the next one.
    constexpr milliseconds readPeriod { 50 };
    constexpr milliseconds readTimeout { 500 };
    /// The oldest records may expire between two calls of one read.
    constexpr unsigned maxExpiredReads = 3;

    /// Most streams in one record.
    constexpr size_t maxStreams = 1000;
    /// Most streams that wait to be written; the newest are kept.
    constexpr size_t maxPending = 20000;

    error invalidRecord(std::string_view problem)
    {
        return { error_kind::InvalidMessage, std::string(problem), "Run the same release on all entries.", topic };
    }
}

namespace detail {

    std::string encodeArchivedOrigins(const archived_origins& origins)
    {
        json streams = json::array();
        for (const auto& item : origins.streams)
            streams.push_back({ item.stream, item.softwareVersion, item.target, item.age.count(), item.run, static_cast<uint32_t>(item.evidence) });
        return json { { "service", origins.service }, { "writtenAtMs", origins.writtenAt.time_since_epoch().count() }, { "streams", std::move(streams) } }.dump(-1, ' ', false, json::error_handler_t::replace);
    }

    result<archived_origins> decodeArchivedOrigins(std::string_view text)
    {
        constexpr int64_t maxAgeMs = asMilliseconds(policy::streamOriginLifetime);
        try {
            const json document = json::parse(text);
            const int64_t writtenAtMs = document.at("writtenAtMs");
            archived_origins origins { document.at("service"), wall_time(milliseconds(std::clamp<int64_t>(writtenAtMs, 0, wallNow().time_since_epoch().count()))), {} };
            const json& streams = document.at("streams");
            if (!streams.is_array() || streams.size() > maxStreams)
                return invalidRecord("The record has no valid list of streams.");
            for (const json& item : streams) {
                archived_origins::item origin { item.at(0), item.at(1), item.at(2), milliseconds(std::clamp<int64_t>(item.at(3), 0, maxAgeMs)) };
                // Earlier releases write no more than that.
                if (item.size() > 4) {
                    origin.run = item.at(4);
                    origin.evidence = policy::evidenceOf(item.at(5));
                }
                if (origin.softwareVersion.size() > deployment::maxSoftwareVersionBytes)
                    origin.softwareVersion.clear();
                origins.streams.push_back(std::move(origin));
            }
            return origins;
        } catch (const json::exception& problem) {
            return invalidRecord(problem.what());
        }
    }
}

origin_archive::origin_archive(metrics& metrics, platform::store_client& store, callbacks callbacks)
    : m_metrics(metrics)
    , m_store(store)
    , m_callbacks(std::move(callbacks))
{
}

void origin_archive::add(const std::string& service, uint64_t stream, time_point now)
{
    auto& pending = m_pending[service];
    pending.push_back(stream);
    if (pending.size() > maxPending)
        pending.pop_front();
    if (now >= m_nextWriteAt)
        write(now);
}

void origin_archive::tick(time_point now)
{
    if (now >= m_nextWriteAt)
        write(now);
}

void origin_archive::write(time_point now)
{
    if (m_writeCall)
        return;
    m_nextWriteAt = now + std::max(minWritePeriod, writePeriodPerEntry * static_cast<int64_t>(m_callbacks.entryCount()));
    std::vector<std::string> records;
    std::map<std::string, std::deque<uint64_t>, std::less<>> written;
    for (auto& [service, pending] : m_pending) {
        while (!pending.empty() && !m_callbacks.find(pending.front(), now))
            pending.pop_front();
        if (pending.empty() || !m_callbacks.hadSeveralVersions(service, now))
            continue;
        detail::archived_origins record { service, wallNow(), {} };
        auto& streams = written[service];
        while (!pending.empty() && record.streams.size() < maxStreams) {
            const uint64_t stream = pending.front();
            pending.pop_front();
            const auto* origin = m_callbacks.find(stream, now);
            if (!origin)
                continue;
            record.streams.push_back({ stream, origin->softwareVersion, origin->target, std::chrono::duration_cast<milliseconds>(now - origin->beganAt), origin->run, origin->evidence });
            streams.push_back(stream);
        }
        records.push_back(detail::encodeArchivedOrigins(record));
    }
    std::erase_if(m_pending, [](const auto& item) { return item.second.empty(); });
    if (records.empty())
        return;
    m_writeCall = m_store.append(topic, records, [this, written = std::move(written)](const platform::append_result& result) {
        const bool isAppended = result.outcome == platform::append_outcome::Appended;
        m_metrics.count("stream_origin_writes_total", { { "outcome", isAppended ? "written" : "failed" } });
        if (!isAppended) {
            logLine(log_level::Warning, logComponent, "Origins of streams could not be written to the store and are written again.", { { "problem", result.detail } });
            m_nextWriteAt = monotonicNow() + failedWritePause;
            for (const auto& [service, streams] : written)
                m_pending[service].insert(m_pending[service].begin(), streams.begin(), streams.end());
        }
        m_writeCall.reset();
    });
}

void origin_archive::read(on_read onDone)
{
    m_waiting.push_back(std::move(onDone));
    if (m_readCall || m_readTimer.isRunning())
        return;
    const time_point now = monotonicNow();
    m_readTimer.startOnce(std::max(milliseconds(0), std::chrono::ceil<milliseconds>(m_nextReadAt - now)), [this] { startRead(); });
}

void origin_archive::startRead()
{
    m_nextReadAt = monotonicNow() + readPeriod;
    m_reading = std::exchange(m_waiting, {});
    m_expiredReads = 0;
    continueRead();
}

void origin_archive::continueRead()
{
    m_readCall = m_store.read(topic, m_offset, { milliseconds(0), readTimeout }, [this](const platform::topic_read_result& result) { handleRead(result); });
}

void origin_archive::handleRead(const platform::topic_read_result& result)
{
    if (result.outcome == platform::read_outcome::Expired) {
        m_offset = result.oldestOffset;
        if (++m_expiredReads > maxExpiredReads)
            finishRead("failed");
        else
            continueRead();
        return;
    }
    if (result.outcome != platform::read_outcome::Ok) {
        logLine(log_level::Warning, logComponent, "Origins of streams could not be read from the store.", { { "problem", result.detail } });
        finishRead("failed");
        return;
    }
    // Offsets are given out again in another era.
    if (std::exchange(m_era, result.era) != result.era && m_offset != 0) {
        m_offset = 0;
        continueRead();
        return;
    }
    const time_point now = monotonicNow();
    for (const std::string& record : result.records)
        applyRecord(record, now);
    m_offset += result.records.size();
    if (!result.records.empty() && m_offset < result.nextOffset)
        continueRead();
    else
        finishRead("read");
}

void origin_archive::applyRecord(std::string_view text, time_point now)
{
    const auto decoded = detail::decodeArchivedOrigins(text);
    if (!decoded) {
        logLine(log_level::Warning, logComponent, "A record with origins of streams could not be decoded and is ignored.", { { "problem", decoded.error().what() } });
        return;
    }
    const auto& record = decoded.value();
    const milliseconds elapsed = std::clamp<milliseconds>(wallNow() - record.writtenAt, milliseconds(0), policy::streamOriginLifetime);
    for (const auto& item : record.streams) {
        // The clocks of the processes differ. What is not proven must pass neither for older nor for younger than it is.
        const bool isProven = item.evidence == policy::origin_evidence::LaterRecord;
        const milliseconds age = isProven ? elapsed + item.age : item.age;
        m_callbacks.onOrigin(item.stream, { item.softwareVersion, item.target, now - age, item.run, item.evidence, isProven ? milliseconds(0) : elapsed });
    }
}

void origin_archive::finishRead(std::string_view outcome)
{
    m_metrics.count("stream_origin_reads_total", { { "outcome", std::string(outcome) } });
    // A callback may ask for the next read.
    m_readCall.reset();
    for (const auto& onDone : std::exchange(m_reading, {}))
        onDone();
    if (!m_waiting.empty() && !m_readTimer.isRunning())
        m_readTimer.startOnce(readPeriod, [this] { startRead(); });
}
}
