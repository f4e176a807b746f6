/// The only gate to the side's targets: accepts, queues, starts, cancels and drains calls.
#pragma once

#include "configuration/state.hpp"
#include "execution/suspicion_exchange.hpp"
#include "policy/call_queue.hpp"
#include "settings/side_settings.hpp"
#include "side/claim_keeper.hpp"
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
enum class leaving_reason {
    PlannedStop,
    InstanceList,
    Withdrawn,
    Operator,
};

/// Runs calls for entries against the targets of this instance.
class call_gate {
public:
    struct callbacks {
        /// Sends a message to one session.
        std::function<void(identifier session, wire::message)> send;
        /// Sends a message to all sessions.
        std::function<void(const wire::message&)> sendToAll;
        /// @return How many entries are connected.
        std::function<size_t()> entryCount;
    };

    call_gate(const settings::side_settings& settings, metrics& metrics, execution::suspicion_exchange& suspicions, callbacks calls);
    ~call_gate();

    /// Takes over the targets whose side is this process; withdrawn ones drain.
    void follow(const configuration::state& state);

    /// A new call, or the end of one.
    void start(identifier session, wire::start_call& call);
    void cancel(identifier attempt);

    /// Gives up everything that a session asked for.
    void sessionExpired(identifier session);

    /// Tells a session the load of all targets.
    void greet(identifier session);

    /// Stops new work at all targets, or allows it again.
    void setLeaving(leaving_reason reason, bool isLeaving);

    /// Stops new work at one target, or allows it again.
    /// @return False if there is no such target.
    [[nodiscard]] bool setTargetLeaving(std::string_view target, bool isLeaving);

    [[nodiscard]] bool isIdle() const noexcept { return m_calls.empty(); }
    [[nodiscard]] nlohmann::json status() const;

private:
    struct target_slot;
    struct running_call;

    target_slot* find(std::string_view target);
    void askForKey(running_call& call);
    void takeClaim(identifier attempt, const claim_reply& reply);
    void settleClaim(const running_call& call, const target_answer& answer);
    claim_keeper& claims();
    void enqueue(running_call& call);
    void judge(const running_call& call, const target_answer& answer);
    void refuseQuarantined(target_slot& slot);
    void pump(target_slot& slot);
    void launch(running_call& call);
    void takeOutput(identifier attempt, std::string_view text);
    void takeEnd(identifier attempt, target_answer answer);
    void finish(running_call& call, wire::call_end end, std::string body, std::string detail);
    void refuse(identifier session, const wire::start_call& call, wire::refusal reason);
    void refuseWaiting(running_call& call, wire::refusal reason);
    void giveUp(running_call& call, wire::call_end end);
    void orphan(running_call& call);
    void forget(running_call& call);
    void markDown(target_slot& slot, std::string_view sentence);
    void probe(target_slot& slot);
    void reportLoad(const target_slot& slot, identifier session);
    void broadcastLoad(const target_slot& slot);
    void refreshLeaving(target_slot& slot);
    wire::target_load loadOf(const target_slot& slot) const;
    void sweep();

    settings::side_settings m_settings;
    metrics& m_metrics;
    execution::suspicion_exchange& m_suspicions;
    callbacks m_callbacks;
    http_client m_http;
    std::map<std::string, std::unique_ptr<target_slot>, std::less<>> m_slots;
    std::unordered_map<identifier, std::unique_ptr<running_call>> m_calls;
    platform::log_client m_log;
    /// Made with the first target whose calls may not be repeated.
    std::unique_ptr<claim_keeper> m_claims;
    std::shared_ptr<void> m_appending;
    std::shared_ptr<void> m_reading;
    std::set<leaving_reason> m_leaving;
    timer m_sweep;
};
}
