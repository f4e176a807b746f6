#include "fakes/platform_target.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bilberryseam::fakes {

using nlohmann::json;

platform_target::platform_target(std::string id, const ip_endpoint& listen)
    : m_id(std::move(id))
    , m_endpoint(listen)
    , m_listen(listen)
{
    startListening();
}

void platform_target::startListening()
{
    m_server.emplace(
        m_listen, [] { return http1::server_limits(); }, [this](std::shared_ptr<http1::exchange> exchange) { handleExchange(std::move(exchange)); });
}

void platform_target::stopListening()
{
    m_silenceEnd.stop();
    m_server.reset();
    m_held.clear();
}

void platform_target::fallSilent(milliseconds duration)
{
    const time_point now = monotonicNow();
    if (isSilent() && m_silentUntil >= now + duration)
        return;
    m_silentUntil = now + duration;
    m_silenceEnd.startOnce(duration, [this] { endSilence(); });
}

void platform_target::endSilence()
{
    while (!isSilent() && !m_held.empty()) {
        const auto function = std::move(m_held.front());
        m_held.pop_front();
        function();
    }
}

void platform_target::runWhenAudible(std::function<void()> function)
{
    if (isSilent())
        m_held.push_back(std::move(function));
    else
        function();
}

http1::header_list platform_target::responseHeaders(const http1::exchange& exchange) const
{
    const auto id = http1::findHeader(exchange.head().headers, "X-Attempt-Id");
    http1::header_list headers { { "X-Attempt-Id", std::string(id.value_or("")) }, { "X-Response-Seal", "seal-" + m_id } };
    if (m_coldUntil)
        headers.emplace_back("X-Cold-Ms", std::to_string(std::max<int64_t>(0, asMilliseconds(*m_coldUntil - monotonicNow()))));
    return headers;
}

std::shared_ptr<http1::tcp_stream> platform_target::startUnframed(http1::exchange& exchange) const
{
    const auto headers = responseHeaders(exchange);
    auto connection = exchange.releaseConnection();
    connection->write("HTTP/1.1 200 OK\r\n");
    for (const auto& [name, value] : headers)
        connection->write(name + ": " + value + "\r\n");
    connection->write("\r\n");
    return connection;
}

void platform_target::handleExchange(std::shared_ptr<http1::exchange> exchange)
{
    const http1::request_head& head = exchange->head();
    const auto expectedInstance = http1::findHeader(head.headers, "X-Expect-Instance");
    if (expectedInstance && *expectedInstance != m_id) {
        runWhenAudible([this, exchange = std::move(exchange)] { exchange->respond(421, { { "X-Replica-Id", m_id } }, {}); });
        return;
    }
    const std::string_view path = http1::pathOf(head.target);
    if (path == "/v1/stage-run") {
        m_batchCalls.push_back(exchange->body());
        recordTasks(m_batchCalls.back());
        runWhenAudible([this, exchange = std::move(exchange)] { handleBatchCall(exchange); });
        return;
    }
    if (path == "/v1/stage-free") {
        m_arrivals.push_back({ arrival_kind::Release, {}, monotonicNow() });
        const json request = json::parse(exchange->body());
        for (const json& handle : request.at("handles"))
            m_releasedResults.push_back(handle);
        runWhenAudible([exchange = std::move(exchange)] { exchange->respond(200, {}, "{}"); });
        return;
    }
    if (path == "/v1/report") {
        ++m_reportCount;
        runWhenAudible([this, exchange = std::move(exchange)] {
            if (m_report)
                exchange->respond(200, { { "Content-Type", "application/json" } }, *m_report);
            else
                exchange->respond(404, {}, {});
        });
        return;
    }
    m_requests.push_back({ std::string(http1::findHeader(head.headers, "X-Attempt-Id").value_or("")), head, exchange->body() });
    m_arrivals.push_back({ arrival_kind::Request, m_requests.back().id, monotonicNow() });
    if (m_onArrival)
        m_onArrival(m_requests.back());
    runWhenAudible([this, exchange = std::move(exchange)] { handleRequest(exchange); });
}

void platform_target::recordTasks(std::string_view body)
{
    const json call = json::parse(body, nullptr, false);
    if (!call.is_object() || !call.contains("items"))
        return;
    for (const json& item : call["items"])
        m_arrivals.push_back({ arrival_kind::Task, item.value("id", ""), monotonicNow() });
}

void platform_target::handleRequest(std::shared_ptr<http1::exchange> exchange)
{
    if (m_requestHandler)
        m_requestHandler(std::move(exchange));
    else
        exchange->respond(200, responseHeaders(*exchange), m_id);
}

void platform_target::handleBatchCall(std::shared_ptr<http1::exchange> exchange)
{
    if (m_batchCallHandler)
        m_batchCallHandler(std::move(exchange));
    else
        respondToBatchCall(*exchange);
}

void platform_target::respondToBatchCall(http1::exchange& exchange, http1::header_list headers)
{
    const json request = json::parse(exchange.body());
    json items = json::array();
    for (size_t i = 0; i < request.at("items").size(); ++i)
        items.push_back({ { "handle", m_endpoint.toString() + "/" + std::to_string(m_nextResult++) } });
    headers.emplace_back("Content-Type", "application/json");
    exchange.respond(200, std::move(headers), json { { "items", items } }.dump());
}
}
