/// Admission control: admits requests up to the capacity of their pipeline's bottleneck, fairly between accounts.
#pragma once

#include "entry/request.hpp"
#include "entry/run_context.hpp"
#include "loop/timer.hpp"
#include "policy/fairness.hpp"

#include <functional>
#include <map>
#include <unordered_map>

namespace bilberryseam::entry {

/// Whether a request may run.
struct admission_decision {
    bool isAdmitted = false;
    /// For a refusal: time after which the caller may retry.
    milliseconds retryAfter { 0 };
    /// The refusal is due to the account's limit of open requests, not to the load of the service.
    bool isAccountLimit = false;
    /// For an admission: the service whose slot the request occupies; empty in baseline mode.
    std::string service;
};

/// Queues requests before their bottleneck service and counts those in progress.
class admission {
public:
    using decision_handler = std::function<void(admission_decision)>;

    explicit admission(run_context& context);

    /// Queues a request for admission. `onDecision` may be called before this returns.
    void submit(const request& request, decision_handler onDecision);

    /// Frees the slot of an admitted request that has finished.
    /// @param serviceSeconds  Time that it occupied the slot; nothing if it was not answered.
    void finish(const request& request, std::optional<double> serviceSeconds);

    /// Removes a queued request; its `onDecision` is not called.
    void cancel(const request& request);

    /// Admits queued requests after a change of the targets or their load.
    void onCapacityChanged();

private:
    struct waiting_request {
        std::string account;
        decision_handler onDecision;
    };

    struct service_queue {
        policy::fair_queue waiting;
        policy::admission_capacity bottleneck;
        double inProgress = 0;
    };

    [[nodiscard]] std::string bottleneckOf(const request& request) const;
    [[nodiscard]] double slotsOf(const std::string& service) const;
    void admitMore(service_queue& serviceQueue, const std::string& service);
    void shedInfeasible();
    void notify(identifier id, const admission_decision& decision);
    void refuse(identifier id, milliseconds retryAfter);

    run_context& m_context;
    std::map<std::string, service_queue> m_queues;
    std::map<std::string, uint32_t> m_openByAccount;
    std::unordered_map<identifier, waiting_request> m_waiting;
    timer m_shedTimer;
};
}
