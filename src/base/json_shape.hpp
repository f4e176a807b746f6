/// Size and depth of a serialized JSON value, known before it is parsed.
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace bilberryseam {

struct json_shape {
    /// False if the bytes are malformed or nested too deeply.
    bool isAccepted = false;
    bool isTooDeep = false;
    /// Number of values, with those inside others.
    size_t values = 0;
};

/// Functions that handle a parsed value call themselves for each level, so its depth must be bounded.
constexpr size_t maxJsonDepth = 200;

/// Memory of a parsed value, apart from the bytes of its texts.
constexpr size_t bytesPerJsonValue = 64;

/// @param format  JSON text or CBOR.
[[nodiscard]] json_shape shapeOf(std::string_view bytes, nlohmann::json::input_format_t format = nlohmann::json::input_format_t::json);
}
