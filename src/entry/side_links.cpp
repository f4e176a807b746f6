#include "entry/side_links.hpp"

#include "base/hash.hpp"
#include "telemetry/log.hpp"

namespace bilberryseam::entry {

namespace {
    constexpr std::string_view part = "links";
    constexpr milliseconds tickPeriod { 100 };

    /// How long a link may be down before its attempts are reported as stalled.
    constexpr milliseconds stallDelay { 1200 };
}

/// A session with one side.
struct side_links::link {
    identifier id;
    std::unique_ptr<wire::session> session;
    size_t attempts = 0;
    std::optional<time_point> downSince;
    bool isStallReported = false;
    bool isRefused = false;
    bool isUsed = true;
};

/// An attempt that has not come to its end.
struct side_links::flying_attempt {
    identifier request;
    link* via = nullptr;
    known_target* target = nullptr;
    uint32_t nextIndex = 0;
    attempt_handler handler;
};

side_links::side_links(std::string ownName, metrics& metrics, callbacks calls)
    : m_ownName(std::move(ownName))
    , m_metrics(metrics)
    , m_calls(std::move(calls))
    , m_identifiers(identifier_generator::fromSystem())
{
    m_tick.startEvery(tickPeriod, [this] { tick(); });
}

side_links::~side_links() = default;

void side_links::applyConfiguration(const configuration::state& state)
{
    for (auto& [side, link] : m_links)
        link->isUsed = false;
    for (auto& [name, known] : m_targets)
        known->isRemoved = true;
    m_byService.clear();
    for (const auto& [name, entry] : state.of<configuration::target>()) {
        auto& known = m_targets[name];
        if (!known)
            known = std::make_unique<known_target>();
        const bool hasMoved = known->config && known->config->side != entry.value->side;
        known->config = entry.value;
        known->hash = hashOf(name);
        known->isRemoved = false;
        known->hasLoadReport = known->hasLoadReport && !hasMoved;
        known->isInstanceLeaving = m_leavingInstances.contains(entry.value->instance);
        linkTo(entry.value->side).isUsed = true;
        m_byService[entry.value->service].push_back(known.get());
    }
    // A withdrawn target's record goes once nothing is in flight there.
    std::erase_if(m_targets, [](const auto& item) { return item.second->isRemoved && item.second->inFlight == 0; });
    m_calls.onCapacityChanged();
}

side_links::link& side_links::linkTo(const ip_endpoint& side)
{
    auto& made = m_links[side];
    if (made)
        return *made;
    made = std::make_unique<link>();
    link* raw = made.get();
    raw->id = m_identifiers.next();
    m_peers[raw->id] = raw;
    raw->downSince = monotonicNow();
    wire::session::callbacks calls;
    calls.onMessage = [this, raw](wire::message& item) { take(*raw, item); };
    calls.onAttached = [this, raw](bool) {
        raw->downSince.reset();
        raw->isStallReported = false;
        raw->isRefused = false;
        m_calls.onPeerAttached(raw->id);
    };
    calls.onLost = [this, raw] { linkLost(*raw); };
    calls.onDetached = [this, raw](std::string_view reason, bool isRefused) {
        m_metrics.count("link_detached_total", { { "reason", std::string(reason) } });
        raw->isRefused = isRefused;
        if (!raw->downSince)
            raw->downSince = monotonicNow();
    };
    raw->session = std::make_unique<wire::session>(side, m_ownName, raw->id, wire::link_times {}, std::move(calls));
    return *raw;
}

void side_links::setLeavingInstances(const std::set<std::string, std::less<>>& leaving)
{
    m_leavingInstances = leaving;
    for (auto& [name, known] : m_targets)
        known->isInstanceLeaving = leaving.contains(known->config->instance);
}

std::span<known_target* const> side_links::targetsOf(std::string_view service) const
{
    const auto found = m_byService.find(service);
    if (found == m_byService.end())
        return {};
    return found->second;
}

bool side_links::isUsable(const known_target& target) const
{
    if (target.isRemoved || target.isInstanceLeaving || !target.hasLoadReport || target.load.isLeaving || target.load.isDown)
        return false;
    const auto found = m_links.find(target.config->side);
    return found != m_links.end() && found->second->session->isUp();
}

void side_links::dispatch(known_target& target, wire::start_call call, attempt_handler handler)
{
    link& via = linkTo(target.config->side);
    ++via.attempts;
    ++target.inFlight;
    m_attempts[call.attempt] = { call.request, &via, &target, 0, std::move(handler) };
    via.session->post(std::move(call));
}

void side_links::cancel(identifier attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end())
        return;
    flying_attempt& flying = found->second;
    flying.via->session->post(wire::cancel_call { attempt });
    --flying.via->attempts;
    --flying.target->inFlight;
    m_attempts.erase(found);
}

void side_links::post(identifier peer, wire::message item)
{
    if (const auto found = m_peers.find(peer); found != m_peers.end())
        found->second->session->post(std::move(item));
}

void side_links::take(link& from, wire::message& item)
{
    if (auto* output = std::get_if<wire::call_output>(&item))
        takeOutput(from, *output);
    else if (auto* finished = std::get_if<wire::call_finished>(&item))
        deliver(from, finished->attempt, finished->request, std::move(*finished), true);
    else if (auto* refused = std::get_if<wire::call_refused>(&item))
        deliver(from, refused->attempt, refused->request, *refused, true);
    else if (auto* started = std::get_if<wire::call_started>(&item))
        deliver(from, started->attempt, {}, *started, false);
    else if (auto* load = std::get_if<wire::target_load>(&item))
        takeLoad(*load);
    else
        m_calls.onOtherMessage(from.id, item);
}

void side_links::takeOutput(link& from, wire::call_output& output)
{
    const auto found = m_attempts.find(output.attempt);
    if (found == m_attempts.end())
        return;
    if (output.index != found->second.nextIndex) {
        violate("output_index");
        return;
    }
    ++found->second.nextIndex;
    const identifier attempt = output.attempt;
    const identifier request = output.request;
    deliver(from, attempt, request, std::move(output), false);
}

void side_links::deliver(link& from, identifier attempt, identifier request, attempt_event event, bool isFinal)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end())
        return;
    flying_attempt& flying = found->second;
    if (flying.via != &from || (request && request != flying.request)) {
        violate("crossed_result");
        return;
    }
    const auto* finished = std::get_if<wire::call_finished>(&event);
    if (finished && finished->outputCount != flying.nextIndex) {
        violate("output_count");
        event = attempt_lost {};
    }
    if (!isFinal) {
        const attempt_handler handler = flying.handler;
        handler(event);
        return;
    }
    const attempt_handler handler = std::move(flying.handler);
    --flying.via->attempts;
    --flying.target->inFlight;
    m_attempts.erase(found);
    handler(event);
}

void side_links::violate(std::string_view rule)
{
    m_metrics.count("protocol_violations_total", { { "rule", std::string(rule) } });
    logLine(log_level::Error, part, "A side broke the protocol.", { { "rule", std::string(rule) } });
}

void side_links::takeLoad(wire::target_load& load)
{
    const auto found = m_targets.find(load.target);
    if (found == m_targets.end())
        return;
    known_target& known = *found->second;
    known.load = std::move(load);
    known.hasLoadReport = true;
    m_calls.onCapacityChanged();
}

void side_links::linkLost(link& lost)
{
    m_metrics.count("sessions_lost_total");
    m_calls.onPeerLost(lost.id);
    std::vector<identifier> fates;
    for (const auto& [attempt, flying] : m_attempts) {
        if (flying.via == &lost)
            fates.push_back(attempt);
    }
    for (const identifier& attempt : fates)
        deliver(lost, attempt, {}, attempt_lost {}, true);
}

void side_links::stall(link& stalled)
{
    stalled.isStallReported = true;
    std::vector<identifier> waiting;
    for (const auto& [attempt, flying] : m_attempts) {
        if (flying.via == &stalled)
            waiting.push_back(attempt);
    }
    for (const identifier& attempt : waiting)
        deliver(stalled, attempt, {}, attempt_stalled {}, false);
}

void side_links::tick()
{
    const time_point now = monotonicNow();
    for (auto& [side, link] : m_links) {
        link->session->tick(now, link->attempts > 0);
        const bool isStalled = link->downSince && (link->isRefused || now - *link->downSince > stallDelay);
        if (isStalled && !link->isStallReported && link->attempts > 0)
            stall(*link);
    }
    std::erase_if(m_links, [this](const auto& item) {
        const bool isDone = !item.second->isUsed && item.second->attempts == 0;
        if (isDone) {
            m_peers.erase(item.second->id);
            m_calls.onPeerLost(item.second->id);
        }
        return isDone;
    });
}

void side_links::postToAll(const wire::message& item)
{
    for (auto& [side, link] : m_links)
        link->session->post(item);
}

nlohmann::json side_links::status() const
{
    nlohmann::json targets = nlohmann::json::array();
    for (const auto& [name, known] : m_targets) {
        targets.push_back({ { "name", name }, { "service", known->config->service }, { "region", known->config->region }, { "usable", isUsable(*known) },
            { "inFlight", known->inFlight }, { "running", known->load.running }, { "queued", known->load.queued }, { "leaving", known->load.isLeaving || known->isInstanceLeaving || known->isRemoved } });
    }
    return targets;
}

uint64_t side_links::byteCount() const noexcept
{
    uint64_t bytes = 0;
    for (const auto& [side, link] : m_links)
        bytes += link->session->channel().bytesSent() + link->session->channel().bytesReceived();
    return bytes;
}
}
