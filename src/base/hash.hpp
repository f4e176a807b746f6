/// Stable 64-bit hashing (XXH3), equal on all machines.
#pragma once

#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>
// Hashes of a fixed size, of which placement computes one for each target, are much faster inline.
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace bilberryseam {

/// @return The XXH3 hash of the bytes with the given seed.
[[nodiscard]] inline uint64_t hashOf(std::string_view bytes, uint64_t seed = 0) noexcept
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

/// @return The XXH3 hash of two numbers in this order.
[[nodiscard]] inline uint64_t hashOfPair(uint64_t left, uint64_t right) noexcept
{
    const uint64_t values[2] { left, right };
    return hashOf({ reinterpret_cast<const char*>(values), sizeof values });
}

/// @return The hash as 16 hexadecimal digits, for logs and keys.
[[nodiscard]] inline std::string textOfHash(uint64_t hash)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(hash));
    return text;
}
}
