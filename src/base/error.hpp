/// The error type of the project: kind, description, remedy and location.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace bilberryseam {

/// Category of an error. Callers branch on the kind, never on the message text.
enum class error_kind {
    InvalidSettings,
    InvalidMessage,
    InvalidNote,
    InvalidRequest,
    UnsupportedVersion,
    LimitExceeded,
    Unavailable,
    Timeout,
    Cancelled,
    Conflict,
    NotFound,
};

/// @return The stable lower-case name of a kind, used in logs and counters.
[[nodiscard]] std::string_view nameOf(error_kind kind) noexcept;

/// An exception whose message includes its location and remedy.
class error : public std::runtime_error {
public:
    /// Creates a placeholder: `result<T>` default-constructs its error while it holds a value.
    error()
        : error(error_kind::NotFound, "", "")
    {
    }

    /// @param kind      Category of the error.
    /// @param what      One short sentence that describes the error.
    /// @param remedy    One short sentence that says how to correct it; may be empty.
    /// @param location  Location in a document (file, line or JSON pointer); may be empty.
    error(error_kind kind, std::string_view what, std::string_view remedy, std::string_view location = {});

    [[nodiscard]] error_kind kind() const noexcept { return m_kind; }
    [[nodiscard]] const std::string& remedy() const noexcept { return m_remedy; }
    [[nodiscard]] const std::string& location() const noexcept { return m_location; }

private:
    error_kind m_kind;
    std::string m_remedy;
    std::string m_location;
};
}
