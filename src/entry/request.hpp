/// A caller's request, read from HTTP.
#pragma once

#include "base/identifier.hpp"
#include "base/time.hpp"
#include "configuration/objects.hpp"

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace bilberryseam::entry {

/// A stage with the service it uses, as in force when the request began.
struct planned_stage {
    configuration::stage stage;
    std::shared_ptr<const configuration::service> service;
};

/// A request that passed its checks. It keeps the configuration objects it began with.
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
    /// Empty unless the caller gave one or a stage may not be repeated.
    std::string idempotencyKey;
    int64_t keyIssuedMs = 0;
    /// Equal for equal requests: recognises a request that crashes targets when it is sent again.
    uint64_t fingerprint = 0;
    /// Hash of the shared prompt prefix that the caller named; zero if none.
    uint64_t prefixHash = 0;
    /// Service whose place the request holds; set at its admission.
    std::string admittedService;
};
}
