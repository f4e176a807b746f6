/// Fake of a model engine on the platform: streams events, and crashes on requests with certain prompt segments.
#pragma once

#include "fakes/platform_target.hpp"
#include "loop/timer.hpp"

#include <list>
#include <set>

namespace bilberryseam::fakes {

struct engine_behaviour {
    /// Time from the arrival of a request to its first event.
    milliseconds firstEventDelay { 40 };
    milliseconds eventPeriod { 10 };
    int eventCount = 4;
    /// Identifiers of prompt segments; the engine crashes instead of sending the first event of a request that has one.
    std::set<std::string> crashingSegments;
    /// Time from a crash until the engine listens again.
    milliseconds restartDelay { 800 };
    /// Requests a second that the engine says it takes, as text in each response; not set for no limit.
    std::optional<std::string> statedLimit;
};

/// Serves the requests of a target. While it is down, connections to it are refused.
class platform_engine {
public:
    /// @param onListening  Called when the engine stops or starts to listen, such as to switch a link in front of it; may be empty.
    platform_engine(platform_target& target, engine_behaviour behaviour, std::function<void(bool isListening)> onListening = {});

    /// Ends all connections and listens again after the restart delay. Must not be called by a handler of the target.
    void crash();

    /// Crashes if the engine is not down already.
    void crashIfUp();

    /// Sets a function that is called with each request when it arrives.
    void setOnRequest(std::function<void(const received_request&)> onRequest) { m_onRequest = std::move(onRequest); }

    /// @return True if a request's prompt has the segment.
    [[nodiscard]] static bool hasSegment(const http1::request_head& head, std::string_view segment);

    [[nodiscard]] engine_behaviour& behaviour() noexcept { return m_behaviour; }
    [[nodiscard]] const engine_behaviour& behaviour() const noexcept { return m_behaviour; }
    [[nodiscard]] size_t crashCount() const noexcept { return m_crashCount; }
    /// @return Arrival times of all requests.
    [[nodiscard]] const std::vector<time_point>& arrivals() const noexcept { return m_arrivals; }
    [[nodiscard]] bool isUp() const noexcept { return !m_restart.isRunning(); }
    /// @return Number of requests received with a prompt segment.
    [[nodiscard]] size_t requestsWith(const std::string& segment) const;
    /// @return The event with a number, as the engine sends it.
    [[nodiscard]] static std::string eventText(int number);

private:
    struct running_request {
        std::shared_ptr<http1::exchange> exchange;
        int nextEvent = 1;
        timer nextStep;
    };

    void start(std::shared_ptr<http1::exchange> exchange);
    void step(const std::shared_ptr<running_request>& request);
    [[nodiscard]] bool isCrashing(const http1::request_head& head) const;

    platform_target& m_target;
    engine_behaviour m_behaviour;
    std::function<void(bool)> m_onListening;
    std::function<void(const received_request&)> m_onRequest;
    std::list<std::shared_ptr<running_request>> m_running;
    std::vector<time_point> m_arrivals;
    size_t m_crashCount = 0;
    timer m_crash;
    timer m_restart;
};
}
