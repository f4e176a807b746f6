#include "policy/call_queue.hpp"

#include <algorithm>

namespace bilberryseam::policy {

namespace {
    /// Weight of the newest run in the mean.
    constexpr double newestRunWeight = 0.1;

    bool mayStart(const call_queue& gate, const queued_call& next) noexcept
    {
        if (gate.isIsolatedRunning || gate.running >= gate.capacity)
            return false;
        return !next.isIsolated || gate.running == 0;
    }

    void insertByPriority(std::deque<queued_call>& queue, const queued_call& call)
    {
        const auto behind = std::find_if(queue.begin(), queue.end(), [&](const queued_call& other) { return other.priority < call.priority; });
        queue.insert(behind, call);
    }
}

double expectedWaitSeconds(const call_queue& gate) noexcept
{
    if (gate.running < gate.capacity && gate.waiting.empty())
        return 0;
    const double ahead = static_cast<double>(gate.waiting.size()) + 1;
    return ahead * gate.meanRunSeconds / gate.capacity;
}

admission_verdict checkAdmission(const call_queue& gate, const queued_call& call, time_point now)
{
    if (gate.isDraining)
        return admission_verdict::Draining;
    if (gate.isDown)
        return admission_verdict::Down;
    if (gate.waiting.size() >= gate.maxWaiting && gate.running >= gate.capacity)
        return admission_verdict::QueueFull;
    if (asSeconds(call.deadline - now) <= expectedWaitSeconds(gate))
        return admission_verdict::Infeasible;
    return admission_verdict::Accept;
}

admission_verdict admit(call_queue& gate, const queued_call& call, time_point now)
{
    const admission_verdict verdict = checkAdmission(gate, call, now);
    if (verdict == admission_verdict::Accept)
        insertByPriority(gate.waiting, call);
    return verdict;
}

dispatch_result startCalls(call_queue& gate, time_point now)
{
    dispatch_result step;
    std::erase_if(gate.waiting, [&](const queued_call& call) {
        const bool isExpired = call.deadline <= now;
        if (isExpired)
            step.expired.push_back(call);
        return isExpired;
    });
    while (!gate.waiting.empty() && mayStart(gate, gate.waiting.front())) {
        const queued_call next = gate.waiting.front();
        gate.waiting.pop_front();
        ++gate.running;
        gate.isIsolatedRunning = next.isIsolated;
        step.started.push_back(next);
    }
    return step;
}

bool removeCall(call_queue& gate, identifier attempt)
{
    return std::erase_if(gate.waiting, [&](const queued_call& call) { return call.attempt == attempt; }) > 0;
}

void finishCall(call_queue& gate, bool wasAlone, std::optional<double> ranSeconds) noexcept
{
    --gate.running;
    if (wasAlone)
        gate.isIsolatedRunning = false;
    if (!ranSeconds)
        return;
    gate.meanRunSeconds = gate.meanRunSeconds == 0 ? *ranSeconds : gate.meanRunSeconds + newestRunWeight * (*ranSeconds - gate.meanRunSeconds);
}
}
