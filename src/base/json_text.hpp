/// Serialization of JSON values.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace bilberryseam {

/// @return The value as one line of JSON. Invalid UTF-8 is replaced instead of throwing an exception.
template <typename Json>
[[nodiscard]] std::string dumpText(const Json& value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}
}
