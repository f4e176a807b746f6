#include "loop/client_memory_budget.hpp"

namespace bilberryseam {

std::string_view nameOf(pressure_event event) noexcept
{
    switch (event) {
    case pressure_event::Refused:
        return "refused";
    case pressure_event::Yielded:
        return "yielded";
    case pressure_event::PlaceYielded:
        return "place_yielded";
    case pressure_event::ReadingPaused:
        return "reading_paused";
    }
    return "refused";
}

client_memory_share::client_memory_share(std::shared_ptr<client_memory_budget> budget, std::function<void()> onYield)
    : m_budget(std::move(budget))
{
    if (!m_budget)
        return;
    m_id = m_budget->m_nextId++;
    m_budget->m_yieldHandlers.emplace(m_id, std::move(onYield));
}

client_memory_share::~client_memory_share()
{
    if (!m_budget)
        return;
    clear();
    m_budget->m_yieldHandlers.erase(m_id);
}

bool client_memory_share::grow(policy::memory_use use, size_t bytes)
{
    if (!m_budget)
        return true;
    const auto decision = policy::decideGrowth(m_budget->m_memory, m_id, use, bytes, monotonicNow());
    if (!decision.isGranted) {
        report(pressure_event::Refused);
        return false;
    }
    for (const policy::holder_id id : decision.yielding) {
        // The handler of one connection may end another.
        const auto position = m_budget->m_yieldHandlers.find(id);
        if (position == m_budget->m_yieldHandlers.end())
            continue;
        report(pressure_event::Yielded);
        const auto onYield = position->second;
        onYield();
    }
    set(use, bytes);
    return true;
}

void client_memory_share::set(policy::memory_use use, size_t bytes)
{
    if (m_budget)
        policy::setHeld(m_budget->m_memory, m_id, use, bytes);
}

void client_memory_share::clear() noexcept
{
    if (m_budget)
        policy::removeHolder(m_budget->m_memory, m_id);
}

void client_memory_share::setYielding(bool canYield, time_point progressAt)
{
    if (!m_budget)
        return;
    auto& holder = m_budget->m_memory.holders[m_id];
    holder.canYield = canYield;
    holder.progressAt = progressAt;
}

size_t client_memory_share::unsentLimit(size_t largest) const noexcept
{
    return policy::unsentLimit(m_budget ? m_budget->m_memory : policy::client_memory(), largest);
}

size_t client_memory_share::readAheadLimit() const noexcept
{
    return policy::readAheadLimit(m_budget ? m_budget->m_memory : policy::client_memory());
}

void client_memory_share::report(pressure_event event) const
{
    if (m_budget)
        m_budget->report(event);
}
}
