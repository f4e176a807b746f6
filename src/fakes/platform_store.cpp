#include "fakes/platform_store.hpp"

#include <glib.h>
#include <utility>

namespace bilberryseam::fakes {

using nlohmann::json;

namespace {
    constexpr milliseconds waitCheckPeriod { 20 };
    constexpr std::string_view keyedPrefix = "keyed.";
    /// Most keys in one page of the newest records.
    constexpr size_t maxPageItems = 500;
    constexpr size_t maxRecordBytes = 1024 * 1024;
    constexpr size_t lengthBytes = 4;
    constexpr size_t offsetBytes = 8;
    constexpr uint64_t defaultReadKib = 1024;

    std::string bigEndian(uint64_t number, size_t bytes)
    {
        std::string text;
        for (size_t i = 0; i < bytes; ++i)
            text.push_back(static_cast<char>(number >> (8 * (bytes - 1 - i)) & 0xff));
        return text;
    }

    std::string toBase64(const std::string& text)
    {
        gchar* encoded = g_base64_encode(reinterpret_cast<const guchar*>(text.data()), text.size());
        std::string copy(encoded);
        g_free(encoded);
        return copy;
    }

    std::string queryParameter(const http1::exchange& exchange, const std::string& name)
    {
        const std::string& target = exchange.head().target;
        const size_t queryMark = target.find('?');
        const std::string query = queryMark == std::string::npos ? "" : "&" + target.substr(queryMark + 1) + "&";
        const size_t nameStart = query.find("&" + name + "=");
        if (nameStart == std::string::npos)
            return "";
        const size_t valueStart = nameStart + name.size() + 2;
        return query.substr(valueStart, query.find('&', valueStart) - valueStart);
    }

    uint64_t parseNumber(const std::string& text, uint64_t defaultValue)
    {
        return text.empty() ? defaultValue : std::stoull(text);
    }

    /// @return The records in the body of an append, or nothing if one is truncated or too long.
    std::optional<std::vector<std::string>> parseRecords(std::string_view body)
    {
        std::vector<std::string> records;
        while (!body.empty()) {
            if (body.size() < lengthBytes)
                return std::nullopt;
            size_t length = 0;
            for (size_t i = 0; i < lengthBytes; ++i)
                length = length << 8 | static_cast<unsigned char>(body[i]);
            body.remove_prefix(lengthBytes);
            if (length > body.size() || length > maxRecordBytes)
                return std::nullopt;
            records.emplace_back(body.substr(0, length));
            body.remove_prefix(length);
        }
        return records;
    }
}

platform_store::platform_store(const ip_endpoint& listen)
    : m_server(
        listen, [] { return http1::server_limits { .maxBodyBytes = 64 * 1024 * 1024 }; }, [this](std::shared_ptr<http1::exchange> exchange) { handleRequest(std::move(exchange)); })
{
    m_waitTimer.startEvery(waitCheckPeriod, [this] { completeWaitingReads(); });
}

void platform_store::put(const std::string& name, const std::string& key, const std::string& value)
{
    addRecord(name, bigEndian(key.size(), 1) + key + value);
    completeWaitingReads();
}

void platform_store::addRecord(const std::string& name, std::string record)
{
    topic& topicRecords = m_topics[name];
    if (name.starts_with(keyedPrefix) && !record.empty()) {
        const auto keyBytes = static_cast<size_t>(static_cast<unsigned char>(record[0]));
        const std::string key = record.substr(1, keyBytes);
        const std::string value = record.size() > 1 + keyBytes ? record.substr(1 + keyBytes) : "";
        if (value.empty())
            topicRecords.newest.erase(key);
        else
            topicRecords.newest[key] = value;
    }
    topicRecords.records.push_back(std::move(record));
}

void platform_store::trim(topic& topic, uint64_t before)
{
    while (topic.firstOffset < before && !topic.records.empty()) {
        topic.records.pop_front();
        ++topic.firstOffset;
    }
}

void platform_store::restoreOlderCopy(const std::string& name, size_t lostRecords)
{
    ++m_era;
    topic& restored = m_topics[name];
    const size_t kept = restored.records.size() - std::min(restored.records.size(), lostRecords);
    std::deque<std::string> records = std::exchange(restored.records, {});
    records.resize(kept);
    restored.newest.clear();
    for (auto& record : records)
        addRecord(name, std::move(record));
}

void platform_store::returnFromCopy()
{
    ++m_era;
    m_topics = m_copy;
}

void platform_store::truncateHistory(const std::string& name)
{
    topic& topicRecords = m_topics[name];
    trim(topicRecords, topicRecords.endOffset());
}

void platform_store::applySwitches(const json& changes)
{
    m_faults.isDown = changes.value("down", m_faults.isDown);
    m_faults.delay = milliseconds(changes.value("delayMs", m_faults.delay.count()));
    m_faults.lostAppendResponses = changes.value("lostAppendAnswers", m_faults.lostAppendResponses);
    m_faults.refusedAppends = changes.value("refusedAppends", m_faults.refusedAppends);
    if (changes.contains("trim"))
        trim(m_topics[changes["trim"].at("topic")], changes["trim"].at("offset"));
    if (changes.contains("put"))
        put(changes["put"].at("topic"), changes["put"].at("key"), changes["put"].at("value"));
}

json platform_store::counts() const
{
    json topics = json::object();
    for (const auto& [name, topicRecords] : m_topics)
        topics[name] = { { "start", topicRecords.firstOffset }, { "end", topicRecords.endOffset() } };
    return { { "appends", m_appends }, { "reads", m_reads }, { "topics", topics } };
}

std::string platform_store::newest(const std::string& name, const std::string& key) const
{
    const auto position = m_topics.find(name);
    if (position == m_topics.end())
        return "";
    const auto value = position->second.newest.find(key);
    return value == position->second.newest.end() ? "" : value->second;
}

void platform_store::handleRequest(std::shared_ptr<http1::exchange> exchange)
{
    if (m_faults.isDown) {
        exchange->abort();
        return;
    }
    if (m_faults.isUnresponsive) {
        m_unansweredExchanges.push_back(std::move(exchange));
        return;
    }
    if (m_faults.status != 0) {
        exchange->respond(m_faults.status, {}, {});
        return;
    }
    const std::string path(http1::pathOf(exchange->head().target));
    const std::string name = queryParameter(*exchange, "topic");
    if (m_faults.refusedTopics.contains(name)) {
        respond(std::move(exchange), 503, {});
        return;
    }
    if (path == "/v1/log-newest")
        respondWithNewest(std::move(exchange), m_topics[name]);
    else if (path == "/v1/log-read")
        read(std::move(exchange), name);
    else if (path == "/v1/log-append")
        append(std::move(exchange), name);
    else
        exchange->respond(404, {}, {});
}

http1::header_list platform_store::headers() const
{
    if (m_era == 0)
        return {};
    return { { "Store-Era", std::to_string(m_era) } };
}

void platform_store::respond(std::shared_ptr<http1::exchange> exchange, unsigned status, std::string body)
{
    if (m_faults.delay.count() == 0) {
        exchange->respond(status, headers(), body);
        return;
    }
    std::erase_if(m_delayedResponses, [](const auto& item) { return !item->sendTimer.isRunning(); });
    auto& item = *m_delayedResponses.emplace_back(std::make_unique<delayed_response>());
    item.exchange = std::move(exchange);
    item.status = status;
    item.body = std::move(body);
    item.sendTimer.startOnce(m_faults.delay, [this, &item] {
        if (!item.exchange->isFinished())
            item.exchange->respond(item.status, headers(), item.body);
    });
}

void platform_store::respondWithNewest(std::shared_ptr<http1::exchange> exchange, const topic& topic)
{
    ++m_reads;
    const std::string escaped = queryParameter(*exchange, "after");
    char* after = g_uri_unescape_string(escaped.c_str(), nullptr);
    json items = json::array();
    auto item = topic.newest.upper_bound(after ? after : "");
    g_free(after);
    for (; item != topic.newest.end() && items.size() < maxPageItems; ++item)
        items.push_back({ { "key", item->first }, { "value", toBase64(item->second) }, { "offset", 0 } });
    respond(std::move(exchange), 200, json { { "items", items }, { "has_more", item != topic.newest.end() }, { "end", topic.endOffset() } }.dump());
}

void platform_store::read(std::shared_ptr<http1::exchange> exchange, const std::string& name)
{
    ++m_reads;
    const topic& topicRecords = m_topics[name];
    const uint64_t from = parseNumber(queryParameter(*exchange, "from"), 0);
    const size_t maxBytes = parseNumber(queryParameter(*exchange, "max_kb"), defaultReadKib) * 1024;
    const milliseconds wait(static_cast<int64_t>(parseNumber(queryParameter(*exchange, "wait_ms"), 0)));
    if (from < topicRecords.firstOffset)
        respond(std::move(exchange), 410, json { { "first", topicRecords.firstOffset } }.dump());
    else if (from < topicRecords.endOffset() || wait.count() == 0)
        respondToRead(std::move(exchange), topicRecords, from, maxBytes);
    else
        m_waitingReads.push_back({ std::move(exchange), name, from, maxBytes, monotonicNow() + wait });
}

void platform_store::respondToRead(std::shared_ptr<http1::exchange> exchange, const topic& topic, uint64_t from, size_t maxBytes)
{
    const std::string head = bigEndian(topic.endOffset(), offsetBytes) + bigEndian(topic.firstOffset, offsetBytes);
    std::string records;
    for (uint64_t offset = from; offset < topic.endOffset(); ++offset) {
        const std::string& record = topic.records[offset - topic.firstOffset];
        if (!records.empty() && records.size() + record.size() > maxBytes)
            break;
        records += bigEndian(record.size(), lengthBytes) + record;
        if (m_faults.truncatedReads > 0)
            break;
    }
    if (m_faults.truncatedReads > 0) {
        --m_faults.truncatedReads;
        const auto connection = exchange->releaseConnection();
        connection->write("HTTP/1.1 200 OK\r\n\r\n" + head + records);
        connection->finishWriting();
        return;
    }
    respond(std::move(exchange), 200, head + records);
}

void platform_store::append(std::shared_ptr<http1::exchange> exchange, const std::string& name)
{
    ++m_appends;
    if (m_faults.refusedAppends > 0) {
        --m_faults.refusedAppends;
        respond(std::move(exchange), 503, {});
        return;
    }
    auto records = parseRecords(exchange->body());
    if (!records) {
        respond(std::move(exchange), 400, {});
        return;
    }
    const uint64_t first = m_topics[name].endOffset();
    for (std::string& record : *records)
        addRecord(name, std::move(record));
    if (m_faults.lostAppendResponses > 0) {
        --m_faults.lostAppendResponses;
        exchange->abort();
    } else {
        respond(std::move(exchange), 200, json { { "offset", first }, { "end", m_topics[name].endOffset() } }.dump());
    }
    completeWaitingReads();
}

void platform_store::completeWaitingReads()
{
    const time_point now = monotonicNow();
    std::erase_if(m_waitingReads, [&](waiting_read& item) {
        const topic& topicRecords = m_topics[item.topic];
        const bool isDue = topicRecords.endOffset() > item.from || item.deadline <= now || item.exchange->isFinished();
        if (isDue && !item.exchange->isFinished())
            respondToRead(std::move(item.exchange), topicRecords, item.from, item.maxBytes);
        return isDue;
    });
}
}
