/// Splits a stream of bytes into lines, with a limit on their length.
#pragma once

#include <string>
#include <string_view>

namespace bilberryseam::side {

/// Longest line of a streamed response, in bytes.
constexpr size_t maxLineBytes = 1024 * 1024;

/// Buffers bytes and passes on complete lines without their line endings.
class line_splitter {
public:
    /// @param bytes   The next bytes of the stream.
    /// @param onLine  Called with each complete line; returns false to stop.
    /// @return False if a line is too long or `onLine` returned false.
    template <typename Function>
    [[nodiscard]] bool feed(std::string_view bytes, Function onLine)
    {
        m_rest.append(bytes);
        size_t begin = 0;
        for (size_t end = m_rest.find('\n'); end != std::string::npos; end = m_rest.find('\n', begin)) {
            std::string_view line = std::string_view(m_rest).substr(begin, end - begin);
            if (line.ends_with('\r'))
                line.remove_suffix(1);
            begin = end + 1;
            if (!onLine(line))
                return false;
        }
        m_rest.erase(0, begin);
        return m_rest.size() <= maxLineBytes;
    }

private:
    std::string m_rest;
};
}
