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
struct admission_reply {
    bool isAdmitted = false;
    /// For a refusal: when to come back.
    milliseconds retryAfter { 0 };
    /// The account has too many requests open, rather than the service.
    bool isAccountLimit = false;
    /// For an admission: the service whose place the request holds.
    std::string place;
};

/// Keeps the requests that wait, and counts those in progress.
class admission {
public:
    using on_reply = std::function<void(admission_reply)>;

    explicit admission(run_context& context);

    /// Asks to run a request; the reply may come at once.
    void ask(const request& asked, on_reply reply);

    /// A request that was admitted has ended.
    /// @param answeredIn  How long it ran; nothing if it was not answered.
    void ended(const request& asked, std::optional<double> answeredIn);

    /// A request that waits is no longer wanted.
    void forget(const request& asked);

    /// Targets came or went: more may be admitted.
    void capacityChanged();

private:
    struct waiting_request {
        std::string account;
        on_reply reply;
    };

    struct place {
        policy::fair_queue queue;
        policy::admission_capacity known;
        double inProgress = 0;
    };

    [[nodiscard]] std::string bottleneckOf(const request& asked) const;
    [[nodiscard]] double placesOf(const std::string& service) const;
    void admitMore(place& at, const std::string& service);
    void shedHopeless();
    void answer(identifier id, const admission_reply& reply);
    void refuse(identifier id, milliseconds retryAfter);

    run_context& m_context;
    std::map<std::string, place> m_places;
    std::map<std::string, uint32_t> m_openByAccount;
    std::unordered_map<identifier, waiting_request> m_waiting;
    timer m_shed;
};
}
