#include "gateway/pool_router.hpp"

#include "base/hash.hpp"
#include "deployment/caller_request.hpp"
#include "gateway/configuration_exchange.hpp"
#include "gateway/crash_watch.hpp"
#include "gateway/detail/pool_router_peer.hpp"
#include "gateway/load_exchange.hpp"
#include "gateway/stream_directory.hpp"
#include "gateway/target_eligibility.hpp"
#include "gateway/topic_relay.hpp"
#include "policy/ownership.hpp"

#include <algorithm>

namespace bilberryseam::gateway {

namespace {
    constexpr std::string_view logComponent = "pools";

    /// Jobs of an entry that has been disconnected for this long are cancelled.
    constexpr milliseconds disconnectedEntryExpiry { 1500 };

    /// An owner that refused a job gets no further jobs for this long.
    constexpr milliseconds refusedOwnerPause { 1000 };

    /// A starting entry waits for its connections to owners for at most this long before it reports that it is ready.
    constexpr milliseconds maxConnectionWait { 1000 };

    wire::server_limits ownerServerLimits()
    {
        wire::server_limits limits;
        limits.sessionExpiry = disconnectedEntryExpiry;
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
        const bool isKnown = number <= static_cast<uint32_t>(platform::task_failure::Overloaded);
        return isKnown ? static_cast<platform::task_failure>(number) : platform::task_failure::Failed;
    }
}

pool_router::pool_router(context& context, task_scheduler& scheduler, entry_directory& directory)
    : m_context(context)
    , m_scheduler(scheduler)
    , m_directory(directory)
    , m_rankings(directory.own().name)
    , m_identifiers(identifier_generator::fromSystem())
    , m_server(directory.own().peerListen, directory.own().name, m_identifiers.next(), ownerServerLimits(),
          { [this](identifier session, wire::message& message) { handleRequesterMessage(session, message); },
              [this](identifier session, bool isResumed) {
                  // An entry that has kept the session has its state, too.
                  if (isResumed)
                      return;
                  m_directory.scheduleRead();
                  m_server.post(session, m_context.configurations->query());
                  m_context.crashes->sendAll([this, session](wire::message message) { m_server.post(session, std::move(message)); }, monotonicNow());
              },
              [this](identifier session) { onSessionExpired(session); },
              [this](std::string_view rule) {
                  m_context.counters.count("peer_violations_total", { { "rule", std::string(rule) } });
                  m_context.pressure->recordViolation(rule);
              } },
          context.clientMemory)
{
    updateRankings();
}

pool_router::~pool_router() = default;

const std::vector<std::string>& pool_router::ownersOf(std::string_view service)
{
    return m_rankings.namesFor(service);
}

void pool_router::updateRankings()
{
    const entry_record& own = m_directory.own();
    std::vector<ranked_entry> entries;
    entries.reserve(m_directory.others().size() + 1);
    for (const auto& [name, record] : m_directory.others())
        entries.push_back({ name, record.weight });
    const auto position = std::upper_bound(entries.begin(), entries.end(), own.name, [](std::string_view name, const ranked_entry& entry) { return name < entry.name; });
    entries.insert(position, { own.name, own.weight });
    m_rankings.setEntries(entries);
}

pool_router::peer* pool_router::usableOwner(std::string_view service)
{
    const time_point now = monotonicNow();
    for (const auto& name : ownersOf(service)) {
        if (name == m_directory.own().name) {
            // A stopping entry passes its pools to the next owner, so that each pool soon has one owner again.
            if (m_isStopping)
                continue;
            return nullptr;
        }
        const auto position = m_peers.find(name);
        if (position != m_peers.end() && position->second->session->isUp() && now >= position->second->refusedUntil)
            return position->second.get();
    }
    return nullptr;
}

std::string pool_router::ownerOf(std::string_view service)
{
    const peer* owner = usableOwner(service);
    return owner ? owner->record.name : m_directory.own().name;
}

bool pool_router::isReady(time_point now) const
{
    if (!m_hasMembers)
        return false;
    const bool isConnected = std::all_of(m_peers.begin(), m_peers.end(), [](const auto& item) { return item.second->session->isUp(); });
    return isConnected || now - m_membersSince > maxConnectionWait;
}

bool pool_router::hasAskedEntries(time_point now) const
{
    if (!m_hasMembers)
        return false;
    const bool isDirectoryKnown = m_directory.readAt() != time_point();
    const bool haveAllStated = std::all_of(m_peers.begin(), m_peers.end(), [](const auto& item) { return item.second->hasStatedConfiguration; });
    return (isDirectoryKnown && haveAllStated) || now - m_membersSince > maxConnectionWait;
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
    m_delegatedNumbers.emplace(job.get(), number);
    ++owner.jobs;
    wire::start_tasks message;
    message.jobNumber = number;
    message.request = job->requestId;
    message.service = job->service;
    message.stage = job->stage;
    message.taskCount = job->taskCount;
    message.taskKey = job->taskKey;
    message.inputs = toItems(job->inputs);
    message.resultBytes = static_cast<uint64_t>(job->resultBytes);
    message.latestStartMs = asMilliseconds(job->latestStart - now);
    message.remainingMs = static_cast<uint32_t>(std::max<int64_t>(0, asMilliseconds(job->deadline - now)));
    message.rank = job->rank;
    message.requiredDomain = job->requiredDomain;
    message.preferredDomain = job->preferredDomain;
    message.tokens = job->weightedTokens;
    if (const auto& regions = regionsNow(m_context, *job); regions.isRestricted()) {
        message.isRestricted = true;
        message.regions = toItems(knownRegionsOf(m_context, regions));
    }
    message.route = job->route;
    message.account = job->account;
    message.objectiveMs = static_cast<uint32_t>(job->objective.count());
    owner.session->post(std::move(message));
    m_context.counters.count("jobs_sent_total", { { "service", job->service } });
}

void pool_router::cancel(const job_ptr& job)
{
    m_scheduler.cancel(*job);
    cancelDelegated(*job);
}

void pool_router::cancelDelegated(const stage_job& job)
{
    for (auto item = m_delegatedNumbers.find(&job); item != m_delegatedNumbers.end(); item = m_delegatedNumbers.find(&job)) {
        const auto position = m_delegatedJobs.find(item->second);
        if (const auto owner = m_peers.find(position->second.owner); owner != m_peers.end())
            owner->second->session->post(wire::cancel_tasks { position->first });
        eraseDelegated(position);
    }
}

pool_router::delegated_jobs::iterator pool_router::eraseDelegated(delegated_jobs::iterator position)
{
    const delegated_job& delegated = position->second;
    const auto [first, last] = m_delegatedNumbers.equal_range(delegated.job.get());
    m_delegatedNumbers.erase(std::find_if(first, last, [&position](const auto& item) { return item.second == position->first; }));
    if (const auto owner = m_peers.find(delegated.owner); owner != m_peers.end() && !delegated.isTakenBack)
        --owner->second->jobs;
    return m_delegatedJobs.erase(position);
}

void pool_router::releaseResults(std::string_view service, const std::vector<std::string>& handles)
{
    if (peer* owner = usableOwner(service))
        owner->session->post(wire::release_results { toItems(handles) });
    else
        m_scheduler.releaseResults(handles);
}

void pool_router::takeBackJobs(const std::string& name, std::string_view reason, const std::function<bool(const stage_job&)>& isDue)
{
    std::vector<job_ptr> lostJobs;
    for (auto& [number, delegated] : m_delegatedJobs) {
        if (delegated.owner != name || delegated.isTakenBack || !isDue(*delegated.job))
            continue;
        delegated.isTakenBack = true;
        lostJobs.push_back(delegated.job);
    }
    if (lostJobs.empty())
        return;
    if (const auto position = m_peers.find(name); position != m_peers.end())
        position->second->jobs -= lostJobs.size();
    m_context.counters.count("jobs_taken_back_total", { { "reason", std::string(reason) } }, static_cast<double>(lostJobs.size()));
    logLine(log_level::Warning, logComponent, "The connection to a pool owner was lost; the jobs delegated to it are run elsewhere.", { { "entry", name }, { "reason", std::string(reason) }, { "jobs", std::to_string(lostJobs.size()) }, { "first_request", lostJobs.front()->requestId } });
    for (const auto& job : lostJobs) {
        job->mayRunElsewhere = true;
        if (!job->isCancelled)
            run(job);
    }
}

void pool_router::onOwnerDetached(const std::string& name, std::string_view reason, bool isRefused)
{
    if (isRefused) {
        takeBackJobs(name, "refused", [](const auto&) { return true; });
        return;
    }
    peer& owner = *m_peers.at(name);
    if (owner.lostAt)
        return;
    owner.lostAt = monotonicNow();
    owner.lostReason = reason;
    if (owner.jobs > 0)
        logLine(log_level::Info, logComponent, "The connection to a pool owner was lost; its jobs wait for it for a moment.", { { "entry", name }, { "reason", owner.lostReason }, { "jobs", std::to_string(owner.jobs) } });
}

bool pool_router::mustRunElsewhere(const stage_job& job, time_point lostAt, time_point now)
{
    // The owner cancels the jobs of an entry that stays away.
    if (now - lostAt >= disconnectedEntryExpiry)
        return true;
    return now >= policy::secondRunAt(lostAt, job.latestStart) && trySpendRetry(m_context, job.service, now);
}

void pool_router::takeBackDueJobs(time_point now)
{
    std::vector<std::pair<std::string, peer*>> lostOwners;
    for (const auto& [name, other] : m_peers) {
        if (other->lostAt && other->jobs > 0)
            lostOwners.emplace_back(name, other.get());
    }
    for (const auto& [name, owner] : lostOwners)
        takeBackJobs(name, owner->lostReason, [&, lostAt = *owner->lostAt](const stage_job& job) { return mustRunElsewhere(job, lostAt, now); });
}

void pool_router::onOwnerRestarted(const std::string& name)
{
    takeBackJobs(name, "restarted", [](const auto&) { return true; });
    for (auto position = m_delegatedJobs.begin(); position != m_delegatedJobs.end();) {
        const bool isForgotten = position->second.owner == name && position->second.isTakenBack;
        position = isForgotten ? eraseDelegated(position) : std::next(position);
    }
}

void pool_router::countMessages(std::string_view direction, const wire::message& message, size_t amount)
{
    m_context.counters.count("entry_messages_total", { { "direction", std::string(direction) }, { "kind", std::string(wire::nameOf(message)) } }, static_cast<double>(amount));
}

void pool_router::handleOwnerMessage(const std::string& name, wire::message& message)
{
    countMessages("received", message, 1);
    const auto reply = [this, &name](wire::message response) { static_cast<void>(send(name, std::move(response))); };
    if (const auto sender = m_peers.find(name); sender != m_peers.end() && std::holds_alternative<wire::configuration_records>(message))
        sender->second->hasStatedConfiguration = true;
    if (m_context.configurations->handle(message, reply) || m_context.crashes->handle(message, name, monotonicNow()) || m_context.streams->handle(message, name, reply, monotonicNow()) || m_context.relay->handle(message, reply, monotonicNow()) || (m_context.loads && m_context.loads->handle(message, name, reply, monotonicNow())))
        return;
    if (const auto* suspicion = std::get_if<wire::crash_suspicion>(&message)) {
        handleSuspicion(*suspicion);
        return;
    }
    if (const auto* strike = std::get_if<wire::crash_strike>(&message)) {
        handleStrike(*strike);
        return;
    }
    if (const auto* finishedTask = std::get_if<wire::task_finished>(&message))
        handleFinishedTask(name, *finishedTask);
    else if (const auto* refusal = std::get_if<wire::tasks_refused>(&message))
        handleRefusedTasks(name, refusal->jobNumber);
}

void pool_router::handleFinishedTask(const std::string& name, const wire::task_finished& message)
{
    const auto release = [&] {
        if (const auto owner = m_peers.find(name); owner != m_peers.end() && !message.handle.empty())
            owner->second->session->post(wire::release_results { { { message.handle } } });
    };
    const auto position = m_delegatedJobs.find(message.jobNumber);
    if (position == m_delegatedJobs.end() || position->second.owner != name) {
        release();
        return;
    }
    // The failure of an owner's run of a job that also runs elsewhere costs nothing.
    if (position->second.isTakenBack && message.handle.empty())
        return;
    const job_ptr job = position->second.job;
    if (!job->isNeeded(message.task)) {
        release();
        return;
    }
    if (position->second.isTakenBack)
        logLine(log_level::Info, logComponent, "A pool owner delivered a result after its connection had been lost; the result is used.", { { "entry", name }, { "request", job->requestId }, { "stage", std::to_string(job->stage) }, { "piece", std::to_string(message.task) } });
    const task_outcome outcome { message.handle, failureOf(message.failure), milliseconds(message.waitMs) };
    if (outcome.failure == platform::task_failure::Overloaded && m_delegatedNumbers.count(job.get()) > 1) {
        // A previous owner may still deliver.
        eraseDelegated(position);
        return;
    }
    const bool isLast = std::count(job->finishedTasks.begin(), job->finishedTasks.end(), false) <= 1;
    if (isLast) {
        eraseDelegated(position);
        cancelDelegated(*job);
    }
    static_cast<void>(job->finishTask(message.task, outcome));
}

void pool_router::handleRefusedTasks(const std::string& name, uint64_t number)
{
    const auto position = m_delegatedJobs.find(number);
    if (position == m_delegatedJobs.end() || position->second.owner != name)
        return;
    const bool isRunElsewhere = position->second.isTakenBack;
    const job_ptr job = position->second.job;
    eraseDelegated(position);
    if (const auto owner = m_peers.find(name); owner != m_peers.end())
        owner->second->refusedUntil = monotonicNow() + refusedOwnerPause;
    if (!isRunElsewhere)
        run(job);
}

void pool_router::handleRequesterMessage(identifier session, wire::message& message)
{
    countMessages("received", message, 1);
    const auto reply = [this, session](wire::message response) { m_server.post(session, std::move(response)); };
    if (m_context.configurations->handle(message, reply) || m_context.crashes->handle(message, "connected_entry", monotonicNow()) || m_context.streams->handle(message, "connected_entry", reply, monotonicNow()) || m_context.relay->handle(message, reply, monotonicNow()) || (m_context.loads && m_context.loads->handle(message, "connected_entry", reply, monotonicNow())))
        return;
    if (auto* jobRequest = std::get_if<wire::start_tasks>(&message)) {
        hostJob(session, *jobRequest);
    } else if (const auto* cancellation = std::get_if<wire::cancel_tasks>(&message)) {
        if (const auto hostedJob = m_hostedJobs.extract({ session, cancellation->jobNumber }); !hostedJob.empty())
            m_scheduler.cancel(*hostedJob.mapped().job);
    } else if (auto* release = std::get_if<wire::release_results>(&message)) {
        m_scheduler.releaseResults(toTexts(release->handles));
    } else if (const auto* suspicion = std::get_if<wire::crash_suspicion>(&message)) {
        handleSuspicion(*suspicion);
    } else if (const auto* strike = std::get_if<wire::crash_strike>(&message)) {
        handleStrike(*strike);
    }
}

void pool_router::hostJob(identifier session, wire::start_tasks& message)
{
    const bool isServed = m_scheduler.hasPool(message.service) && !m_isStopping && !m_context.targets.ofService(message.service).empty();
    if (!isServed || message.taskCount > deployment::maxTasksPerRequest) {
        m_server.post(session, wire::tasks_refused { message.jobNumber });
        return;
    }
    const time_point now = monotonicNow();
    const auto job = std::make_shared<stage_job>();
    job->requestId = std::move(message.request);
    job->service = std::move(message.service);
    job->stage = message.stage;
    job->taskCount = message.taskCount;
    job->finishedTasks.resize(message.taskCount);
    job->taskKey = std::move(message.taskKey);
    job->inputs = toTexts(message.inputs);
    job->resultBytes = static_cast<double>(message.resultBytes);
    job->latestStart = now + milliseconds(message.latestStartMs);
    job->deadline = now + milliseconds(message.remainingMs);
    job->rank = message.rank;
    job->requiredDomain = std::move(message.requiredDomain);
    job->preferredDomain = std::move(message.preferredDomain);
    job->weightedTokens = message.tokens;
    if (message.isRestricted) {
        job->permittedRegions.names = toTexts(message.regions);
        std::sort(job->permittedRegions.names->begin(), job->permittedRegions.names->end());
    }
    job->route = std::move(message.route);
    job->account = std::move(message.account);
    job->objective = milliseconds(message.objectiveMs);
    const std::pair key { session, message.jobNumber };
    job->onTaskFinished = [this, key](uint32_t task, const task_outcome& outcome) {
        m_server.post(key.first, wire::task_finished { key.second, task, outcome.handle, static_cast<uint32_t>(outcome.failure), static_cast<uint32_t>(outcome.wait.count()) });
        const auto hostedJob = m_hostedJobs.find(key);
        if (hostedJob != m_hostedJobs.end() && --hostedJob->second.unfinishedTasks == 0)
            m_hostedJobs.erase(hostedJob);
    };
    m_hostedJobs[key] = { job, message.taskCount };
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

void pool_router::broadcastSuspicion(uint64_t fingerprint, const policy::suspicion& suspicion, time_point now)
{
    broadcast(wire::crash_suspicion { fingerprint, suspicion.crashCount, suspicion.isQuarantined, static_cast<uint32_t>(std::max<int64_t>(0, asMilliseconds(suspicion.expires - now))) });
}

bool pool_router::send(std::string_view entry, wire::message message)
{
    const auto position = m_peers.find(entry);
    if (position == m_peers.end() || !position->second->session->isUp())
        return false;
    position->second->session->post(std::move(message));
    return true;
}

void pool_router::flush(std::string_view entry)
{
    if (const auto position = m_peers.find(entry); position != m_peers.end())
        position->second->session->flush();
}

size_t pool_router::rankFor(std::string_view key)
{
    return m_rankings.ownRankFor(key);
}

void pool_router::reportStrike(uint64_t fingerprint, time_point now)
{
    sendToCrashCollectors(wire::crash_strike { fingerprint, hashOfPair(hashOf(m_directory.own().name), static_cast<uint64_t>(now.time_since_epoch().count())) });
}

void pool_router::handleStrike(const wire::crash_strike& message)
{
    const time_point now = monotonicNow();
    const auto suspicion = policy::recordStrike(m_context.suspicions, message.fingerprint, message.id, now);
    if (!suspicion)
        return;
    logLine(log_level::Info, logComponent, "A peer reported a request that is suspected of crashing targets.", { { "fingerprint", std::to_string(message.fingerprint) }, { "strikes", std::to_string(suspicion->crashCount) }, { "quarantined", suspicion->isQuarantined ? "true" : "false" } });
    if (suspicion->isQuarantined)
        broadcastSuspicion(message.fingerprint, *suspicion, now);
}

void pool_router::handleSuspicion(const wire::crash_suspicion& message)
{
    const time_point now = monotonicNow();
    const policy::suspicion suspicion { message.crashCount, message.isQuarantined, now + milliseconds(message.remainingMs) };
    if (!policy::mergeSuspicion(m_context.suspicions, message.fingerprint, suspicion, now))
        return;
    logLine(log_level::Info, logComponent, "A peer reported a request that is suspected of crashing targets.", { { "fingerprint", std::to_string(message.fingerprint) }, { "strikes", std::to_string(message.crashCount) }, { "quarantined", message.isQuarantined ? "true" : "false" } });
    broadcastSuspicion(message.fingerprint, suspicion, now);
}

void pool_router::tick(time_point now)
{
    takeBackDueJobs(now);
    std::vector<job_ptr> finishedJobs;
    for (const auto& [number, delegated] : m_delegatedJobs) {
        const auto& finishedTasks = delegated.job->finishedTasks;
        if (delegated.isTakenBack && std::find(finishedTasks.begin(), finishedTasks.end(), false) == finishedTasks.end())
            finishedJobs.push_back(delegated.job);
    }
    for (const auto& job : finishedJobs)
        cancelDelegated(*job);
    for (auto& [name, other] : m_peers)
        other->session->tick(now, other->jobs > 0);
    repeatMissedMessages();
    std::erase_if(m_peers, [](const auto& item) { return item.second->isObsolete && item.second->jobs == 0; });
}
}
