#include "fakes/platform_engine.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <charconv>

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

    /// Number of the first event that a response contains.
    int firstEventOf(const http1::request_head& head)
    {
        const std::string_view text = http1::findHeader(head.headers, "Last-Event-Id").value_or("");
        int last = 0;
        std::from_chars(text.data(), text.data() + text.size(), last);
        return last + 1;
    }
}

platform_engine::platform_engine(platform_target& target, engine_behaviour behaviour, std::function<void(bool)> onListening)
    : m_target(target)
    , m_behaviour(std::move(behaviour))
    , m_random(static_cast<std::mt19937::result_type>(hashOf(target.id(), m_behaviour.silences.seed)))
    , m_onListening(std::move(onListening))
{
    m_target.setOnArrival([this](const received_request& request) {
        m_arrivals.push_back(monotonicNow());
        if (m_onRequest)
            m_onRequest(request);
    });
    m_target.setRequestHandler([this](std::shared_ptr<http1::exchange> exchange) { start(std::move(exchange)); });
}

std::string platform_engine::eventText(int number, std::string_view version)
{
    std::string text = "id: " + std::to_string(number) + "\ndata: event " + std::to_string(number);
    if (!version.empty())
        text.append(" of ").append(version);
    return text + "\n\n";
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
    if (m_behaviour.maxRequests > 0) {
        std::erase_if(m_running, [](const auto& running) { return running->exchange->isFinished(); });
        if (m_running.size() >= m_behaviour.maxRequests) {
            if (m_onRejected)
                m_onRejected(std::string(http1::findHeader(exchange->head().headers, "X-Attempt-Id").value_or("")));
            exchange->respond(http1::statusUnavailable, { { "X-Not-Executed", "1" } }, {});
            return;
        }
    }
    if (m_behaviour.isLosingResponses) {
        exchange->abort();
        return;
    }
    const auto request = std::make_shared<running_request>();
    if (m_behaviour.isResuming)
        request->nextEvent = firstEventOf(exchange->head());
    request->exchange = std::move(exchange);
    m_running.push_back(request);
    continueAfter(request, m_behaviour.headDelay.value_or(m_behaviour.firstEventDelay));
}

milliseconds platform_engine::drawSilence()
{
    const random_silences& silences = m_behaviour.silences;
    if (silences.percent == 0 || m_random() % 100 >= silences.percent)
        return milliseconds(0);
    const auto range = static_cast<unsigned>((silences.longest - silences.shortest).count()) + 1;
    return m_drawnSilences.emplace_back(silences.shortest + milliseconds(m_random() % range));
}

void platform_engine::continueAfter(const running_request_ptr& request, milliseconds delay)
{
    const milliseconds total = delay + drawSilence();
    if (total <= milliseconds(0)) {
        sendNextPart(request);
        return;
    }
    request->nextStep.startOnce(total, [this, weak = std::weak_ptr(request)] {
        if (const auto running = weak.lock())
            sendNextPart(running);
    });
}

void platform_engine::sendNextPart(const running_request_ptr& request)
{
    if (m_target.isSilent()) {
        m_target.runWhenAudible([this, weak = std::weak_ptr(request)] {
            if (const auto running = weak.lock())
                sendNextPart(running);
        });
        return;
    }
    if (request->exchange->isFinished())
        m_running.remove(request);
    else if (!request->isHeadSent)
        sendHead(request);
    else if (request->nextEvent <= m_behaviour.eventCount)
        sendEvent(request);
    else {
        request->exchange->finishChunked();
        m_running.remove(request);
    }
}

void platform_engine::sendHead(const running_request_ptr& request)
{
    http1::exchange& exchange = *request->exchange;
    request->isHeadSent = true;
    http1::header_list headers = m_target.responseHeaders(exchange);
    if (m_behaviour.statedLimit)
        headers.emplace_back("Server-Limit", *m_behaviour.statedLimit);
    exchange.startChunked(http1::statusOk, std::move(headers));
    if (isCrashing(exchange.head())) {
        m_crash.startWhenIdle([this] { crash(); });
        return;
    }
    const milliseconds untilFirstEvent = m_behaviour.headDelay ? m_behaviour.firstEventDelay - *m_behaviour.headDelay : milliseconds(0);
    continueAfter(request, untilFirstEvent);
}

void platform_engine::sendEvent(const running_request_ptr& request)
{
    if (!request->restOfEvent.empty()) {
        completeEvent(request);
        return;
    }
    if (const milliseconds silence = drawSilence(); silence > milliseconds(0)) {
        sendHalfOfEvent(*request);
        request->nextStep.startOnce(silence, [this, weak = std::weak_ptr(request)] {
            if (const auto running = weak.lock())
                sendNextPart(running);
        });
        return;
    }
    request->restOfEvent = eventText(request->nextEvent, m_behaviour.version);
    completeEvent(request);
}

void platform_engine::sendHalfOfEvent(running_request& request)
{
    const std::string text = eventText(request.nextEvent, m_behaviour.version);
    request.exchange->writeChunk(std::string_view(text).substr(0, text.size() / 2));
    request.restOfEvent = text.substr(text.size() / 2);
}

void platform_engine::completeEvent(const running_request_ptr& request)
{
    request->exchange->writeChunk(std::exchange(request->restOfEvent, {}));
    const bool isLast = ++request->nextEvent > m_behaviour.eventCount;
    continueAfter(request, isLast ? milliseconds(0) : m_behaviour.eventPeriod);
}

void platform_engine::fallSilentInsideEvents(milliseconds duration)
{
    for (const auto& request : m_running) {
        const bool isBetweenEvents = request->isHeadSent && request->restOfEvent.empty() && request->nextEvent <= m_behaviour.eventCount;
        if (isBetweenEvents && !request->exchange->isFinished() && !m_target.isSilent())
            sendHalfOfEvent(*request);
    }
    m_target.fallSilent(duration);
}

void platform_engine::crashIfUp()
{
    if (isUp())
        crash();
}

void platform_engine::restartAs(std::string version, std::function<void()> onStarted)
{
    crash();
    m_behaviour.version = std::move(version);
    m_onStarted = std::move(onStarted);
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
        if (const auto onStarted = std::exchange(m_onStarted, {}))
            onStarted();
    });
}
}
