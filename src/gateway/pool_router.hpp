/// Routes stage jobs to the entry that owns their pool, or to the local scheduler.
#pragma once

#include "execution/crash_exchange.hpp"
#include "gateway/entry_directory.hpp"
#include "gateway/entry_rankings.hpp"
#include "gateway/task_scheduler.hpp"
#include "wire/server.hpp"
#include "wire/session.hpp"

#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace bilberryseam::gateway {

/// A stopping entry does not wait for an entry that has been disconnected for this long.
constexpr milliseconds disconnectedEntryGrace { 1500 };

/// Correctness does not depend on ownership: a task may run twice, and an entry that cannot reach the owner schedules the
/// tasks itself. Ownership serves to fill the batch calls of a pool across entries.
class pool_router {
public:
    /// @throws error (`Unavailable`) if the address for peers cannot be bound.
    pool_router(context& context, task_scheduler& scheduler, entry_directory& directory);
    ~pool_router();

    /// Has the tasks of a job executed, here or at the owner of its pool.
    void run(const job_ptr& job);
    /// @return Name of the entry that would run a job of the service's pool now.
    [[nodiscard]] std::string ownerOf(std::string_view service);
    /// @return What a job could expect of its pool here.
    [[nodiscard]] pool_outlook outlookOf(const job_ptr& job, time_point now) const { return m_scheduler.outlookOf(job, now); }
    /// Cancels a job whose results are no longer needed.
    void cancel(const job_ptr& job);
    /// Releases results that the service's pool produced.
    void releaseResults(std::string_view service, const std::vector<std::string>& handles);

    /// Sends a message to the entries that collect what is known about crashes, without this one.
    void sendToCrashCollectors(const wire::message& message);
    [[nodiscard]] execution::collection_role crashCollectionRole();
    /// Tells the collectors that a target crashed which ran a request with this fingerprint.
    void reportStrike(uint64_t fingerprint, time_point now);
    /// Sends the suspicion against a request's fingerprint to the other entries.
    void broadcastSuspicion(uint64_t fingerprint, const policy::suspicion& suspicion, time_point now);

    /// Has a message reach all entries. It is sent to some of them, and those to which it is new pass it on.
    void broadcast(const wire::message& message);
    /// Sends a message to another entry.
    /// @return False if this entry has no connection to it.
    [[nodiscard]] bool send(std::string_view entry, wire::message message);
    /// Sends the messages that are queued for another entry now.
    void flush(std::string_view entry);
    /// @return Bytes sent and received on the current connections to other entries.
    [[nodiscard]] uint64_t byteCount() const;
    /// @return The entries that keep the origins of streams.
    [[nodiscard]] std::span<const std::string> originKeepers();
    /// @return The entries of the own failure domain in the order in which they should read the store for the others; empty
    /// if there are too few of them for this to save reads.
    [[nodiscard]] std::vector<std::string> storeReaders();
    /// @return This entry's rank for a key among all entries; 0 for the first.
    [[nodiscard]] size_t rankFor(std::string_view key);

    /// @return The entries of a region that collect the load of targets, preferred one first.
    [[nodiscard]] const std::vector<std::string>& loadCollectors(const std::string& region);
    /// @return The collectors of load in all regions but this entry; empty if this entry is not one of them.
    [[nodiscard]] std::vector<std::string> otherLoadCollectors();

    void tick(time_point now);
    /// Updates the connections after a change of the directory or the configuration.
    void onMembersChanged();
    /// @return True once the connections to the other owners are established, or this entry has waited for them long enough.
    [[nodiscard]] bool isReady(time_point now) const;
    /// @return True once all entries that this one connects to were asked whether they have a newer configuration, or too
    /// much time has passed since this entry got its own.
    [[nodiscard]] bool hasAskedEntries(time_point now) const;
    /// From now on this entry refuses jobs of other entries.
    void setStopping() noexcept { m_isStopping = true; }
    /// @return True if no job of another entry runs here, and the others have received all results.
    [[nodiscard]] bool isDrained(time_point now) const { return m_hostedJobs.empty() && m_server.isAllAcknowledged(now, disconnectedEntryGrace); }

private:
    struct peer;
    /// A job that is delegated to another entry.
    struct delegated_job {
        job_ptr job;
        std::string owner;
        /// The connection was lost: the job also runs elsewhere, and the owner may still deliver results.
        bool isTakenBack = false;
    };
    /// A job that this entry runs for another one.
    struct hosted_job {
        job_ptr job;
        uint32_t unfinishedTasks = 0;
    };

    /// @return The entries in the order in which they should own the pool of a service.
    [[nodiscard]] const std::vector<std::string>& ownersOf(std::string_view service);
    /// @return The connected entry that ranks first for the pool of a service, or null if this entry runs the jobs of the pool itself.
    [[nodiscard]] peer* usableOwner(std::string_view service);
    void delegate(peer& owner, const job_ptr& job);
    /// @return Names of the entries to which this one passes on messages to all.
    [[nodiscard]] std::vector<std::string> spreadNames() const;
    /// Applies the directory to the rankings.
    void updateRankings();
    /// Sends all that is known about crashes to the peers that have missed some of it.
    void repeatMissedMessages();
    /// @return Names of the entries that this one must be connected to.
    [[nodiscard]] std::set<std::string, std::less<>> requiredPeers();
    void onOwnerDetached(const std::string& name, std::string_view reason, bool isRefused);
    /// Runs the jobs delegated to an owner elsewhere as well, if they are due.
    void takeBackJobs(const std::string& name, std::string_view reason, const std::function<bool(const stage_job&)>& isDue);
    /// Takes back the jobs for which waiting longer for their owners is too late.
    void takeBackDueJobs(time_point now);
    [[nodiscard]] bool mustRunElsewhere(const stage_job& job, time_point lostAt, time_point now);
    /// The owner has no state of its jobs any more.
    void onOwnerRestarted(const std::string& name);
    using delegated_jobs = std::unordered_map<uint64_t, delegated_job>;
    delegated_jobs::iterator eraseDelegated(delegated_jobs::iterator position);
    /// Cancels all runs of a job at other entries.
    void cancelDelegated(const stage_job& job);
    void handleFinishedTask(const std::string& name, const wire::task_finished& message);
    void handleRefusedTasks(const std::string& name, uint64_t number);
    /// @param direction  `broadcast` for messages to all connected entries, or `received`.
    void countMessages(std::string_view direction, const wire::message& message, size_t amount);
    void handleOwnerMessage(const std::string& name, wire::message& message);
    void handleRequesterMessage(identifier session, wire::message& message);
    void hostJob(identifier session, wire::start_tasks& message);
    void onSessionExpired(identifier session);
    void handleSuspicion(const wire::crash_suspicion& message);
    void handleStrike(const wire::crash_strike& message);
    [[nodiscard]] std::span<const std::string> crashCollectors();

    context& m_context;
    task_scheduler& m_scheduler;
    entry_directory& m_directory;
    std::map<std::string, std::unique_ptr<peer>, std::less<>> m_peers;
    entry_rankings m_rankings;
    /// Cached results of `loadCollectors`, until the members change.
    std::map<std::string, std::vector<std::string>, std::less<>> m_loadCollectors;
    std::vector<std::string> m_spreadNames;
    std::vector<std::string> m_storeReaders;
    delegated_jobs m_delegatedJobs;
    std::unordered_multimap<const stage_job*, uint64_t> m_delegatedNumbers;
    uint64_t m_nextJobNumber = 1;
    std::map<std::pair<identifier, uint64_t>, hosted_job> m_hostedJobs;
    identifier_generator m_identifiers;
    wire::session_server m_server;
    bool m_isStopping = false;
    bool m_hasMembers = false;
    time_point m_membersSince {};
};
}
