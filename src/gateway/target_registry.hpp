/// The targets that the platform lists, beside what this process has seen of them.
#pragma once

#include "deployment/deployment.hpp"
#include "policy/target_health.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace bilberryseam::gateway {

/// One target: what the list says, and what was seen.
struct target_state {
    deployment::target listed;
    time_point listedAt {};
    uint64_t hash = 0;
    /// Its entry is gone, or names another target at the address now.
    bool isRemoved = false;
    /// Its address answered for another target; trusted until the list has changed it.
    bool isReplaced = false;
    policy::target_health health;

    /// Calls of this process that have not ended.
    uint32_t inFlight = 0;
    uint64_t queuedPrefillTokens = 0;
    /// When its running call is expected to end.
    time_point busyUntil {};
    /// It had no memory for a result; it gets no pieces before.
    time_point noMemoryUntil {};
    /// Memory that results of this process's calls take there, in bytes.
    double heldBytes = 0;
    /// When this process last read a prompt part there, by the hash of the parts up to it.
    std::unordered_map<uint64_t, time_point> cachedPrefixes;

    [[nodiscard]] bool mayGetWork(time_point now) const noexcept { return !isRemoved && !isReplaced && !listed.isLeaving && policy::isUsable(health, now); }
};

using target_ptr = std::shared_ptr<target_state>;

/// Keeps the list and decides how far to trust it.
class target_registry {
public:
    /// Told of each change, for the log and for idle connections.
    using on_change = std::function<void(const target_state&, std::string_view change)>;

    explicit target_registry(on_change onChange);

    void apply(const deployment::target& listed, time_point now);
    void remove(std::string_view id, time_point now);
    /// Takes a whole list: what is not in it is removed.
    void applyAll(const std::vector<deployment::target>& listed, time_point now);

    /// The list could not be read. Entries that lapse from here until shortly after its return may be back soon.
    void onStoreUnreachable() noexcept { m_isStoreUnreachable = true; }
    void onStoreReachable(time_point now);
    /// Carries out removals that were put off.
    void tick(time_point now);

    /// @return The targets of a service that are listed, in a stable order.
    [[nodiscard]] const std::vector<target_ptr>& ofService(std::string_view service) const;
    /// @return The target that keeps a result, or nothing if none is listed at its address.
    [[nodiscard]] target_ptr holderOf(std::string_view handle) const;
    [[nodiscard]] size_t size() const noexcept { return m_targets.size(); }

private:
    /// @return Whether the indexes are out of date.
    [[nodiscard]] bool applyWithoutIndexes(const deployment::target& listed, time_point now);
    /// @return Whether the indexes are out of date.
    [[nodiscard]] bool removeOrDefer(std::string_view id, time_point now);
    [[nodiscard]] bool removeNow(const std::string& id, std::string_view reason);
    void rebuildIndexesIf(bool isNeeded);

    on_change m_onChange;
    std::map<std::string, target_ptr, std::less<>> m_targets;
    std::map<std::string, std::vector<target_ptr>, std::less<>> m_byService;
    /// An address that two entries name counts for the one that was listed last.
    std::map<ip_endpoint, target_ptr> m_byEndpoint;
    /// Removals that wait, with their time.
    std::map<std::string, time_point, std::less<>> m_deferredRemovals;
    bool m_isStoreUnreachable = false;
    time_point m_storeReachableSince {};
    bool m_hasStoreReturned = false;
};
}
