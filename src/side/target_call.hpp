/// One call to a target over HTTP: an OpenAI-compatible stream for engines, JSON for other services.
#pragma once

#include "configuration/objects.hpp"
#include "http1/client.hpp"
#include "loop/timer.hpp"
#include "side/line_splitter.hpp"
#include "wire/message.hpp"

#include <functional>
#include <memory>

namespace bilberryseam::side {

/// Result of a call at the target.
struct call_result {
    /// The call never reached the target and has not run.
    bool isNotStarted = false;
    wire::call_end end = wire::call_end::Unknown;
    std::string body;
    std::string detail;
    /// Status of a response other than 2xx, otherwise zero, and its `Retry-After` field.
    unsigned errorStatus = 0;
    std::string retryAfter;
};

/// A call in progress. Destroying it closes the connection, which cancels the call at the target.
class target_call {
public:
    struct callbacks {
        std::function<void(std::string_view text)> onOutput;
        /// The target has sent nothing for the inactivity timeout; the call goes on.
        std::function<void()> onSilence;
        std::function<void(call_result)> onEnd;
    };

    /// @param http               Client that sends the request.
    /// @param service            Service of the target: its kind, path and whether it is retryable.
    /// @param target             The target.
    /// @param call               The call to run.
    /// @param inactivityTimeout  Time without data from the target after which it is reported as silent.
    /// @param callbacks          Receive output and result; `onEnd` may destroy the call.
    target_call(http1::client& http, const configuration::service& service, const configuration::target& target, const wire::start_call& call, milliseconds inactivityTimeout, callbacks callbacks);

private:
    void handleBytes(std::string_view bytes);
    bool handleLine(std::string_view line);
    void finish(http1::call_outcome outcome);
    call_result resultOf(http1::call_outcome outcome) const;
    [[nodiscard]] bool isSuccess() const noexcept { return m_head.status >= 200 && m_head.status < 300; }
    call_result interruptedResult(std::string detail) const;
    void watchInactivity();
    void end(call_result result);

    callbacks m_callbacks;
    bool m_isEngine;
    bool m_isRetryable;
    milliseconds m_inactivityTimeout;
    line_splitter m_lines;
    http1::response_head m_head;
    /// Received body, except that of a stream.
    std::string m_body;
    bool m_isStreamComplete = false;
    std::string m_usage;
    time_point m_lastByteAt = monotonicNow();
    timer m_inactivityTimer;
    std::shared_ptr<http1::client_call> m_exchange;
};
}
