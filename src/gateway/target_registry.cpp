#include "gateway/target_registry.hpp"

#include "base/hash.hpp"
#include "platform/batch_call.hpp"
#include "policy/stream_origins.hpp"

#include <set>

namespace bilberryseam::gateway {

namespace {
    /// Records that expired during an outage of the store are renewed within about two seconds of its return.
    constexpr milliseconds returnGrace { 2300 };
}

target_registry::target_registry(on_change onChange)
    : m_onChange(std::move(onChange))
{
}

void target_registry::apply(const deployment::target& listed, time_point now)
{
    rebuildIndexesIf(applyWithoutIndexes(listed, now));
}

bool target_registry::applyWithoutIndexes(const deployment::target& listed, time_point now)
{
    m_deferredRemovals.erase(listed.id);
    const auto position = m_targets.find(listed.id);
    const auto removed = m_lastRemoved.extract(listed.id);
    const target_ptr previous = position != m_targets.end() ? position->second : !removed.empty() ? removed.mapped().state
                                                                                                  : nullptr;
    const bool isVersionChanged = previous && previous->listed.softwareVersion != listed.softwareVersion;
    const bool isRestarted = position != m_targets.end() && (isVersionChanged || position->second->listed.startedAtMs != listed.startedAtMs);
    if (position != m_targets.end() && !isRestarted) {
        target_state& state = *position->second;
        state.listedAt = now;
        if (state.listed == listed)
            return false;
        const bool startsLeaving = listed.isDraining && !state.listed.isDraining;
        const bool isMoved = state.listed.endpoint != listed.endpoint || state.listed.service != listed.service;
        state.listed = listed;
        state.isReplaced = state.isReplaced && !isMoved;
        m_onChange(state, startsLeaving ? "leaving" : "changed");
        return isMoved;
    }
    if (previous) {
        previous->isRemoved = true;
        previous->isVersionChanged = isVersionChanged;
    }
    const auto newTarget = std::make_shared<target_state>();
    newTarget->listed = listed;
    newTarget->listedAt = now;
    newTarget->hash = hashOf(listed.id);
    m_targets[listed.id] = newTarget;
    m_onChange(*newTarget, isVersionChanged ? versionChange : isRestarted ? "restarted"
                                                                          : "listed");
    return true;
}

void target_registry::remove(std::string_view id, time_point now)
{
    rebuildIndexesIf(removeOrDefer(id, now));
}

bool target_registry::removeOrDefer(std::string_view id, time_point now)
{
    const auto position = m_targets.find(id);
    if (position == m_targets.end())
        return false;
    const bool isUncertain = m_isStoreUnreachable || (m_hasStoreReturned && now - m_storeReachableSince < returnGrace);
    if (isUncertain && !position->second->listed.isDraining) {
        m_deferredRemovals.emplace(std::string(id), now);
        return false;
    }
    return removeNow(position->first, "removed", now);
}

void target_registry::applyAll(const std::vector<deployment::target>& listed, time_point now)
{
    bool isOutOfDate = false;
    std::set<std::string, std::less<>> presentIds;
    for (const auto& item : listed) {
        presentIds.insert(item.id);
        isOutOfDate |= applyWithoutIndexes(item, now);
    }
    std::vector<std::string> absentIds;
    for (const auto& [id, state] : m_targets) {
        if (!presentIds.contains(id))
            absentIds.push_back(id);
    }
    for (const auto& id : absentIds)
        isOutOfDate |= removeOrDefer(id, now);
    rebuildIndexesIf(isOutOfDate);
}

void target_registry::onStoreReachable(time_point now)
{
    if (!std::exchange(m_isStoreUnreachable, false))
        return;
    m_hasStoreReturned = true;
    m_storeReachableSince = now;
}

void target_registry::tick(time_point now)
{
    std::erase_if(m_lastRemoved, [now](const auto& item) { return now - item.second.since > policy::targetRecordLag; });
    if (m_isStoreUnreachable || m_deferredRemovals.empty() || now - m_storeReachableSince < returnGrace)
        return;
    bool isOutOfDate = false;
    const auto removals = std::exchange(m_deferredRemovals, {});
    for (const auto& [id, since] : removals)
        isOutOfDate |= removeNow(id, "lapsed", now);
    rebuildIndexesIf(isOutOfDate);
}

const std::vector<target_ptr>& target_registry::ofService(std::string_view service) const
{
    static const std::vector<target_ptr> noTargets;
    const auto position = m_byService.find(service);
    return position == m_byService.end() ? noTargets : position->second;
}

target_ptr target_registry::holderOf(std::string_view handle) const
{
    const auto endpoint = platform::holderOf(handle);
    const auto position = endpoint ? m_byEndpoint.find(*endpoint) : m_byEndpoint.end();
    return position == m_byEndpoint.end() ? nullptr : position->second;
}

bool target_registry::removeNow(const std::string& id, std::string_view reason, time_point now)
{
    const auto position = m_targets.find(id);
    if (position == m_targets.end())
        return false;
    const target_ptr state = position->second;
    m_targets.erase(position);
    state->isRemoved = true;
    m_lastRemoved[id] = { state, now };
    m_onChange(*state, reason);
    return true;
}

void target_registry::rebuildIndexesIf(bool isNeeded)
{
    if (!isNeeded)
        return;
    m_byService.clear();
    m_byEndpoint.clear();
    for (const auto& [id, state] : m_targets) {
        m_byService[state->listed.service].push_back(state);
        target_ptr& indexedTarget = m_byEndpoint[state->listed.endpoint];
        if (!indexedTarget || indexedTarget->listedAt < state->listedAt)
            indexedTarget = state;
    }
}
}
