/// Weighted fairness between client accounts, and shedding of what has no hope.
#pragma once

#include "base/identifier.hpp"
#include "base/time.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bilberryseam::policy {

/// A request that waits to be admitted.
struct queued_request {
    identifier id;
    time_point deadline;
};

/// One account's waiting requests.
struct account_queue {
    double weight = 1;
    std::deque<queued_request> waiting;
    /// Virtual time at which the account's latest admitted request is paid for.
    double startTag = 0;
};

/// Waiting requests of all accounts before one bottleneck. Start-time fair queueing.
struct fair_queue {
    std::map<std::string, account_queue, std::less<>> accounts;
    double virtualTime = 0;
    size_t size = 0;
};

/// What is known of the bottleneck.
struct admission_capacity {
    /// Requests that may be in progress at the same time through this process.
    double slots = 1;
    /// Mean time that a request holds its place, in seconds; zero if not known.
    double meanServiceSeconds = 0;
};

/// @return The account's share of the places while the given accounts compete, from 0 to 1.
[[nodiscard]] double shareOf(const fair_queue& queue, std::string_view account, double weight);

/// @return When a request that arrives now would end if it were queued, in seconds from now.
[[nodiscard]] double predictFinishSeconds(const fair_queue& queue, std::string_view account, double weight, const admission_capacity& capacity);

/// Queues a request.
void enqueue(fair_queue& queue, const std::string& account, double weight, const queued_request& request);

/// Takes the request whose account is owed the most.
[[nodiscard]] std::optional<queued_request> dequeue(fair_queue& queue);

/// Removes a request that is no longer wanted.
void removeQueued(fair_queue& queue, std::string_view account, identifier id);

/// Takes out all requests that could no longer end in time, so that they can be told at once.
[[nodiscard]] std::vector<queued_request> removeInfeasible(fair_queue& queue, time_point now, double meanServiceSeconds);
}
