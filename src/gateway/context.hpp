/// What all requests of the process share.
#pragma once

#include "deployment/deployment.hpp"
#include "gateway/target_registry.hpp"
#include "http1/client.hpp"
#include "platform/store_client.hpp"
#include "policy/budget.hpp"
#include "policy/suspicion.hpp"
#include "settings/gateway_settings.hpp"
#include "telemetry/telemetry.hpp"

#include <map>
#include <string>

namespace bilberryseam::gateway {

/// The share of the repeats of one service that this process may cause.
struct retry_budget {
    policy::budget units;
    time_point refilledAt {};
};

struct context {
    settings::gateway_settings settings;
    metrics counters;
    http1::client client;
    platform::store_client store;
    target_registry targets;
    deployment::state_ptr configuration;
    /// The store had acknowledged nothing newer than `configuration` at this time.
    time_point configurationCheckedAt {};
    policy::suspicion_table suspicions;
    std::map<std::string, retry_budget, std::less<>> retryBudgets;
    /// Services whose targets have missed a result that was given up: until this time, results are kept to the first event.
    std::map<std::string, time_point, std::less<>> keepInputsUntil;
    /// Entries that share the deployment's budget, as far as known.
    unsigned entryCount = 8;
    /// Bytes of request bodies that are held.
    size_t heldBodyBytes = 0;

    context(settings::gateway_settings initialSettings, target_registry::on_change onTargetChange)
        : settings(std::move(initialSettings))
        , store(settings.store)
        , targets(std::move(onTargetChange))
    {
    }
};

/// A request for a service was accepted.
void earnRetries(context& context, std::string_view service, time_point now);

/// @return Whether a call that repeats an earlier one may be sent to the service; if so, it is paid for.
[[nodiscard]] bool trySpendRetry(context& context, std::string_view service, time_point now);
}
