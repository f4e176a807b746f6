#include "entry/side_links.hpp"

#include "base/hash.hpp"
#include "telemetry/log.hpp"

namespace bilberryseam::entry {

namespace {
    constexpr std::string_view logComponent = "links";
    constexpr milliseconds tickPeriod { 100 };

    /// Time that a link may be down before its attempts are reported as stalled.
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
    bool hasTargets = true;
};

/// An attempt that has not finished.
struct side_links::pending_attempt {
    identifier request;
    link* sideLink = nullptr;
    known_target* target = nullptr;
    uint32_t nextIndex = 0;
    attempt_handler handler;
};

side_links::side_links(std::string ownName, metrics& metrics, callbacks callbacks)
    : m_ownName(std::move(ownName))
    , m_metrics(metrics)
    , m_callbacks(std::move(callbacks))
    , m_identifiers(identifier_generator::fromSystem())
{
    m_tickTimer.startEvery(tickPeriod, [this] { tick(); });
}

side_links::~side_links() = default;

void side_links::applyConfiguration(const configuration::state& state)
{
    for (auto& [side, link] : m_links)
        link->hasTargets = false;
    for (auto& [name, target] : m_targets)
        target->isRemoved = true;
    m_targetsByService.clear();
    for (const auto& [name, record] : state.of<configuration::target>()) {
        auto& target = m_targets[name];
        if (!target)
            target = std::make_unique<known_target>();
        const bool hasSideChanged = target->config && target->config->side != record.value->side;
        target->config = record.value;
        target->hash = hashOf(name);
        target->isRemoved = false;
        target->hasLoadReport = target->hasLoadReport && !hasSideChanged;
        target->isInstanceLeaving = m_leavingInstances.contains(record.value->instance);
        linkTo(record.value->side).hasTargets = true;
        m_targetsByService[record.value->service].push_back(target.get());
    }
    // The state of a removed target is kept while calls to it are in flight.
    std::erase_if(m_targets, [](const auto& item) { return item.second->isRemoved && item.second->inFlight == 0; });
    m_callbacks.onCapacityChanged();
}

side_links::link& side_links::linkTo(const ip_endpoint& side)
{
    auto& sideLink = m_links[side];
    if (sideLink)
        return *sideLink;
    sideLink = std::make_unique<link>();
    link* rawLink = sideLink.get();
    rawLink->id = m_identifiers.next();
    m_peers[rawLink->id] = rawLink;
    rawLink->downSince = monotonicNow();
    wire::session::callbacks callbacks;
    callbacks.onMessage = [this, rawLink](wire::message& message) { handleMessage(*rawLink, message); };
    callbacks.onAttached = [this, rawLink](bool) {
        rawLink->downSince.reset();
        rawLink->isStallReported = false;
        rawLink->isRefused = false;
        m_callbacks.onPeerAttached(rawLink->id);
    };
    callbacks.onLost = [this, rawLink] { handleSessionLost(*rawLink); };
    callbacks.onDetached = [this, rawLink](std::string_view reason, bool isRefused) {
        m_metrics.count("link_detached_total", { { "reason", std::string(reason) } });
        rawLink->isRefused = isRefused;
        if (!rawLink->downSince)
            rawLink->downSince = monotonicNow();
    };
    rawLink->session = std::make_unique<wire::session>(side, m_ownName, rawLink->id, wire::link_timing {}, std::move(callbacks));
    return *rawLink;
}

void side_links::setLeavingInstances(const std::set<std::string, std::less<>>& leaving)
{
    m_leavingInstances = leaving;
    for (auto& [name, target] : m_targets)
        target->isInstanceLeaving = leaving.contains(target->config->instance);
}

std::span<known_target* const> side_links::targetsOf(std::string_view service) const
{
    const auto it = m_targetsByService.find(service);
    if (it == m_targetsByService.end())
        return {};
    return it->second;
}

bool side_links::isInService(const known_target& target) noexcept
{
    return !target.isRemoved && !target.isInstanceLeaving && target.hasLoadReport && !target.load.isDraining && !target.load.isDown;
}

bool side_links::isUsable(const known_target& target) const
{
    if (!isInService(target))
        return false;
    const auto it = m_links.find(target.config->side);
    return it != m_links.end() && it->second->session->isUp();
}

bool side_links::hasSilentTarget(std::string_view service) const
{
    const std::span<known_target* const> targets = targetsOf(service);
    return std::any_of(targets.begin(), targets.end(), [this](const known_target* target) {
        const auto it = m_links.find(target->config->side);
        return isInService(*target) && it != m_links.end() && !it->second->session->isUp() && !it->second->isRefused;
    });
}

void side_links::dispatch(known_target& target, wire::start_call call, attempt_handler handler)
{
    link& sideLink = linkTo(target.config->side);
    ++sideLink.attempts;
    ++target.inFlight;
    m_attempts[call.attempt] = { call.request, &sideLink, &target, 0, std::move(handler) };
    sideLink.session->post(std::move(call));
}

void side_links::cancel(identifier attempt)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end())
        return;
    pending_attempt& pendingAttempt = it->second;
    pendingAttempt.sideLink->session->post(wire::cancel_call { attempt });
    --pendingAttempt.sideLink->attempts;
    --pendingAttempt.target->inFlight;
    m_attempts.erase(it);
}

bool side_links::isStalled(identifier attempt) const
{
    const auto it = m_attempts.find(attempt);
    return it != m_attempts.end() && it->second.sideLink->isStallReported;
}

void side_links::post(identifier peer, wire::message message)
{
    if (const auto it = m_peers.find(peer); it != m_peers.end())
        it->second->session->post(std::move(message));
}

void side_links::handleMessage(link& sender, wire::message& message)
{
    if (auto* output = std::get_if<wire::call_output>(&message))
        handleOutput(sender, *output);
    else if (auto* finish = std::get_if<wire::call_finished>(&message))
        deliver(sender, finish->attempt, finish->request, std::move(*finish), true);
    else if (auto* refusal = std::get_if<wire::call_refused>(&message))
        deliver(sender, refusal->attempt, refusal->request, *refusal, true);
    else if (auto* start = std::get_if<wire::call_started>(&message))
        deliver(sender, start->attempt, {}, *start, false);
    else if (auto* load = std::get_if<wire::target_load>(&message))
        handleLoad(sender, *load);
    else
        m_callbacks.onOtherMessage(sender.id, message);
}

void side_links::handleOutput(link& sender, wire::call_output& output)
{
    const auto it = m_attempts.find(output.attempt);
    if (it == m_attempts.end())
        return;
    if (output.index != it->second.nextIndex) {
        recordViolation("output_index");
        return;
    }
    ++it->second.nextIndex;
    const identifier attempt = output.attempt;
    const identifier request = output.request;
    deliver(sender, attempt, request, std::move(output), false);
}

void side_links::deliver(link& sender, identifier attempt, identifier request, attempt_event event, bool isFinal)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end())
        return;
    pending_attempt& pendingAttempt = it->second;
    if (pendingAttempt.sideLink != &sender || (request && request != pendingAttempt.request)) {
        recordViolation("crossed_result");
        return;
    }
    const auto* finish = std::get_if<wire::call_finished>(&event);
    if (finish && finish->outputCount != pendingAttempt.nextIndex) {
        recordViolation("output_count");
        event = attempt_lost {};
    }
    if (!isFinal) {
        const attempt_handler handler = pendingAttempt.handler;
        handler(event);
        return;
    }
    const attempt_handler handler = std::move(pendingAttempt.handler);
    --pendingAttempt.sideLink->attempts;
    --pendingAttempt.target->inFlight;
    m_attempts.erase(it);
    handler(event);
}

void side_links::recordViolation(std::string_view rule)
{
    m_metrics.count("protocol_violations_total", { { "rule", std::string(rule) } });
    logLine(log_level::Error, logComponent, "Side violated the wire protocol.", { { "rule", std::string(rule) } });
}

void side_links::handleLoad(const link& sender, wire::target_load& load)
{
    const auto it = m_targets.find(load.target);
    if (it == m_targets.end())
        return;
    known_target& target = *it->second;
    // A target that has moved is still reported as draining by its former side.
    if (sender.session->peer() != target.config->side)
        return;
    target.load = std::move(load);
    target.hasLoadReport = true;
    m_callbacks.onCapacityChanged();
}

void side_links::handleSessionLost(link& link)
{
    m_metrics.count("sessions_lost_total");
    m_callbacks.onPeerLost(link.id);
    std::vector<identifier> lostAttempts;
    for (const auto& [attempt, pendingAttempt] : m_attempts) {
        if (pendingAttempt.sideLink == &link)
            lostAttempts.push_back(attempt);
    }
    for (const identifier& attempt : lostAttempts)
        deliver(link, attempt, {}, attempt_lost {}, true);
}

void side_links::reportStall(link& link)
{
    link.isStallReported = true;
    std::vector<identifier> pendingAttempts;
    for (const auto& [attempt, pendingAttempt] : m_attempts) {
        if (pendingAttempt.sideLink == &link)
            pendingAttempts.push_back(attempt);
    }
    for (const identifier& attempt : pendingAttempts)
        deliver(link, attempt, {}, attempt_stalled {}, false);
}

void side_links::tick()
{
    const time_point now = monotonicNow();
    for (auto& [side, link] : m_links) {
        link->session->tick(now, link->attempts > 0);
        const bool isStalled = link->downSince && (link->isRefused || now - *link->downSince > stallDelay);
        if (isStalled && !link->isStallReported && link->attempts > 0)
            reportStall(*link);
    }
    std::erase_if(m_links, [this](const auto& item) {
        const bool isUnused = !item.second->hasTargets && item.second->attempts == 0;
        if (isUnused) {
            m_peers.erase(item.second->id);
            m_callbacks.onPeerLost(item.second->id);
        }
        return isUnused;
    });
}

void side_links::postToAll(const wire::message& message)
{
    for (auto& [side, link] : m_links)
        link->session->post(message);
}

nlohmann::json side_links::status() const
{
    nlohmann::json targets = nlohmann::json::array();
    for (const auto& [name, target] : m_targets) {
        targets.push_back({ { "name", name }, { "service", target->config->service }, { "region", target->config->region }, { "usable", isUsable(*target) },
            { "inFlight", target->inFlight }, { "running", target->load.running }, { "queued", target->load.queued }, { "leaving", target->load.isDraining || target->isInstanceLeaving || target->isRemoved } });
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
