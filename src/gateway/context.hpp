/// What all requests of the process share.
#pragma once

#include "deployment/deployment.hpp"
#include "gateway/target_book.hpp"
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
struct repeat_budget {
    policy::budget units;
    time_point refilledAt {};
};

struct context {
    settings::gateway_settings settings;
    metrics counters;
    http1::client client;
    platform::store_client store;
    target_book targets;
    deployment::configuration_ptr configuration;
    /// The store had acknowledged nothing newer than `configuration` at this time.
    time_point configurationCheckedAt {};
    policy::suspicion_table suspicions;
    std::map<std::string, repeat_budget, std::less<>> repeats;
    /// Services whose targets have missed a result that was given up: until this time, results are kept to the first event.
    std::map<std::string, time_point, std::less<>> keepInputsUntil;
    /// Entries that share the deployment's budget, as far as known.
    unsigned entries = 8;
    /// Bytes of request bodies that are held.
    size_t heldBytes = 0;

    context(settings::gateway_settings read, target_book::on_change onTargetChange)
        : settings(std::move(read))
        , store(settings.store)
        , targets(std::move(onTargetChange))
    {
    }
};

/// A request for a service was accepted.
void earnRepeats(context& context, std::string_view service, time_point now);

/// @return Whether a call that repeats an earlier one may be sent to the service; if so, it is paid for.
[[nodiscard]] bool trySpendRepeat(context& context, std::string_view service, time_point now);
}
