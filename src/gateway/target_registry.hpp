/// The targets that the platform lists, with the observations of this process.
#pragma once

#include "deployment/deployment.hpp"
#include "policy/cold_start.hpp"
#include "policy/pause.hpp"
#include "policy/placement_search.hpp"
#include "policy/pool_memory.hpp"
#include "policy/rate_limit.hpp"
#include "policy/stated_load.hpp"
#include "policy/stream_origins.hpp"
#include "policy/target_health.hpp"
#include "policy/target_load.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bilberryseam::gateway {

/// One target: its record in the target list, and what this process observed.
struct target_state {
    deployment::target listed;
    /// What `platform::withoutSequence` returns for the record that states `listed`; empty if it is not known.
    std::string recordText;
    time_point listedAt {};
    uint64_t hash = 0;
    /// Hash of the identifier and the start.
    uint64_t incarnation = 0;
    /// The record was removed or replaced by that of a restarted target.
    bool isRemoved = false;
    /// The registry no longer holds the state: the target gets a new one if its record returns.
    bool isForgotten = false;
    /// The target said in a response that it leaves; its record may say so later.
    bool isLeaving = false;
    policy::target_pause pause;
    /// The record now names another software version: which one ran the last requests is doubtful.
    bool isVersionChanged = false;
    /// Time at which a connection to the target last failed or broke off. It may have restarted since, with another version
    /// than the one in its record.
    time_point lastBrokenAt {};
    /// A record of this run was written after this time.
    time_point writtenAfter {};
    /// Until then, the target may have restarted once more than its record says: this process could not notice a restart for a
    /// time, and the target was listed then or had started shortly before it was. A later record of the same run ends this.
    time_point restartMissedUntil {};
    /// A later run may be there: the record was read while the store may just have returned from an older copy, or names an earlier
    /// start than the one before it.
    bool mayBeOlderRecord = false;
    /// The address responded as another target; stays set until the record names another address or service.
    bool isReplaced = false;
    policy::target_health health;
    policy::rate_limit limit;
    policy::cold_start coldStart;
    /// A malformed statement of the cold time was logged.
    bool isColdProblemLogged = false;
    policy::stated_load statedLoad;
    /// A malformed statement of the load was logged.
    bool isLoadProblemLogged = false;

    /// Calls of this process in progress.
    uint32_t inFlight = 0;
    uint64_t queuedPrefillTokens = 0;
    /// Those of the queued prompt tokens that are presumably not cached at the target.
    uint64_t uncachedPrefillTokens = 0;
    /// Prompt tokens, and the most output tokens, of the calls in progress.
    uint64_t contextTokens = 0;
    /// Streams of this process that have begun and not ended.
    uint32_t runningStreams = 0;
    /// Time between the events of the streams of this process.
    policy::event_pace pace;
    /// Time at which the running batch call is expected to end.
    time_point busyUntil {};
    /// The target had no memory for a result; it gets no tasks before this time.
    time_point noMemoryUntil {};
    /// Memory that the results of this process's batch calls occupy at the target, in bytes.
    double heldBytes = 0;
    /// Queries of what other entries have at the target, which is in a pool.
    policy::report_state poolReport;
    /// Time at which the target last processed a prompt prefix for this process, by the hash of the prompt segments in it.
    std::unordered_map<uint64_t, time_point> cachedPrefixes;

    /// @return Whether the record may be older than a restart of the target.
    [[nodiscard]] bool mayHaveRestarted(time_point now) const noexcept { return lastBrokenAt != time_point() && now - lastBrokenAt < policy::targetRecordLag && writtenAfter < lastBrokenAt + policy::recordWriteTime; }
    /// @return Whether this process may have missed a restart of the target.
    [[nodiscard]] bool mayHaveMissedRestart(time_point now) const noexcept { return mayBeOlderRecord || now < restartMissedUntil; }
    [[nodiscard]] bool isInService() const noexcept { return !isRemoved && !isReplaced && !isLeaving && !listed.isDraining; }
    /// @return Whether the limits of the target, stated or for its cold time, allow a request now.
    [[nodiscard]] bool canSendNow(time_point now) const noexcept { return policy::canSend(limit, now) && policy::canSend(coldStart, now); }
    /// @return Whether requests are limited because the target is cold.
    [[nodiscard]] bool isColdNow() const noexcept { return policy::isCold(coldStart); }
    /// @return Requests a second that this process may send; nothing if it is not limited.
    [[nodiscard]] std::optional<double> ownRate(time_point now) const noexcept;
};

/// How long a prefix counts as cached at the target that processed it.
constexpr seconds cachedPrefixLifetime { 60 };

/// Largest number of prefixes that are remembered for one target; a prompt has at most 1,000.
constexpr size_t maxCachedPrefixes = 64 * 1024;

/// Records that the target has processed a prompt prefix. Expired prefixes make room for new ones; if there are none, a new one is
/// not recorded.
void rememberPrefix(target_state& target, uint64_t hash, time_point now);

using target_ptr = std::shared_ptr<target_state>;

/// Holds the target list and defers removals that may only come from an outage of the store.
class target_registry {
public:
    /// Called for each change of a target, to log it and to close idle connections to a removed one.
    using on_change = std::function<void(const target_state&, std::string_view change)>;
    /// The change of a target that started again with another software version.
    static constexpr std::string_view versionChange = "version_changed";

    explicit target_registry(on_change onChange);

    /// @param recordText  See `target_state::recordText`.
    void apply(const deployment::target& listed, time_point now, std::string recordText = {});
    /// Applies a record whose text shows that it states what is known already.
    /// @return False if the record must be decoded and applied.
    [[nodiscard]] bool renew(std::string_view id, std::string_view recordText, time_point now);
    void remove(std::string_view id, time_point now);
    /// Applies a whole list; targets that are not in it are removed.
    void applyAll(const std::vector<deployment::target>& listed, time_point now);

    /// The list could not be read. Records that expire from now until shortly after the store returns may be renewed soon.
    void onStoreUnreachable() noexcept { m_isStoreUnreachable = true; }
    /// Called after a successful read, before its records are applied.
    /// @param freshAsOf  Every record that the store had acknowledged then has been read; not set if this is not known.
    void onStoreReachable(time_point now, time_point freshAsOf = {});
    /// Records may be older than ones that the store had before, until this is called with false.
    void setRecovering(bool isRecovering);
    /// @return The newest run of the target with this hash; null if no record stated its start lately.
    [[nodiscard]] const policy::target_run* runOf(uint64_t target) const noexcept;
    /// @return Whether all records that the store had acknowledged at `since` were read, and none of the target names another run.
    /// @param run  See `policy::stream_origin::run`.
    [[nodiscard]] bool isUncontradicted(uint64_t target, uint64_t run, std::string_view service, time_point since) const;
    /// @return Every record that the store had acknowledged then has been read; not set if this is not known.
    [[nodiscard]] time_point freshAsOf() const noexcept { return m_isRecovering ? time_point() : m_freshAsOf; }
    /// The process was frozen: it has not noticed which targets restarted meanwhile.
    void onFrozen(time_point now);
    /// Carries out deferred removals.
    void tick(time_point now);

    /// @return The targets whose records stated a cold time, or a malformed one, since the last call.
    [[nodiscard]] std::vector<target_ptr> takeColdTargets() { return std::exchange(m_coldTargets, {}); }

    /// @return The listed targets of a service, in a stable order.
    [[nodiscard]] const std::vector<target_ptr>& ofService(std::string_view service) const;
    /// @return What placement needs of each of these targets first, in the same order.
    [[nodiscard]] std::span<const policy::placement_outline> outlinesOf(std::string_view service) const;
    /// @return The failure domains that the outlines refer to.
    [[nodiscard]] std::span<const std::string> failureDomains() const noexcept { return m_failureDomains; }
    /// @return Whether a record says what is known already, and no removal of the target is deferred. Never while the store recovers,
    /// when other processes may wait for the target to renew its record.
    [[nodiscard]] bool isListed(const deployment::target& listed) const;
    /// @return Whether `isListed` is known to hold for the target in a record with this text.
    [[nodiscard]] bool isKnownRecord(std::string_view id, std::string_view recordText) const;
    /// @return The target that holds a result, or null if no target is listed at its address.
    [[nodiscard]] target_ptr holderOf(std::string_view handle) const;
    [[nodiscard]] size_t size() const noexcept { return m_targets.size(); }
    /// Calls a function with each listed target.
    void forEach(const std::function<void(const target_state&)>& visit) const;
    /// Calls a function with each service that has listed targets.
    void forEachService(const std::function<void(const std::string& service, std::span<const target_ptr> targets)>& visit) const;

private:
    /// @return Whether the indexes are out of date.
    [[nodiscard]] bool applyWithoutIndexes(const deployment::target& listed, time_point now);
    /// @return Whether the indexes are out of date.
    [[nodiscard]] bool removeOrDefer(std::string_view id, time_point now);
    /// @param isCertain  The removal was read while the store was stable.
    [[nodiscard]] bool removeNow(const std::string& id, std::string_view reason, time_point now, bool isCertain = false);
    void updateIndexesIf(bool isNeeded);
    /// Moves a target to the place in the indexes that its record names, or removes it from them.
    void reindex(const std::string& id);
    /// Applies the failure domain of a target whose place in the indexes stays.
    void moveOutline(const target_state& state);
    [[nodiscard]] uint32_t domainIndexOf(const std::string& domain);
    /// Determines again which target an address belongs to.
    void decideEndpoint(const ip_endpoint& endpoint);

    /// Applies that a record states the same run again.
    void renewRun(target_state& state, time_point now);
    /// @return The state of a later run of the target than the one that a record names, or null.
    [[nodiscard]] target_ptr laterRunOf(const deployment::target& listed) const;
    /// Removes targets of which a store that has recovered only has records of former runs.
    /// @return Whether the indexes are out of date.
    [[nodiscard]] bool removeReplaced(time_point now);
    /// Decides whether a record does not count, because the store may have it from before the removal of its run.
    [[nodiscard]] bool ignoreRemoved(const deployment::target& listed, time_point now);
    /// Applies the ignored records that count after all.
    /// @return Whether the indexes are out of date.
    [[nodiscard]] bool applyIgnored(time_point now);
    /// Notes when the record of the state was written at the earliest.
    void noteRun(target_state& state, time_point now);
    /// Determines what an unlisted or restarted target's state knows about a restart that its record does not name yet.
    void applyDoubt(target_state& state, const target_state* previous, time_point now) const;

    void applyCold(const target_ptr& state, const deployment::cold_statement& previous, bool isFirst, time_point now);

    on_change m_onChange;
    std::vector<target_ptr> m_coldTargets;
    std::map<std::string, target_ptr, std::less<>> m_targets;
    std::map<std::string, std::vector<target_ptr>, std::less<>> m_byService;
    /// By service, in the order of `m_byService`.
    std::map<std::string, std::vector<policy::placement_outline>, std::less<>> m_outlines;
    /// Each failure domain that a target was in.
    std::vector<std::string> m_failureDomains;
    /// If two records name the same address, the one that was updated last counts.
    std::map<ip_endpoint, target_ptr> m_byEndpoint;
    /// A target as it is in the indexes.
    struct indexed_target {
        target_ptr state;
        std::string service;
        ip_endpoint endpoint;
    };
    std::map<std::string, indexed_target, std::less<>> m_indexed;
    /// Identifiers of the targets at each address, for addresses that more than one record names.
    std::map<ip_endpoint, std::set<std::string>> m_sharedEndpoints;
    /// Targets whose place in the indexes may have changed.
    std::set<std::string> m_changedIds;
    /// A target without a record, and when its record went.
    struct former_target {
        target_ptr state;
        time_point since {};
        /// The removal was read while the store was stable.
        bool isRemovalCertain = false;
    };
    /// The record of a run whose removal had been read when the store returned from a copy.
    struct ignored_record {
        deployment::target listed;
        time_point since {};
        /// It was written again after the return.
        bool isRenewed = false;
    };
    /// @return The newest state without a record of this target, or null.
    [[nodiscard]] const former_target* lastFormer(std::string_view id) const noexcept;
    /// Takes the state without a record that has the same start and version out of the table.
    /// @return The state, or null.
    [[nodiscard]] target_ptr takeFormer(const deployment::target& listed);
    void addFormer(former_target former, time_point now);
    void dropFormers(time_point now);
    /// Applies the record of a target that has the same start and version as the state.
    /// @return Whether the indexes are out of date.
    [[nodiscard]] bool update(target_state& state, const deployment::target& listed);

    /// States without a record, in the order in which their records went. A target whose record returns keeps its state.
    std::deque<former_target> m_formers;
    /// Deferred removals by target, with the time at which they were reported.
    std::map<std::string, time_point, std::less<>> m_deferredRemovals;
    /// Targets of which the store, while it recovers, has a record of a former run.
    std::set<std::string, std::less<>> m_formerRunRecords;
    std::map<std::string, ignored_record, std::less<>> m_ignoredRecords;
    bool m_isRecovering = false;
    /// A whole list is being applied; its records may be old.
    bool m_isApplyingList = false;
    bool m_isStoreUnreachable = false;
    time_point m_storeReachableSince {};
    /// `freshAsOf` of the last read, and of the one before: the records of the last read were written after it.
    time_point m_freshAsOf {};
    time_point m_recordsWrittenAfter {};
    /// By the hash of the target.
    std::unordered_map<uint64_t, policy::target_run> m_runs;
    time_point m_nextRunCleanupAt {};
    bool m_hasStoreReturned = false;
    /// From the start of the process or a freeze until the next successful read. During an outage of the store alone, broken
    /// connections show restarts.
    bool m_mayHaveMissedRestarts = true;
    /// The records of that read are being applied.
    bool m_isCatchingUp = false;
};
}
