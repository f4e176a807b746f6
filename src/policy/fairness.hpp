/// Weighted fair queueing of requests between client accounts, and shedding of infeasible requests.
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
    /// Virtual start time of the account's next request.
    double startTag = 0;
};

/// Waiting requests of all accounts for one shared capacity, in start-time fair queueing.
struct fair_queue {
    std::map<std::string, account_queue, std::less<>> accounts;
    double virtualTime = 0;
    size_t size = 0;
};

/// Capacity that the queued requests share.
struct admission_capacity {
    /// Requests that this process may have in progress at the same time.
    double slots = 1;
    /// Mean time that a request occupies a slot, in seconds; zero if unknown.
    double meanServiceSeconds = 0;
};

/// @return The account's share of the slots among the accounts with waiting requests, from 0 to 1.
[[nodiscard]] double shareOf(const fair_queue& queue, std::string_view account, double weight);

/// @return Seconds until a request that is queued now would finish.
[[nodiscard]] double predictFinishSeconds(const fair_queue& queue, std::string_view account, double weight, const admission_capacity& capacity);

void enqueue(fair_queue& queue, const std::string& account, double weight, const queued_request& request);

/// Removes and returns the next request: that of the account with the lowest virtual start time.
[[nodiscard]] std::optional<queued_request> dequeue(fair_queue& queue);

/// Removes a cancelled request.
void removeQueued(fair_queue& queue, std::string_view account, identifier id);

/// Removes and returns all requests that can no longer finish before their deadline, so that they can be refused at once.
[[nodiscard]] std::vector<queued_request> removeInfeasible(fair_queue& queue, time_point now, double meanServiceSeconds);
}
