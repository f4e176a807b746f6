/// Encodes calls to the targets that run tasks of stages, and decodes their responses.
#pragma once

#include "base/endpoint.hpp"
#include "base/result.hpp"
#include "base/time.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bilberryseam::platform {

/// Path of a batch call.
constexpr std::string_view runTasksPath = "/v1/stage-run";
/// Path of a call that releases results.
constexpr std::string_view releaseResultsPath = "/v1/stage-free";
/// Path of a query of what a target has at work.
constexpr std::string_view reportPath = "/v1/report";

/// One task of a batch call.
struct task_request {
    std::string_view requestId;
    size_t stage = 0;
    /// Index within the stage; "piece" on the wire.
    uint32_t taskIndex = 0;
    milliseconds timeLeft { 0 };
    /// Identifies the inputs of a stage that takes no results.
    std::string_view key;
    /// Handles of the results that the stage takes; if not empty, `key` is not sent.
    std::span<const std::string> inputs;
};

/// Why a target returned no result for a task.
enum class task_failure {
    None,
    /// The time for the task expired before it was started.
    Expired,
    /// A result that the task takes as input no longer exists.
    InputMissing,
    /// The target had no memory for the result.
    NoMemory,
    /// The task failed.
    Failed,
    /// Permitted regions or evacuations leave no target for the task; it was not sent.
    Unplaceable,
    /// The pool refused the whole job: it could not start before its deadline. Not sent by targets.
    Overloaded,
};

[[nodiscard]] std::string_view nameOf(task_failure failure) noexcept;

/// Result of one task.
struct task_result {
    /// Identifies the result and begins with the address of its holder; empty if the task failed.
    std::string handle;
    task_failure failure = task_failure::None;
};

[[nodiscard]] std::string encodeBatchCall(std::span<const task_request> tasks);

/// @param count  Number of tasks in the call.
/// @return One result per task in the order of the call, or `InvalidMessage`.
[[nodiscard]] result<std::vector<task_result>> decodeTaskResults(std::string_view text, size_t count);

/// @return The address of the target that holds a result, or `std::nullopt` if the handle is malformed.
[[nodiscard]] std::optional<ip_endpoint> holderOf(std::string_view handle);

[[nodiscard]] std::string encodeReleaseCall(std::span<const std::string> handles);

/// What a target of a pool has at work.
struct pool_report {
    /// Calls that run.
    uint32_t running = 0;
    /// Calls that wait.
    uint32_t waiting = 0;
    /// Memory that is at most free for results.
    double freeBytes = 0;
};

/// @return What a target of a pool reports, or `InvalidMessage` if a figure is missing, negative or not a number.
[[nodiscard]] result<pool_report> decodePoolReport(std::string_view text);
}
