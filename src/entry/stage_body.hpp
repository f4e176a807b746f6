/// Writes the request body for a stage's target and parses its response.
#pragma once

#include "entry/request.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace bilberryseam::entry {

/// @return Whether the stage's service streams tokens.
[[nodiscard]] bool isEngine(const planned_stage& stage) noexcept;

/// @param stage       The stage.
/// @param input       The caller's input.
/// @param previous    Output of the previous stage; null for the first.
/// @param resumeText  Text that another target has already generated; empty if none.
/// @return The JSON body for the stage's target. docs/PLATFORM.md gives its shape.
[[nodiscard]] std::string writeStageBody(const planned_stage& stage, const nlohmann::json& input, const nlohmann::json& previous, std::string_view resumeText);

/// @param stage  The stage.
/// @param text   All text that was streamed; engines only.
/// @param body   Response body of the target; for engines, the token usage that follows the stream.
/// @return The stage's output.
[[nodiscard]] nlohmann::json readStageOutput(const planned_stage& stage, std::string_view text, std::string_view body);
}
