/// Splits a stream of events, so that it can be resumed at another target.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bilberryseam::gateway {

/// Hands on whole events only, each once and in order.
class event_stream {
public:
    /// What became of a block of bytes.
    enum class state {
        Good,
        /// An event is missing: the stream cannot be continued truthfully.
        Gap,
    };

    /// Takes bytes of a target's answer; appends whole new events to `out`.
    [[nodiscard]] state append(std::string_view bytes, std::string& out);

    /// The bytes of a new run follow; a half event of the run before is dropped.
    void restart() noexcept { m_incompleteEvent.clear(); }

    /// @return True if no half event is left.
    [[nodiscard]] bool isAtBoundary() const noexcept { return m_incompleteEvent.empty(); }

    /// @return Identifier of the last event that was handed on, or an empty text.
    [[nodiscard]] const std::string& lastId() const noexcept { return m_lastId; }

    /// Sets what the caller already has.
    void setLastId(std::string_view id) { m_lastId = std::string(id); }

private:
    std::string m_incompleteEvent;
    std::string m_lastId;
};

namespace detail {
    /// @return The value of an event's `id` line, or nothing.
    [[nodiscard]] std::optional<std::string_view> idOf(std::string_view event) noexcept;
}
}
