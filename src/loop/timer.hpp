/// Timers and idle callbacks on GLib's default main context.
#pragma once

#include "base/time.hpp"

#include <functional>
#include <glib.h>

namespace bilberryseam {

/// Calls a function once or periodically, until stopped or destroyed. Each start replaces the previous one.
class timer {
public:
    timer() = default;
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;
    ~timer() { stop(); }

    /// Calls `function` once after `delay`.
    void startOnce(milliseconds delay, std::function<void()> function);

    /// Calls `function` every `period`.
    void startEvery(milliseconds period, std::function<void()> function);

    /// Calls `function` once, after the main loop has handled the events that are ready now.
    void startWhenIdle(std::function<void()> function);

    void stop() noexcept;
    [[nodiscard]] bool isRunning() const noexcept { return m_source; }

private:
    void attach(GSource* source, bool isRepeating, std::function<void()> function);
    static gboolean dispatch(void* self);

    GSource* m_source = nullptr;
    bool m_isRepeating = false;
    std::function<void()> m_function;
};
}
