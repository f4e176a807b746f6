/// Outcomes of requests and their reasons, as reported to callers. docs/OUTCOMES.md lists them all.
#pragma once

#include "base/time.hpp"
#include "wire/message.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace bilberryseam::entry {

/// Whether the request ran, as far as the entry can tell.
enum class outcome_kind {
    /// The request ran and its complete response was delivered.
    Answered,
    /// The request did not run and will not run.
    NotRun,
    /// The request ran, at least in part, and failed permanently.
    Failed,
    /// The request may have run.
    Unknown,
};

/// Reason of an outcome. Each is counted in `requests_total`.
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
    /// The entry stopped before the request finished.
    Stopping,
    OutputLost,
};

/// Final result of a request.
struct outcome {
    outcome_kind kind = outcome_kind::Unknown;
    outcome_reason reason = outcome_reason::None;
    /// The stage at which the request ended; empty if none.
    std::string stage;
    /// Time after which a retry may succeed; zero if a retry would not help.
    milliseconds retryAfter { 0 };
    std::string detail;
    /// Output of the last stage, for `Answered`.
    nlohmann::json output;
};

/// @return The reason to report if a side's refusal ends the request.
[[nodiscard]] outcome_reason reasonOf(wire::refusal refusal) noexcept;

/// @return The stable name of a kind or reason, on which callers may depend.
[[nodiscard]] std::string_view nameOf(outcome_kind kind) noexcept;
[[nodiscard]] std::string_view nameOf(outcome_reason reason) noexcept;

/// @return The HTTP status of an outcome.
[[nodiscard]] unsigned httpStatusOf(const outcome& result) noexcept;

/// @return One sentence that tells the caller what to do; empty for `Answered`.
[[nodiscard]] std::string_view remedyOf(const outcome& result) noexcept;
}
