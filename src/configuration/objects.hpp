/// The objects that release notes add, change and withdraw.
#pragma once

#include "base/endpoint.hpp"
#include "base/time.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace bilberryseam::configuration {

/// What sort of back end a service is, which decides how a side talks to it.
enum class service_kind {
    /// OpenAI-compatible completions, streamed.
    Engine,
    /// JSON in, JSON out; stage pools.
    Pool,
    /// JSON in, JSON out; plain services.
    Plain,
};

/// A service: a set of equal targets.
struct service {
    std::string name;
    service_kind kind = service_kind::Pool;
    /// HTTP path of the call at the target.
    std::string path = "/";
    /// Whether a call may run more than once.
    bool isRetryable = true;
    /// Whether targets refuse orders with an old fencing number by themselves.
    bool checksFencing = false;
    /// Most calls that wait at one target.
    uint32_t maxQueue = 64;
};

/// One replica of a service, behind the side process of its instance.
struct target {
    std::string name;
    std::string service;
    std::string instance;
    std::string region;
    std::string failureDomain;
    /// Address of the side process that is this target's only gate.
    ip_endpoint side;
    /// Address of the target itself, as the side process reaches it.
    ip_endpoint address;
    /// Calls that the target runs at the same time.
    uint32_t capacity = 1;
};

/// One step of a pipeline.
struct stage {
    std::string name;
    std::string service;
    /// Model to ask for; engines only.
    std::string model;
    /// Most tokens to generate; engines only.
    uint32_t maxTokens = 256;
};

/// The stages a request passes, in order.
struct pipeline {
    std::string name;
    std::vector<stage> stages;
    /// Deadline of a request that names none.
    milliseconds deadline { 11000 };
    size_t maxBodyBytes = 1024 * 1024;
};

/// A client account.
struct account {
    std::string name;
    /// Share of capacity under contention, relative to other accounts.
    double weight = 1;
    uint32_t maxInFlight = 1000;
};

/// A model version that all targets of a service are to have loaded.
struct model {
    std::string name;
    std::string service;
    std::string version;
    std::vector<std::string> adapters;
    /// Bytes to fetch from the weight store.
    uint64_t weightBytes = 0;
};

/// What one GiB costs from one region to another.
struct region_price {
    std::string from;
    std::string to;
    double perGib = 0;
};

/// How requests are decided. There is one object, named `default`.
struct policy {
    std::string name = "default";
    /// `baseline`: round robin in region, first come first served, no shedding. `weighted`: all policies.
    std::string mode = "weighted";
    /// Worth of a second of expected wait.
    double attainmentWeight = 1;
    /// Worth of one unit of price.
    double costWeight = 1;
    /// Hedged attempts, in percent of stage calls.
    double hedgePercent = 5;
    /// Retries, in percent of stage calls of an account.
    double retryPercent = 10;
};

/// JSON conversions. `from` functions expect a document that passed the note schema.
[[nodiscard]] nlohmann::json toJson(const service& value);
[[nodiscard]] nlohmann::json toJson(const target& value);
[[nodiscard]] nlohmann::json toJson(const pipeline& value);
[[nodiscard]] nlohmann::json toJson(const account& value);
[[nodiscard]] nlohmann::json toJson(const model& value);
[[nodiscard]] nlohmann::json toJson(const region_price& value);
[[nodiscard]] nlohmann::json toJson(const policy& value);

void fromJson(const nlohmann::json& document, service& out);
void fromJson(const nlohmann::json& document, target& out);
void fromJson(const nlohmann::json& document, pipeline& out);
void fromJson(const nlohmann::json& document, account& out);
void fromJson(const nlohmann::json& document, model& out);
void fromJson(const nlohmann::json& document, region_price& out);
void fromJson(const nlohmann::json& document, policy& out);

/// @return The name under which an object is kept.
template <typename Object>
[[nodiscard]] std::string nameOf(const Object& object)
{
    return object.name;
}

[[nodiscard]] inline std::string nameOf(const region_price& price)
{
    return price.from + ">" + price.to;
}
}
