#include "policy/target_pause.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace bilberryseam::policy {

namespace {
    constexpr unsigned statusTooManyRequests = 429;
    constexpr unsigned statusUnavailable = 503;

    std::string_view trim(std::string_view text) noexcept
    {
        constexpr std::string_view blanks = " \t";
        const size_t first = text.find_first_not_of(blanks);
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(blanks) - first + 1);
    }

    requested_pause readValue(std::string_view text)
    {
        double seconds = 0;
        const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), seconds, std::chars_format::fixed);
        const bool isWhole = end == text.data() + text.size() && !text.empty();
        if (isWhole && code == std::errc::result_out_of_range)
            return { longestPause, false };
        if (!isWhole || code != std::errc {} || !std::isfinite(seconds) || seconds < 0)
            return { defaultPause, false };
        if (seconds > asSeconds(longestPause))
            return { longestPause, false };
        return { milliseconds(std::llround(std::ceil(seconds * 1000))), true };
    }
}

std::optional<requested_pause> readPause(unsigned status, std::string_view retryAfter)
{
    if ((status != statusTooManyRequests && status != statusUnavailable) || retryAfter.empty())
        return std::nullopt;
    requested_pause longest { shortestPause, true };
    while (true) {
        const size_t comma = retryAfter.find(',');
        const requested_pause value = readValue(trim(retryAfter.substr(0, comma)));
        longest.length = std::max(longest.length, value.length);
        longest.isPlausible = longest.isPlausible && value.isPlausible;
        if (comma == std::string_view::npos)
            return longest;
        retryAfter.remove_prefix(comma + 1);
    }
}
}
