/// The error type of the project: a kind, what happened, where, and the remedy.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace bilberryseam {

/// What sort of thing went wrong. Callers branch on the kind, never on the message.
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

/// @return The stable, lower-case name of a kind, used in logs and counters.
[[nodiscard]] std::string_view nameOf(error_kind kind) noexcept;

/// An error whose message names its remedy.
class error : public std::runtime_error {
public:
    /// A placeholder, which results need while they hold a value.
    error()
        : error(error_kind::NotFound, "", "")
    {
    }

    /// @param kind    What sort of error.
    /// @param what    One short sentence on what happened.
    /// @param remedy  One short sentence on what to do.
    /// @param place   Where in a document it happened (file, line or JSON pointer); may be empty.
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
