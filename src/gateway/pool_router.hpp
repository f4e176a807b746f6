/// Brings the pieces of a stage to the entry that owns its pool, or works on them here.
#pragma once

#include "gateway/entry_directory.hpp"
#include "gateway/task_scheduler.hpp"
#include "wire/server.hpp"
#include "wire/session.hpp"

#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace bilberryseam::gateway {

/// Nothing depends on ownership for truth: a piece may be made twice, and whoever cannot reach
/// the owner does the work itself.
class pool_router {
public:
    /// @throws error (`Unavailable`) if the address for peers cannot be taken.
    pool_router(context& context, task_scheduler& scheduler, entry_directory& directory);
    ~pool_router();

    /// Has the pieces of a job made.
    void run(const job_ptr& job);
    /// Nobody needs the job's results any more.
    void cancel(const job_ptr& job);
    /// Gives up results that the service's pool made.
    void releaseResults(std::string_view service, const std::vector<std::string>& handles);

    /// Tells the other entries what is held against a fingerprint.
    void broadcastSuspicion(uint64_t fingerprint, const policy::suspicion& suspicion, time_point now);

    void tick(time_point now);
    /// The directory or the configuration has changed.
    void onMembersChanged();
    /// @return True once the entry has its links to other owners, or has waited for them long enough.
    [[nodiscard]] bool isSettled(time_point now) const;
    /// From now on this entry serves no pool for others.
    void setStopping() noexcept { m_isStopping = true; }

private:
    struct peer;
    /// A job that another entry works on.
    struct delegated_job {
        job_ptr job;
        std::string owner;
    };
    /// A job of another entry.
    struct hosted_job {
        job_ptr job;
        uint32_t unfinishedTasks = 0;
    };

    /// @return The entries in the order in which they should own a pool.
    [[nodiscard]] const std::vector<std::string>& ownersOf(std::string_view service);
    [[nodiscard]] peer* usableOwner(std::string_view service);
    void delegate(peer& owner, const job_ptr& job);
    void onOwnerLost(const std::string& name, std::string_view reason);
    void handleOwnerMessage(const std::string& name, wire::message& message);
    void handleRequesterMessage(identifier session, wire::message& message);
    void hostJob(identifier session, wire::pieces_asked& message);
    void onSessionExpired(identifier session);
    void handleSuspicion(const wire::crash_suspicion& message);

    context& m_context;
    task_scheduler& m_scheduler;
    entry_directory& m_directory;
    std::map<std::string, std::unique_ptr<peer>, std::less<>> m_peers;
    /// What `ownersOf` has found, until the members change.
    std::map<std::string, std::vector<std::string>, std::less<>> m_ownersByService;
    std::unordered_map<uint64_t, delegated_job> m_delegatedJobs;
    std::unordered_map<const stage_job*, uint64_t> m_delegatedNumbers;
    uint64_t m_nextJobNumber = 1;
    std::map<std::pair<identifier, uint64_t>, hosted_job> m_hostedJobs;
    identifier_generator m_identifiers;
    wire::session_server m_server;
    bool m_isStopping = false;
    bool m_hasMembers = false;
    time_point m_membersSince {};
};
}
