/// One call to a target over HTTP: an OpenAI-compatible stream for engines, JSON for the others.
#pragma once

#include "configuration/objects.hpp"
#include "loop/http.hpp"
#include "loop/timer.hpp"
#include "side/line_splitter.hpp"
#include "wire/message.hpp"

#include <functional>
#include <memory>

namespace bilberryseam::side {

/// How a call ended at the target.
struct call_result {
    /// The target never saw the call: it did not run.
    bool isNotStarted = false;
    wire::call_end end = wire::call_end::Unknown;
    std::string body;
    std::string detail;
};

/// A call under way. Dropping it closes the connection, which cancels the call at the target.
class target_call {
public:
    struct callbacks {
        std::function<void(std::string_view text)> onOutput;
        std::function<void(call_result)> onEnd;
    };

    /// @param http     Where connections come from.
    /// @param service  How to talk to the target.
    /// @param target   The target.
    /// @param call     What to run.
    /// @param silence  Longest time without a byte from the target.
    /// @param calls    What the owner is told; it may drop the call inside `onEnd`.
    target_call(http_client& http, const configuration::service& service, const configuration::target& target, const wire::start_call& call, milliseconds inactivityTimeout, callbacks callbacks);

private:
    void handleBytes(std::string_view bytes);
    bool handleLine(std::string_view line);
    void finish(const http_reply& reply);
    call_result resultOf(const http_reply& reply) const;
    call_result interruptedResult(const http_reply& reply) const;
    void watchInactivity();
    void end(call_result result);

    callbacks m_callbacks;
    bool m_isEngine;
    bool m_isRetryable;
    milliseconds m_inactivityTimeout;
    line_splitter m_lines;
    bool m_isStreamComplete = false;
    std::string m_usage;
    time_point m_lastByteAt = monotonicNow();
    timer m_inactivityTimer;
    std::shared_ptr<void> m_exchange;
};
}
