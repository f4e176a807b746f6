/// Admits requests up to what the bottleneck of their pipeline can hold, fairly between accounts.
#pragma once

#include "entry/request.hpp"
#include "entry/run_context.hpp"
#include "loop/timer.hpp"
#include "policy/fairness.hpp"

#include <functional>
#include <map>
#include <unordered_map>

namespace bilberryseam::entry {

/// What becomes of a request at its arrival or later.
struct admission_decision {
    bool isAdmitted = false;
    /// For a refusal: when to come back.
    milliseconds retryAfter { 0 };
    /// The account has too many requests open, rather than the service.
    bool isAccountLimit = false;
    /// For an admission: the service whose place the request holds.
    std::string service;
};

/// Keeps the requests that wait, and counts those in progress.
class admission {
public:
    using decision_handler = std::function<void(admission_decision)>;

    explicit admission(run_context& context);

    /// Asks to run a request; the reply may come at once.
    void submit(const request& request, decision_handler onDecision);

    /// A request that was admitted has ended.
    /// @param answeredIn  How long it ran; nothing if it was not answered.
    void finish(const request& request, std::optional<double> serviceSeconds);

    /// A request that waits is no longer wanted.
    void cancel(const request& request);

    /// Targets came or went: more may be admitted.
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
