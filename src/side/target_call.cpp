#include "side/target_call.hpp"

namespace bilberryseam::side {

using nlohmann::json;

namespace {
    constexpr std::string_view dataPrefix = "data:";
    constexpr std::string_view endMarker = "[DONE]";

    /// Allows for one retransmission of the first segment, which Linux sends after 1 s.
    constexpr milliseconds connectTimeout { 1500 };
    constexpr uint64_t maxResponseBytes = 16ull * 1024 * 1024;

    http1::outgoing_request requestFor(const configuration::service& service, const configuration::target& target, const wire::start_call& call)
    {
        http1::outgoing_request request { "POST", service.path, { { "Host", target.address.toString() } }, call.body };
        request.headers.emplace_back("Content-Type", "application/json");
        request.headers.emplace_back("X-Request-Id", call.request.toString());
        request.headers.emplace_back("X-Priority", std::to_string(call.priority));
        if (!call.idempotencyKey.empty())
            request.headers.emplace_back("Idempotency-Key", call.idempotencyKey);
        return request;
    }

    std::string retryAfterOf(const http1::header_list& headers)
    {
        std::string values;
        for (const auto& [name, value] : headers) {
            if (http1::isSameName(name, "Retry-After"))
                values += values.empty() ? value : ", " + value;
        }
        return values;
    }
}

target_call::target_call(http1::client& http, const configuration::service& service, const configuration::target& target, const wire::start_call& call, milliseconds inactivityTimeout, callbacks callbacks)
    : m_callbacks(std::move(callbacks))
    , m_isEngine(service.kind == configuration::service_kind::Engine)
    , m_isRetryable(service.isRetryable)
    , m_inactivityTimeout(inactivityTimeout)
{
    http1::client_call::callbacks exchangeCallbacks;
    exchangeCallbacks.onHead = [this](const http1::response_head& head) { m_head = head; };
    exchangeCallbacks.onBody = [this](std::string_view bytes) {
        if (m_isEngine && isSuccess())
            handleBytes(bytes);
        else
            m_body.append(bytes);
    };
    exchangeCallbacks.onEnd = [this](http1::call_outcome outcome) { finish(outcome); };
    // On a reused connection, a connection that an idle target closed would look like a crash, for which the request is suspected.
    http1::call_options options;
    options.isOnNewConnection = true;
    options.connectTimeout = connectTimeout;
    options.maxResponseBytes = maxResponseBytes;
    watchInactivity();
    m_exchange = http.send(target.address, requestFor(service, target, call), options, std::move(exchangeCallbacks));
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

void target_call::finish(http1::call_outcome outcome)
{
    m_inactivityTimer.stop();
    end(resultOf(outcome));
}

call_result target_call::resultOf(http1::call_outcome outcome) const
{
    if (outcome == http1::call_outcome::NotSent)
        return { true, wire::call_end::Unknown, "", "The target refused the connection." };
    // A stream with its end marker is complete, even if the last chunk is missing.
    const bool isOnlyLastChunkMissing = outcome == http1::call_outcome::Truncated && m_isStreamComplete && m_exchange->trace().framing == http1::body_framing::Chunks;
    if (!http1::isReceived(outcome) && !isOnlyLastChunkMissing)
        return interruptedResult("The exchange ended without a complete response: " + std::string(nameOf(outcome)) + ".");
    if (!isSuccess()) {
        // A service that is not retryable may have executed the call before it failed with a 5xx; with a 4xx it refused
        // the call.
        const bool isOutcomeUnknown = !m_isRetryable && m_head.status >= 500;
        return { false, isOutcomeUnknown ? wire::call_end::Unknown : wire::call_end::Rejected, m_body, "The target answered with status " + std::to_string(m_head.status) + ".", m_head.status, retryAfterOf(m_head.headers) };
    }
    // A stream without its end marker is incomplete, even if the connection was closed cleanly.
    if (m_isEngine && !m_isStreamComplete)
        return { false, wire::call_end::TargetCrashed, "", "The stream ended early." };
    if (!m_isEngine && outcome == http1::call_outcome::Unframed && !json::accept(m_body))
        return interruptedResult("The response states no length and is not whole JSON.");
    return { false, wire::call_end::Answered, m_isEngine ? m_usage : m_body, "" };
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
