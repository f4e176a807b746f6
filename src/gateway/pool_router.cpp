#include "gateway/pool_router.hpp"

#include "base/hash.hpp"
#include "policy/ownership.hpp"

#include <algorithm>

namespace bilberryseam::gateway {

namespace {
    constexpr std::string_view part = "pools";

    /// Entries that each entry stays connected to for a pool: its owner, and the one that follows.
    constexpr size_t warmOwners = 2;

    /// An owner that says nothing for this long while it has work of ours is passed over.
    constexpr milliseconds ownerHeartbeat { 200 };
    constexpr milliseconds ownerSilence { 600 };

    /// Work of an entry that has been gone for this long is dropped.
    constexpr milliseconds goneEntryExpiry { 1500 };

    /// An owner that refused work is not asked for this long.
    constexpr milliseconds refusedPause { 1000 };

    /// An entry that starts waits for its links for this long before it says that it is ready.
    constexpr milliseconds settleTime { 1000 };

    wire::link_times ownerLinkTimes()
    {
        wire::link_times times;
        times.heartbeatBusy = ownerHeartbeat;
        times.silenceBusy = ownerSilence;
        return times;
    }

    wire::server_limits ownerServerLimits()
    {
        wire::server_limits limits;
        limits.sessionExpiry = goneEntryExpiry;
        return limits;
    }

    std::vector<wire::text_item> toItems(const std::vector<std::string>& texts)
    {
        std::vector<wire::text_item> items;
        for (const auto& text : texts)
            items.push_back({ text });
        return items;
    }

    std::vector<std::string> toTexts(std::vector<wire::text_item>& items)
    {
        std::vector<std::string> texts;
        for (auto& item : items)
            texts.push_back(std::move(item.text));
        return texts;
    }

    platform::task_failure failureOf(uint32_t number)
    {
        const bool isKnown = number <= static_cast<uint32_t>(platform::task_failure::Failed);
        return isKnown ? static_cast<platform::task_failure>(number) : platform::task_failure::Failed;
    }
}

struct pool_router::peer {
    entry_record record;
    uint64_t jobs = 0;
    bool isUnwanted = false;
    /// It has refused work and is not asked before.
    time_point refusedUntil {};
    std::unique_ptr<wire::session> session;
};

pool_router::pool_router(context& context, task_scheduler& local, entry_directory& directory)
    : m_context(context)
    , m_scheduler(local)
    , m_directory(directory)
    , m_identifiers(identifier_generator::fromSystem())
    , m_server(directory.own().peerListen, directory.own().name, m_identifiers.next(), ownerServerLimits(),
          { [this](identifier session, wire::message& item) { handleRequesterMessage(session, item); },
              [this](identifier) { m_directory.scheduleRead(); },
              [this](identifier session) { onSessionExpired(session); },
              [this](std::string_view rule) {
                  m_context.counters.count("peer_violations_total", { { "rule", std::string(rule) } });
                  logLine(log_level::Warning, part, "A peer broke the protocol.", { { "rule", std::string(rule) } });
              } })
{
}

pool_router::~pool_router() = default;

const std::vector<std::string>& pool_router::ownersOf(std::string_view service)
{
    if (const auto known = m_ownersByService.find(service); known != m_ownersByService.end())
        return known->second;
    std::vector<std::string> names { m_directory.own().name };
    std::vector<policy::owner_candidate> candidates { { hashOf(m_directory.own().name), m_directory.own().weight } };
    for (const auto& [name, record] : m_directory.others()) {
        names.push_back(name);
        candidates.push_back({ hashOf(name), record.weight });
    }
    std::vector<std::string>& ranked = m_ownersByService[std::string(service)];
    for (const size_t index : policy::rankOwners(candidates, hashOf(service)))
        ranked.push_back(names[index]);
    return ranked;
}

pool_router::peer* pool_router::usableOwner(std::string_view service)
{
    const time_point now = monotonicNow();
    for (const auto& name : ownersOf(service)) {
        if (name == m_directory.own().name) {
            // A stopping entry hands its pools on, so that there is one owner again soon.
            if (m_isStopping)
                continue;
            return nullptr;
        }
        const auto found = m_peers.find(name);
        if (found != m_peers.end() && found->second->session->isUp() && now >= found->second->refusedUntil)
            return found->second.get();
    }
    return nullptr;
}

bool pool_router::isSettled(time_point now) const
{
    if (!m_hasMembers)
        return false;
    const bool isLinked = std::all_of(m_peers.begin(), m_peers.end(), [](const auto& item) { return item.second->session->isUp(); });
    return isLinked || now - m_membersSince > settleTime;
}

void pool_router::run(const job_ptr& job)
{
    if (peer* owner = usableOwner(job->service))
        delegate(*owner, job);
    else
        m_scheduler.add(job);
}

void pool_router::delegate(peer& owner, const job_ptr& job)
{
    const time_point now = monotonicNow();
    const uint64_t number = m_nextJobNumber++;
    m_delegatedJobs[number] = { job, owner.record.name };
    m_delegatedNumbers[job.get()] = number;
    ++owner.jobs;
    wire::pieces_asked asked;
    asked.number = number;
    asked.request = job->requestId;
    asked.service = job->service;
    asked.stage = job->stage;
    asked.count = job->taskCount;
    asked.key = job->taskKey;
    asked.inputs = toItems(job->inputs);
    asked.resultBytes = static_cast<uint64_t>(job->resultBytes);
    asked.latestStartMs = asMilliseconds(job->latestStart - now);
    asked.remainingMs = static_cast<uint32_t>(std::max<int64_t>(0, asMilliseconds(job->deadline - now)));
    asked.rank = job->rank;
    asked.boundTo = job->requiredDomain;
    asked.preferred = job->preferredDomain;
    asked.tokens = job->weightedTokens;
    owner.session->post(std::move(asked));
    m_context.counters.count("jobs_sent_total", { { "service", job->service } });
}

void pool_router::cancel(const job_ptr& job)
{
    m_scheduler.cancel(*job);
    const auto found = m_delegatedNumbers.find(job.get());
    if (found == m_delegatedNumbers.end())
        return;
    const uint64_t number = found->second;
    m_delegatedNumbers.erase(found);
    const auto remote = m_delegatedJobs.extract(number);
    if (remote.empty())
        return;
    if (const auto owner = m_peers.find(remote.mapped().owner); owner != m_peers.end()) {
        --owner->second->jobs;
        owner->second->session->post(wire::pieces_dropped { number });
    }
}

void pool_router::releaseResults(std::string_view service, const std::vector<std::string>& handles)
{
    if (peer* owner = usableOwner(service))
        owner->session->post(wire::results_freed { toItems(handles) });
    else
        m_scheduler.releaseResults(handles);
}

void pool_router::onOwnerLost(const std::string& name, std::string_view why)
{
    std::vector<job_ptr> orphans;
    std::erase_if(m_delegatedJobs, [&](const auto& item) {
        if (item.second.owner != name)
            return false;
        m_delegatedNumbers.erase(item.second.job.get());
        orphans.push_back(item.second.job);
        return true;
    });
    if (const auto found = m_peers.find(name); found != m_peers.end())
        found->second->jobs = 0;
    if (orphans.empty())
        return;
    m_context.counters.count("jobs_taken_back_total", { { "reason", std::string(why) } }, static_cast<double>(orphans.size()));
    logLine(log_level::Warning, part, "An owner is out of reach; its work is done elsewhere.", { { "entry", name }, { "reason", std::string(why) }, { "jobs", std::to_string(orphans.size()) }, { "first_request", orphans.front()->requestId } });
    for (const auto& job : orphans) {
        if (!job->isCancelled)
            run(job);
    }
}

void pool_router::handleOwnerMessage(const std::string& name, wire::message& item)
{
    if (const auto* told = std::get_if<wire::crash_suspicion>(&item)) {
        handleSuspicion(*told);
        return;
    }
    const auto endOf = [&](uint64_t number) {
        const auto found = m_delegatedJobs.find(number);
        return found != m_delegatedJobs.end() && found->second.owner == name ? found : m_delegatedJobs.end();
    };
    const auto forget = [&](auto place) {
        m_delegatedNumbers.erase(place->second.job.get());
        if (const auto owner = m_peers.find(name); owner != m_peers.end())
            --owner->second->jobs;
        m_delegatedJobs.erase(place);
    };
    if (auto* ended = std::get_if<wire::piece_ended>(&item)) {
        const auto found = endOf(ended->number);
        if (found == m_delegatedJobs.end()) {
            if (const auto owner = m_peers.find(name); owner != m_peers.end() && !ended->handle.empty())
                owner->second->session->post(wire::results_freed { { { ended->handle } } });
            return;
        }
        const job_ptr job = found->second.job;
        const bool isLast = std::count(job->finishedTasks.begin(), job->finishedTasks.end(), false) <= 1;
        if (isLast)
            forget(found);
        static_cast<void>(job->finishTask(ended->piece, { ended->handle, failureOf(ended->failure) }));
    } else if (const auto* refused = std::get_if<wire::pieces_refused>(&item)) {
        const auto found = endOf(refused->number);
        if (found == m_delegatedJobs.end())
            return;
        const job_ptr job = found->second.job;
        forget(found);
        if (const auto owner = m_peers.find(name); owner != m_peers.end())
            owner->second->refusedUntil = monotonicNow() + refusedPause;
        run(job);
    }
}

void pool_router::handleRequesterMessage(identifier session, wire::message& item)
{
    if (auto* asked = std::get_if<wire::pieces_asked>(&item)) {
        hostJob(session, *asked);
    } else if (const auto* dropped = std::get_if<wire::pieces_dropped>(&item)) {
        if (const auto found = m_hostedJobs.extract({ session, dropped->number }); !found.empty())
            m_scheduler.cancel(*found.mapped().job);
    } else if (auto* freed = std::get_if<wire::results_freed>(&item)) {
        m_scheduler.releaseResults(toTexts(freed->handles));
    } else if (const auto* told = std::get_if<wire::crash_suspicion>(&item)) {
        handleSuspicion(*told);
    }
}

void pool_router::hostJob(identifier session, wire::pieces_asked& asked)
{
    constexpr uint32_t maxPieces = 10000;
    const bool isPool = m_context.configuration && deployment::poolOf(*m_context.configuration, asked.service);
    const bool isServed = isPool && !m_isStopping && !m_context.targets.ofService(asked.service).empty();
    if (!isServed || asked.count > maxPieces) {
        m_server.post(session, wire::pieces_refused { asked.number });
        return;
    }
    const time_point now = monotonicNow();
    const auto job = std::make_shared<stage_job>();
    job->requestId = std::move(asked.request);
    job->service = std::move(asked.service);
    job->stage = asked.stage;
    job->taskCount = asked.count;
    job->finishedTasks.resize(asked.count);
    job->taskKey = std::move(asked.key);
    job->inputs = toTexts(asked.inputs);
    job->resultBytes = static_cast<double>(asked.resultBytes);
    job->latestStart = now + milliseconds(asked.latestStartMs);
    job->deadline = now + milliseconds(asked.remainingMs);
    job->rank = asked.rank;
    job->requiredDomain = std::move(asked.boundTo);
    job->preferredDomain = std::move(asked.preferred);
    job->weightedTokens = asked.tokens;
    const std::pair key { session, asked.number };
    job->onTaskFinished = [this, key](uint32_t piece, const task_outcome& outcome) {
        m_server.post(key.first, wire::piece_ended { key.second, piece, outcome.handle, static_cast<uint32_t>(outcome.failure) });
        const auto hosted = m_hostedJobs.find(key);
        if (hosted != m_hostedJobs.end() && --hosted->second.unfinishedTasks == 0)
            m_hostedJobs.erase(hosted);
    };
    m_hostedJobs[key] = { job, asked.count };
    m_scheduler.add(job);
}

void pool_router::onSessionExpired(identifier session)
{
    std::erase_if(m_hostedJobs, [&](const auto& item) {
        if (item.first.first != session)
            return false;
        m_scheduler.cancel(*item.second.job);
        return true;
    });
}

void pool_router::broadcastSuspicion(uint64_t fingerprint, const policy::suspicion& held, time_point now)
{
    const wire::crash_suspicion told { fingerprint, held.crashCount, held.isQuarantined, static_cast<uint32_t>(std::max<int64_t>(0, asMilliseconds(held.expires - now))) };
    for (auto& [name, other] : m_peers)
        other->session->post(told);
    m_server.postToAll(told);
}

void pool_router::handleSuspicion(const wire::crash_suspicion& told)
{
    const time_point now = monotonicNow();
    const policy::suspicion held { told.strikes, told.isQuarantined, now + milliseconds(told.remainingMs) };
    if (!policy::mergeSuspicion(m_context.suspicions, told.fingerprint, held, now))
        return;
    logLine(log_level::Info, part, "A peer suspects a request of crashing targets.", { { "fingerprint", std::to_string(told.fingerprint) }, { "strikes", std::to_string(told.strikes) }, { "quarantined", told.isQuarantined ? "true" : "false" } });
    broadcastSuspicion(told.fingerprint, held, now);
}

void pool_router::onMembersChanged()
{
    if (!std::exchange(m_hasMembers, true))
        m_membersSince = monotonicNow();
    m_ownersByService.clear();
    m_context.entryCount = static_cast<unsigned>(std::max<size_t>(4, m_directory.others().size() + 1));
    std::set<std::string, std::less<>> wanted;
    if (const auto& state = m_context.configuration) {
        for (const auto& [name, service] : state->services) {
            if (!service.pool)
                continue;
            const auto& owners = ownersOf(name);
            wanted.insert(owners.begin(), owners.begin() + static_cast<std::ptrdiff_t>(std::min(owners.size(), warmOwners)));
        }
    }
    wanted.erase(m_directory.own().name);
    for (auto& [name, other] : m_peers) {
        const auto listed = m_directory.others().find(name);
        // A restart at the same address needs no new link: the session finds out by itself.
        other->isUnwanted = !wanted.contains(name) || listed == m_directory.others().end() || listed->second.peerListen != other->record.peerListen;
    }
    for (const auto& name : wanted) {
        const auto listed = m_directory.others().find(name);
        if (listed == m_directory.others().end() || (m_peers.contains(name) && !m_peers[name]->isUnwanted))
            continue;
        if (m_peers.contains(name)) {
            onOwnerLost(name, "restarted");
            m_peers.erase(name);
        }
        auto made = std::make_unique<peer>();
        made->record = listed->second;
        wire::session::callbacks calls;
        calls.onMessage = [this, name](wire::message& item) { handleOwnerMessage(name, item); };
        calls.onAttached = [name](bool) { logLine(log_level::Info, part, "An owner is in reach.", { { "entry", name } }); };
        calls.onLost = [this, name] { onOwnerLost(name, "restarted"); };
        calls.onDetached = [this, name](std::string_view reason, bool) { onOwnerLost(name, reason); };
        made->session = std::make_unique<wire::session>(made->record.peerListen, m_directory.own().name, m_identifiers.next(), ownerLinkTimes(), std::move(calls));
        m_peers[name] = std::move(made);
    }
}

void pool_router::tick(time_point now)
{
    for (auto& [name, other] : m_peers)
        other->session->tick(now, other->jobs > 0);
    std::erase_if(m_peers, [](const auto& item) { return item.second->isUnwanted && item.second->jobs == 0; });
}
}
