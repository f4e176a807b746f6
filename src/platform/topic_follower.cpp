#include "platform/topic_follower.hpp"

#include <algorithm>
#include <glib.h>
#include <nlohmann/json.hpp>

namespace bilberryseam::platform {

using nlohmann::json;

namespace {
    constexpr milliseconds putTimeout { 2000 };
    constexpr unsigned statusOk = 200;
    constexpr unsigned statusGone = 410;

    /// Pause after the first failure and the longest pause.
    constexpr milliseconds firstBackoff { 150 };
    constexpr milliseconds longestBackoff { 800 };

    /// Bytes of the offsets that begin the answer to a read, and of a record's length.
    constexpr size_t readHeadBytes = 16;
    constexpr size_t lengthBytes = 4;

    uint64_t readBigEndian(std::string_view bytes)
    {
        uint64_t number = 0;
        for (const char byte : bytes)
            number = number << 8 | static_cast<unsigned char>(byte);
        return number;
    }
}

namespace detail {

    std::string encodeRecord(std::string_view key, std::string_view value)
    {
        const size_t length = 1 + key.size() + value.size();
        std::string bytes;
        for (size_t i = 0; i < lengthBytes; ++i)
            bytes.push_back(static_cast<char>(length >> (8 * (lengthBytes - 1 - i)) & 0xff));
        bytes.push_back(static_cast<char>(key.size()));
        return bytes.append(key).append(value);
    }

    std::optional<std::vector<keyed_record>> decodeRead(std::string_view body)
    {
        if (body.size() < readHeadBytes)
            return std::nullopt;
        body.remove_prefix(readHeadBytes);
        std::vector<keyed_record> records;
        while (!body.empty()) {
            if (body.size() < lengthBytes)
                return std::nullopt;
            const uint64_t length = readBigEndian(body.substr(0, lengthBytes));
            body.remove_prefix(lengthBytes);
            if (length > body.size())
                return std::nullopt;
            const std::string_view record = body.substr(0, length);
            body.remove_prefix(length);
            const size_t keyBytes = record.empty() ? 0 : static_cast<unsigned char>(record[0]);
            // An unreadable record still has its offset.
            keyed_record& made = records.emplace_back();
            if (record.empty() || record.size() < 1 + keyBytes)
                continue;
            made.key = std::string(record.substr(1, keyBytes));
            if (const std::string_view value = record.substr(1 + keyBytes); !value.empty())
                made.value = std::string(value);
        }
        return records;
    }

    std::optional<std::string> decodeBase64(const std::string& text)
    {
        constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/=";
        if (text.size() % 4 != 0 || text.find_first_not_of(alphabet) != std::string::npos)
            return std::nullopt;
        gsize length = 0;
        guchar* bytes = g_base64_decode(text.c_str(), &length);
        std::string decoded(reinterpret_cast<char*>(bytes), length);
        g_free(bytes);
        return decoded;
    }
}

std::shared_ptr<http1::client_call> putKey(http1::client& client, const ip_endpoint& store, std::string_view topic, std::string_view key, std::string_view value, std::function<void(bool)> onEnd)
{
    const auto status = std::make_shared<unsigned>(0);
    http1::client_call::callbacks calls;
    calls.onHead = [status](const http1::answer_head& head) { *status = head.status; };
    calls.onEnd = [status, onEnd = std::move(onEnd)](http1::call_end end) { onEnd(end == http1::call_end::Complete && *status == statusOk); };
    http1::outgoing_request request { "POST", "/v1/log-append?topic=" + std::string(topic) + "&part=0", { { "Host", store.toString() } }, detail::encodeRecord(key, value) };
    return client.send(store, request, { false, putTimeout, putTimeout }, std::move(calls));
}

topic_follower::topic_follower(http1::client& client, ip_endpoint store, std::string topic, follow_options options, follow_callbacks calls)
    : m_client(client)
    , m_store(std::move(store))
    , m_topic(std::move(topic))
    , m_options(options)
    , m_calls(std::move(calls))
{
    next(milliseconds(0));
}

void topic_follower::wake()
{
    if (m_timer.isRunning())
        next(milliseconds(0));
}

void topic_follower::next(milliseconds delay)
{
    m_timer.startOnce(delay, [this] {
        if (m_offset)
            readTail();
        else
            readNewest({});
    });
}

void topic_follower::get(std::string target, milliseconds timeout, std::function<void(unsigned, std::string_view)> done)
{
    m_status = 0;
    m_body.clear();
    m_sentAt = monotonicNow();
    http1::client_call::callbacks calls;
    calls.onHead = [this](const http1::answer_head& head) { m_status = head.status; };
    calls.onBody = [this](std::string_view bytes) { m_body.append(bytes); };
    calls.onEnd = [this, done = std::move(done)](http1::call_end end) {
        const std::string body = std::move(m_body);
        if (end != http1::call_end::Complete)
            fail(nameOf(end));
        else
            done(m_status, body);
    };
    m_call = m_client.send(m_store, { "GET", std::move(target), { { "Host", m_store.toString() } }, "" }, { false, m_options.timeout, timeout }, std::move(calls));
}

void topic_follower::readNewest(const std::string& after)
{
    if (after.empty()) {
        m_page.clear();
        m_pageEnd.reset();
    }
    std::string target = "/v1/log-newest?topic=" + m_topic + "&part=0";
    if (!after.empty()) {
        char* escaped = g_uri_escape_string(after.c_str(), nullptr, FALSE);
        target.append("&after=").append(escaped);
        g_free(escaped);
    }
    get(std::move(target), m_options.timeout, [this](unsigned status, std::string_view body) {
        if (status == statusOk)
            takeNewest(body);
        else
            fail("status " + std::to_string(status));
    });
}

void topic_follower::takeNewest(std::string_view body)
{
    bool hasMore = false;
    std::string last;
    try {
        const json document = json::parse(body);
        for (const json& item : document.at("items")) {
            last = item.at("key");
            if (auto value = detail::decodeBase64(item.at("value")))
                m_page[last] = std::move(*value);
        }
        hasMore = document.value("has_more", false) && !last.empty();
        // Later pages may be newer than the first, never older.
        if (!m_pageEnd)
            m_pageEnd = document.at("end");
    } catch (const json::exception& problem) {
        fail(problem.what());
        return;
    }
    if (hasMore) {
        readNewest(last);
        return;
    }
    m_offset = m_pageEnd;
    m_failures = 0;
    m_calls.onContact(m_sentAt);
    m_calls.onSnapshot(std::move(m_page));
    m_page.clear();
    next(m_options.period);
}

void topic_follower::readTail()
{
    const std::string target = "/v1/log-read?topic=" + m_topic + "&part=0&from=" + std::to_string(*m_offset) + "&wait_ms=" + std::to_string(m_options.wait.count());
    get(target, m_options.timeout + m_options.wait, [this](unsigned status, std::string_view body) {
        if (status == statusOk) {
            takeTail(body);
            return;
        }
        if (status == statusGone)
            m_offset.reset();
        fail("status " + std::to_string(status));
    });
}

void topic_follower::takeTail(std::string_view body)
{
    const auto records = detail::decodeRead(body);
    if (!records) {
        m_offset.reset();
        fail("malformed answer");
        return;
    }
    m_failures = 0;
    *m_offset += records->size();
    m_calls.onContact(m_sentAt);
    for (const auto& record : *records) {
        if (!record.key.empty())
            m_calls.onRecord(record);
    }
    next(m_options.period);
}

void topic_follower::fail(std::string_view why)
{
    // Expired history is not a failure of the store.
    const bool isExpired = m_status == statusGone;
    if (!isExpired) {
        ++m_failures;
        m_calls.onFailure(why);
    }
    const auto backoff = firstBackoff * (1 << std::min(m_failures, 4u)) / 2;
    next(isExpired ? milliseconds(0) : std::min(longestBackoff, backoff));
}
}
