/// Splits a stream of server-sent events into whole events, so that it can be resumed at another target.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bilberryseam::gateway {

/// Passes on whole events only, each once and in order.
class event_stream {
public:
    /// Result of adding a block of bytes.
    enum class state {
        Good,
        /// An event is missing, so the stream cannot be continued without a gap.
        Gap,
    };

    /// Adds bytes of a target's response; appends whole new events to `out`.
    [[nodiscard]] state append(std::string_view bytes, std::string& out);

    /// Prepares for the response of a new attempt; discards an incomplete event of the previous one.
    void restart() noexcept { m_incompleteEvent.clear(); }

    /// @return True if no incomplete event is buffered.
    [[nodiscard]] bool isAtBoundary() const noexcept { return m_incompleteEvent.empty(); }

    /// @return Identifier of the last event that was passed on, or an empty text.
    [[nodiscard]] const std::string& lastId() const noexcept { return m_lastId; }

    /// Sets the identifier of the last event that the caller already has.
    void setLastId(std::string_view id) { m_lastId = std::string(id); }

private:
    std::string m_incompleteEvent;
    std::string m_lastId;
};

/// Tracks whether a stream of server-sent events ends between two events or inside one, without changing its bytes.
class event_boundary {
public:
    void append(std::string_view bytes);

    /// Prepares for the response of a new attempt.
    void restart() noexcept { m_lastBytes.clear(); }

    /// @return True if the bytes so far end inside an event.
    [[nodiscard]] bool isInsideEvent() const noexcept;

private:
    /// The end of the stream, as long as the longest end of an event.
    std::string m_lastBytes;
};

namespace detail {
    /// @return The value of an event's `id` line, or nothing.
    [[nodiscard]] std::optional<std::string_view> idOf(std::string_view event) noexcept;
}
}
