/// A request of a caller, parsed from HTTP.
#pragma once

#include "base/identifier.hpp"
#include "base/time.hpp"
#include "configuration/objects.hpp"

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace bilberryseam::entry {

/// A stage and its service, as configured when the request arrived.
struct planned_stage {
    configuration::stage stage;
    std::shared_ptr<const configuration::service> service;
};

/// A validated request. It keeps the configuration objects that were in force at its arrival.
struct request {
    identifier id;
    std::shared_ptr<const configuration::pipeline> pipeline;
    std::shared_ptr<const configuration::account> account;
    std::shared_ptr<const configuration::policy> policy;
    std::vector<planned_stage> stages;
    nlohmann::json input;
    time_point arrivedAt;
    time_point deadline;
    uint8_t priority = 0;
    bool isStreamed = false;
    /// The key that the caller sent, or the request's own identifier if it sent none.
    std::string idempotencyKey;
    int64_t keyIssuedMs = 0;
    /// Hash of pipeline and input. Equal for equal requests, so that a request that crashes targets is
    /// recognised when it is sent again.
    uint64_t fingerprint = 0;
    /// Hash of the shared prompt prefix that the caller sent; zero if it sent none.
    uint64_t prefixHash = 0;
    /// Service whose admission slot the request occupies. Set at admission; empty in baseline mode.
    std::string admittedService;
};
}
