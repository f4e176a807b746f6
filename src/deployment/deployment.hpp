/// The active configuration of a platform (routes, services, client accounts, limits) and its targets.
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

/// Whether a request may run more than once.
enum class call_kind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    NonIdempotent,
    /// Responds with a stream of events; runs at most once, unless the route is resumable.
    Streaming,
};

/// The regions whose targets may get a request.
struct permitted_regions {
    /// Sorted, without duplicates; not set if all regions are permitted.
    std::optional<std::vector<std::string>> names;

    [[nodiscard]] bool isRestricted() const noexcept { return names.has_value(); }
    /// @param region  Empty if the region is not known; it is permitted only without a restriction.
    [[nodiscard]] bool permits(std::string_view region) const noexcept;
    bool operator==(const permitted_regions&) const = default;
};

/// @return The regions that both permit.
[[nodiscard]] permitted_regions intersectionOf(const permitted_regions& left, const permitted_regions& right);

/// A processing step that must finish before the request itself can run.
struct stage {
    std::string service;
    /// Indexes of the stages whose results are inputs of this one.
    std::vector<size_t> inputStages;
    /// Typical size of one result.
    uint64_t resultBytes = 0;
};

/// A service of a route, with its relative share of the requests.
struct weighted_service {
    std::string service;
    double weight = 1;
};

/// Handling of the requests with a given host and path prefix.
struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    call_kind kind = call_kind::NonIdempotent;
    /// Longest time that a request may take.
    milliseconds timeout { 0 };
    /// Latency objective of the response; for streams, of the first event.
    milliseconds objective { 0 };
    /// `objective` is stated, and not only the timeout.
    bool hasObjective = false;
    /// Objective for the longest gap between events; zero if not given.
    milliseconds gapObjective { 0 };
    /// Priority rank; 0 is the most urgent.
    int priority = 0;
    std::vector<weighted_service> services;
    /// Most attempts of one request.
    int maxAttempts = 1;
    std::vector<stage> stages;
    /// The requests need no API key.
    bool isPublic = false;
    /// The requests carry a prompt whose prefix may be cached at a target.
    bool hasPrompt = false;
    bool isResumable = false;
    permitted_regions allowedRegions;

    /// @return True if a request may safely run twice.
    [[nodiscard]] bool isRetryable() const noexcept { return kind == call_kind::Idempotent || (kind == call_kind::Streaming && isResumable); }
};

/// How a service runs tasks of stages. All values are for one target.
struct pool_profile {
    int slots = 1;
    int maxQueuedCalls = 0;
    /// Most tasks in one call.
    int batchSize = 1;
    /// Fixed time of a call.
    milliseconds callOverhead { 0 };
    /// Time for each task of a call.
    double taskMilliseconds = 0;
    /// Memory for results.
    double resultMemoryBytes = 0;
    /// How long a result is kept after its call.
    milliseconds resultLifetime { 0 };
    /// Rate at which a target sends and fetches results; zero if not given.
    double linkBytesPerMillisecond = 0;

    /// @return The expected duration of a call with the given number of tasks.
    [[nodiscard]] milliseconds expectedCallTime(size_t tasks) const noexcept { return callOverhead + milliseconds(static_cast<int64_t>(taskMilliseconds * static_cast<double>(tasks))); }
};

/// How a service runs prompts. All values are for one target.
struct engine_profile {
    /// Memory for running requests and cached prompts, in tokens; zero if not given.
    uint64_t memoryTokens = 0;
    /// Tokens in one event of a stream.
    uint32_t eventTokens = 1;
};

/// A service that is provided by targets.
struct service {
    std::string name;
    std::optional<pool_profile> pool;
    std::optional<engine_profile> engine;
    /// Time for which a target is cold after its start; zero if not given.
    milliseconds coldTime { 0 };
    /// Requests a second that a cold target takes from all processes together; zero for no limit.
    double coldPerSecond = 0;
};

/// A client that may send requests.
struct client_account {
    std::string name;
    /// Priority rank of its requests; overrides that of their routes.
    std::optional<int> priority;
    permitted_regions allowedRegions;
};

/// Limits on requests and connections of clients.
struct client_limits {
    size_t maxHeaderBytes = 16 * 1024;
    size_t maxBodyBytes = 4 * 1024 * 1024;
    milliseconds headerTimeout { 3000 };
    milliseconds idleTimeout { 15000 };
};

/// A complete configuration; immutable once published.
struct configuration {
    uint64_t version = 0;
    std::vector<route> routes;
    std::map<std::string, service, std::less<>> services;
    /// Accounts by API key.
    std::map<std::string, client_account, std::less<>> accountsByApiKey;
    bool hasAccounts = false;
    client_limits limits;
    /// Indexes of each host's routes, longest path prefix first.
    std::map<std::string, std::vector<size_t>, std::less<>> routesByHost;
    /// Restrictions by the names of routes and accounts, without those that have none.
    std::map<std::string, permitted_regions, std::less<>> regionsByRoute;
    std::map<std::string, permitted_regions, std::less<>> regionsByAccount;

    /// Builds `routesByHost`.
    void indexRoutes();
    /// Builds `regionsByRoute` and `regionsByAccount`.
    void indexRegions();
};

using configuration_ptr = std::shared_ptr<const configuration>;

/// @return The pool profile of a service; null if the service is unknown or has no pool.
[[nodiscard]] const pool_profile* poolOf(const configuration& configuration, std::string_view service) noexcept;

/// @return The shortest gap objective of the routes to a service; zero if none of them states one.
[[nodiscard]] milliseconds gapObjectiveOf(const configuration& configuration, std::string_view service) noexcept;

/// @return The engine profile of a service; null if the service is unknown or runs no prompts.
[[nodiscard]] const engine_profile* engineOf(const configuration& configuration, std::string_view service) noexcept;

/// @return The regions that the configuration permits for requests of a route and an account; one that it lacks restricts nothing.
[[nodiscard]] permitted_regions regionsOf(const configuration& configuration, std::string_view route, std::string_view account);

/// @return The host's route with the longest prefix of the path, or null.
[[nodiscard]] const route* matchRoute(const configuration& configuration, std::string_view host, std::string_view path) noexcept;

/// Picks one of a route's services by weight.
/// @param draw  A random number, uniform over all 64-bit values.
[[nodiscard]] std::string_view pickService(const route& route, uint64_t draw) noexcept;

/// @return The indexes of the stages whose results are no other stage's input.
[[nodiscard]] std::vector<size_t> finalStages(const route& route);

/// @return The requests a second that a cold target of a service takes; zero if there is no limit.
[[nodiscard]] double coldRateOf(const configuration& configuration, std::string_view service) noexcept;

/// What a target's record says of the time for which the target is cold.
struct cold_statement {
    /// Time left when the record was written.
    milliseconds left { 0 };
    /// Number of the record among those of its target; zero if not given.
    uint64_t sequence = 0;
    /// The record's value is no number, negative or too large.
    bool isMalformed = false;

    bool operator==(const cold_statement&) const = default;
    /// @return Whether the record repeats the other one: the sequence alone counts only while the target is cold.
    [[nodiscard]] bool isRepetitionOf(const cold_statement& other) const noexcept { return left == other.left && isMalformed == other.isMalformed && (left.count() == 0 || sequence == other.sequence); }
};

/// Longest text that identifies a software version.
constexpr size_t maxSoftwareVersionBytes = 256;

/// A target as the platform lists it: one server of a service.
struct target {
    /// Identifies this incarnation of the target.
    std::string id;
    std::string service;
    ip_endpoint endpoint;
    std::string failureDomain;
    int slots = 0;
    bool isDraining = false;
    /// Unix time of its start in milliseconds; zero if not given.
    int64_t startedAtMs = 0;
    /// Identifies the version of its software: the stated text, or a digest of a long one; empty if none is stated. Responses of
    /// different versions cannot be joined.
    std::string softwareVersion;
    cold_statement cold;

    bool operator==(const target&) const = default;
    /// @return Whether the record says the same, apart from the cold time.
    [[nodiscard]] bool isSameApartFromCold(const target& other) const;
};
}
