/// Stable 64-bit hashing (XXH3), equal on all machines.
#pragma once

#include <cstdint>
#include <string_view>
#include <xxhash.h>

namespace bilberryseam {

/// @return The XXH3 hash of the bytes with the given seed.
[[nodiscard]] inline uint64_t hashOf(std::string_view bytes, uint64_t seed = 0) noexcept
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}
}
