/// HTTP/1.1 messages as this package hands them over.
#pragma once

#include "http1/status.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bilberryseam::http1 {

/// Header fields in the order of the wire, names as sent.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// A request's first line and header fields; the target is kept byte for byte.
struct request_head {
    std::string method;
    std::string target;
    header_list headers;
};

/// An answer's status and header fields.
struct response_head {
    unsigned status = 0;
    header_list headers;
};

/// @return True if the names are equal but for case.
[[nodiscard]] bool isSameName(std::string_view left, std::string_view right) noexcept;

/// @return The first field of that name, or nothing.
[[nodiscard]] std::optional<std::string_view> findHeader(const header_list& headers, std::string_view name) noexcept;

/// @return How many fields have that name.
[[nodiscard]] size_t countHeaders(const header_list& headers, std::string_view name) noexcept;

/// @return True if the comma-separated field holds the token, whatever its case.
[[nodiscard]] bool hasToken(const header_list& headers, std::string_view name, std::string_view token) noexcept;

/// @return The text without spaces and tabs around it.
[[nodiscard]] std::string_view trim(std::string_view text) noexcept;

/// @return The path of a request target, without its query.
[[nodiscard]] std::string_view pathOf(std::string_view target) noexcept;

/// @return The standard reason phrase of a status, or an empty view.
[[nodiscard]] std::string_view reasonPhraseOf(unsigned status) noexcept;
}
