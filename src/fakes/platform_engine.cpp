#include "fakes/platform_engine.hpp"

#include <algorithm>

namespace bilberryseam::fakes {

namespace {
    /// Identifiers of a prompt's segments, without their token counts.
    std::vector<std::string> segmentsOf(const http1::request_head& head)
    {
        std::vector<std::string> segments;
        std::string_view list = http1::findHeader(head.headers, "X-Prompt-Prefix").value_or("");
        while (!list.empty()) {
            const size_t comma = std::min(list.find(','), list.size());
            const std::string_view item = http1::trim(list.substr(0, comma));
            segments.emplace_back(item.substr(0, item.find(':')));
            list.remove_prefix(std::min(comma + 1, list.size()));
        }
        return segments;
    }
}

platform_engine::platform_engine(platform_target& target, engine_behaviour behaviour, std::function<void(bool)> onListening)
    : m_target(target)
    , m_behaviour(std::move(behaviour))
    , m_onListening(std::move(onListening))
{
    m_target.setRequestHandler([this](std::shared_ptr<http1::exchange> exchange) { start(std::move(exchange)); });
}

std::string platform_engine::eventText(int number)
{
    return "id: " + std::to_string(number) + "\ndata: event " + std::to_string(number) + "\n\n";
}

size_t platform_engine::requestsWith(const std::string& segment) const
{
    const auto& requests = m_target.requests();
    return static_cast<size_t>(std::count_if(requests.begin(), requests.end(), [&](const auto& item) { return hasSegment(item.head, segment); }));
}

bool platform_engine::hasSegment(const http1::request_head& head, std::string_view segment)
{
    const auto segments = segmentsOf(head);
    return std::find(segments.begin(), segments.end(), segment) != segments.end();
}

bool platform_engine::isCrashing(const http1::request_head& head) const
{
    const auto segments = segmentsOf(head);
    return std::any_of(segments.begin(), segments.end(), [this](const auto& segment) { return m_behaviour.crashingSegments.contains(segment); });
}

void platform_engine::start(std::shared_ptr<http1::exchange> exchange)
{
    m_arrivals.push_back(monotonicNow());
    if (m_onRequest)
        m_onRequest(m_target.requests().back());
    const auto request = std::make_shared<running_request>();
    request->exchange = std::move(exchange);
    m_running.push_back(request);
    request->nextStep.startOnce(m_behaviour.firstEventDelay, [this, weak = std::weak_ptr(request)] {
        if (const auto running = weak.lock())
            step(running);
    });
}

void platform_engine::step(const std::shared_ptr<running_request>& request)
{
    http1::exchange& exchange = *request->exchange;
    if (exchange.isFinished()) {
        m_running.remove(request);
        return;
    }
    if (request->nextEvent == 1) {
        http1::header_list headers = m_target.responseHeaders(exchange);
        if (m_behaviour.statedLimit)
            headers.emplace_back("Server-Limit", *m_behaviour.statedLimit);
        exchange.startChunked(http1::statusOk, std::move(headers));
        if (isCrashing(exchange.head())) {
            m_crash.startWhenIdle([this] { crash(); });
            return;
        }
    }
    exchange.writeChunk(eventText(request->nextEvent));
    if (++request->nextEvent > m_behaviour.eventCount) {
        exchange.finishChunked();
        m_running.remove(request);
        return;
    }
    request->nextStep.startOnce(m_behaviour.eventPeriod, [this, weak = std::weak_ptr(request)] {
        if (const auto running = weak.lock())
            step(running);
    });
}

void platform_engine::crashIfUp()
{
    if (isUp())
        crash();
}

void platform_engine::crash()
{
    ++m_crashCount;
    m_running.clear();
    m_target.stopListening();
    if (m_onListening)
        m_onListening(false);
    m_restart.startOnce(m_behaviour.restartDelay, [this] {
        m_target.startListening();
        if (m_onListening)
            m_onListening(true);
    });
}
}
