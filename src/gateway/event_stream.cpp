#include "gateway/event_stream.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace bilberryseam::gateway {

namespace {
    /// An event ends with an empty line; a line ends with a line feed, a carriage return or both.
    constexpr std::array<std::string_view, 3> eventEnds { "\n\n", "\n\r\n", "\r\r" };
    constexpr size_t longestEventEnd = std::string_view("\n\r\n").size();

    /// @param searchedBytes  Bytes at the start that contain no whole end of an event.
    /// @return Size of the first whole event, or nothing.
    std::optional<size_t> firstEventSize(std::string_view text, size_t searchedBytes) noexcept
    {
        // An end may have begun in the bytes that were searched before.
        const size_t start = searchedBytes - std::min(searchedBytes, longestEventEnd - 1);
        std::optional<size_t> size;
        for (const std::string_view end : eventEnds) {
            if (const size_t position = text.find(end, start); position != std::string_view::npos)
                size = std::min(size.value_or(text.size()), position + end.size());
        }
        return size;
    }

    std::optional<uint64_t> numberOf(std::string_view text) noexcept
    {
        uint64_t number = 0;
        const auto [end, errorCode] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (errorCode != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return number;
    }
}

namespace detail {
    std::optional<std::string_view> idOf(std::string_view event) noexcept
    {
        while (!event.empty()) {
            const size_t end = std::min(event.find_first_of("\r\n"), event.size());
            std::string_view line = event.substr(0, end);
            event.remove_prefix(std::min(end + 1, event.size()));
            if (!line.starts_with("id:"))
                continue;
            line.remove_prefix(3);
            while (line.starts_with(' '))
                line.remove_prefix(1);
            return line;
        }
        return std::nullopt;
    }
}

void event_stream::observe(std::string_view bytes)
{
    m_lastBytes.append(bytes.substr(bytes.size() - std::min(bytes.size(), longestEventEnd)));
    m_lastBytes.erase(0, m_lastBytes.size() - std::min(m_lastBytes.size(), longestEventEnd));
}

void event_stream::restart() noexcept
{
    m_incompleteEvent.clear();
    m_searchedBytes = 0;
    m_lastBytes.clear();
}

bool event_stream::isAtBoundary() const noexcept
{
    return m_lastBytes.empty() || std::any_of(eventEnds.begin(), eventEnds.end(), [this](std::string_view end) { return m_lastBytes.ends_with(end); });
}

event_stream::state event_stream::append(std::string_view bytes, std::string& out)
{
    observe(bytes);
    m_incompleteEvent.append(bytes);
    for (;;) {
        const auto size = firstEventSize(m_incompleteEvent, m_searchedBytes);
        m_searchedBytes = size ? 0 : m_incompleteEvent.size();
        if (!size)
            return m_incompleteEvent.size() <= maxEventBytes ? state::Good : state::TooLong;
        const std::string event = m_incompleteEvent.substr(0, *size);
        m_incompleteEvent.erase(0, event.size());
        const auto id = detail::idOf(event);
        const auto number = id ? numberOf(*id) : std::nullopt;
        const auto last = numberOf(m_lastId);
        if (number && last) {
            if (*number <= *last)
                continue;
            if (*number > *last + 1)
                return state::Gap;
        }
        if (id)
            m_lastId = std::string(*id);
        out.append(event);
    }
}
}
