/// Time types. Code that decides never reads a clock: it is given the time.
#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace bilberryseam {

using microseconds = std::chrono::microseconds;
using milliseconds = std::chrono::milliseconds;
using seconds = std::chrono::seconds;

/// Monotonic time that goes on while the machine is suspended, used for deadlines and timeouts inside one process.
using time_point = std::chrono::time_point<std::chrono::steady_clock, microseconds>;

/// Wall-clock time, used only where two processes compare times (idempotency keys).
using wall_time = std::chrono::time_point<std::chrono::system_clock, milliseconds>;

/// @return The present monotonic time.
[[nodiscard]] inline time_point monotonicNow() noexcept
{
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(seconds(now.tv_sec) + std::chrono::duration_cast<microseconds>(std::chrono::nanoseconds(now.tv_nsec)));
}

/// @return The present wall-clock time.
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

/// @return The whole milliseconds of a duration, rounded down.
template <typename Duration>
[[nodiscard]] constexpr int64_t asMilliseconds(Duration duration) noexcept
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}
}
