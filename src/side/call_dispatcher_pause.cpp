#include "side/call_dispatcher.hpp"

#include "policy/target_pause.hpp"
#include "side/detail/call_dispatcher_state.hpp"
#include "telemetry/log.hpp"

namespace bilberryseam::side {

namespace {
    constexpr std::string_view logComponent = "gate";
}

bool call_dispatcher::pauseTarget(target_runtime& runtime, const call_result& result)
{
    const std::optional<policy::requested_pause> pause = policy::readPause(result.errorStatus, result.retryAfter);
    if (!pause)
        return false;
    if (!pause->isPlausible)
        logLine(log_level::Warning, logComponent, "A target asked for a pause that is not plausible; a bounded one applies.", { { "target", runtime.target.name }, { "retryAfter", result.retryAfter }, { "pauseMs", std::to_string(pause->length.count()) } });
    const time_point now = monotonicNow();
    const std::vector<policy::queued_call> infeasible = policy::pauseCalls(runtime.callQueue, now + pause->length);
    m_metrics.count("target_pauses_total", { { "target", runtime.target.name } });
    logLine(log_level::Info, logComponent, "A target asked for a pause and gets no calls until its end.", { { "target", runtime.target.name }, { "status", std::to_string(result.errorStatus) }, { "pauseMs", std::to_string(pause->length.count()) }, { "refused", std::to_string(infeasible.size()) } });
    for (const policy::queued_call& call : infeasible)
        refuseWaiting(*m_calls.at(call.attempt), wire::refusal::DeadlinePassed);
    broadcastLoad(runtime);
    runtime.pauseTimer.startOnce(std::chrono::ceil<milliseconds>(*runtime.callQueue.pausedUntil - now), [this, &runtime] {
        logLine(log_level::Info, logComponent, "The pause of a target has ended; calls return gradually.", { { "target", runtime.target.name }, { "queued", std::to_string(runtime.callQueue.waiting.size()) } });
        broadcastLoad(runtime);
        returnCalls(runtime);
    });
    return true;
}

void call_dispatcher::returnCalls(target_runtime& runtime)
{
    startQueuedCalls(runtime);
    if (policy::callLimit(runtime.callQueue, monotonicNow()) < runtime.callQueue.capacity)
        runtime.pauseTimer.startOnce(policy::returnStep, [this, &runtime] { returnCalls(runtime); });
}
}
