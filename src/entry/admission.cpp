#include "entry/admission.hpp"

namespace bilberryseam::entry {

namespace {
    constexpr milliseconds shedPeriod { 50 };

    /// Requests admitted beyond the places at the targets, so that these never idle.
    constexpr double queueFactor = 1.25;

    /// A request is given up while queued if less than so many mean holds are left.
    constexpr double holdMargin = 1.5;

    constexpr double newestHoldWeight = 0.05;

    milliseconds retryAfterOf(double seconds)
    {
        return std::max(milliseconds(1000), milliseconds(static_cast<int64_t>(1000 * seconds)));
    }
}

admission::admission(run_context& context)
    : m_context(context)
{
    m_shed.startEvery(shedPeriod, [this] { shedHopeless(); });
}

double admission::placesOf(const std::string& service) const
{
    double places = 0;
    for (const known_target* known : m_context.links.targetsOf(service)) {
        if (m_context.links.isUsable(*known))
            places += static_cast<double>(known->config->capacity) / std::max(1u, known->load.entries);
    }
    return places;
}

std::string admission::bottleneckOf(const request& asked) const
{
    std::string chosen;
    double worst = -1;
    for (const planned_stage& stage : asked.stages) {
        const auto figures = m_context.serviceStatistics.find(stage.service->name);
        const double runSeconds = figures == m_context.serviceStatistics.end() ? 0 : figures->second.meanRunSeconds;
        const double pressure = runSeconds / std::max(0.01, placesOf(stage.service->name));
        if (pressure > worst) {
            worst = pressure;
            chosen = stage.service->name;
        }
    }
    return chosen;
}

void admission::submit(const request& asked, decision_handler reply)
{
    uint32_t& open = m_openByAccount[asked.account->name];
    if (open >= asked.account->maxInFlight) {
        reply({ false, milliseconds(1000), true, "" });
        return;
    }
    if (asked.policy->mode == "baseline") {
        ++open;
        reply({ true, milliseconds(0), false, "" });
        return;
    }
    const std::string service = bottleneckOf(asked);
    place& at = m_places[service];
    at.known.places = placesOf(service) * queueFactor;
    const double finish = policy::predictFinishSeconds(at.queue, asked.account->name, asked.account->weight, at.known);
    const bool isFull = at.inProgress >= std::max(1.0, at.known.places);
    // Without any place the run itself finds out whether a target comes back.
    if (isFull && at.known.places > 0 && finish > asSeconds(asked.deadline - asked.arrivedAt)) {
        m_context.counters.count("requests_shed_total", { { "service", service }, { "account", asked.account->name } });
        reply({ false, retryAfterOf(finish), false, "" });
        return;
    }
    ++open;
    m_waiting.emplace(asked.id, waiting_request { asked.account->name, std::move(reply) });
    policy::enqueue(at.queue, asked.account->name, asked.account->weight, { asked.id, asked.deadline });
    admitMore(at, service);
}

void admission::admitMore(place& at, const std::string& service)
{
    at.known.places = placesOf(service) * queueFactor;
    while (at.queue.size > 0 && at.inProgress < std::max(1.0, at.known.places)) {
        const auto next = policy::dequeue(at.queue);
        ++at.inProgress;
        answer(next->id, { true, milliseconds(0), false, service });
    }
}

void admission::answer(identifier id, const admission_decision& reply)
{
    auto node = m_waiting.extract(id);
    if (!node.empty())
        node.mapped().reply(reply);
}

void admission::refuse(identifier id, milliseconds retryAfter)
{
    if (const auto found = m_waiting.find(id); found != m_waiting.end())
        --m_openByAccount[found->second.account];
    answer(id, { false, retryAfter, false, "" });
}

void admission::finish(const request& asked, std::optional<double> answeredIn)
{
    --m_openByAccount[asked.account->name];
    if (asked.admittedService.empty())
        return;
    place& at = m_places[asked.admittedService];
    --at.inProgress;
    if (answeredIn)
        at.known.meanHoldSeconds = at.known.meanHoldSeconds == 0 ? *answeredIn : at.known.meanHoldSeconds + newestHoldWeight * (*answeredIn - at.known.meanHoldSeconds);
    admitMore(at, asked.admittedService);
}

void admission::cancel(const request& asked)
{
    if (m_waiting.erase(asked.id) == 0)
        return;
    --m_openByAccount[asked.account->name];
    for (auto& [service, at] : m_places)
        policy::removeQueued(at.queue, asked.account->name, asked.id);
}

void admission::onCapacityChanged()
{
    for (auto& [service, at] : m_places)
        admitMore(at, service);
}

void admission::shedHopeless()
{
    const time_point now = monotonicNow();
    for (auto& [service, at] : m_places) {
        for (const policy::queued_request& late : policy::takeHopeless(at.queue, now, holdMargin * at.known.meanHoldSeconds)) {
            m_context.counters.count("requests_shed_total", { { "service", service }, { "account", "" } });
            refuse(late.id, retryAfterOf(at.known.meanHoldSeconds));
        }
    }
}
}
