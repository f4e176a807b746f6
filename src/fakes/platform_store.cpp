#include "fakes/platform_store.hpp"

#include <glib.h>
#include <nlohmann/json.hpp>

namespace bilberryseam::fakes {

using nlohmann::json;

namespace {
    constexpr milliseconds expiryPeriod { 20 };

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

    uint64_t numberOf(const std::string& text)
    {
        return text.empty() ? 0 : std::stoull(text);
    }
}

platform_store::platform_store(const ip_endpoint& listen)
    : m_server(
        listen, [] { return http1::server_limits(); }, [this](std::shared_ptr<http1::exchange> exchange) { take(std::move(exchange)); })
{
    m_expiry.startEvery(expiryPeriod, [this] { answerWaiting(); });
}

void platform_store::put(const std::string& name, const std::string& key, const std::string& value)
{
    addRecord(m_topics[name], key, value);
    answerWaiting();
}

void platform_store::addRecord(topic& topic, const std::string& key, const std::string& value)
{
    topic.records.push_back(bigEndian(key.size(), 1) + key + value);
    if (value.empty())
        topic.newest.erase(key);
    else
        topic.newest[key] = value;
}

void platform_store::forgetHistory(const std::string& name)
{
    topic& kept = m_topics[name];
    kept.first = kept.end();
    kept.records.clear();
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
        exchange->cut();
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
        answerNewest(*exchange, m_topics[name]);
    else if (path == "/v1/log-read")
        read(std::move(exchange), name);
    else if (path == "/v1/log-append")
        append(*exchange, name);
    else
        exchange->respond(404, {}, {});
}

void platform_store::answerNewest(http1::exchange& exchange, const topic& topic)
{
    ++m_reads;
    json items = json::array();
    for (const auto& [key, value] : topic.newest)
        items.push_back({ { "key", key }, { "value", toBase64(value) }, { "offset", 0 } });
    exchange.respond(200, { { "Content-Type", "application/json" } }, json { { "items", items }, { "has_more", false }, { "end", topic.end() } }.dump());
}

void platform_store::read(std::shared_ptr<http1::exchange> exchange, const std::string& name)
{
    ++m_reads;
    const topic& asked = m_topics[name];
    const uint64_t from = numberOf(queryOf(*exchange, "from"));
    const milliseconds wait(static_cast<int64_t>(numberOf(queryOf(*exchange, "wait_ms"))));
    if (from < asked.first)
        exchange->respond(410, {}, json { { "first", asked.first } }.dump());
    else if (from < asked.end() || wait.count() == 0)
        answerRead(*exchange, asked, from);
    else
        m_waiting.push_back({ std::move(exchange), name, from, monotonicNow() + wait });
}

void platform_store::answerRead(http1::exchange& exchange, const topic& topic, uint64_t from)
{
    std::string body = bigEndian(topic.end(), 8) + bigEndian(topic.first, 8);
    for (uint64_t offset = from; offset < topic.end(); ++offset) {
        const std::string& record = topic.records[offset - topic.first];
        body += bigEndian(record.size(), 4) + record;
    }
    exchange.respond(200, {}, body);
}

void platform_store::append(http1::exchange& exchange, const std::string& name)
{
    std::string_view body = exchange.body();
    topic& target = m_topics[name];
    const uint64_t first = target.end();
    while (body.size() > 4) {
        size_t length = 0;
        for (size_t i = 0; i < 4; ++i)
            length = length << 8 | static_cast<unsigned char>(body[i]);
        const std::string record(body.substr(4, length));
        body.remove_prefix(std::min(body.size(), 4 + length));
        const auto keyBytes = static_cast<size_t>(static_cast<unsigned char>(record.at(0)));
        addRecord(target, record.substr(1, keyBytes), record.substr(1 + keyBytes));
    }
    exchange.respond(200, {}, json { { "offset", first }, { "end", target.end() } }.dump());
    answerWaiting();
}

void platform_store::answerWaiting()
{
    const time_point now = monotonicNow();
    std::erase_if(m_waiting, [&](const waiting_read& item) {
        const topic& asked = m_topics[item.topic];
        const bool isDue = asked.end() > item.from || item.until <= now || item.exchange->isOver();
        if (isDue && !item.exchange->isOver())
            answerRead(*item.exchange, asked, item.from);
        return isDue;
    });
}
}
