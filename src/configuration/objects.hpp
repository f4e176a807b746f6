/// The objects that release notes add, change and withdraw.
#pragma once

#include "base/endpoint.hpp"
#include "base/time.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace bilberryseam::configuration {

/// Kind of back end that a service is; it determines how a side calls it.
enum class service_kind {
    /// OpenAI-compatible completions, streamed.
    Engine,
    /// JSON in, JSON out; stage pools.
    Pool,
    /// JSON in, JSON out; plain services.
    Plain,
};

/// A service: a set of interchangeable targets.
struct service {
    std::string name;
    service_kind kind = service_kind::Pool;
    /// HTTP path of the call at the target.
    std::string path = "/";
    /// Whether it is harmless to run a call more than once.
    bool isRetryable = true;
    /// Whether the targets themselves refuse orders with an outdated fencing token.
    bool checksFencing = false;
    /// Maximum number of calls that wait for one target.
    uint32_t maxQueue = 64;
};

/// One replica of a service, behind the side process of its instance.
struct target {
    std::string name;
    std::string service;
    std::string instance;
    std::string region;
    std::string failureDomain;
    /// Address of the side process through which all calls reach this target.
    ip_endpoint side;
    /// Address of the target itself, as the side process reaches it.
    ip_endpoint address;
    /// Number of calls that the target runs concurrently.
    uint32_t capacity = 1;
};

/// One step of a pipeline.
struct stage {
    std::string name;
    std::string service;
    /// Model to request; engines only.
    std::string model;
    /// Maximum number of tokens to generate; engines only.
    uint32_t maxTokens = 256;
};

/// The stages a request passes, in order.
struct pipeline {
    std::string name;
    std::vector<stage> stages;
    /// Deadline of a request that does not set one.
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

/// A model version that all targets of a service must load.
struct model {
    std::string name;
    std::string service;
    std::string version;
    std::vector<std::string> adapters;
    /// Bytes to fetch from the weight store.
    uint64_t weightBytes = 0;
};

/// Price of transferring one GiB from one region to another.
struct region_price {
    std::string from;
    std::string to;
    double perGib = 0;
};

/// Settings of the policies for routing, shedding, hedging and retries. There is one object, named `default`.
struct policy {
    std::string name = "default";
    /// `baseline`: round robin in region, first come first served, no shedding. `weighted`: all policies.
    std::string mode = "weighted";
    /// Weight of one second of expected wait.
    double attainmentWeight = 1;
    /// Weight of one unit of price.
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

/// @return The key of an object in its table.
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
