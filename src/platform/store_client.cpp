#include "platform/store_client.hpp"

#include <charconv>
#include <glib.h>
#include <nlohmann/json.hpp>

namespace bilberryseam::platform {

using nlohmann::json;

namespace {
    constexpr size_t offsetBytes = 8;
    /// Largest response of the store: a page of newest records in base64, or a read with one more record.
    constexpr uint64_t maxStoreResponseBytes = 8 * 1024 * 1024;
    /// A read response begins with the offset of the next record and the oldest offset.
    constexpr size_t readHeadBytes = 2 * offsetBytes;
    /// Size of the length in front of each record.
    constexpr size_t lengthBytes = 4;

    constexpr std::string_view eraHeader = "Store-Era";

    uint64_t eraOf(const http1::response_head& head)
    {
        const auto text = http1::findHeader(head.headers, eraHeader);
        uint64_t era = noEra;
        if (!text)
            return era;
        const auto [end, problem] = std::from_chars(text->data(), text->data() + text->size(), era);
        return problem == std::errc() && end == text->data() + text->size() ? era : noEra;
    }

    std::string requestTargetOf(std::string_view call, std::string_view topic)
    {
        // "part" is the partition.
        return std::string("/v1/").append(call).append("?topic=").append(topic).append("&part=0");
    }

    std::string describe(http1::call_outcome outcome, unsigned status)
    {
        return http1::isReceived(outcome) ? "status " + std::to_string(status) : std::string(nameOf(outcome));
    }

    /// @return True if the status guarantees that the store did not execute the call.
    bool isRefusal(unsigned status) noexcept
    {
        return (status >= http1::statusBadRequest && status < http1::statusInternalError) || status == http1::statusUnavailable || status == http1::statusInsufficientStorage;
    }

    append_result decodeAppendResponse(http1::call_outcome outcome, unsigned status, const std::string& body)
    {
        if (outcome == http1::call_outcome::NotSent || (http1::isReceived(outcome) && isRefusal(status)))
            return { append_outcome::Refused, 0, describe(outcome, status) };
        const json document = json::parse(body, nullptr, false);
        const bool isAppended = http1::isReceived(outcome) && status == http1::statusOk && document.is_object() && document.contains("offset") && document["offset"].is_number_unsigned();
        if (!isAppended)
            return { append_outcome::Unknown, 0, describe(outcome, status) };
        return { append_outcome::Appended, document["offset"].get<uint64_t>(), "" };
    }

    topic_read_result decodeExpiredResponse(const std::string& body)
    {
        const json document = json::parse(body, nullptr, false);
        // "first" is the oldest offset that the topic retains.
        if (!document.is_object() || !document.contains("first") || !document["first"].is_number_unsigned())
            return { read_outcome::Malformed, 0, 0, {}, "The store's response does not contain the oldest offset.", noEra };
        return { read_outcome::Expired, document["first"].get<uint64_t>(), 0, {}, "", noEra };
    }
}

namespace detail {

    std::string encodeBigEndian(uint64_t number, size_t bytes)
    {
        std::string text;
        for (size_t i = 0; i < bytes; ++i)
            text.push_back(static_cast<char>(number >> (8 * (bytes - 1 - i)) & 0xff));
        return text;
    }

    uint64_t decodeBigEndian(std::string_view bytes) noexcept
    {
        uint64_t number = 0;
        for (const char byte : bytes)
            number = number << 8 | static_cast<unsigned char>(byte);
        return number;
    }

    std::string encodeRecords(std::span<const std::string> records)
    {
        std::string bytes;
        for (const std::string& record : records)
            bytes.append(encodeBigEndian(record.size(), lengthBytes)).append(record);
        return bytes;
    }

    topic_read_result decodeReadResponse(std::string_view body)
    {
        const topic_read_result malformed { read_outcome::Malformed, 0, 0, {}, "The store's response is truncated.", noEra };
        if (body.size() < readHeadBytes)
            return malformed;
        topic_read_result result { read_outcome::Ok, decodeBigEndian(body.substr(offsetBytes, offsetBytes)), decodeBigEndian(body.substr(0, offsetBytes)), {}, "", noEra };
        body.remove_prefix(readHeadBytes);
        while (!body.empty()) {
            if (body.size() < lengthBytes)
                return malformed;
            const uint64_t length = decodeBigEndian(body.substr(0, lengthBytes));
            body.remove_prefix(lengthBytes);
            if (length > body.size())
                return malformed;
            result.records.emplace_back(body.substr(0, length));
            body.remove_prefix(length);
        }
        return result;
    }

    newest_page decodeNewestResponse(std::string_view body)
    {
        newest_page page;
        try {
            const json document = json::parse(body);
            for (const json& item : document.at("items")) {
                page.lastKey = item.at("key");
                page.values[page.lastKey] = decodeBase64(item.at("value")).value_or(std::string());
            }
            page.hasMore = document.value("has_more", false) && !page.lastKey.empty();
            // "end" is the offset of the next record, not of the last one.
            page.nextOffset = document.at("end");
            page.isOk = true;
        } catch (const json::exception& problem) {
            page = {};
            page.detail = problem.what();
        }
        return page;
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

store_call store_client::send(http1::outgoing_request request, milliseconds timeout, on_response done)
{
    struct response_data {
        unsigned status = 0;
        std::string body;
        uint64_t era = noEra;
    };
    request.headers.push_back({ "Host", m_endpoint.toString() });
    const auto response = std::make_shared<response_data>();
    http1::client_call::callbacks callbacks;
    callbacks.onHead = [this, response](const http1::response_head& head) {
        response->status = head.status;
        response->era = eraOf(head);
        m_era = std::max(m_era, response->era);
    };
    callbacks.onBody = [response](std::string_view bytes) { response->body.append(bytes); };
    callbacks.onEnd = [response, done = std::move(done)](http1::call_outcome outcome) { done(outcome, response->status, response->body, response->era); };
    return m_client.send(m_endpoint, request, { false, timeout, timeout, maxStoreResponseBytes }, std::move(callbacks));
}

store_call store_client::append(std::string_view topic, std::span<const std::string> records, on_append done)
{
    return send({ "POST", requestTargetOf("log-append", topic), {}, detail::encodeRecords(records) }, storeTimeout,
        [done = std::move(done)](http1::call_outcome outcome, unsigned status, const std::string& body, uint64_t) { done(decodeAppendResponse(outcome, status, body)); });
}

store_call store_client::read(std::string_view topic, uint64_t from, read_timeouts timeouts, on_read done)
{
    // "max_kb" is in KiB.
    std::string target = requestTargetOf("log-read", topic).append("&from=").append(std::to_string(from)).append("&max_kb=").append(std::to_string(maxReadKib));
    if (timeouts.longPollWait.count() > 0)
        target.append("&wait_ms=").append(std::to_string(timeouts.longPollWait.count()));
    return send({ "GET", std::move(target), {}, "" }, timeouts.longPollWait + timeouts.timeout,
        [done = std::move(done)](http1::call_outcome outcome, unsigned status, const std::string& body, uint64_t era) {
            topic_read_result result;
            if (http1::isReceived(outcome) && status == http1::statusOk)
                result = detail::decodeReadResponse(body);
            else if (http1::isReceived(outcome) && status == http1::statusGone)
                result = decodeExpiredResponse(body);
            else
                result.detail = describe(outcome, status);
            result.era = era;
            done(std::move(result));
        });
}

store_call store_client::newest(std::string_view topic, std::string_view after, milliseconds timeout, on_newest done)
{
    std::string target = requestTargetOf("log-newest", topic);
    if (!after.empty()) {
        char* escaped = g_uri_escape_string(std::string(after).c_str(), nullptr, FALSE);
        target.append("&after=").append(escaped);
        g_free(escaped);
    }
    return send({ "GET", std::move(target), {}, "" }, timeout, [done = std::move(done)](http1::call_outcome outcome, unsigned status, const std::string& body, uint64_t era) {
        newest_page page;
        if (http1::isReceived(outcome) && status == http1::statusOk)
            page = detail::decodeNewestResponse(body);
        else
            page.detail = describe(outcome, status);
        page.era = era;
        done(std::move(page));
    });
}
}
