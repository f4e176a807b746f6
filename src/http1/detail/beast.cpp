#include "http1/detail/beast.hpp"

#include <algorithm>
#include <boost/beast/http/status.hpp>

namespace bilberryseam::http1::detail {

std::string serializeHead(std::string_view startLine, const header_list& headers, const header_list& ownFields)
{
    std::string bytes;
    const auto append = [&bytes](const auto& field) { bytes.append(field.first).append(": ").append(field.second).append("\r\n"); };
    bytes.append(startLine).append("\r\n");
    for (const auto& field : headers) {
        const auto isReplaced = [&field](const auto& own) { return isSameName(own.first, field.first); };
        if (std::none_of(ownFields.begin(), ownFields.end(), isReplaced))
            append(field);
    }
    for (const auto& field : ownFields)
        append(field);
    return bytes.append("\r\n");
}

std::string statusLine(unsigned status)
{
    const auto reason = http::obsolete_reason(static_cast<http::status>(status));
    return "HTTP/1.1 " + std::to_string(status) + " " + std::string(reason);
}
}
