#include "policy/call_queue.hpp"

#include <algorithm>

namespace bilberryseam::policy {

namespace {
    /// Weight of the newest run in the mean.
    constexpr double newestRunWeight = 0.1;

    bool mayStart(const call_queue& queue, const queued_call& next, time_point now) noexcept
    {
        if (queue.isIsolatedRunning || queue.running >= callLimit(queue, now))
            return false;
        return !next.isIsolated || queue.running == 0;
    }

    void insertByPriority(std::deque<queued_call>& waiting, const queued_call& call)
    {
        const auto position = std::find_if(waiting.begin(), waiting.end(), [&](const queued_call& other) { return other.priority < call.priority; });
        waiting.insert(position, call);
    }
}

double expectedWaitSeconds(const call_queue& queue, time_point now) noexcept
{
    const double pauseSeconds = queue.pausedUntil ? std::max(0.0, asSeconds(*queue.pausedUntil - now)) : 0;
    if (queue.running < queue.capacity && queue.waiting.empty())
        return pauseSeconds;
    const double ahead = static_cast<double>(queue.waiting.size()) + 1;
    return pauseSeconds + ahead * queue.meanRunSeconds / queue.capacity;
}

admission_verdict checkAdmission(const call_queue& queue, const queued_call& call, time_point now)
{
    if (queue.isDraining)
        return admission_verdict::Draining;
    if (queue.isDown)
        return admission_verdict::Down;
    if (queue.waiting.size() >= queue.maxWaiting && queue.running >= queue.capacity)
        return admission_verdict::QueueFull;
    if (asSeconds(call.deadline - now) <= expectedWaitSeconds(queue, now))
        return admission_verdict::Infeasible;
    return admission_verdict::Accept;
}

admission_verdict admit(call_queue& queue, const queued_call& call, time_point now)
{
    const admission_verdict verdict = checkAdmission(queue, call, now);
    if (verdict == admission_verdict::Accept)
        insertByPriority(queue.waiting, call);
    return verdict;
}

dispatch_result startCalls(call_queue& queue, time_point now)
{
    dispatch_result result;
    std::erase_if(queue.waiting, [&](const queued_call& call) {
        const bool isExpired = call.deadline <= now;
        if (isExpired)
            result.expired.push_back(call);
        return isExpired;
    });
    while (!queue.waiting.empty() && mayStart(queue, queue.waiting.front(), now)) {
        const queued_call next = queue.waiting.front();
        queue.waiting.pop_front();
        ++queue.running;
        queue.isIsolatedRunning = next.isIsolated;
        result.started.push_back(next);
    }
    return result;
}

uint32_t callLimit(const call_queue& queue, time_point now) noexcept
{
    if (!queue.pausedUntil)
        return queue.capacity;
    if (now < *queue.pausedUntil)
        return 0;
    constexpr int64_t maxSteps = 31;
    const int64_t steps = std::min(maxSteps, static_cast<int64_t>((now - *queue.pausedUntil) / returnStep));
    return std::min(queue.capacity, uint32_t { 1 } << steps);
}

std::vector<queued_call> pauseCalls(call_queue& queue, time_point until)
{
    queue.pausedUntil = std::max(queue.pausedUntil.value_or(until), until);
    std::vector<queued_call> infeasible;
    std::erase_if(queue.waiting, [&](const queued_call& call) {
        const bool isInfeasible = call.deadline <= *queue.pausedUntil;
        if (isInfeasible)
            infeasible.push_back(call);
        return isInfeasible;
    });
    return infeasible;
}

bool removeCall(call_queue& queue, identifier attempt)
{
    return std::erase_if(queue.waiting, [&](const queued_call& call) { return call.attempt == attempt; }) > 0;
}

void finishCall(call_queue& queue, bool wasIsolated, std::optional<double> runSeconds) noexcept
{
    --queue.running;
    if (wasIsolated)
        queue.isIsolatedRunning = false;
    if (!runSeconds)
        return;
    queue.meanRunSeconds = queue.meanRunSeconds == 0 ? *runSeconds : queue.meanRunSeconds + newestRunWeight * (*runSeconds - queue.meanRunSeconds);
}
}
