/// Time types and clocks. Decision logic does not read a clock; its callers pass the time.
#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace bilberryseam {

using microseconds = std::chrono::microseconds;
using milliseconds = std::chrono::milliseconds;
using seconds = std::chrono::seconds;

/// Monotonic time that includes the time when the machine is suspended; for deadlines and timeouts within one process.
using time_point = std::chrono::time_point<std::chrono::steady_clock, microseconds>;

/// Wall-clock time; only where two processes compare times (idempotency keys).
using wall_time = std::chrono::time_point<std::chrono::system_clock, milliseconds>;

/// @return The current monotonic time.
[[nodiscard]] inline time_point monotonicNow() noexcept
{
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(seconds(now.tv_sec) + std::chrono::duration_cast<microseconds>(std::chrono::nanoseconds(now.tv_nsec)));
}

/// @return The current wall-clock time.
[[nodiscard]] inline wall_time wallNow() noexcept
{
    return std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now());
}

/// @return The duration in seconds as a floating-point number.
template <typename Duration>
[[nodiscard]] constexpr double asSeconds(Duration duration) noexcept
{
    return std::chrono::duration<double>(duration).count();
}

/// @return The duration in whole milliseconds, truncated toward zero.
template <typename Duration>
[[nodiscard]] constexpr int64_t asMilliseconds(Duration duration) noexcept
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}
}
