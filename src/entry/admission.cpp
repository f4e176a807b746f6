#include "entry/admission.hpp"

namespace bilberryseam::entry {

namespace {
    constexpr milliseconds shedPeriod { 50 };

    /// Requests admitted for each slot of the targets. Above one, so that targets have work queued and never idle.
    constexpr double slotOvercommit = 1.25;

    /// A queued request is shed if the time to its deadline is below this multiple of the mean service time.
    constexpr double serviceTimeMargin = 1.5;

    constexpr double newestServiceTimeWeight = 0.05;

    milliseconds retryAfterOf(double seconds)
    {
        return std::max(milliseconds(1000), milliseconds(static_cast<int64_t>(1000 * seconds)));
    }
}

admission::admission(run_context& context)
    : m_context(context)
{
    m_shedTimer.startEvery(shedPeriod, [this] { shedInfeasible(); });
}

double admission::slotsOf(const std::string& service) const
{
    double slots = 0;
    for (const known_target* target : m_context.links.targetsOf(service)) {
        if (m_context.links.isUsable(*target))
            slots += static_cast<double>(target->config->capacity) / std::max(1u, target->load.entries);
    }
    return slots;
}

std::string admission::bottleneckOf(const request& request) const
{
    std::string bottleneck;
    double highestPressure = -1;
    for (const planned_stage& stage : request.stages) {
        const auto statistics = m_context.serviceStatistics.find(stage.service->name);
        const double runSeconds = statistics == m_context.serviceStatistics.end() ? 0 : statistics->second.meanRunSeconds;
        const double pressure = runSeconds / std::max(0.01, slotsOf(stage.service->name));
        if (pressure > highestPressure) {
            highestPressure = pressure;
            bottleneck = stage.service->name;
        }
    }
    return bottleneck;
}

void admission::submit(const request& request, decision_handler onDecision)
{
    uint32_t& openRequests = m_openByAccount[request.account->name];
    if (openRequests >= request.account->maxInFlight) {
        onDecision({ false, milliseconds(1000), true, "" });
        return;
    }
    if (request.policy->mode == "baseline") {
        ++openRequests;
        onDecision({ true, milliseconds(0), false, "" });
        return;
    }
    const std::string service = bottleneckOf(request);
    service_queue& serviceQueue = m_queues[service];
    serviceQueue.bottleneck.slots = slotsOf(service) * slotOvercommit;
    const double finishSeconds = policy::predictFinishSeconds(serviceQueue.waiting, request.account->name, request.account->weight, serviceQueue.bottleneck);
    const bool isFull = serviceQueue.inProgress >= std::max(1.0, serviceQueue.bottleneck.slots);
    // Without any slot the request is not shed: its run waits for a target to become available.
    if (isFull && serviceQueue.bottleneck.slots > 0 && finishSeconds > asSeconds(request.deadline - request.arrivedAt)) {
        m_context.counters.count("requests_shed_total", { { "service", service }, { "account", request.account->name } });
        onDecision({ false, retryAfterOf(finishSeconds), false, "" });
        return;
    }
    ++openRequests;
    m_waiting.emplace(request.id, waiting_request { request.account->name, std::move(onDecision) });
    policy::enqueue(serviceQueue.waiting, request.account->name, request.account->weight, { request.id, request.deadline });
    admitMore(serviceQueue, service);
}

void admission::admitMore(service_queue& serviceQueue, const std::string& service)
{
    serviceQueue.bottleneck.slots = slotsOf(service) * slotOvercommit;
    while (serviceQueue.waiting.size > 0 && serviceQueue.inProgress < std::max(1.0, serviceQueue.bottleneck.slots)) {
        const auto next = policy::dequeue(serviceQueue.waiting);
        ++serviceQueue.inProgress;
        notify(next->id, { true, milliseconds(0), false, service });
    }
}

void admission::notify(identifier id, const admission_decision& decision)
{
    auto node = m_waiting.extract(id);
    if (!node.empty())
        node.mapped().onDecision(decision);
}

void admission::refuse(identifier id, milliseconds retryAfter)
{
    if (const auto it = m_waiting.find(id); it != m_waiting.end())
        --m_openByAccount[it->second.account];
    notify(id, { false, retryAfter, false, "" });
}

void admission::finish(const request& request, std::optional<double> serviceSeconds)
{
    --m_openByAccount[request.account->name];
    if (request.admittedService.empty())
        return;
    service_queue& serviceQueue = m_queues[request.admittedService];
    --serviceQueue.inProgress;
    if (serviceSeconds)
        serviceQueue.bottleneck.meanServiceSeconds = serviceQueue.bottleneck.meanServiceSeconds == 0 ? *serviceSeconds : serviceQueue.bottleneck.meanServiceSeconds + newestServiceTimeWeight * (*serviceSeconds - serviceQueue.bottleneck.meanServiceSeconds);
    admitMore(serviceQueue, request.admittedService);
}

void admission::cancel(const request& request)
{
    if (m_waiting.erase(request.id) == 0)
        return;
    --m_openByAccount[request.account->name];
    for (auto& [service, serviceQueue] : m_queues)
        policy::removeQueued(serviceQueue.waiting, request.account->name, request.id);
}

void admission::onCapacityChanged()
{
    for (auto& [service, serviceQueue] : m_queues)
        admitMore(serviceQueue, service);
}

void admission::shedInfeasible()
{
    const time_point now = monotonicNow();
    for (auto& [service, serviceQueue] : m_queues) {
        for (const policy::queued_request& request : policy::removeInfeasible(serviceQueue.waiting, now, serviceTimeMargin * serviceQueue.bottleneck.meanServiceSeconds)) {
            m_context.counters.count("requests_shed_total", { { "service", service }, { "account", "" } });
            refuse(request.id, retryAfterOf(serviceQueue.bottleneck.meanServiceSeconds));
        }
    }
}
}
