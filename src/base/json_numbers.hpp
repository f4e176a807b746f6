/// Numbers in JSON documents of other writers, without the conversions that change a value silently.
#pragma once

#include "base/error.hpp"
#include "base/time.hpp"

#include <concepts>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>

namespace bilberryseam {

/// The last millisecond of the year 9999 as Unix time; later times are mistakes, and arithmetic on them may overflow.
constexpr int64_t latestUnixMs = 253402300799999;

/// @param name  Name of the field, for the error.
/// @return The value, a whole number from `min` to `max`.
/// @throws error (`InvalidMessage`) for any other value.
template <std::integral Number>
[[nodiscard]] Number wholeNumber(const nlohmann::json& value, std::string_view name, Number min = 0, Number max = std::numeric_limits<Number>::max())
{
    const auto isWithin = [min, max](auto number) { return std::cmp_greater_equal(number, min) && std::cmp_less_equal(number, max); };
    const bool isValid = value.is_number_unsigned() ? isWithin(value.get<uint64_t>()) : value.is_number_integer() && isWithin(value.get<int64_t>());
    if (!isValid)
        throw error(error_kind::InvalidMessage, "A field is not a whole number in its range.", "Write the field as documented.", name);
    return value.get<Number>();
}
}
