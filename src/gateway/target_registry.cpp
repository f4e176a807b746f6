#include "gateway/target_registry.hpp"

#include "base/hash.hpp"
#include "platform/batch_call.hpp"
#include "platform/ingress.hpp"
#include "policy/store_recovery.hpp"
#include "policy/stream_origins.hpp"

#include <algorithm>

namespace bilberryseam::gateway {

namespace {
    /// Records that expired during an outage of the store are renewed within this time after its return.
    constexpr milliseconds returnGrace = policy::recordRewriteTime;

    /// A target without a record keeps its state for this long.
    constexpr milliseconds formerTargetLifetime { platform::longestPause };
    /// States without a record; the oldest are dropped first.
    constexpr size_t maxFormerTargets = 1000;

    bool isSameRun(const deployment::target& left, const deployment::target& right) noexcept
    {
        return left.startedAtMs == right.startedAtMs && left.softwareVersion == right.softwareVersion;
    }

    bool isStartKnown(const deployment::target& listed) noexcept { return listed.startedAtMs != 0; }

    target_ptr makeState(const deployment::target& listed, const target_state* previous)
    {
        const auto state = std::make_shared<target_state>();
        state->listed = listed;
        state->hash = hashOf(listed.id);
        state->incarnation = hashOfPair(state->hash, static_cast<uint64_t>(listed.startedAtMs));
        // Only a later start is a restart. An older record may be read again after an outage of the store.
        if (previous && listed.startedAtMs <= previous->listed.startedAtMs) {
            state->pause = previous->pause;
            state->isLeaving = previous->isLeaving && isStartKnown(listed);
            state->coldStart = previous->coldStart;
        }
        return state;
    }
}

void rememberPrefix(target_state& target, uint64_t hash, time_point now)
{
    auto& prefixes = target.cachedPrefixes;
    if (prefixes.size() >= maxCachedPrefixes && !prefixes.contains(hash)) {
        std::erase_if(prefixes, [now](const auto& item) { return now - item.second > cachedPrefixLifetime; });
        if (prefixes.size() >= maxCachedPrefixes)
            return;
    }
    prefixes[hash] = now;
}

target_registry::target_registry(on_change onChange)
    : m_onChange(std::move(onChange))
{
}

void target_registry::apply(const deployment::target& listed, time_point now, std::string recordText)
{
    updateIndexesIf(applyWithoutIndexes(listed, now));
    if (const auto position = m_targets.find(listed.id); position != m_targets.end() && isSameRun(position->second->listed, listed))
        position->second->recordText = std::move(recordText);
}

bool target_registry::renew(std::string_view id, std::string_view recordText, time_point now)
{
    const auto position = m_targets.find(id);
    if (position == m_targets.end() || recordText.empty() || position->second->recordText != recordText)
        return false;
    if (const auto deferred = m_deferredRemovals.find(id); deferred != m_deferredRemovals.end())
        m_deferredRemovals.erase(deferred);
    m_formerRunRecords.erase(position->first);
    renewRun(*position->second, now);
    return true;
}

void target_registry::noteRun(target_state& state, time_point now)
{
    const deployment::target& listed = state.listed;
    // After the return of the store, records may be written again on behalf of targets that have ended.
    const bool isReturning = m_isRecovering || (m_hasStoreReturned && now - m_storeReachableSince < returnGrace);
    if (m_recordsWrittenAfter == time_point() || isReturning || listed.startedAtMs <= 0)
        return;
    const wall_time startedAt { milliseconds(listed.startedAtMs) };
    const auto known = m_runs.find(state.hash);
    // A late write of an earlier run proves nothing.
    if (known != m_runs.end() && known->second.startedAt > startedAt)
        return;
    state.writtenAfter = std::max(state.writtenAfter, m_recordsWrittenAfter);
    m_runs[state.hash] = { state.incarnation, listed.softwareVersion, startedAt, state.writtenAfter };
}

const policy::target_run* target_registry::runOf(uint64_t target) const noexcept
{
    const auto position = m_runs.find(target);
    return position == m_runs.end() ? nullptr : &position->second;
}

bool target_registry::isUncontradicted(uint64_t target, uint64_t run, std::string_view service, time_point since) const
{
    const bool isIgnored = std::any_of(m_ignoredRecords.begin(), m_ignoredRecords.end(), [target](const auto& item) { return hashOf(item.first) == target; });
    if (freshAsOf() < since || isIgnored)
        return false;
    const policy::target_run* newest = runOf(target);
    const auto isSame = [&](const target_ptr& state) { return state->hash != target || state->incarnation == run; };
    const auto& targets = ofService(service);
    return (!newest || newest->run == run) && std::all_of(targets.begin(), targets.end(), isSame);
}

void target_registry::renewRun(target_state& state, time_point now)
{
    state.listedAt = now;
    noteRun(state, now);
    // The record was written after the time in which restarts went unnoticed, so the target still was in this run.
    if (!m_isCatchingUp && !m_mayHaveMissedRestarts && !m_isApplyingList)
        state.restartMissedUntil = {};
    if (!m_isRecovering && !m_isApplyingList)
        state.mayBeOlderRecord = false;
}

void target_registry::setRecovering(bool isRecovering)
{
    if (!std::exchange(m_isRecovering, isRecovering) || isRecovering)
        return;
    for (const auto& [id, state] : m_targets)
        state->mayBeOlderRecord = false;
    for (const auto& former : m_formers)
        former.state->mayBeOlderRecord = false;
}

target_ptr target_registry::laterRunOf(const deployment::target& listed) const
{
    const auto position = m_targets.find(listed.id);
    const former_target* const former = position == m_targets.end() ? lastFormer(listed.id) : nullptr;
    const target_ptr known = position != m_targets.end() ? position->second : former ? former->state
                                                                                     : nullptr;
    return known && isStartKnown(listed) && listed.startedAtMs < known->listed.startedAtMs ? known : nullptr;
}

bool target_registry::removeReplaced(time_point now)
{
    if (m_isRecovering)
        return false;
    bool isOutOfDate = false;
    for (const auto& id : std::exchange(m_formerRunRecords, {}))
        isOutOfDate |= removeNow(id, "lapsed", now);
    return isOutOfDate;
}

bool target_registry::ignoreRemoved(const deployment::target& listed, time_point now)
{
    const former_target* const former = m_targets.contains(listed.id) ? nullptr : lastFormer(listed.id);
    const bool isRemovedRun = former && former->isRemovalCertain && isStartKnown(listed) && former->state->listed.startedAtMs == listed.startedAtMs;
    // A list does not show when its records were written.
    if (!isRemovedRun || !(m_isRecovering || (m_isApplyingList && m_ignoredRecords.contains(listed.id)))) {
        m_ignoredRecords.erase(listed.id);
        return false;
    }
    const auto [position, isNew] = m_ignoredRecords.try_emplace(listed.id);
    if (isNew)
        m_onChange(*former->state, "removed_run_ignored");
    if (m_isRecovering)
        position->second.since = now;
    position->second.listed = listed;
    position->second.isRenewed = !m_isApplyingList;
    return true;
}

bool target_registry::applyIgnored(time_point now)
{
    if (m_isRecovering || m_ignoredRecords.empty())
        return false;
    // The store drops the record of a silent target, and a peer may not relay heartbeats that say nothing new to it.
    constexpr milliseconds keptTime = policy::recordRewriteTime + policy::targetRecordLag;
    std::vector<deployment::target> renewed;
    for (const auto& [id, record] : m_ignoredRecords) {
        const bool isKept = !m_isStoreUnreachable && now - std::max(record.since, m_storeReachableSince) >= keptTime;
        if (record.isRenewed || isKept)
            renewed.push_back(record.listed);
    }
    // They may have been written earlier than what was read last.
    m_recordsWrittenAfter = {};
    bool isOutOfDate = false;
    for (const auto& listed : renewed)
        isOutOfDate |= applyWithoutIndexes(listed, now);
    return isOutOfDate;
}

bool target_registry::applyWithoutIndexes(const deployment::target& listed, time_point now)
{
    m_deferredRemovals.erase(listed.id);
    if (ignoreRemoved(listed, now))
        return false;
    const auto position = m_targets.find(listed.id);
    if (position != m_targets.end())
        position->second->recordText.clear();
    const target_ptr laterRun = laterRunOf(listed);
    if (laterRun && m_isRecovering) {
        if (m_formerRunRecords.insert(listed.id).second)
            m_onChange(*laterRun, "former_run_ignored");
        // Until the later run is written again, it is not certain which one is there.
        laterRun->restartMissedUntil = now + policy::targetRecordLag;
        return false;
    }
    m_formerRunRecords.erase(listed.id);
    if (position != m_targets.end() && isSameRun(position->second->listed, listed)) {
        renewRun(*position->second, now);
        const auto previousCold = std::exchange(position->second->listed.cold, listed.cold);
        applyCold(position->second, previousCold, false, now);
        return update(*position->second, listed);
    }
    const bool isRestarted = position != m_targets.end();
    const former_target* const lastFormer = isRestarted ? nullptr : this->lastFormer(listed.id);
    const target_ptr previous = isRestarted ? position->second : lastFormer ? lastFormer->state
                                                                            : nullptr;
    const bool isVersionDoubtful = isRestarted || (lastFormer && now - lastFormer->since <= policy::targetRecordLag);
    const bool isVersionChanged = isVersionDoubtful && previous->listed.softwareVersion != listed.softwareVersion;
    if (previous)
        previous->isVersionChanged = previous->isVersionChanged || isVersionChanged;
    target_ptr state = takeFormer(listed);
    if (isRestarted) {
        previous->isRemoved = true;
        addFormer({ previous, now }, now);
    }
    if (!state) {
        state = makeState(listed, previous.get());
        applyDoubt(*state, previous.get(), now);
    }
    state->isLeaving = state->isLeaving || (state->listed.isDraining && isStartKnown(listed) && isSameRun(state->listed, listed));
    state->listed = listed;
    state->recordText.clear();
    state->listedAt = now;
    noteRun(*state, now);
    state->isRemoved = false;
    state->isReplaced = false;
    // A write of the former run may have been late.
    state->mayBeOlderRecord = m_isRecovering || laterRun;
    // Without a start, a restarted target cannot be told from one that leaves.
    state->isLeaving = state->isLeaving && isStartKnown(listed);
    m_targets[listed.id] = state;
    m_changedIds.insert(listed.id);
    applyCold(state, {}, true, now);
    m_onChange(*state, isVersionChanged ? versionChange : isRestarted ? "restarted"
                                                                      : "listed");
    return true;
}

void target_registry::applyDoubt(target_state& state, const target_state* previous, time_point now) const
{
    // Starts are not bounded when they are decoded; before 1970 they are meaningless.
    if (state.listed.startedAtMs <= 0)
        return;
    const milliseconds sinceStart = wallNow().time_since_epoch() - milliseconds(state.listed.startedAtMs);
    const auto isAfterStart = [&](time_point at) { return at != time_point() && std::chrono::ceil<milliseconds>(now - at) < sinceStart; };
    // A connection that broke after the start which the record names is a sign of a later restart.
    if (previous && isAfterStart(previous->lastBrokenAt))
        state.lastBrokenAt = previous->lastBrokenAt;
    if (m_isCatchingUp && sinceStart < policy::targetRecordLag)
        state.restartMissedUntil = now + policy::targetRecordLag;
    else if (previous && previous->mayHaveMissedRestart(now) && isAfterStart(previous->restartMissedUntil - policy::targetRecordLag))
        state.restartMissedUntil = previous->restartMissedUntil;
}

void target_registry::applyCold(const target_ptr& state, const deployment::cold_statement& previous, bool isFirst, time_point now)
{
    const deployment::cold_statement& stated = state->listed.cold;
    if (!isFirst && stated.isRepetitionOf(previous))
        return;
    // A record that returns after its removal may be an old one.
    policy::applyColdRecord(state->coldStart, stated.left, !isFirst && stated.sequence > previous.sequence, now);
    if (stated.left.count() > 0 || stated.isMalformed || policy::isActive(state->coldStart, now))
        m_coldTargets.push_back(state);
}

bool target_registry::update(target_state& state, const deployment::target& listed)
{
    if (state.listed == listed)
        return false;
    const bool startsLeaving = listed.isDraining && !state.listed.isDraining;
    const bool isMoved = state.listed.endpoint != listed.endpoint || state.listed.service != listed.service;
    const bool isOtherDomain = state.listed.failureDomain != listed.failureDomain;
    // A run that leaves does not come back; an older record may be read again after the store returned from a copy.
    state.isLeaving = state.isLeaving || (state.listed.isDraining && isStartKnown(listed));
    state.listed = listed;
    if (isMoved)
        m_changedIds.insert(listed.id);
    else if (isOtherDomain)
        moveOutline(state);
    state.isReplaced = state.isReplaced && !isMoved;
    m_onChange(state, startsLeaving ? "leaving" : "changed");
    return isMoved;
}

const target_registry::former_target* target_registry::lastFormer(std::string_view id) const noexcept
{
    const auto position = std::find_if(m_formers.rbegin(), m_formers.rend(), [id](const auto& former) { return former.state->listed.id == id; });
    return position == m_formers.rend() ? nullptr : &*position;
}

target_ptr target_registry::takeFormer(const deployment::target& listed)
{
    // Which version ran the last requests of a state is doubtful for good once its record named another one.
    const auto position = std::find_if(m_formers.begin(), m_formers.end(), [&listed](const auto& former) {
        return former.state->listed.id == listed.id && isSameRun(former.state->listed, listed) && !former.state->isVersionChanged;
    });
    if (position == m_formers.end())
        return nullptr;
    const target_ptr state = position->state;
    m_formers.erase(position);
    return state;
}

void target_registry::addFormer(former_target former, time_point now)
{
    m_formers.push_back(std::move(former));
    dropFormers(now);
}

void target_registry::dropFormers(time_point now)
{
    while (!m_formers.empty() && (m_formers.size() > maxFormerTargets || now - m_formers.front().since > formerTargetLifetime)) {
        m_formers.front().state->isForgotten = true;
        m_formers.pop_front();
    }
}

void target_registry::remove(std::string_view id, time_point now)
{
    updateIndexesIf(removeOrDefer(id, now));
}

bool target_registry::removeOrDefer(std::string_view id, time_point now)
{
    if (const auto former = m_formerRunRecords.find(id); former != m_formerRunRecords.end())
        m_formerRunRecords.erase(former);
    if (const auto ignored = m_ignoredRecords.find(id); ignored != m_ignoredRecords.end())
        m_ignoredRecords.erase(ignored);
    const auto position = m_targets.find(id);
    if (position == m_targets.end())
        return false;
    const bool isUncertain = m_isStoreUnreachable || (m_hasStoreReturned && now - m_storeReachableSince < returnGrace);
    if (isUncertain && !position->second->listed.isDraining) {
        m_deferredRemovals.emplace(std::string(id), now);
        return false;
    }
    return removeNow(position->first, "removed", now, !isUncertain && !m_isRecovering);
}

void target_registry::applyAll(const std::vector<deployment::target>& listed, time_point now)
{
    // The records of a list may be old.
    m_recordsWrittenAfter = {};
    m_isApplyingList = true;
    bool isOutOfDate = false;
    std::set<std::string, std::less<>> presentIds;
    for (const auto& item : listed) {
        presentIds.insert(item.id);
        isOutOfDate |= applyWithoutIndexes(item, now);
    }
    m_isApplyingList = false;
    std::erase_if(m_formerRunRecords, [&presentIds](const std::string& id) { return !presentIds.contains(id); });
    std::erase_if(m_ignoredRecords, [&presentIds](const auto& item) { return !presentIds.contains(item.first); });
    std::vector<std::string> absentIds;
    for (const auto& [id, state] : m_targets) {
        if (!presentIds.contains(id))
            absentIds.push_back(id);
    }
    for (const auto& id : absentIds)
        isOutOfDate |= removeOrDefer(id, now);
    updateIndexesIf(isOutOfDate);
}

void target_registry::onFrozen(time_point now)
{
    m_mayHaveMissedRestarts = true;
    for (const auto& [id, state] : m_targets)
        state->restartMissedUntil = now + policy::targetRecordLag;
}

void target_registry::onStoreReachable(time_point now, time_point freshAsOf)
{
    m_recordsWrittenAfter = std::exchange(m_freshAsOf, freshAsOf);
    m_isCatchingUp = std::exchange(m_mayHaveMissedRestarts, false);
    if (!std::exchange(m_isStoreUnreachable, false))
        return;
    m_hasStoreReturned = true;
    m_storeReachableSince = now;
}

void target_registry::tick(time_point now)
{
    dropFormers(now);
    if (now >= m_nextRunCleanupAt) {
        m_nextRunCleanupAt = now + policy::targetRecordLag;
        std::erase_if(m_runs, [now](const auto& item) { return now - item.second.writtenAfter > policy::streamOriginLifetime; });
    }
    updateIndexesIf(removeReplaced(now));
    updateIndexesIf(applyIgnored(now));
    if (m_isStoreUnreachable || m_deferredRemovals.empty() || now - m_storeReachableSince < returnGrace)
        return;
    bool isOutOfDate = false;
    const auto removals = std::exchange(m_deferredRemovals, {});
    for (const auto& [id, since] : removals)
        isOutOfDate |= removeNow(id, "lapsed", now);
    updateIndexesIf(isOutOfDate);
}

std::optional<double> target_state::ownRate(time_point now) const noexcept
{
    const auto stated = policy::ownRate(limit, now);
    const auto cold = policy::ownRate(coldStart, now);
    return stated && cold ? std::min(*stated, *cold) : stated ? stated
                                                              : cold;
}

const std::vector<target_ptr>& target_registry::ofService(std::string_view service) const
{
    static const std::vector<target_ptr> noTargets;
    const auto position = m_byService.find(service);
    return position == m_byService.end() ? noTargets : position->second;
}

std::span<const policy::placement_outline> target_registry::outlinesOf(std::string_view service) const
{
    const auto position = m_outlines.find(service);
    return position == m_outlines.end() ? std::span<const policy::placement_outline>() : position->second;
}

bool target_registry::isListed(const deployment::target& listed) const
{
    const auto position = m_targets.find(listed.id);
    return !m_isRecovering && position != m_targets.end() && position->second->listed.isSameApartFromCold(listed) && listed.cold.isRepetitionOf(position->second->listed.cold) && !m_deferredRemovals.contains(listed.id) && !m_formerRunRecords.contains(listed.id);
}

bool target_registry::isKnownRecord(std::string_view id, std::string_view recordText) const
{
    const auto position = m_targets.find(id);
    return !m_isRecovering && position != m_targets.end() && !recordText.empty() && position->second->recordText == recordText && !m_deferredRemovals.contains(id) && !m_formerRunRecords.contains(id);
}

void target_registry::forEachService(const std::function<void(const std::string&, std::span<const target_ptr>)>& visit) const
{
    for (const auto& [service, targets] : m_byService)
        visit(service, targets);
}

void target_registry::forEach(const std::function<void(const target_state&)>& visit) const
{
    for (const auto& [id, state] : m_targets)
        visit(*state);
}

target_ptr target_registry::holderOf(std::string_view handle) const
{
    const auto endpoint = platform::holderOf(handle);
    const auto position = endpoint ? m_byEndpoint.find(*endpoint) : m_byEndpoint.end();
    return position == m_byEndpoint.end() ? nullptr : position->second;
}

bool target_registry::removeNow(const std::string& id, std::string_view reason, time_point now, bool isCertain)
{
    const auto position = m_targets.find(id);
    if (position == m_targets.end())
        return false;
    const target_ptr state = position->second;
    m_changedIds.insert(position->first);
    m_targets.erase(position);
    state->isRemoved = true;
    addFormer({ state, now, isCertain }, now);
    m_onChange(*state, reason);
    return true;
}

void target_registry::updateIndexesIf(bool isNeeded)
{
    if (!isNeeded)
        return;
    for (const auto& id : std::exchange(m_changedIds, {}))
        reindex(id);
    // Heartbeats change which of several records was updated last, and take effect with the next change of the indexes.
    for (const auto& [endpoint, ids] : m_sharedEndpoints)
        decideEndpoint(endpoint);
}

void target_registry::reindex(const std::string& id)
{
    const auto isBefore = [](const target_ptr& state, const std::string& wanted) { return state->listed.id < wanted; };
    if (const auto former = m_indexed.find(id); former != m_indexed.end()) {
        const auto service = m_byService.find(former->second.service);
        auto& outlines = m_outlines.at(former->second.service);
        const auto place = std::lower_bound(service->second.begin(), service->second.end(), id, isBefore);
        outlines.erase(outlines.begin() + (place - service->second.begin()));
        service->second.erase(place);
        if (service->second.empty()) {
            m_outlines.erase(service->first);
            m_byService.erase(service);
        }
        const ip_endpoint endpoint = former->second.endpoint;
        m_indexed.erase(former);
        if (const auto shared = m_sharedEndpoints.find(endpoint); shared != m_sharedEndpoints.end()) {
            shared->second.erase(id);
            decideEndpoint(endpoint);
            if (shared->second.size() == 1)
                m_sharedEndpoints.erase(shared);
        } else
            m_byEndpoint.erase(endpoint);
    }
    const auto position = m_targets.find(id);
    if (position == m_targets.end())
        return;
    const target_ptr& state = position->second;
    const ip_endpoint& endpoint = state->listed.endpoint;
    m_indexed[id] = { state, state->listed.service, endpoint };
    auto& targets = m_byService[state->listed.service];
    auto& outlines = m_outlines[state->listed.service];
    const auto place = std::lower_bound(targets.begin(), targets.end(), id, isBefore);
    outlines.insert(outlines.begin() + (place - targets.begin()), { state->hash, domainIndexOf(state->listed.failureDomain) });
    targets.insert(place, state);
    const auto [holder, isFree] = m_byEndpoint.try_emplace(endpoint, state);
    if (isFree)
        return;
    m_sharedEndpoints[endpoint].insert({ holder->second->listed.id, id });
    decideEndpoint(endpoint);
}

uint32_t target_registry::domainIndexOf(const std::string& domain)
{
    const auto position = std::find(m_failureDomains.begin(), m_failureDomains.end(), domain);
    const auto index = static_cast<uint32_t>(position - m_failureDomains.begin());
    if (position == m_failureDomains.end())
        m_failureDomains.push_back(domain);
    return index;
}

void target_registry::moveOutline(const target_state& state)
{
    const auto& targets = m_byService.at(state.listed.service);
    const auto position = std::find_if(targets.begin(), targets.end(), [&](const target_ptr& target) { return target.get() == &state; });
    if (position != targets.end())
        m_outlines.at(state.listed.service)[static_cast<size_t>(position - targets.begin())].domain = domainIndexOf(state.listed.failureDomain);
}

void target_registry::decideEndpoint(const ip_endpoint& endpoint)
{
    target_ptr newest;
    for (const auto& id : m_sharedEndpoints.at(endpoint)) {
        const auto& state = m_indexed.at(id).state;
        if (!newest || newest->listedAt < state->listedAt)
            newest = state;
    }
    m_byEndpoint[endpoint] = newest;
}
}
