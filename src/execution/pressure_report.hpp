/// Counts and logs what happens to clients for want of memory or places, and to requests that are refused unread.
#pragma once

#include "loop/client_memory_budget.hpp"
#include "loop/timer.hpp"
#include "telemetry/metrics.hpp"

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace bilberryseam::execution {

/// Reports on all servers of a process. Logs at most one line a second, however many clients there are.
class pressure_report {
public:
    /// @param component  Component in the log.
    pressure_report(std::shared_ptr<client_memory_budget> budget, metrics& counters, std::string_view component);

    /// Counts a request or connection that a server refused before its handler was called.
    /// @param status  Status of the response; 0 for a closed connection.
    void recordUnread(unsigned status, std::string_view reason);

    /// Counts a connection that ended before its requests, of which none was handed over, had responses.
    void recordUnfinished(std::string_view reason);

    /// Records that somebody violated the protocol between processes; the caller counts it.
    void recordViolation(std::string_view rule) { add("protocol: " + std::string(rule)); }

    /// Sets the gauges of what clients have the process hold.
    void updateGauges();

private:
    void add(std::string event);
    void log();

    std::shared_ptr<client_memory_budget> m_budget;
    metrics& m_counters;
    std::string_view m_component;
    std::map<std::string, uint64_t> m_unlogged;
    timer m_logPause;
};
}
