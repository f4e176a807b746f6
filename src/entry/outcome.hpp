/// Outcomes that callers are told, and the reasons behind them. docs/OUTCOMES.md lists them all.
#pragma once

#include "base/time.hpp"
#include "wire/message.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace bilberryseam::entry {

/// What a caller is told about its request.
enum class outcome_kind {
    /// The whole answer was delivered.
    Answered,
    /// The request did not run and will not.
    NotRun,
    /// The request ran, at least in part, and failed for good.
    Failed,
    /// The request may have run.
    Unknown,
};

/// Why an outcome is what it is. Each has a counter.
enum class outcome_reason {
    None,
    BadRequest,
    BodyTooLarge,
    UnknownPipeline,
    UnknownAccount,
    DeadlinePassed,
    KeyExpired,
    KeyReused,
    KeyRunsElsewhere,
    NotReady,
    Overloaded,
    AccountLimit,
    NoTarget,
    LogUnavailable,
    TargetRejected,
    TargetCrashed,
    Quarantined,
    RetriesSpent,
    LinkLost,
    SlowReader,
    CallerDisconnected,
    OutputLost,
};

/// The final word on a request.
struct outcome {
    outcome_kind kind = outcome_kind::Unknown;
    outcome_reason reason = outcome_reason::None;
    /// The stage concerned; empty if none.
    std::string stage;
    /// When to come back; zero if that would not help.
    milliseconds retryAfter { 0 };
    std::string detail;
    /// The last stage's answer, for `Answered`.
    nlohmann::json output;
};

/// @return The reason to tell if a side's refusal ends the request.
[[nodiscard]] outcome_reason reasonOf(wire::refusal refusal) noexcept;

/// @return The stable name that callers branch on.
[[nodiscard]] std::string_view nameOf(outcome_kind kind) noexcept;
[[nodiscard]] std::string_view nameOf(outcome_reason reason) noexcept;

/// @return The HTTP status of an outcome.
[[nodiscard]] unsigned httpStatusOf(const outcome& result) noexcept;

/// @return One sentence on what the caller can do.
[[nodiscard]] std::string_view remedyOf(const outcome& result) noexcept;
}
