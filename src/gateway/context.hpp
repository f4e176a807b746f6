/// State that all requests of the process share.
#pragma once

#include "deployment/deployment.hpp"
#include "execution/pressure_report.hpp"
#include "gateway/target_registry.hpp"
#include "http1/client.hpp"
#include "loop/client_memory_budget.hpp"
#include "platform/store_client.hpp"
#include "policy/budget.hpp"
#include "policy/evacuation.hpp"
#include "policy/loop_delay.hpp"
#include "policy/service_limit.hpp"
#include "policy/suspicion.hpp"
#include "settings/gateway_settings.hpp"
#include "telemetry/telemetry.hpp"

#include <map>
#include <string>

namespace bilberryseam::gateway {

/// A main loop that did not run for this long was frozen; a slow one runs more often.
constexpr milliseconds freezeTime { 700 };

/// Retries that this process may still send to one service.
struct retry_budget {
    policy::budget units;
    time_point refilledAt {};
};

class configuration_exchange;
class crash_watch;
class load_exchange;
class recovery_watch;
class stream_directory;
class topic_relay;

struct context {
    settings::gateway_settings settings;
    metrics counters;
    http1::client client;
    platform::store_client store;
    target_registry targets;
    deployment::configuration_ptr configuration;
    /// Time at which the store last confirmed that `configuration` was the newest.
    time_point configurationCheckedAt {};
    policy::suspicion_table suspicions;
    /// Set while the gateway runs.
    configuration_exchange* configurations = nullptr;
    /// Set while the gateway runs.
    crash_watch* crashes = nullptr;
    /// Set while the gateway runs.
    recovery_watch* recovery = nullptr;
    /// Set while the gateway runs.
    stream_directory* streams = nullptr;
    /// Set while the gateway runs.
    topic_relay* relay = nullptr;
    /// Set while the gateway runs, if the settings enable the exchange of load.
    load_exchange* loads = nullptr;
    std::map<std::string, retry_budget, std::less<>> retryBudgets;
    /// Services of which a target missed a released stage result: until this time, results are released only at the
    /// first event of the response.
    std::map<std::string, time_point, std::less<>> keepInputsUntil;
    /// Number of entries that share the retry budget of the deployment: the known ones, but at least four. The initial value applies
    /// until the directory or the configuration was read.
    unsigned entryCount = 8;
    /// Last tick of the main loop. A long time since then shows that the process was frozen.
    time_point lastTickAt {};
    policy::loop_delays loopDelays;
    /// After a freeze, requests wait until this time for the target list to be read again.
    time_point targetsUncertainUntil {};
    /// After a freeze, nothing is sent to targets until this time, in which the operator's topic is read again.
    time_point evacuationsUncertainUntil {};
    policy::evacuation_table evacuations;
    /// When a request last waited for a record that shows which version wrote a stream.
    time_point recordsAwaitedAt {};
    /// Rises with each change of the configuration or of an evacuation, after which waiting requests are checked again.
    uint64_t placementRules = 0;
    /// Last change of the set of entries.
    time_point entriesChangedAt {};
    /// Targets that state a limit, or did so until a moment ago.
    std::vector<target_ptr> limitedTargets;
    /// Targets that are cold, or were so until a moment ago.
    std::vector<target_ptr> coldTargets;
    /// Targets that asked for a pause which was not yet reported as ended.
    std::vector<target_ptr> pausedTargets;
    /// What services take, learned from targets that turned requests away.
    std::map<std::string, policy::service_limit, std::less<>> serviceLimits;
    /// Requests that wait for a limited target, by service.
    std::map<std::string, size_t, std::less<>> waitingForLimits;
    /// Reports on clients of all ports that are refused or held back.
    execution::pressure_report* pressure = nullptr;
    /// What the clients of all ports may have the gateway hold.
    std::shared_ptr<client_memory_budget> clientMemory = std::make_shared<client_memory_budget>(policy::client_memory_limits());

    context(settings::gateway_settings initialSettings, target_registry::on_change onTargetChange)
        : settings(std::move(initialSettings))
        , store(settings.store)
        , targets(std::move(onTargetChange))
    {
    }
};

/// Counts and logs late runs of the periodic timer of the main loop.
void recordLoopDelay(context& context, milliseconds period, time_point now);

/// @return True if the process has just woken from a freeze in which targets may have left or failure domains may have been
/// evacuated.
[[nodiscard]] bool isTargetListUncertain(const context& context, time_point now) noexcept;

/// Sends a request to a target. All requests go through here: each counts against the limit that the target states, and each
/// response may change it.
[[nodiscard]] std::shared_ptr<http1::client_call> sendToTarget(context& context, const target_ptr& target, const http1::outgoing_request& request, const http1::call_options& options, http1::client_call::callbacks callbacks);

/// Updates the limits of all limited targets.
/// @param shareOf  Share of a target's limit that this process may use.
void updateLimits(context& context, const std::function<double(const target_state&)>& shareOf, time_point now);

/// Limits requests to the targets that are cold, and renews the shares of this process.
void updateColdTargets(context& context, const std::function<policy::cold_membership(const target_state&)>& membershipOf, time_point now);

/// Adds to the retry budget of a service for an accepted request.
void earnRetries(context& context, std::string_view service, time_point now);

/// Spends one retry of the service's budget.
/// @return False if the budget does not allow the retry.
[[nodiscard]] bool trySpendRetry(context& context, std::string_view service, time_point now);
}
