/// Targets whose responses follow a script of events and pauses.
#pragma once

#include "support/deployment_fixture.hpp"

#include <deque>

namespace bilberryseam::tests {

inline std::string event(int number)
{
    return "id: " + std::to_string(number) + "\ndata: text " + std::to_string(number) + "\n\n";
}

/// One step of a response, some time after the step before.
struct step {
    milliseconds pause;
    std::function<void(http1::exchange&)> action;
};

/// Runs the steps of responses of one target.
class scripted_target {
public:
    scripted_target(fakes::platform_target& target, std::vector<step> steps)
        : m_target(target)
        , m_steps(std::move(steps))
    {
        m_target.setRequestHandler([this](std::shared_ptr<http1::exchange> exchange) { runStep(exchange, 0); });
    }

    /// @return A step that begins a stream.
    [[nodiscard]] step head(milliseconds pause) const
    {
        return { pause, [this](http1::exchange& exchange) { exchange.startChunked(200, m_target.responseHeaders(exchange)); } };
    }

    void setSteps(std::vector<step> steps) { m_steps = std::move(steps); }
    [[nodiscard]] size_t requestCount() const { return m_target.requests().size(); }
    [[nodiscard]] const std::string lastEventIdOf(size_t request) const { return std::string(http1::findHeader(m_target.requests()[request].head.headers, "Last-Event-Id").value_or("none")); }
    /// @return Responses whose connection the gateway closed before their end.
    [[nodiscard]] size_t closedCount() const noexcept { return m_closedCount; }

private:
    void runStep(const std::shared_ptr<http1::exchange>& exchange, size_t index)
    {
        if (index == 0)
            exchange->setOnDisconnect([this] { ++m_closedCount; });
        if (index >= m_steps.size() || exchange->isFinished())
            return;
        m_timers.emplace_back();
        m_timers.back().startOnce(m_steps[index].pause, [this, exchange, index] {
            if (!exchange->isFinished())
                m_steps[index].action(*exchange);
            runStep(exchange, index + 1);
        });
    }

    fakes::platform_target& m_target;
    std::vector<step> m_steps;
    std::deque<timer> m_timers;
    size_t m_closedCount = 0;
};

inline step bytes(milliseconds pause, const std::string& text)
{
    return { pause, [text](http1::exchange& exchange) { exchange.writeChunk(text); } };
}

inline step end(milliseconds pause = milliseconds(10))
{
    return { pause, [](http1::exchange& exchange) { exchange.finishChunked(); } };
}

/// A resumable route with short objectives, so that silence is noticed soon.
inline nlohmann::json resumableRoute(const nlohmann::json& changes = nlohmann::json::object())
{
    nlohmann::json route = deployment_fixture::route("/m/", "streaming", "model", { { "resumable", true }, { "target_latency_ms", 300 }, { "gap_aim_ms", 100 } });
    route.update(changes);
    return route;
}
}
