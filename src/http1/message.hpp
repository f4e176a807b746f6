/// HTTP/1.1 messages and helpers for header fields.
#pragma once

#include "http1/status.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bilberryseam::http1 {

/// Header fields in wire order, with their names as sent.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// Request line and header fields; the request target is kept byte for byte.
struct request_head {
    std::string method;
    std::string target;
    header_list headers;
};

/// Status and header fields of a response.
struct response_head {
    unsigned status = 0;
    header_list headers;
};

/// @return Whether a final response may have this status; others are no responses of the protocol.
[[nodiscard]] constexpr bool isFinalStatus(unsigned status) noexcept { return status >= 200 && status <= 599; }

/// @return True if the names are equal, ignoring case.
[[nodiscard]] bool isSameName(std::string_view left, std::string_view right) noexcept;

/// @return The value of the first field with that name, or `std::nullopt`.
[[nodiscard]] std::optional<std::string_view> findHeader(const header_list& headers, std::string_view name) noexcept;

/// @return The number of fields with that name.
[[nodiscard]] size_t countHeaders(const header_list& headers, std::string_view name) noexcept;

/// @return True if the comma-separated field contains the token, ignoring case.
[[nodiscard]] bool hasToken(const header_list& headers, std::string_view name, std::string_view token) noexcept;

/// @return The text without leading and trailing spaces and tabs.
[[nodiscard]] std::string_view trim(std::string_view text) noexcept;

/// @return The path of a request target, without its query.
[[nodiscard]] std::string_view pathOf(std::string_view target) noexcept;

/// @return The standard reason phrase of a status, or an empty view.
[[nodiscard]] std::string_view reasonPhraseOf(unsigned status) noexcept;
}
