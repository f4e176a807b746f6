/// Splits a stream of server-sent events into whole events, so that it can be resumed at another target.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bilberryseam::gateway {

/// Largest event that is buffered, in bytes.
constexpr size_t maxEventBytes = 256 * 1024;

/// Knows whether a stream ends inside an event, and can pass on whole events only, each once and in order.
class event_stream {
public:
    /// Result of adding a block of bytes.
    enum class state {
        Good,
        /// An event is missing, so the stream cannot be continued without a gap.
        Gap,
        /// An event is larger than `maxEventBytes`; it may have no end.
        TooLong,
    };

    /// Adds bytes of a target's response; appends whole new events to `out`.
    [[nodiscard]] state append(std::string_view bytes, std::string& out);

    /// Records where events end in bytes that are passed on unchanged.
    void observe(std::string_view bytes);

    /// Prepares for the response of a new attempt; discards an incomplete event of the previous one.
    void restart() noexcept;

    /// @return True if the bytes of this attempt so far do not end inside an event.
    [[nodiscard]] bool isAtBoundary() const noexcept;

    /// @return Identifier of the last event that was passed on, or an empty text.
    [[nodiscard]] const std::string& lastId() const noexcept { return m_lastId; }

    /// Sets the identifier of the last event that the caller already has.
    void setLastId(std::string_view id) { m_lastId = std::string(id); }

private:
    std::string m_incompleteEvent;
    /// Bytes of the incomplete event in which no end was found.
    size_t m_searchedBytes = 0;
    /// The last bytes of this attempt, as many as the longest end of an event has.
    std::string m_lastBytes;
    std::string m_lastId;
};

namespace detail {
    /// @return The value of an event's `id` line, or nothing.
    [[nodiscard]] std::optional<std::string_view> idOf(std::string_view event) noexcept;
}
}
