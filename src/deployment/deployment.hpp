/// What the operator has put in force on a platform: routes, services, client accounts, limits; and the targets that serve.
#pragma once

#include "base/endpoint.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bilberryseam::deployment {

/// What may be done again for one request.
enum class call_kind {
    /// May run more than once.
    Idempotent,
    /// May run once at most.
    NonIdempotent,
    /// Answers with events; runs once at most, unless the route is resumable.
    Streaming,
};

/// Work that must be done before a request can run.
struct stage {
    std::string service;
    /// Indexes of the stages whose results this one takes.
    std::vector<size_t> inputStages;
    /// Usual size of one result.
    uint64_t resultBytes = 0;
};

/// A service that a route leads to, with its share of the requests.
struct weighted_service {
    std::string service;
    double weight = 1;
};

/// Where requests of a host and path prefix go, and how.
struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    call_kind kind = call_kind::NonIdempotent;
    /// Longest time that a request may be kept.
    milliseconds timeout { 0 };
    /// Time within which an answer has its full worth; for streams until the first event.
    milliseconds objective { 0 };
    /// Longest pause between events that is still on time; zero if not given.
    milliseconds gapObjective { 0 };
    /// Rank; 0 is the most urgent.
    int priority = 0;
    std::vector<weighted_service> services;
    /// Targets that one request may be sent to.
    int maxAttempts = 1;
    std::vector<stage> stages;
    bool isPublic = false;
    /// The requests carry a prompt whose prefix may be cached at a target.
    bool hasPrompt = false;
    bool isResumable = false;

    /// @return True if a second run does no harm.
    [[nodiscard]] bool isRetryable() const noexcept { return kind == call_kind::Idempotent || (kind == call_kind::Streaming && isResumable); }
};

/// How a service works on pieces of stages. All values are for one target.
struct pool_profile {
    int slots = 1;
    /// Calls that may wait.
    int maxQueuedCalls = 0;
    /// Pieces in one call.
    int batchSize = 1;
    milliseconds callOverhead { 0 };
    /// Time for each piece, in milliseconds.
    double taskMilliseconds = 0;
    /// Memory for results, in bytes.
    double resultMemoryBytes = 0;
    /// How long a result is kept after its call.
    milliseconds resultLifetime { 0 };
    /// Rate at which a target sends and fetches results, in bytes a millisecond; zero if it is not stated.
    double linkBytesPerMillisecond = 0;

    /// @return The usual time of a call with that many pieces.
    [[nodiscard]] milliseconds expectedCallTime(size_t tasks) const noexcept { return callOverhead + milliseconds(static_cast<int64_t>(taskMilliseconds * static_cast<double>(tasks))); }
};

/// A service that targets serve.
struct service {
    std::string name;
    std::optional<pool_profile> pool;
};

/// Who may send requests.
struct client_account {
    std::string name;
    /// Rank of its requests, which goes before that of their routes.
    std::optional<int> priority;
};

/// What a client may send.
struct client_limits {
    size_t maxHeaderBytes = 16 * 1024;
    size_t maxBodyBytes = 4 * 1024 * 1024;
    milliseconds headerTimeout { 3000 };
    milliseconds idleTimeout { 15000 };
};

/// One configuration as a whole. It is never changed once made.
struct configuration {
    uint64_t version = 0;
    std::vector<route> routes;
    std::map<std::string, service, std::less<>> services;
    /// Accounts by key.
    std::map<std::string, client_account, std::less<>> accountsByApiKey;
    bool hasAccounts = false;
    client_limits limits;
    /// Indexes of a host's routes, longest prefix first.
    std::map<std::string, std::vector<size_t>, std::less<>> routesByHost;

    /// Builds `routesByHost`.
    void indexRoutes();
};

using configuration_ptr = std::shared_ptr<const configuration>;

/// @return How a service works on pieces; null if it is not known or does not.
[[nodiscard]] const pool_profile* poolOf(const configuration& configuration, std::string_view service) noexcept;

/// @return The route with the longest prefix that begins the path, or null.
[[nodiscard]] const route* matchRoute(const configuration& configuration, std::string_view host, std::string_view path) noexcept;

/// Picks one of a route's services by weight.
/// @param draw  A number that is spread evenly over all 64-bit values.
[[nodiscard]] std::string_view pickService(const route& route, uint64_t draw) noexcept;

/// @return The indexes of the stages whose results no other stage takes.
[[nodiscard]] std::vector<size_t> finalStages(const route& route);

/// A server of a service, as it is listed.
struct target {
    /// Name of this incarnation.
    std::string id;
    std::string service;
    ip_endpoint endpoint;
    std::string failureDomain;
    int slots = 0;
    bool isDraining = false;
    /// Unix time of its start in milliseconds; zero if it does not tell.
    int64_t startedAtMs = 0;

    bool operator==(const target&) const = default;
};
}
