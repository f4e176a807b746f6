#include "gateway/gateway.hpp"

#include "base/hash.hpp"
#include "gateway/target_eligibility.hpp"
#include "gateway/target_pauses.hpp"
#include "platform/records.hpp"
#include "policy/stop_schedule.hpp"

#include <algorithm>
#include <set>

namespace bilberryseam::gateway {

namespace {
    constexpr std::string_view logComponent = "gateway";

    constexpr milliseconds tickPeriod { 25 };
    /// Time between two checks whether the store has the listed versions of each service with resumable streams.
    constexpr milliseconds versionCheckPeriod { 500 };

    /// Bytes of an identifier from outside that are logged.
    constexpr size_t maxLoggedBytes = 40;

    /// Reads of the store cost money, so they are as rare as the bounds allow. A change must be known in time even if one
    /// read fails, unless the bound is so short that this would take too many reads.
    constexpr double shortestPauseShare = 0.36;
    constexpr double longestPauseShare = 0.5;
    constexpr milliseconds failedReadTime { 1600 };
    /// New targets and routes should take effect within this time, also if the bounds are longer.
    constexpr milliseconds longestReadPause { 2400 };

    /// Time between two reads of the target list while a request waits for a record.
    constexpr milliseconds awaitedReadPeriod { 300 };

    /// After a freeze, requests wait for so long for the target list; if the store is away, they are then sent by the known one.
    constexpr milliseconds rereadTime { 400 };

    /// All entries know of a new one within this time.
    constexpr milliseconds stableEntriesTime { 5000 };

    version_history::listings listingsOf(std::span<const target_ptr> targets)
    {
        version_history::listings listings;
        for (const auto& target : targets) {
            auto& listing = listings[target->listed.softwareVersion];
            listing.isInService = listing.isInService || target->isInService();
            const int64_t startMs = target->listed.startedAtMs;
            if (startMs > 0 && (listing.firstStartMs == 0 || startMs < listing.firstStartMs))
                listing.firstStartMs = startMs;
        }
        return listings;
    }

    /// Operators and the platform send small requests on few connections.
    http1::server_limits operatorLimits()
    {
        http1::server_limits limits;
        limits.maxBodyBytes = 64 * 1024;
        limits.maxConnections = 128;
        return limits;
    }

    milliseconds shareOf(milliseconds bound, double share)
    {
        return milliseconds(static_cast<int64_t>(static_cast<double>(bound.count()) * share));
    }

    /// @return Pause between two reads, or time for which the store may hold a read, so that a change is known within the bound.
    milliseconds readPause(milliseconds bound)
    {
        const milliseconds pause = std::max(shareOf(bound, shortestPauseShare), std::min(shareOf(bound, longestPauseShare), bound - failedReadTime));
        return std::min(pause, longestReadPause);
    }
}

gateway::gateway(const settings::gateway_settings& settings)
    : m_context(settings, [this](const target_state& target, std::string_view change) {
        logRecordChange(target, change, monotonicNow());
        if (change == target_registry::versionChange)
            m_streams->onVersionChanged(target.hash, target.listed.service, monotonicNow());
        if (target.isRemoved)
            m_context.client.closeIdleConnections(target.listed.endpoint);
    })
    , m_scheduler(m_context)
    , m_configurations(m_context.counters, [this](std::string_view text) { m_receivedConfigurations.emplace_back(text); })
    , m_pressure(m_context.clientMemory, m_context.counters, logComponent)
{
    m_context.pressure = &m_pressure;
    m_context.configurations = &m_configurations;
    updateClientMemory();
    const auto limits = [this] { return serverLimits(); };
    m_callers.emplace(
        settings.listen, limits, [this](std::shared_ptr<http1::exchange> exchange) { handleRequest(std::move(exchange)); }, m_context.clientMemory);
    m_callers->setOnUnfinished([this](const http1::unfinished_connection& connection) { recordUnfinished(connection); });
    m_operators.emplace(
        settings.operatorListen, [] { return operatorLimits(); }, [this](std::shared_ptr<http1::exchange> exchange) { handleOperatorRequest(exchange); }, m_context.clientMemory);
    for (auto* server : { &*m_callers, &*m_operators }) {
        server->setOverLimitHeaders({ platform::retryAfterHeader(detail::retryWhenFull) });
        server->setOnRefused([this](unsigned status, std::string_view reason) { m_pressure.recordUnread(status, reason); });
    }
    m_configurationFollower.emplace(m_context.store, std::string(platform::operatorTopic), platform::follow_options { readPause(std::min({ settings.bounds.configuration, settings.bounds.revocation, settings.bounds.evacuation })) }, configurationCallbacks());
    m_targetFollower.emplace(m_context.store, std::string(platform::targetTopic), platform::follow_options { milliseconds(0), readPause(settings.bounds.leaving) }, targetCallbacks());
    const int64_t startedAtMs = wallNow().time_since_epoch().count();
    m_directory.emplace(m_context, entry_record { settings.name, settings.peerListen, settings.processorShare, startedAtMs, settings.failureDomain }, [this] {
        m_context.entriesChangedAt = monotonicNow();
        m_pools->onMembersChanged();
    });
    m_pools.emplace(m_context, m_scheduler, *m_directory);
    m_crashes.emplace(m_context.counters, m_context.store, settings.name,
        crash_watch::callbacks { [this](const wire::message& message) { m_pools->broadcast(message); },
            [this](const wire::message& message) { m_pools->sendToCrashCollectors(message); },
            [this] { return m_pools->crashCollectionRole(); },
            [this](time_point firstCrashAt) { onVerdict(firstCrashAt); },
            [this](uint64_t segment) { return m_pools->rankFor(textOfHash(segment)); } });
    m_context.crashes = &*m_crashes;
    m_recovery.emplace(m_context.counters, m_context.store, settings.name, [this] { return m_streams->areVersionsRecorded(); });
    m_context.recovery = &*m_recovery;
    m_streams.emplace(m_context.counters, m_context.store, *m_recovery, settings.name,
        stream_directory::callbacks { [this](std::string_view entry, wire::message message) { return m_pools->send(entry, std::move(message)); },
            [this](std::string_view entry) { m_pools->flush(entry); },
            [this] { return m_pools->originKeepers(); },
            [this] { return m_directory->others().size() + 1; },
            [this](std::string_view service) { return listingsOf(m_context.targets.ofService(service)); },
            [this](uint64_t target) { return m_context.targets.runOf(target); } });
    m_context.streams = &*m_streams;
    m_relay.emplace(m_context.counters, settings.name,
        topic_relay::callbacks { [this](std::string_view entry, wire::message message) { return m_pools->send(entry, std::move(message)); },
            [this] { return m_pools->storeReaders(); } });
    m_context.relay = &*m_relay;
    if (settings.loadSharing) {
        m_loads.emplace(m_context.counters, m_context.targets, settings.name, settings.loadTrends,
            load_exchange::callbacks { [this](std::string_view entry, wire::message message) { return m_pools->send(entry, std::move(message)); },
                [this] { return m_pools->loadCollectors(m_context.settings.region); },
                [this] { return m_pools->otherLoadCollectors(); } });
        m_context.loads = &*m_loads;
    }
    for (auto* follower : { &*m_configurationFollower, &*m_targetFollower, &m_directory->follower(), &m_crashes->follower() })
        m_relay->add(*follower);
    m_context.lastTickAt = monotonicNow();
    m_tick.startEvery(tickPeriod, [this] { tick(); });
    m_loop.onTerminate([this] { stop(); });
}

void gateway::run()
{
    logLine(log_level::Info, logComponent, "The gateway started.", { { "name", m_context.settings.name }, { "listen", m_context.settings.listen.toString() }, { "store", m_context.settings.store.toString() }, { "version", BILBERRYSEAM_VERSION } });
    m_loop.run();
    m_callers->reportUnfinished("stop");
    logLine(log_level::Info, logComponent, "The gateway stopped.", { { "open_requests", std::to_string(m_openRuns.size()) } });
}

void gateway::reload(const settings::gateway_settings& settings)
{
    const bool isAddressChanged = settings.listen != m_context.settings.listen || settings.operatorListen != m_context.settings.operatorListen;
    m_context.settings.bounds = settings.bounds;
    m_context.settings.poolAdmission = settings.poolAdmission;
    m_context.settings.poolReports = settings.poolReports;
    m_context.settings.preferredDomainWait = settings.preferredDomainWait;
    m_context.settings.limits = settings.limits;
    updateClientMemory();
    m_context.settings.regions = settings.regions;
    ++m_context.placementRules;
    m_context.settings.store = settings.store;
    m_context.store.setEndpoint(settings.store);
    logLine(log_level::Info, logComponent, isAddressChanged ? "The settings were reloaded; the changed listening addresses need a restart." : "The settings were reloaded.", { { "store", settings.store.toString() } });
}

// Known state: configuration and target list.

platform::follow_callbacks gateway::configurationCallbacks()
{
    platform::follow_callbacks callbacks;
    callbacks.onSnapshot = [this](std::map<std::string, std::string> newest) {
        // Before the configuration, with which the gateway may begin to serve.
        std::map<std::string, std::string, std::less<>> evacuations;
        for (const auto& [key, value] : newest) {
            if (const auto domain = platform::evacuatedDomainOf(key))
                evacuations.emplace(*domain, value);
        }
        applyEvacuations(m_context, evacuations, m_configurationFollower->era(), monotonicNow());
        if (const auto position = newest.find(std::string(platform::configurationKey)); position != newest.end())
            applyConfiguration(position->second);
    };
    callbacks.onRecord = [this](const platform::keyed_record& record) {
        if (record.key == platform::configurationKey && record.value)
            applyConfiguration(*record.value);
        else if (const auto domain = platform::evacuatedDomainOf(record.key))
            applyEvacuation(m_context, *domain, record.value, monotonicNow());
    };
    callbacks.onReadSuccess = [this](time_point sentAt) {
        // An older copy proves nothing about keys that were taken away after it was made.
        m_isConfigurationReadDue = !m_recovery->isReadComplete(sentAt, monotonicNow());
        m_configurationReadAt = sentAt;
        if (!m_isConfigurationReadDue)
            m_context.configurationCheckedAt = sentAt;
        if (sentAt >= m_wokeAt)
            m_context.evacuationsUncertainUntil = {};
        recordRead(platform::operatorTopic, m_isConfigurationUnreachable, sentAt);
    };
    callbacks.onReadFailure = [this](std::string_view reason) {
        // The target list is read less often; records that expire until its next read expire in the same outage.
        m_context.targets.onStoreUnreachable();
        // While the store is away, the last known evacuations stay in force.
        m_context.evacuationsUncertainUntil = std::min(m_context.evacuationsUncertainUntil, m_wokeAt + rereadTime);
        recordFailedRead(platform::operatorTopic, m_isConfigurationUnreachable, reason);
    };
    return callbacks;
}

platform::follow_callbacks gateway::targetCallbacks()
{
    platform::follow_callbacks callbacks;
    callbacks.onSnapshot = [this](std::map<std::string, std::string> newest) {
        std::vector<deployment::target> targets;
        for (const auto& [id, text] : newest) {
            if (auto target = platform::decodeTarget(id, text))
                targets.push_back(target.value());
            else
                logLine(log_level::Warning, "targets", "The record of a target could not be decoded; the target is treated as removed.", { { "target", id }, { "problem", target.error().what() } });
        }
        m_context.targets.applyAll(targets, monotonicNow());
        limitColdTargets(monotonicNow());
        m_hasTargets = true;
    };
    callbacks.onRecord = [this](const platform::keyed_record& record) { applyTarget(record); };
    callbacks.isRepetition = [this](const platform::keyed_record& record) {
        if (!record.value)
            return false;
        if (m_context.targets.isKnownRecord(record.key, platform::withoutSequence(*record.value)))
            return true;
        const auto target = platform::decodeTarget(record.key, *record.value);
        return target && m_context.targets.isListed(target.value());
    };
    callbacks.onReadSuccess = [this](time_point sentAt) {
        m_recovery->onTargetsRead(sentAt, monotonicNow());
        m_context.targets.setRecovering(m_recovery->isRecovering(monotonicNow()));
        m_context.targets.onStoreReachable(monotonicNow(), sentAt);
        if (sentAt >= m_wokeAt)
            m_context.targetsUncertainUntil = {};
        recordRead(platform::targetTopic, m_isTargetListUnreachable, sentAt);
    };
    callbacks.onReadFailure = [this](std::string_view reason) {
        m_context.targets.onStoreUnreachable();
        recordFailedRead(platform::targetTopic, m_isTargetListUnreachable, reason);
    };
    return callbacks;
}

void gateway::applyConfiguration(std::string_view text)
{
    auto decoded = platform::decodeConfiguration(text);
    if (!decoded) {
        m_context.counters.count("configurations_total", { { "outcome", "unreadable" } });
        logLine(log_level::Error, logComponent, "A configuration could not be decoded; the previous one stays in force.", { { "problem", decoded.error().what() } });
        return;
    }
    if (m_context.configuration && decoded.value().version <= m_context.configuration->version)
        return;
    const std::string previousVersion = m_context.configuration ? std::to_string(m_context.configuration->version) : "none";
    m_context.configuration = std::make_shared<const deployment::configuration>(std::move(decoded.value()));
    const auto& configuration = *m_context.configuration;
    m_configurations.setInForce(static_cast<uint64_t>(configuration.version), text);
    ++m_context.placementRules;
    logUnknownRegions(m_context, configuration);
    m_context.counters.count("configurations_total", { { "outcome", "in_force" } });
    m_context.counters.set("configuration_version", {}, static_cast<double>(configuration.version));
    updateClientMemory();
    policy::changeIdleLimit(m_idleLimits, configuration.limits.idleTimeout, monotonicNow());
    m_pools->onMembersChanged();
    limitColdTargets(monotonicNow());
    logLine(log_level::Info, logComponent, "A newer configuration came into force.", { { "version", std::to_string(configuration.version) }, { "before", previousVersion }, { "routes", std::to_string(configuration.routes.size()) }, { "keys", std::to_string(configuration.accountsByApiKey.size()) } });
}

void gateway::confirmConfiguration(time_point now)
{
    for (const std::string& text : std::exchange(m_receivedConfigurations, {}))
        applyConfiguration(text);
    m_isConfigurationConfirmed = m_isConfigurationConfirmed || (m_context.configuration && m_pools->hasAskedEntries(now));
}

void gateway::applyTarget(const platform::keyed_record& record)
{
    const time_point now = monotonicNow();
    if (!record.value) {
        m_context.targets.remove(record.key, now);
        return;
    }
    std::string text = platform::withoutSequence(*record.value);
    if (m_context.targets.renew(record.key, text, now))
        return;
    if (auto target = platform::decodeTarget(record.key, *record.value)) {
        // While a target is cold, the number of its record counts, so that each of its records is decoded.
        if (target.value().cold.left.count() > 0)
            text.clear();
        m_context.targets.apply(target.value(), now, std::move(text));
        limitColdTargets(now);
        return;
    } else {
        logLine(log_level::Warning, "targets", "The record of a target could not be decoded; the target is treated as removed.", { { "target", record.key }, { "problem", target.error().what() } });
    }
    m_context.targets.remove(record.key, now);
}

void gateway::recordRead(std::string_view topic, bool& isUnreachable, time_point)
{
    m_context.counters.count("store_reads_total", { { "topic", std::string(topic) }, { "outcome", "answered" } });
    if (std::exchange(isUnreachable, false))
        logLine(log_level::Info, "store", "The store is reachable again.", { { "topic", std::string(topic) } });
}

void gateway::recordFailedRead(std::string_view topic, bool& isUnreachable, std::string_view reason)
{
    m_context.counters.count("store_reads_total", { { "topic", std::string(topic) }, { "outcome", "failed" } });
    if (!std::exchange(isUnreachable, true))
        logLine(log_level::Warning, "store", "The store is unreachable; the last known state stays in use.", { { "topic", std::string(topic) }, { "reason", std::string(reason) } });
}

http1::server_limits gateway::serverLimits() const
{
    http1::server_limits limits;
    limits.maxConnections = m_context.settings.limits.maxConnections;
    if (const auto& configuration = m_context.configuration) {
        limits.maxHeaderBytes = configuration->limits.maxHeaderBytes;
        limits.maxBodyBytes = configuration->limits.maxBodyBytes;
        limits.headerTimeout = configuration->limits.headerTimeout;
        limits.idleTimeout = policy::longestIdleLimit(m_idleLimits, monotonicNow());
    }
    return limits;
}

void gateway::updateClientMemory()
{
    policy::client_memory_limits limits;
    limits.total = m_context.settings.limits.heldBytes();
    const http1::server_limits serverLimits = this->serverLimits();
    limits.largestRequest = policy::bytesOfLargestRequest(serverLimits.maxHeaderBytes, serverLimits.maxBodyBytes, serverLimits.bodyCopies);
    m_context.clientMemory->setLimits(limits);
}

bool gateway::isReady(time_point now) const
{
    return !m_isStopping && m_isConfigurationConfirmed && m_hasTargets && m_pools->isReady(now) && m_crashes->isReady() && isConfigurationFresh(now);
}

// Requests.

void gateway::handleRequest(std::shared_ptr<http1::exchange> exchange)
{
    const time_point now = monotonicNow();
    const auto decoded = platform::decodeRequest(exchange->head());
    if (!decoded) {
        logLine(log_level::Info, logComponent, "The headers of a request could not be decoded.", { { "problem", decoded.error().what() } });
        refuse(*exchange, "", http1::statusBadRequest, "malformed");
        return;
    }
    accepted_request request;
    request.exchange = std::move(exchange);
    request.callerRequest = decoded.value();
    request.configuration = m_context.configuration;
    if (accept(request, now))
        start(std::move(request), now);
}

void gateway::onVerdict(time_point firstCrashAt)
{
    // The requests that ran beside the crashing ones are not suspected any more.
    policy::withdrawSuspicions(m_context.suspicions, firstCrashAt);
    const auto runs = m_openRuns;
    for (const auto& run : runs)
        run->onVerdict(monotonicNow());
}

void gateway::start(accepted_request request, time_point now)
{
    request.service = serviceOf(request);
    earnRetries(m_context, request.service, now);
    logLine(log_level::Info, logComponent, "The request was accepted.", { { "request", request.callerRequest.id }, { "route", request.route->name }, { "service", request.service }, { "account", request.account }, { "continues", request.callerRequest.continuedRequest.substr(0, maxLoggedBytes) }, { "version", std::to_string(request.configuration->version) }, { "checked_ms_ago", std::to_string(asMilliseconds(now - m_context.configurationCheckedAt)) }, { "open", std::to_string(m_openRuns.size()) } });
    const auto run = std::make_shared<request_run>(m_context, *m_pools, std::move(request), [this](request_run* finishedRun) {
        const auto position = std::find_if(m_openRuns.begin(), m_openRuns.end(), [finishedRun](const auto& item) { return item.get() == finishedRun; });
        if (position == m_openRuns.end())
            return;
        // The caller of this function is a method of the run; the next tick destroys the run.
        m_finishedRuns.push_back(*position);
        m_openRuns.erase(position);
    });
    m_openRuns.push_back(run);
    run->start();
}

void gateway::refuse(http1::exchange& exchange, std::string_view id, unsigned status, std::string_view reason, std::optional<milliseconds> retryAfter)
{
    m_context.counters.count("requests_total", { { "outcome", "refused" }, { "reason", std::string(reason) } });
    logLine(log_level::Info, logComponent, "The request was refused before any part of it ran.", { { "request", std::string(id) }, { "status", std::to_string(status) }, { "reason", std::string(reason) }, { "version", m_context.configuration ? std::to_string(m_context.configuration->version) : "none" }, { "checked_ms_ago", std::to_string(asMilliseconds(monotonicNow() - m_context.configurationCheckedAt)) } });
    http1::header_list headers;
    if (retryAfter)
        headers.push_back(platform::retryAfterHeader(*retryAfter));
    exchange.respond(status, std::move(headers), {});
}

void gateway::recordUnfinished(const http1::unfinished_connection& connection)
{
    if (!connection.openRequest) {
        m_pressure.recordUnfinished(connection.reason);
        return;
    }
    std::string id;
    if (const auto decoded = platform::decodeRequest(*connection.openRequest))
        id = decoded.value().id;
    m_context.counters.count("unfinished_connections_total", { { "reason", std::string(connection.reason) } });
    logLine(log_level::Warning, logComponent, "A connection ended before its requests had complete responses.", { { "request", id }, { "reason", std::string(connection.reason) }, { "unanswered_bytes", std::to_string(connection.unansweredBytes) }, { "unsent_bytes", std::to_string(connection.unsentBytes) } });
}

void gateway::handleOperatorRequest(const std::shared_ptr<http1::exchange>& exchange)
{
    const std::string_view path = http1::pathOf(exchange->head().target);
    if (path == "/metrics") {
        m_context.counters.set("log_lines_left_out", {}, static_cast<double>(droppedLogLines()));
        m_context.counters.set("stream_origins", {}, static_cast<double>(m_streams->size()));
        m_context.counters.set("entry_connection_bytes", {}, static_cast<double>(m_pools->byteCount()));
        m_context.counters.set("open_requests", {}, static_cast<double>(m_openRuns.size()));
        m_pressure.updateGauges();
        m_context.counters.set("connections_opened", {}, static_cast<double>(m_context.client.openedConnections()));
        exchange->respond(http1::statusOk, { { "Content-Type", "text/plain; version=0.0.4" } }, m_context.counters.serialize());
        return;
    }
    if (path == platform::readyPath) {
        exchange->respond(isReady(monotonicNow()) ? http1::statusOk : http1::statusUnavailable, {}, {});
        return;
    }
    if (path == explainPath) {
        explain(exchange);
        return;
    }
    exchange->respond(http1::statusNotFound, {}, {});
}

void gateway::checkForFreeze(time_point now)
{
    const bool wasFrozen = m_context.lastTickAt != time_point() && now - m_context.lastTickAt > freezeTime;
    const auto gap = now - std::exchange(m_context.lastTickAt, now);
    if (!wasFrozen)
        return;
    m_wokeAt = now;
    m_context.targetsUncertainUntil = now + rereadTime;
    m_context.evacuationsUncertainUntil = now + failedReadTime;
    m_context.targets.onFrozen(now);
    m_targetFollower->restartRead();
    m_configurationFollower->restartRead();
    logLine(log_level::Warning, logComponent, "The process was frozen; requests wait until the target list and the operator's topic are read again.", { { "frozen_ms", std::to_string(asMilliseconds(gap)) } });
}

double gateway::limitShareOf(const target_state& target, time_point now)
{
    const bool isPool = m_context.configuration && deployment::poolOf(*m_context.configuration, target.listed.service);
    const size_t rank = m_pools->rankFor(isPool ? target.listed.service : target.listed.id);
    const bool isStable = now - m_context.entriesChangedAt > stableEntriesTime;
    return policy::shareOf(rank, m_directory->others().size() + 1, isStable, isPool);
}

policy::cold_membership gateway::coldMembershipOf(const target_state& target, time_point now)
{
    policy::cold_membership membership;
    membership.isPool = m_context.configuration && deployment::poolOf(*m_context.configuration, target.listed.service);
    membership.rank = m_pools->rankFor(membership.isPool ? target.listed.service : target.listed.id);
    membership.processes = m_directory->others().size() + 1;
    membership.isStable = now - m_context.entriesChangedAt > stableEntriesTime;
    membership.listedAt = m_directory->listedAt();
    membership.directoryReadAt = m_directory->readAt();
    return membership;
}

void gateway::limitColdTargets(time_point now)
{
    updateColdTargets(
        m_context, [this, now](const target_state& target) { return coldMembershipOf(target, now); }, now);
}

void gateway::checkVersionsOf(const std::string& service, time_point now)
{
    m_streams->checkVersions(service, now);
    const auto& targets = m_context.targets.ofService(service);
    const auto isDoubtful = [now](const target_ptr& target) { return target->mayHaveRestarted(now); };
    // Only a new record of the same run shows that a target whose connection broke has not restarted.
    if (std::any_of(targets.begin(), targets.end(), isDoubtful) && listingsOf(targets).size() > 1)
        m_targetFollower->readStoreNext();
}

void gateway::checkVersions(time_point now)
{
    if (now < m_nextVersionCheckAt || !m_context.configuration || !m_hasTargets)
        return;
    m_nextVersionCheckAt = now + versionCheckPeriod;
    std::set<std::string_view> checked;
    for (const auto& route : m_context.configuration->routes) {
        for (const auto& choice : route.services) {
            if (route.isResumable && checked.insert(choice.service).second)
                checkVersionsOf(choice.service, now);
        }
    }
}

void gateway::readAwaitedRecords(time_point now)
{
    if (now - m_context.recordsAwaitedAt > 2 * awaitedReadPeriod || now < m_nextAwaitedReadAt)
        return;
    m_nextAwaitedReadAt = now + awaitedReadPeriod;
    // Peers leave out records that only repeat what is known.
    m_targetFollower->readStoreNext();
    m_targetFollower->readNow();
}

void gateway::tick()
{
    const time_point now = monotonicNow();
    recordLoopDelay(m_context, tickPeriod, now);
    checkForFreeze(now);
    m_finishedRuns.clear();
    m_context.targets.tick(now);
    dropLostEvacuations(m_context, now);
    updateLimits(
        m_context, [this, now](const target_state& target) { return limitShareOf(target, now); }, now);
    limitColdTargets(now);
    endPauses(m_context, now);
    m_scheduler.tick(now);
    m_pools->tick(now);
    confirmConfiguration(now);
    m_crashes->tick(now);
    if (m_recovery->tick(now))
        m_targetFollower->restartRead();
    if (m_isConfigurationReadDue && m_recovery->isReadComplete(now, now)) {
        m_isConfigurationReadDue = false;
        m_configurationFollower->restartRead();
    }
    m_context.targets.setRecovering(m_recovery->isRecovering(now));
    m_streams->tick(now);
    checkVersions(now);
    readAwaitedRecords(now);
    if (m_loads)
        m_loads->tick(now);
    std::vector<std::shared_ptr<request_run>> runs(m_openRuns.begin(), m_openRuns.end());
    const bool isAnyLimited = std::any_of(m_context.waitingForLimits.begin(), m_context.waitingForLimits.end(), [](const auto& item) { return item.second > 0; });
    if (isAnyLimited)
        std::stable_sort(runs.begin(), runs.end(), [](const auto& left, const auto& right) { return left->urgency() < right->urgency(); });
    for (const auto& run : runs)
        run->tick(now);
    if (m_isStopping)
        continueStop(now);
}
}
