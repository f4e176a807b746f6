#include "base/error.hpp"

namespace bilberryseam {

namespace {
    std::string composeMessage(std::string_view what, std::string_view remedy, std::string_view location)
    {
        std::string message;
        if (!location.empty()) {
            message.append(location);
            message.append(": ");
        }
        message.append(what);
        if (!remedy.empty()) {
            message.append(" Remedy: ");
            message.append(remedy);
        }
        return message;
    }
}

std::string_view nameOf(error_kind kind) noexcept
{
    switch (kind) {
    case error_kind::InvalidSettings:
        return "invalid_settings";
    case error_kind::InvalidMessage:
        return "invalid_message";
    case error_kind::InvalidNote:
        return "invalid_note";
    case error_kind::InvalidRequest:
        return "invalid_request";
    case error_kind::UnsupportedVersion:
        return "unsupported_version";
    case error_kind::LimitExceeded:
        return "limit_exceeded";
    case error_kind::Unavailable:
        return "unavailable";
    case error_kind::Timeout:
        return "timeout";
    case error_kind::Cancelled:
        return "cancelled";
    case error_kind::Conflict:
        return "conflict";
    case error_kind::NotFound:
        return "not_found";
    }
    return "unknown";
}

error::error(error_kind kind, std::string_view what, std::string_view remedy, std::string_view location)
    : std::runtime_error(composeMessage(what, remedy, location))
    , m_kind(kind)
    , m_remedy(remedy)
    , m_location(location)
{
}
}
