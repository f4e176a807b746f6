#include "side/target_call.hpp"

namespace bilberryseam::side {

using nlohmann::json;

namespace {
    constexpr std::string_view dataPrefix = "data:";
    constexpr std::string_view endMarker = "[DONE]";

    http_request requestFor(const configuration::service& service, const configuration::target& target, const wire::start_call& call)
    {
        http_request request;
        request.method = "POST";
        request.url = urlOf(target.address, service.path);
        request.body = call.body;
        request.headers.emplace_back("X-Request-Id", call.request.toString());
        request.headers.emplace_back("X-Priority", std::to_string(call.priority));
        if (!call.idempotencyKey.empty())
            request.headers.emplace_back("Idempotency-Key", call.idempotencyKey);
        request.isOnNewConnection = !service.isRetryable;
        return request;
    }
}

target_call::target_call(http_client& http, const configuration::service& service, const configuration::target& target, const wire::start_call& call, milliseconds inactivityTimeout, callbacks callbacks)
    : m_callbacks(std::move(callbacks))
    , m_isEngine(service.kind == configuration::service_kind::Engine)
    , m_isRetryable(service.isRetryable)
    , m_inactivityTimeout(inactivityTimeout)
{
    http_client::on_chunk onChunk;
    if (m_isEngine)
        onChunk = [this](std::string_view bytes) { handleBytes(bytes); };
    watchInactivity();
    m_exchange = http.send(
        requestFor(service, target, call), [this](http_response reply) { finish(reply); }, std::move(onChunk));
}

void target_call::watchInactivity()
{
    m_inactivityTimer.startOnce(m_inactivityTimeout, [this] {
        if (monotonicNow() - m_lastByteAt >= m_inactivityTimeout && m_callbacks.onSilence)
            m_callbacks.onSilence();
        watchInactivity();
    });
}

void target_call::handleBytes(std::string_view bytes)
{
    m_lastByteAt = monotonicNow();
    if (m_lines.feed(bytes, [this](std::string_view line) { return handleLine(line); }))
        return;
    m_exchange.reset();
    end({ false, wire::call_end::Rejected, "", "The target broke the streaming protocol." });
}

bool target_call::handleLine(std::string_view line)
{
    if (!line.starts_with(dataPrefix))
        return true;
    line.remove_prefix(dataPrefix.size());
    if (line.starts_with(' '))
        line.remove_prefix(1);
    if (line == endMarker) {
        m_isStreamComplete = true;
        return true;
    }
    const json event = json::parse(line, nullptr, false);
    if (event.is_discarded())
        return false;
    if (const auto usage = event.find("usage"); usage != event.end() && usage->is_object())
        m_usage = usage->dump();
    const json::json_pointer textPointer("/choices/0/text");
    if (event.contains(textPointer) && event[textPointer].is_string())
        m_callbacks.onOutput(event[textPointer].get_ref<const std::string&>());
    return true;
}

void target_call::finish(const http_response& reply)
{
    m_inactivityTimer.stop();
    end(resultOf(reply));
}

call_result target_call::resultOf(const http_response& reply) const
{
    if (reply.outcome == exchange_outcome::NotSent)
        return { true, wire::call_end::Unknown, "", reply.detail };
    if (reply.outcome != exchange_outcome::Complete)
        return interruptedResult(reply.detail);
    if (!reply.isOk()) {
        // A service that is not retryable may have executed the call before it failed with a 5xx; with a 4xx it refused
        // the call.
        const bool isOutcomeUnknown = !m_isRetryable && reply.status >= 500;
        return { false, isOutcomeUnknown ? wire::call_end::Unknown : wire::call_end::Rejected, reply.body, "The target answered with status " + std::to_string(reply.status) + ".", reply.status, reply.retryAfter };
    }
    // A stream without its end marker is incomplete, even if the connection was closed cleanly.
    if (m_isEngine && !m_isStreamComplete)
        return { false, wire::call_end::TargetCrashed, "", "The stream ended early." };
    if (!m_isEngine && !reply.hasStatedLength && !json::accept(reply.body))
        return interruptedResult("The response states no length and is not whole JSON.");
    return { false, wire::call_end::Answered, m_isEngine ? m_usage : reply.body, "" };
}

call_result target_call::interruptedResult(std::string detail) const
{
    return { false, m_isRetryable ? wire::call_end::TargetCrashed : wire::call_end::Unknown, "", std::move(detail) };
}

void target_call::end(call_result result)
{
    m_inactivityTimer.stop();
    const auto onEnd = std::exchange(m_callbacks.onEnd, nullptr);
    if (onEnd)
        onEnd(std::move(result));
}
}
