/// Where a request would be sent now, and why; the answer to an operator's query.
#pragma once

#include "base/time.hpp"
#include "policy/eligibility.hpp"
#include "policy/placement.hpp"

#include <cstdint>
#include <deque>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bilberryseam::gateway {

/// Path of the query on the operator port.
constexpr std::string_view explainPath = "/explain";

/// Header field of the query that carries an API key, so that the key is in no URL.
constexpr std::string_view explainKeyName = "X-Explain-Key";

/// Explanations that a gateway gives in a second.
constexpr size_t maxExplanationsPerSecond = 4;

/// Targets that an explanation lists.
constexpr size_t maxExplainedTargets = 200;

/// Takes the place of one more explanation.
/// @param given  Times of the explanations in the last second.
/// @return Time until the next one may be given; nothing if this one may.
[[nodiscard]] std::optional<milliseconds> takeExplanation(std::deque<time_point>& given, time_point now);

/// A target of the request's service.
struct explained_target {
    std::string id;
    std::string failureDomain;
    policy::ineligibility verdict = policy::ineligibility::None;
    /// Expected delay there; all zero if the target may not be used.
    policy::cost_terms cost;
    /// Calls of this gateway there; of all gateways if the choice is by their load.
    double requests = 0;
    int slots = 0;
    /// Time since the target's record was applied.
    microseconds listedFor { 0 };
};

/// What the order of targets in an explanation depends on.
struct target_rank {
    bool isChosen = false;
    bool isUsable = false;
    double cost = 0;
    std::string_view id;
};

/// @return The indexes of at most `maxExplainedTargets` targets: the chosen one, the usable ones by their cost, then the others by
/// their identifiers.
[[nodiscard]] std::vector<size_t> listedOrder(std::span<const target_rank> ranks);

/// A stage of the request that has tasks.
struct explained_stage {
    size_t index = 0;
    std::string service;
    uint32_t tasks = 0;
    /// The entry that runs the tasks of the pool.
    std::string owner;
    bool isOwnedHere = false;
    /// Tasks that wait; only the owner knows.
    std::optional<size_t> waitingTasks;
    /// Predicted time until the last task of the request starts; only the owner knows.
    std::optional<milliseconds> expectedWait;
};

/// Why a request would be refused.
struct explained_refusal {
    unsigned status = 0;
    std::string reason;
    std::optional<milliseconds> retryAfter;
};

/// Where an accepted request would be sent.
struct placement_explanation {
    std::vector<explained_stage> stages;
    bool isByLoad = false;
    /// Age of the figures by which a target is chosen; zero for those of this process.
    microseconds figureAge { 0 };
    size_t targetCount = 0;
    /// The chosen target first.
    std::vector<explained_target> targets;
    /// Identifier of the target that the request would be sent to; empty if there is none.
    std::string choice;
    std::optional<explained_refusal> refusal;
    /// Why the request would wait for a target, and how long at most; empty if it would not.
    std::string waitReason;
    milliseconds longestWait { 0 };
};

/// @return The refusal as JSON; null if there is none.
[[nodiscard]] nlohmann::json toJson(const std::optional<explained_refusal>& refusal);

/// @return The explanation as JSON.
[[nodiscard]] nlohmann::json toJson(const placement_explanation& explanation);
}
