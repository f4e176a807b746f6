/// The memory that the clients of all servers of a process may have it hold.
#pragma once

#include "policy/client_memory.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string_view>

namespace bilberryseam {

/// What happened to a client for want of memory or places.
enum class pressure_event {
    /// A request, or a message, was refused because it did not fit.
    Refused,
    /// A connection yielded what it held to others.
    Yielded,
    /// A connection yielded its place to a new one.
    PlaceYielded,
    /// Reading was paused behind an unfinished request.
    ReadingPaused,
};

/// @return The name used in metrics and logs.
[[nodiscard]] std::string_view nameOf(pressure_event event) noexcept;

/// Shared by all servers of a process. Connections take part through `client_memory_share`.
class client_memory_budget {
public:
    explicit client_memory_budget(policy::client_memory_limits limits) { m_memory.limits = limits; }
    client_memory_budget(const client_memory_budget&) = delete;
    client_memory_budget& operator=(const client_memory_budget&) = delete;

    void setLimits(policy::client_memory_limits limits) noexcept { m_memory.limits = limits; }
    [[nodiscard]] const policy::client_memory& memory() const noexcept { return m_memory; }

    void setOnPressure(std::function<void(pressure_event)> onPressure) { m_onPressure = std::move(onPressure); }
    void report(pressure_event event) const
    {
        if (m_onPressure)
            m_onPressure(event);
    }

private:
    friend class client_memory_share;

    policy::client_memory m_memory;
    std::map<policy::holder_id, std::function<void()>> m_yieldHandlers;
    policy::holder_id m_nextId = 1;
    std::function<void(pressure_event)> m_onPressure;
};

/// What one connection holds of the budget; its destructor gives it back.
class client_memory_share {
public:
    /// @param budget   The budget; null for no limit.
    /// @param onYield  Frees what the connection holds, by refusing its request or closing it. Called only while the connection
    ///                 can yield, also while another connection is being served.
    client_memory_share(std::shared_ptr<client_memory_budget> budget, std::function<void()> onYield);
    client_memory_share(const client_memory_share&) = delete;
    client_memory_share& operator=(const client_memory_share&) = delete;
    ~client_memory_share();

    /// Holds `bytes` for a use instead of what is held for it now, if they fit; other connections may yield.
    /// @return False if they do not fit; nothing is changed.
    [[nodiscard]] bool grow(policy::memory_use use, size_t bytes);

    /// Holds `bytes` for a use, whether they fit or not.
    void set(policy::memory_use use, size_t bytes);

    /// Gives everything back.
    void clear() noexcept;

    /// Sets whether the connection can yield, and when it last made progress.
    void setYielding(bool canYield, time_point progressAt);

    [[nodiscard]] size_t unsentLimit(size_t largest) const noexcept;
    [[nodiscard]] size_t readAheadLimit() const noexcept;
    void report(pressure_event event) const;

private:
    std::shared_ptr<client_memory_budget> m_budget;
    policy::holder_id m_id = 0;
};
}
