/// Queues and runs calls for the targets of a side. All calls to these targets pass through it.
#pragma once

#include "configuration/state.hpp"
#include "execution/suspicion_exchange.hpp"
#include "policy/call_queue.hpp"
#include "settings/side_settings.hpp"
#include "side/claim_client.hpp"
#include "side/target_call.hpp"
#include "telemetry/metrics.hpp"
#include "wire/message.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace bilberryseam::side {

/// Why targets are draining.
enum class drain_reason {
    PlannedStop,
    InstanceList,
    Withdrawn,
    Operator,
};

/// Runs calls from entries at the targets of this instance.
class call_dispatcher {
public:
    struct callbacks {
        /// Sends a message to one session.
        std::function<void(identifier session, wire::message)> send;
        /// Sends a message to all sessions.
        std::function<void(const wire::message&)> sendToAll;
        /// @return The number of connected entries.
        std::function<size_t()> entryCount;
    };

    call_dispatcher(const settings::side_settings& settings, metrics& metrics, execution::suspicion_exchange& suspicions, callbacks callbacks);
    ~call_dispatcher();

    /// Updates the targets that are assigned to this side; targets that were withdrawn drain.
    void applyConfiguration(const configuration::state& state);

    /// Accepts a call and queues it, or refuses it.
    void start(identifier session, wire::start_call& call);
    void cancel(identifier attempt);

    /// Refuses the queued calls that must not run any more.
    void refuseQuarantined();

    /// Cancels all calls of a session.
    void onSessionExpired(identifier session);

    /// Sends the load of all targets to a session.
    void sendAllLoads(identifier session);

    /// Starts or ends draining of all targets for one reason; targets drain as long as there is any.
    void setDraining(drain_reason reason, bool isDraining);

    /// Starts or ends draining of one target on behalf of an operator.
    /// @return False if there is no such target.
    [[nodiscard]] bool setTargetDraining(std::string_view target, bool isDraining);

    [[nodiscard]] bool isIdle() const noexcept { return m_calls.empty(); }
    [[nodiscard]] nlohmann::json status() const;

private:
    struct target_runtime;
    struct active_call;

    target_runtime* findTarget(std::string_view target);
    void claimKey(active_call& call);
    void handleClaimResult(identifier attempt, const claim_result& result);
    void updateClaim(const active_call& call, const call_result& result);
    claim_client& claimClient();
    void enqueue(active_call& call);
    /// @return True if the call must not start because it, or a segment of its prompt, crashes targets.
    [[nodiscard]] bool isRefused(const active_call& call) const;
    void updateSuspicion(active_call& call, const call_result& result);
    void recordSurvival(active_call& call);
    void refuseQuarantined(target_runtime& runtime);
    void startQueuedCalls(target_runtime& runtime);
    void launch(active_call& call);
    void recordSilence(const active_call& call);
    void handleOutput(identifier attempt, std::string_view text);
    /// Starts the pause that a response asks for.
    /// @return False if it asks for none.
    bool pauseTarget(target_runtime& runtime, const call_result& result);
    /// Starts calls after a pause until the target runs as many as it has capacity for.
    void returnCalls(target_runtime& runtime);
    void recordErrorStatus(const active_call& call, const call_result& result);
    void handleEnd(identifier attempt, call_result result);
    void finish(active_call& call, wire::call_end end, std::string body, std::string detail);
    void refuse(identifier session, const wire::start_call& call, wire::refusal reason);
    void refuseWaiting(active_call& call, wire::refusal reason);
    void abort(active_call& call, wire::call_end end);
    void orphan(active_call& call);
    void remove(active_call& call);
    void markDown(target_runtime& runtime, std::string_view message);
    void probe(target_runtime& runtime);
    void sendLoad(const target_runtime& runtime, identifier session);
    void broadcastLoad(const target_runtime& runtime);
    void updateDraining(target_runtime& runtime);
    wire::target_load loadOf(const target_runtime& runtime) const;
    /// @return Whether any call refers to the target: queued, running or waiting for its claim.
    [[nodiscard]] bool hasCalls(const target_runtime& runtime) const;
    void removeExpired();

    settings::side_settings m_settings;
    metrics& m_metrics;
    execution::suspicion_exchange& m_suspicions;
    callbacks m_callbacks;
    http1::client m_http;
    std::map<std::string, std::unique_ptr<target_runtime>, std::less<>> m_targets;
    std::unordered_map<identifier, std::unique_ptr<active_call>> m_calls;
    platform::log_client m_log;
    /// Created with the first target whose service is not retryable.
    std::unique_ptr<claim_client> m_claimClient;
    std::shared_ptr<void> m_appendHandle;
    std::shared_ptr<void> m_readHandle;
    std::set<drain_reason> m_drainReasons;
    timer m_cleanupTimer;
};
}
