#include "policy/gate.hpp"

#include <algorithm>

namespace bilberryseam::policy {

namespace {
    /// Weight of the newest run in the mean.
    constexpr double newestRunWeight = 0.1;

    bool mayStart(const gate& gate, const waiting_call& next) noexcept
    {
        if (gate.isAloneRunning || gate.running >= gate.capacity)
            return false;
        return !next.isAlone || gate.running == 0;
    }

    void insertByPriority(std::deque<waiting_call>& queue, const waiting_call& call)
    {
        const auto behind = std::find_if(queue.begin(), queue.end(), [&](const waiting_call& other) { return other.priority < call.priority; });
        queue.insert(behind, call);
    }
}

double expectedWaitSeconds(const gate& gate) noexcept
{
    if (gate.running < gate.capacity && gate.queue.empty())
        return 0;
    const double ahead = static_cast<double>(gate.queue.size()) + 1;
    return ahead * gate.meanRunSeconds / gate.capacity;
}

gate_verdict checkAdmission(const gate& gate, const waiting_call& call, time_point now)
{
    if (gate.isLeaving)
        return gate_verdict::Leaving;
    if (gate.isDown)
        return gate_verdict::Down;
    if (gate.queue.size() >= gate.maxQueue && gate.running >= gate.capacity)
        return gate_verdict::QueueFull;
    if (asSeconds(call.deadline - now) <= expectedWaitSeconds(gate))
        return gate_verdict::Hopeless;
    return gate_verdict::Accept;
}

gate_verdict admit(gate& gate, const waiting_call& call, time_point now)
{
    const gate_verdict verdict = checkAdmission(gate, call, now);
    if (verdict == gate_verdict::Accept)
        insertByPriority(gate.queue, call);
    return verdict;
}

gate_step startCalls(gate& gate, time_point now)
{
    gate_step step;
    std::erase_if(gate.queue, [&](const waiting_call& call) {
        const bool isExpired = call.deadline <= now;
        if (isExpired)
            step.expired.push_back(call);
        return isExpired;
    });
    while (!gate.queue.empty() && mayStart(gate, gate.queue.front())) {
        const waiting_call next = gate.queue.front();
        gate.queue.pop_front();
        ++gate.running;
        gate.isAloneRunning = next.isAlone;
        step.started.push_back(next);
    }
    return step;
}

bool withdraw(gate& gate, identifier attempt)
{
    return std::erase_if(gate.queue, [&](const waiting_call& call) { return call.attempt == attempt; }) > 0;
}

void finishCall(gate& gate, bool wasAlone, std::optional<double> ranSeconds) noexcept
{
    --gate.running;
    if (wasAlone)
        gate.isAloneRunning = false;
    if (!ranSeconds)
        return;
    gate.meanRunSeconds = gate.meanRunSeconds == 0 ? *ranSeconds : gate.meanRunSeconds + newestRunWeight * (*ranSeconds - gate.meanRunSeconds);
}
}
