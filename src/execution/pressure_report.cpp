#include "execution/pressure_report.hpp"

#include "telemetry/log.hpp"

namespace bilberryseam::execution {

namespace {
    constexpr milliseconds logPeriod { 1000 };
}

pressure_report::pressure_report(std::shared_ptr<client_memory_budget> budget, metrics& counters, std::string_view component)
    : m_budget(std::move(budget))
    , m_counters(counters)
    , m_component(component)
{
    m_budget->setOnPressure([this](pressure_event event) {
        m_counters.count("client_pressure_total", { { "event", std::string(nameOf(event)) } });
        add(std::string(nameOf(event)));
    });
}

void pressure_report::recordUnread(unsigned status, std::string_view reason)
{
    m_counters.count("unread_requests_total", { { "status", std::to_string(status) } });
    add(std::to_string(status) + ": " + std::string(reason));
}

void pressure_report::recordUnfinished(std::string_view reason)
{
    m_counters.count("unfinished_connections_total", { { "reason", std::string(reason) } });
    add("unfinished: " + std::string(reason));
}

void pressure_report::add(std::string event)
{
    ++m_unlogged[std::move(event)];
    if (!m_logPause.isRunning())
        log();
}

void pressure_report::log()
{
    if (m_unlogged.empty())
        return;
    std::string events;
    for (const auto& [event, count] : m_unlogged)
        events.append(events.empty() ? "" : ", ").append(event).append(" (").append(std::to_string(count)).append(")");
    m_unlogged.clear();
    const policy::client_memory& memory = m_budget->memory();
    logLine(log_level::Warning, m_component, "Clients were refused, or held back.", { { "events", events }, { "held_bytes", std::to_string(memory.total()) }, { "limit_bytes", std::to_string(memory.limits.total) } });
    m_logPause.startOnce(logPeriod, [this] { log(); });
}

void pressure_report::updateGauges()
{
    const policy::client_memory& memory = m_budget->memory();
    for (size_t i = 0; i < policy::memoryUseCount; ++i) {
        const auto use = static_cast<policy::memory_use>(i);
        m_counters.set("client_memory_bytes", { { "use", std::string(policy::nameOf(use)) } }, static_cast<double>(memory.bytesOf(use)));
    }
    m_counters.set("client_memory_limit_bytes", {}, static_cast<double>(memory.limits.total));
}
}
