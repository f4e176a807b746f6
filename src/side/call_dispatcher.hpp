/// The only gate to the side's targets: accepts, queues, starts, cancels and drains calls.
#pragma once

#include "configuration/state.hpp"
#include "execution/suspicion_exchange.hpp"
#include "policy/gate.hpp"
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

/// Why targets are leaving.
enum class drain_reason {
    PlannedStop,
    InstanceList,
    Withdrawn,
    Operator,
};

/// Runs calls for entries against the targets of this instance.
class call_dispatcher {
public:
    struct callbacks {
        /// Sends a message to one session.
        std::function<void(identifier session, wire::message)> send;
        /// Sends a message to all sessions.
        std::function<void(const wire::message&)> sendToAll;
        /// @return How many entries are connected.
        std::function<size_t()> entryCount;
    };

    call_dispatcher(const settings::side_settings& settings, metrics& metrics, execution::suspicion_exchange& suspicions, callbacks callbacks);
    ~call_dispatcher();

    /// Takes over the targets whose side is this process; withdrawn ones drain.
    void applyConfiguration(const configuration::state& state);

    /// A new call, or the end of one.
    void start(identifier session, wire::start_call& call);
    void cancel(identifier attempt);

    /// Gives up everything that a session asked for.
    void onSessionExpired(identifier session);

    /// Tells a session the load of all targets.
    void sendAllLoads(identifier session);

    /// Stops new work at all targets, or allows it again.
    void setDraining(drain_reason reason, bool isDraining);

    /// Stops new work at one target, or allows it again.
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
    void settleClaim(const active_call& call, const call_result& result);
    claim_client& claimClient();
    void enqueue(active_call& call);
    void updateSuspicion(const active_call& call, const call_result& result);
    void refuseQuarantined(target_runtime& runtime);
    void startQueuedCalls(target_runtime& runtime);
    void launch(active_call& call);
    void handleOutput(identifier attempt, std::string_view text);
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
    void removeExpired();

    settings::side_settings m_settings;
    metrics& m_metrics;
    execution::suspicion_exchange& m_suspicions;
    callbacks m_callbacks;
    http_client m_http;
    std::map<std::string, std::unique_ptr<target_runtime>, std::less<>> m_targets;
    std::unordered_map<identifier, std::unique_ptr<active_call>> m_calls;
    platform::log_client m_log;
    /// Made with the first target whose calls may not be repeated.
    std::unique_ptr<claim_client> m_claimClient;
    std::shared_ptr<void> m_appendHandle;
    std::shared_ptr<void> m_readHandle;
    std::set<drain_reason> m_drainReasons;
    timer m_cleanupTimer;
};
}
