/// Sends tasks of stages to the targets of their pools, in full batch calls under high load.
#pragma once

#include "gateway/context.hpp"
#include "gateway/pool_reports.hpp"
#include "gateway/stage_job.hpp"
#include "policy/account_share.hpp"
#include "policy/batching.hpp"
#include "policy/pool_admission.hpp"
#include "policy/result_handles.hpp"
#include "policy/work_value.hpp"

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bilberryseam::gateway {

/// What a job can expect of a pool.
struct pool_outlook {
    size_t waitingTasks = 0;
    /// Predicted time until its last task starts; not set if the pool has no profile or no target.
    std::optional<milliseconds> startsIn;
    /// Predicted time until the pool has room, if it would refuse the job.
    std::optional<milliseconds> refusalWait;
};

/// Holds the task queues of all pools and starts their batch calls.
class task_scheduler {
public:
    explicit task_scheduler(context& context);

    /// Takes over the pool profiles of a newer configuration. The profile of a pool that it lacks stays in use for the
    /// requests that an earlier configuration accepted.
    void applyProfiles(const deployment::configuration& configuration);
    /// @return Whether the configuration or an earlier one has a pool of this name.
    [[nodiscard]] bool hasPool(std::string_view service) const { return profileOf(service); }

    /// Queues the unfinished tasks of a job. With `poolAdmission`, refuses the job if it cannot start before its deadline.
    void add(const job_ptr& job);

    /// @return What the job could expect if it were added now; changes nothing.
    [[nodiscard]] pool_outlook outlookOf(const job_ptr& job, time_point now) const;

    /// Cancels a job and removes its tasks from the queue. Results of tasks that are running are released when they arrive.
    void cancel(stage_job& job);

    /// Releases results at the targets that hold them.
    void releaseResults(const std::vector<std::string>& handles);

    /// Sends the tasks that may start now, and fails tasks that can no longer finish before their deadline.
    void tick(time_point now);

private:
    struct batch_call;
    /// A task that is queued or running.
    struct queued_task {
        job_ptr job;
        uint32_t index = 0;
        uint64_t jobId = 0;
        time_point queuedAt {};
        milliseconds boost { 0 };
        unsigned attempts = 0;
        /// The task is not sent before this time.
        time_point notBefore {};
        /// Time from which later tasks of the same rank have been sent before this one.
        std::optional<time_point> overtakenAt;
    };
    using task_ptr = std::shared_ptr<queued_task>;
    /// @return The unfinished tasks of a job, as `add` queues them.
    [[nodiscard]] static std::vector<task_ptr> tasksOf(const job_ptr& job, milliseconds boost, time_point now);

    /// A result that occupies memory at the target that holds it.
    struct held_result {
        target_ptr holder;
        double bytes = 0;
        time_point expiresAt {};
    };
    using result_table = std::unordered_map<std::string, held_result>;

    struct pool {
        std::list<task_ptr> queue;
        policy::value_average values;
        std::list<std::shared_ptr<batch_call>> calls;
        std::optional<deployment::pool_profile> profile;
        policy::account_usage usage;
        /// Standings of the accounts when calls were last planned, to log changes.
        policy::standing_table standings;
        /// Time of the last call to a target, or since which its targets are queried after a takeover.
        time_point lastUseAt {};
        /// Jobs that were refused; reported at the next tick.
        std::vector<std::pair<job_ptr, milliseconds>> refusedJobs;
        /// Tasks were queued since the waiting jobs were last predicted, so that the order before others may have changed.
        bool isOrderChanged = false;
        /// The waiting jobs are not predicted again before this time.
        time_point nextPredictionAt {};
    };

    /// @return A target's state as input for the planning of batches.
    [[nodiscard]] policy::pool_target planningTarget(const target_state& target, const pool& pool, const deployment::pool_profile& profile, time_point now) const;
    /// Fails the queued tasks for which permitted regions or evacuations leave no target.
    void failUnplaceable(const std::string& service, pool& pool, time_point now);
    void startBatchCalls(const std::string& service, pool& pool, time_point now);
    /// Queries the targets, as far as what other entries have there may have changed.
    void updateReports(const std::string& service, pool& pool, const deployment::pool_profile& profile, time_point now);
    /// @return What this entry has at a target: results, and calls that have started.
    [[nodiscard]] policy::own_use ownUseOf(std::string_view service, const target_state& target) const;

    // Admission and order; in task_admission.cpp.
    /// @return A waiting task as input for planning.
    [[nodiscard]] policy::queued_task planningTask(const queued_task& task, const policy::standing_table& standings) const;
    [[nodiscard]] policy::pool_capacity capacityOf(const std::string& service, const deployment::pool_profile& profile, time_point now) const;
    /// @return The standings of the accounts with work in the pool; empty unless `poolAdmission` is set and more tasks wait than
    /// one call at each target takes.
    [[nodiscard]] policy::standing_table currentStandings(const std::string& service, const pool& pool, time_point now) const;
    /// Logs accounts that have come to be far above their share, or are so no longer.
    static void updateStandings(const std::string& service, pool& pool, policy::standing_table standings);
    [[nodiscard]] policy::batching_rules rulesOf(const deployment::pool_profile& profile) const;
    /// A prediction for a job that is not queued yet.
    struct job_prediction {
        policy::job_admission admission;
        size_t waitingTasks = 0;
        size_t slots = 0;
    };
    /// @return Nothing if the pool has no profile or no target.
    [[nodiscard]] std::optional<job_prediction> predict(const stage_job& job, const std::vector<task_ptr>& ownTasks, const pool& pool, time_point now) const;
    /// @return The prediction by which a job that is not queued yet is refused; nothing if it is accepted.
    [[nodiscard]] std::optional<job_prediction> findRefusal(const stage_job& job, const std::vector<task_ptr>& ownTasks, const pool& pool, time_point now) const;
    /// Decides on a job that is not queued yet.
    /// @return The predicted wait if the job is refused.
    [[nodiscard]] std::optional<milliseconds> refusalOf(const stage_job& job, const std::vector<task_ptr>& ownTasks, const pool& pool, time_point now) const;
    /// Predicts the waiting jobs again if the order has changed, at most once in `policy::repredictionInterval`, and refuses those
    /// that have not begun and can no longer start before their deadline.
    void refuseLateJobs(const std::string& service, pool& pool, time_point now);
    static void reportRefusedJobs(pool& pool);
    /// Records the use of the pool and which tasks were overtaken.
    static void recordPlan(pool& pool, const deployment::pool_profile& profile, std::span<const task_ptr> tasks, std::span<const policy::queued_task> plannedTasks, std::span<const policy::task_batch> batches, time_point now);

    void requeueOverdueCalls(const std::string& service, pool& pool, time_point now);
    /// Queues copies of an overdue call's tasks, as far as the retry budget and the limit of sends allow.
    void requeueTasks(const std::string& service, pool& pool, batch_call& call, time_point now);
    /// Frees the slots of calls that have been silent for long, and closes those whose results have become useless.
    void checkSilentCalls(const std::string& service, pool& pool, time_point now);
    static void freeSlot(batch_call& call, time_point now);
    void send(const std::string& service, pool& pool, const target_ptr& target, std::vector<task_ptr> tasks, time_point now);
    void onCallEnded(const std::string& service, const std::shared_ptr<batch_call>& call, http1::call_outcome outcome);
    void applyResults(const std::shared_ptr<batch_call>& call, const std::vector<platform::task_result>& results);
    /// @return The results in the response to a call, or `InvalidMessage` if they are malformed or those of other tasks.
    [[nodiscard]] result<std::vector<platform::task_result>> decodeResults(const batch_call& call);
    void retry(const std::string& service, const task_ptr& task, platform::task_failure failure, bool wasSent);
    /// @return Whether the result of a task is still needed, and the task is neither queued nor part of a call in progress.
    [[nodiscard]] static bool isAbandoned(const pool& pool, const queued_task& task);
    void scheduleTick();
    [[nodiscard]] milliseconds resultLifetimeOf(std::string_view service) const;
    result_table::iterator eraseResult(result_table::iterator result);
    [[nodiscard]] const deployment::pool_profile* profileOf(std::string_view service) const;

    context& m_context;
    std::map<std::string, pool, std::less<>> m_pools;
    result_table m_results;
    policy::result_handles m_handles;
    std::list<std::shared_ptr<http1::client_call>> m_releaseCalls;
    pool_reports m_reports;
    timer m_scheduledTick;
};
}
