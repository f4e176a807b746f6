#include "fakes/platform_store.hpp"

#include <glib.h>

namespace bilberryseam::fakes {

using nlohmann::json;

namespace {
    constexpr milliseconds expiryPeriod { 20 };
    constexpr std::string_view keyedPrefix = "keyed.";
    constexpr size_t maxRecordBytes = 1024 * 1024;
    constexpr size_t lengthBytes = 4;
    constexpr size_t offsetBytes = 8;
    constexpr uint64_t standardReadKib = 1024;

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

    std::string queryOf(const http1::exchange& exchange, const std::string& name)
    {
        const std::string& target = exchange.head().target;
        const size_t mark = target.find('?');
        const std::string query = mark == std::string::npos ? "" : "&" + target.substr(mark + 1) + "&";
        const size_t at = query.find("&" + name + "=");
        if (at == std::string::npos)
            return "";
        const size_t start = at + name.size() + 2;
        return query.substr(start, query.find('&', start) - start);
    }

    uint64_t numberOf(const std::string& text, uint64_t standard)
    {
        return text.empty() ? standard : std::stoull(text);
    }

    /// @return The records of an append, or nothing if one is truncated or too long.
    std::optional<std::vector<std::string>> recordsIn(std::string_view body)
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
        listen, [] { return http1::server_limits { .maxBodyBytes = 64 * 1024 * 1024 }; }, [this](std::shared_ptr<http1::exchange> exchange) { take(std::move(exchange)); })
{
    m_expiry.startEvery(expiryPeriod, [this] { answerWaiting(); });
}

void platform_store::put(const std::string& name, const std::string& key, const std::string& value)
{
    addRecord(name, bigEndian(key.size(), 1) + key + value);
    answerWaiting();
}

void platform_store::addRecord(const std::string& name, std::string record)
{
    topic& target = m_topics[name];
    if (name.starts_with(keyedPrefix) && !record.empty()) {
        const auto keyBytes = static_cast<size_t>(static_cast<unsigned char>(record[0]));
        const std::string key = record.substr(1, keyBytes);
        const std::string value = record.size() > 1 + keyBytes ? record.substr(1 + keyBytes) : "";
        if (value.empty())
            target.newest.erase(key);
        else
            target.newest[key] = value;
    }
    target.records.push_back(std::move(record));
}

void platform_store::trim(topic& topic, uint64_t before)
{
    while (topic.first < before && !topic.records.empty()) {
        topic.records.pop_front();
        ++topic.first;
    }
}

void platform_store::forgetHistory(const std::string& name)
{
    topic& kept = m_topics[name];
    trim(kept, kept.end());
}

void platform_store::control(const json& switches)
{
    m_faults.isDown = switches.value("down", m_faults.isDown);
    m_faults.delay = milliseconds(switches.value("delayMs", m_faults.delay.count()));
    m_faults.lostAppendAnswers = switches.value("lostAppendAnswers", m_faults.lostAppendAnswers);
    m_faults.refusedAppends = switches.value("refusedAppends", m_faults.refusedAppends);
    if (switches.contains("trim"))
        trim(m_topics[switches["trim"].at("topic")], switches["trim"].at("offset"));
    if (switches.contains("put"))
        put(switches["put"].at("topic"), switches["put"].at("key"), switches["put"].at("value"));
}

json platform_store::counts() const
{
    json topics = json::object();
    for (const auto& [name, kept] : m_topics)
        topics[name] = { { "start", kept.first }, { "end", kept.end() } };
    return { { "appends", m_appends }, { "reads", m_reads }, { "topics", topics } };
}

std::string platform_store::newest(const std::string& name, const std::string& key) const
{
    const auto found = m_topics.find(name);
    if (found == m_topics.end())
        return "";
    const auto value = found->second.newest.find(key);
    return value == found->second.newest.end() ? "" : value->second;
}

void platform_store::take(std::shared_ptr<http1::exchange> exchange)
{
    if (m_faults.isDown) {
        exchange->abort();
        return;
    }
    if (m_faults.isSilent) {
        m_unanswered.push_back(std::move(exchange));
        return;
    }
    if (m_faults.status != 0) {
        exchange->respond(m_faults.status, {}, {});
        return;
    }
    const std::string path(http1::pathOf(exchange->head().target));
    const std::string name = queryOf(*exchange, "topic");
    if (path == "/v1/log-newest")
        answerNewest(std::move(exchange), m_topics[name]);
    else if (path == "/v1/log-read")
        read(std::move(exchange), name);
    else if (path == "/v1/log-append")
        append(std::move(exchange), name);
    else
        exchange->respond(404, {}, {});
}

void platform_store::answer(std::shared_ptr<http1::exchange> exchange, unsigned status, std::string body)
{
    if (m_faults.delay.count() == 0) {
        exchange->respond(status, {}, body);
        return;
    }
    std::erase_if(m_delayed, [](const auto& item) { return !item->due.isRunning(); });
    auto& item = *m_delayed.emplace_back(std::make_unique<delayed_answer>());
    item.exchange = std::move(exchange);
    item.status = status;
    item.body = std::move(body);
    item.due.startOnce(m_faults.delay, [&item] {
        if (!item.exchange->isFinished())
            item.exchange->respond(item.status, {}, item.body);
    });
}

void platform_store::answerNewest(std::shared_ptr<http1::exchange> exchange, const topic& topic)
{
    ++m_reads;
    json items = json::array();
    for (const auto& [key, value] : topic.newest)
        items.push_back({ { "key", key }, { "value", toBase64(value) }, { "offset", 0 } });
    answer(std::move(exchange), 200, json { { "items", items }, { "has_more", false }, { "end", topic.end() } }.dump());
}

void platform_store::read(std::shared_ptr<http1::exchange> exchange, const std::string& name)
{
    ++m_reads;
    const topic& asked = m_topics[name];
    const uint64_t from = numberOf(queryOf(*exchange, "from"), 0);
    const size_t maxBytes = numberOf(queryOf(*exchange, "max_kb"), standardReadKib) * 1024;
    const milliseconds wait(static_cast<int64_t>(numberOf(queryOf(*exchange, "wait_ms"), 0)));
    if (from < asked.first)
        answer(std::move(exchange), 410, json { { "first", asked.first } }.dump());
    else if (from < asked.end() || wait.count() == 0)
        answerRead(std::move(exchange), asked, from, maxBytes);
    else
        m_waiting.push_back({ std::move(exchange), name, from, maxBytes, monotonicNow() + wait });
}

void platform_store::answerRead(std::shared_ptr<http1::exchange> exchange, const topic& topic, uint64_t from, size_t maxBytes)
{
    const std::string head = bigEndian(topic.end(), offsetBytes) + bigEndian(topic.first, offsetBytes);
    std::string records;
    for (uint64_t offset = from; offset < topic.end(); ++offset) {
        const std::string& record = topic.records[offset - topic.first];
        if (!records.empty() && records.size() + record.size() > maxBytes)
            break;
        records += bigEndian(record.size(), lengthBytes) + record;
    }
    answer(std::move(exchange), 200, head + records);
}

void platform_store::append(std::shared_ptr<http1::exchange> exchange, const std::string& name)
{
    ++m_appends;
    if (m_faults.refusedAppends > 0) {
        --m_faults.refusedAppends;
        answer(std::move(exchange), 503, {});
        return;
    }
    auto records = recordsIn(exchange->body());
    if (!records) {
        answer(std::move(exchange), 400, {});
        return;
    }
    const uint64_t first = m_topics[name].end();
    for (std::string& record : *records)
        addRecord(name, std::move(record));
    if (m_faults.lostAppendAnswers > 0) {
        --m_faults.lostAppendAnswers;
        exchange->abort();
    } else {
        answer(std::move(exchange), 200, json { { "offset", first }, { "end", m_topics[name].end() } }.dump());
    }
    answerWaiting();
}

void platform_store::answerWaiting()
{
    const time_point now = monotonicNow();
    std::erase_if(m_waiting, [&](waiting_read& item) {
        const topic& asked = m_topics[item.topic];
        const bool isDue = asked.end() > item.from || item.until <= now || item.exchange->isFinished();
        if (isDue && !item.exchange->isFinished())
            answerRead(std::move(item.exchange), asked, item.from, item.maxBytes);
        return isDue;
    });
}
}
