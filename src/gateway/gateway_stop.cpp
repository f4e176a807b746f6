#include "gateway/gateway.hpp"

#include "platform/ingress.hpp"
#include "policy/stop_schedule.hpp"

// The planned stop of the gateway.

namespace bilberryseam::gateway {

namespace {
    constexpr std::string_view logComponent = "gateway";

    /// Delay after which callers may retry a request that was not completely received, at another gateway.
    constexpr milliseconds retryElsewhere { 50 };
}

void gateway::continueStop(time_point now)
{
    const auto schedule = policy::stopScheduleFor(m_context.settings.bounds.stop);
    const auto sinceStopRequest = now - m_stopRequestedAt;
    if (sinceStopRequest > schedule.listening && !std::exchange(m_hasStoppedListening, true))
        m_callers->stopListening();
    const bool mustEnd = sinceStopRequest > schedule.serving;
    if (mustEnd)
        endOpenRequests();
    const bool isServed = sinceStopRequest > schedule.accepting && m_openRuns.empty() && m_pools->isDrained(now);
    const bool areCallersGone = (isServed || mustEnd) && m_callers->closeIdleConnections();
    if ((isServed && areCallersGone) || sinceStopRequest > schedule.running)
        m_loop.quit();
}

void gateway::endOpenRequests()
{
    const auto runs = m_openRuns;
    for (const auto& run : runs)
        run->expire("stopping");
    m_callers->refuseUnfinishedRequests({ platform::retryAfterHeader(retryElsewhere) });
}

void gateway::stop()
{
    if (std::exchange(m_isStopping, true))
        return;
    m_stopRequestedAt = monotonicNow();
    m_callers->setCloseAfterResponse(true);
    m_pools->setStopping();
    m_directory->withdraw();
    logLine(log_level::Info, logComponent, "The gateway received a termination signal and stops after its open requests finish.", { { "open_requests", std::to_string(m_openRuns.size()) } });
}
}
