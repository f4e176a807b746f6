#include "platform/log_client.hpp"

namespace bilberryseam::platform {

using nlohmann::json;

namespace {
    constexpr unsigned statusUnavailable = 503;
    constexpr size_t maxReadBytes = 64 * 1024 * 1024;

    std::string pathOf(std::string_view stream)
    {
        return "/v1/streams/" + std::string(stream) + "/records";
    }

    append_reply readAppendReply(const http_reply& reply)
    {
        // Only a refusal by status, or a request that never left, proves that nothing was appended.
        const bool isRefused = reply.end == exchange_end::NotConnected || (reply.end == exchange_end::Complete && reply.status >= 400 && reply.status <= statusUnavailable);
        if (isRefused)
            return { append_end::Refused, 0, reply.detail };
        const json body = json::parse(reply.body, nullptr, false);
        if (!reply.isOk() || !body.is_object() || !body.contains("firstOffset") || !body["firstOffset"].is_number_unsigned())
            return { append_end::Unknown, 0, reply.detail };
        return { append_end::Appended, body["firstOffset"].get<uint64_t>(), "" };
    }

    read_reply readReadReply(const http_reply& reply)
    {
        if (!reply.isOk())
            return { false, 0, 0, {}, reply.detail };
        try {
            const json body = json::parse(reply.body);
            read_reply made { true, body.at("start"), body.at("end"), {}, "" };
            for (const json& item : body.at("records"))
                made.records.push_back({ item.at("offset"), item.at("appendedMs"), item.at("text") });
            return made;
        } catch (const json::exception&) {
            return { false, 0, 0, {}, "The log's answer is malformed." };
        }
    }
}

std::shared_ptr<void> log_client::append(std::string_view stream, std::span<const std::string> records, on_append done)
{
    http_request request { "POST", urlOf(m_log, pathOf(stream)), json { { "records", std::vector<std::string>(records.begin(), records.end()) } }.dump(), {}, false, logTimeout };
    return m_http.send(request, [done = std::move(done)](http_reply reply) { done(readAppendReply(reply)); });
}

std::shared_ptr<void> log_client::read(std::string_view stream, uint64_t from, uint32_t limit, on_read done)
{
    const std::string query = "?from=" + std::to_string(from) + "&limit=" + std::to_string(limit);
    http_request request { "GET", urlOf(m_log, pathOf(stream) + query), "", {}, false, logTimeout, maxReadBytes };
    return m_http.send(request, [done = std::move(done)](http_reply reply) { done(readReadReply(reply)); });
}
}
