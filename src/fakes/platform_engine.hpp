/// Fake of a model engine on the platform: streams events, and crashes on requests with certain prompt segments.
#pragma once

#include "fakes/platform_target.hpp"
#include "loop/timer.hpp"

#include <list>
#include <random>
#include <set>

namespace bilberryseam::fakes {

/// Silences of single responses: before the head, between head and body, before and inside each event, and before the end.
struct random_silences {
    /// Probability of a silence at each of these points, in percent.
    unsigned percent = 0;
    milliseconds shortest { 500 };
    milliseconds longest { 3000 };
    /// Seed of the draws; engines with different identifiers draw differently.
    unsigned seed = 1;
};

struct engine_behaviour {
    /// Time from the arrival of a request to its first event.
    milliseconds firstEventDelay { 40 };
    /// Time from the arrival of a request to the head of the response; not set if the head comes with the first event.
    std::optional<milliseconds> headDelay;
    milliseconds eventPeriod { 10 };
    int eventCount = 4;
    /// Identifiers of prompt segments; the engine crashes instead of sending the first event of a request that has one.
    std::set<std::string> crashingSegments;
    /// Time from a crash until the engine listens again.
    milliseconds restartDelay { 800 };
    /// Requests that the engine runs at the same time; it rejects further ones unrun. Zero for no limit.
    size_t maxRequests = 0;
    /// Requests a second that the engine says it takes, as text in each response; not set for no limit.
    std::optional<std::string> statedLimit;
    /// Read when the engine is created.
    random_silences silences;
    /// Software version that the text of each event names; empty for events without one.
    std::string version;
    /// Runs requests and closes their connections without a response.
    bool isLosingResponses = false;
    /// Continues a request with `Last-Event-Id` after that event.
    bool isResuming = false;
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

    /// Crashes, and starts under the same identifier and address with another software version.
    /// @param onStarted  Called when the engine listens again; may be empty.
    void restartAs(std::string version, std::function<void()> onStarted = {});

    /// Sends the first half of the next event of each response whose head is sent, then makes the target silent for a time.
    void fallSilentInsideEvents(milliseconds duration);

    /// Sets a function that is called with each request when it arrives.
    void setOnRequest(std::function<void(const received_request&)> onRequest) { m_onRequest = std::move(onRequest); }

    /// Sets a function that is called with the identifier of each request that the engine rejects unrun.
    void setOnRejected(std::function<void(const std::string& id)> onRejected) { m_onRejected = std::move(onRejected); }

    /// @return True if a request's prompt has the segment.
    [[nodiscard]] static bool hasSegment(const http1::request_head& head, std::string_view segment);

    [[nodiscard]] platform_target& target() noexcept { return m_target; }
    [[nodiscard]] engine_behaviour& behaviour() noexcept { return m_behaviour; }
    [[nodiscard]] const engine_behaviour& behaviour() const noexcept { return m_behaviour; }
    [[nodiscard]] size_t crashCount() const noexcept { return m_crashCount; }
    /// @return Arrival times of all requests.
    [[nodiscard]] const std::vector<time_point>& arrivals() const noexcept { return m_arrivals; }
    /// @return Number of requests that the engine is working on.
    [[nodiscard]] size_t runningCount() const noexcept { return m_running.size(); }
    [[nodiscard]] bool isUp() const noexcept { return !m_restart.isRunning(); }
    /// @return The random silences so far, in the order in which they were drawn.
    [[nodiscard]] const std::vector<milliseconds>& drawnSilences() const noexcept { return m_drawnSilences; }
    /// @return Number of requests received with a prompt segment.
    [[nodiscard]] size_t requestsWith(const std::string& segment) const;
    /// @return The event with a number, as the engine sends it.
    [[nodiscard]] static std::string eventText(int number, std::string_view version = {});

private:
    struct running_request {
        std::shared_ptr<http1::exchange> exchange;
        int nextEvent = 1;
        bool isHeadSent = false;
        /// Second half of an event whose first half is sent.
        std::string restOfEvent;
        timer nextStep;
    };
    using running_request_ptr = std::shared_ptr<running_request>;

    void start(std::shared_ptr<http1::exchange> exchange);
    /// Sends the next part after a delay and perhaps a silence.
    void continueAfter(const running_request_ptr& request, milliseconds delay);
    void sendNextPart(const running_request_ptr& request);
    void sendHead(const running_request_ptr& request);
    void sendEvent(const running_request_ptr& request);
    void sendHalfOfEvent(running_request& request);
    void completeEvent(const running_request_ptr& request);
    [[nodiscard]] milliseconds drawSilence();
    [[nodiscard]] bool isCrashing(const http1::request_head& head) const;

    platform_target& m_target;
    engine_behaviour m_behaviour;
    std::mt19937 m_random;
    std::vector<milliseconds> m_drawnSilences;
    std::function<void(bool)> m_onListening;
    std::function<void()> m_onStarted;
    std::function<void(const received_request&)> m_onRequest;
    std::function<void(const std::string&)> m_onRejected;
    std::list<running_request_ptr> m_running;
    std::vector<time_point> m_arrivals;
    size_t m_crashCount = 0;
    timer m_crash;
    timer m_restart;
};
}
