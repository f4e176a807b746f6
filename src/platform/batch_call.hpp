/// Encodes calls to targets that work on pieces of stages, and decodes their answers.
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

/// Paths of the calls for pieces and for giving up results.
constexpr std::string_view runTasksPath = "/v1/stage-run";
constexpr std::string_view releaseResultsPath = "/v1/stage-free";

/// One piece of work for a target.
struct task_request {
    std::string_view requestId;
    size_t stage = 0;
    uint32_t taskIndex = 0;
    milliseconds timeLeft { 0 };
    /// For stages that take no results.
    std::string_view key;
    /// For stages that take results.
    std::span<const std::string> inputs;
};

/// Why a target gave no result for a piece.
enum class task_failure {
    None,
    /// Its time was over before its turn.
    Expired,
    /// A result that it takes as input is gone.
    InputMissing,
    /// There was no memory for its result.
    NoMemory,
    /// It failed.
    Failed,
};

[[nodiscard]] std::string_view nameOf(task_failure failure) noexcept;

/// What became of one piece.
struct task_result {
    /// Where the result is kept; empty if there is none.
    std::string handle;
    task_failure failure = task_failure::None;
};

[[nodiscard]] std::string encodeBatchCall(std::span<const task_request> tasks);

/// @param count  Number of pieces that were asked for.
/// @return One answer a piece in the order asked for, or `InvalidMessage`.
[[nodiscard]] result<std::vector<task_result>> decodeTaskResults(std::string_view text, size_t count);

/// @return The address of the target that keeps a result, or nothing if the handle is malformed.
[[nodiscard]] std::optional<ip_endpoint> holderOf(std::string_view handle);

[[nodiscard]] std::string encodeReleaseCall(std::span<const std::string> handles);
}
