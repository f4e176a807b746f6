#include "http1/message.hpp"

#include <algorithm>
#include <boost/beast/http/status.hpp>
#include <ostream>
#include <strings.h>

namespace bilberryseam::http1 {

namespace {
    bool listHasToken(std::string_view list, std::string_view token)
    {
        while (!list.empty()) {
            const size_t comma = std::min(list.find(','), list.size());
            if (isSameName(trim(list.substr(0, comma)), token))
                return true;
            list.remove_prefix(std::min(comma + 1, list.size()));
        }
        return false;
    }
}

std::string_view trim(std::string_view text) noexcept
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

bool isSameName(std::string_view left, std::string_view right) noexcept
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

std::optional<std::string_view> findHeader(const header_list& headers, std::string_view name) noexcept
{
    for (const auto& [fieldName, value] : headers) {
        if (isSameName(fieldName, name))
            return value;
    }
    return std::nullopt;
}

size_t countHeaders(const header_list& headers, std::string_view name) noexcept
{
    return static_cast<size_t>(std::count_if(headers.begin(), headers.end(), [name](const auto& item) { return isSameName(item.first, name); }));
}

bool hasToken(const header_list& headers, std::string_view name, std::string_view token) noexcept
{
    return std::any_of(headers.begin(), headers.end(), [&](const auto& item) { return isSameName(item.first, name) && listHasToken(item.second, token); });
}

std::string_view pathOf(std::string_view target) noexcept
{
    return target.substr(0, target.find('?'));
}

std::string_view reasonPhraseOf(unsigned status) noexcept
{
    const auto text = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    return { text.data(), text.size() };
}
}
