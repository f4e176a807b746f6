/// 128-bit identifiers of requests, attempts, sessions and process incarnations.
#pragma once

#include "base/result.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <string_view>

namespace bilberryseam {

/// A 128-bit identifier. The all-zero value means "none".
struct identifier {
    uint64_t high = 0;
    uint64_t low = 0;

    auto operator<=>(const identifier&) const = default;

    /// @return True if this is not the all-zero value.
    [[nodiscard]] explicit operator bool() const noexcept { return high || low; }

    /// @return 32 lower-case hexadecimal digits.
    [[nodiscard]] std::string toString() const;

    /// @param text  32 hexadecimal digits.
    /// @return The identifier, or `InvalidMessage`.
    [[nodiscard]] static result<identifier> parse(std::string_view text);
};

/// Generates random identifiers from a given seed.
class identifier_generator {
public:
    explicit identifier_generator(uint64_t seed)
        : m_engine(seed)
    {
    }

    /// @return A generator with a seed from `std::random_device`.
    [[nodiscard]] static identifier_generator fromSystem();

    /// @return The next identifier; never the all-zero value.
    [[nodiscard]] identifier next();

private:
    std::mt19937_64 m_engine;
};
}

template <>
struct std::hash<bilberryseam::identifier> {
    size_t operator()(const bilberryseam::identifier& id) const noexcept { return id.high ^ (id.low * 0x9e3779b97f4a7c15ULL); }
};
