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
    for (const known_target* known : m_context.sides.targetsOf(service)) {
        if (m_context.sides.isUsable(*known))
            places += static_cast<double>(known->target->capacity) / std::max(1u, known->load.entries);
    }
    return places;
}

std::string admission::bottleneckOf(const request& asked) const
{
    std::string chosen;
    double worst = -1;
    for (const planned_stage& stage : asked.stages) {
        const auto figures = m_context.services.find(stage.service->name);
        const double runSeconds = figures == m_context.services.end() ? 0 : figures->second.meanRunSeconds;
        const double pressure = runSeconds / std::max(0.01, placesOf(stage.service->name));
        if (pressure > worst) {
            worst = pressure;
            chosen = stage.service->name;
        }
    }
    return chosen;
}

void admission::ask(const request& asked, on_reply reply)
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
    at.known.slots = placesOf(service) * queueFactor;
    const double finish = policy::predictFinishSeconds(at.queue, asked.account->name, asked.account->weight, at.known);
    const bool isFull = at.inProgress >= std::max(1.0, at.known.slots);
    // Without any place the run itself finds out whether a target comes back.
    if (isFull && at.known.slots > 0 && finish > asSeconds(asked.deadline - asked.arrivedAt)) {
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
    at.known.slots = placesOf(service) * queueFactor;
    while (at.queue.size > 0 && at.inProgress < std::max(1.0, at.known.slots)) {
        const auto next = policy::dequeue(at.queue);
        ++at.inProgress;
        answer(next->id, { true, milliseconds(0), false, service });
    }
}

void admission::answer(identifier id, const admission_reply& reply)
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

void admission::ended(const request& asked, std::optional<double> answeredIn)
{
    --m_openByAccount[asked.account->name];
    if (asked.admittedAt.empty())
        return;
    place& at = m_places[asked.admittedAt];
    --at.inProgress;
    if (answeredIn)
        at.known.meanServiceSeconds = at.known.meanServiceSeconds == 0 ? *answeredIn : at.known.meanServiceSeconds + newestHoldWeight * (*answeredIn - at.known.meanServiceSeconds);
    admitMore(at, asked.admittedAt);
}

void admission::forget(const request& asked)
{
    if (m_waiting.erase(asked.id) == 0)
        return;
    --m_openByAccount[asked.account->name];
    for (auto& [service, at] : m_places)
        policy::removeQueued(at.queue, asked.account->name, asked.id);
}

void admission::capacityChanged()
{
    for (auto& [service, at] : m_places)
        admitMore(at, service);
}

void admission::shedHopeless()
{
    const time_point now = monotonicNow();
    for (auto& [service, at] : m_places) {
        for (const policy::queued_request& late : policy::removeInfeasible(at.queue, now, holdMargin * at.known.meanServiceSeconds)) {
            m_context.counters.count("requests_shed_total", { { "service", service }, { "account", "" } });
            refuse(late.id, retryAfterOf(at.known.meanServiceSeconds));
        }
    }
}
}
