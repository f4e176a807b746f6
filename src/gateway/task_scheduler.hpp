/// Sends pieces of stages to the targets of their pools, in full calls where load is high.
#pragma once

#include "gateway/context.hpp"
#include "gateway/stage_job.hpp"
#include "policy/batching.hpp"
#include "policy/work_value.hpp"

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace bilberryseam::gateway {

/// The queues of all pools.
class task_scheduler {
public:
    explicit task_scheduler(context& context);

    /// Queues the pieces of a job that have not ended.
    void add(const job_ptr& job);

    /// Takes a job out of its queue. Results that are being made are given up when they come.
    void cancel(stage_job& job);

    /// Gives up results at their targets.
    void releaseResults(const std::vector<std::string>& handles);

    /// Sends what may go now, and gives up pieces whose time is over.
    void tick(time_point now);

private:
    struct batch_call;
    /// One piece that waits or is being made.
    struct queued_task {
        job_ptr job;
        uint32_t index = 0;
        uint64_t group = 0;
        time_point queuedSince {};
        milliseconds boost { 0 };
        unsigned attempts = 0;
        /// It is not sent before.
        time_point notBefore {};
    };
    using task_ptr = std::shared_ptr<queued_task>;

    /// A result that takes memory at its maker.
    struct held_result {
        target_ptr holder;
        double bytes = 0;
        time_point expiresAt {};
    };
    using result_table = std::unordered_map<std::string, held_result>;

    struct pool {
        std::list<task_ptr> queue;
        policy::value_scale values;
        std::list<std::shared_ptr<batch_call>> calls;
    };

    /// @return What the plan needs to know of a target.
    [[nodiscard]] policy::pool_target planningTarget(const target_state& target, const pool& pool, const deployment::pool_profile& profile, time_point now) const;
    void startBatchCalls(const std::string& service, pool& pool, time_point now);
    void requeueOverdueCalls(const std::string& service, pool& pool, time_point now);
    void send(const std::string& service, pool& pool, const target_ptr& target, std::vector<task_ptr> tasks, time_point now);
    void onCallEnded(const std::string& service, const std::shared_ptr<batch_call>& call, http1::call_end end);
    void applyResults(const std::shared_ptr<batch_call>& call, const std::vector<platform::piece_answer>& results);
    void retry(const std::string& service, const task_ptr& task, platform::piece_failure failure, bool wasSent);
    void scheduleTick();
    [[nodiscard]] milliseconds resultLifetimeOf(std::string_view service) const;
    result_table::iterator eraseResult(result_table::iterator result);
    [[nodiscard]] const deployment::pool_profile* profileOf(std::string_view service) const;

    context& m_context;
    std::map<std::string, pool, std::less<>> m_pools;
    result_table m_results;
    std::list<std::shared_ptr<http1::client_call>> m_releaseCalls;
    timer m_scheduledTick;
};
}
