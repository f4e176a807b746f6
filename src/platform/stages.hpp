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
constexpr std::string_view runPiecesPath = "/v1/stage-run";
constexpr std::string_view freeResultsPath = "/v1/stage-free";

/// One piece of work for a target.
struct piece_call {
    std::string_view requestId;
    size_t stage = 0;
    uint32_t piece = 0;
    milliseconds left { 0 };
    /// For stages that take no results.
    std::string_view key;
    /// For stages that take results.
    std::span<const std::string> inputs;
};

/// Why a target gave no result for a piece.
enum class piece_failure {
    None,
    /// Its time was over before its turn.
    Late,
    /// A result that it takes as input is gone.
    InputGone,
    /// There was no memory for its result.
    NoMemory,
    /// It failed.
    Failed,
};

[[nodiscard]] std::string_view nameOf(piece_failure failure) noexcept;

/// What became of one piece.
struct piece_answer {
    /// Where the result is kept; empty if there is none.
    std::string handle;
    piece_failure failure = piece_failure::None;
};

[[nodiscard]] std::string encodePieces(std::span<const piece_call> pieces);

/// @param count  Number of pieces that were asked for.
/// @return One answer a piece in the order asked for, or `InvalidMessage`.
[[nodiscard]] result<std::vector<piece_answer>> decodePieces(std::string_view text, size_t count);

/// @return The address of the target that keeps a result, or nothing if the handle is malformed.
[[nodiscard]] std::optional<ip_endpoint> makerOf(std::string_view handle);

[[nodiscard]] std::string encodeFreed(std::span<const std::string> handles);
}
