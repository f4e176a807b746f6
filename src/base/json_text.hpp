/// JSON values as text.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace bilberryseam {

/// @return The value as JSON in one line; bytes that are not UTF-8 are replaced, never thrown at.
template <typename Json>
[[nodiscard]] std::string dumpText(const Json& value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}
}
