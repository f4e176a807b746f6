#include "loop/timer.hpp"

#include "loop/callback_guard.hpp"

namespace bilberryseam {

void timer::startOnce(milliseconds delay, std::function<void()> function)
{
    attach(g_timeout_source_new(static_cast<guint>(std::max<int64_t>(0, delay.count()))), false, std::move(function));
}

void timer::startEvery(milliseconds period, std::function<void()> function)
{
    attach(g_timeout_source_new(static_cast<guint>(std::max<int64_t>(1, period.count()))), true, std::move(function));
}

void timer::startWhenIdle(std::function<void()> function)
{
    GSource* source = g_idle_source_new();
    g_source_set_priority(source, G_PRIORITY_DEFAULT + 10);
    attach(source, false, std::move(function));
}

void timer::stop() noexcept
{
    if (!m_source)
        return;
    g_source_destroy(m_source);
    g_source_unref(m_source);
    m_source = nullptr;
}

void timer::attach(GSource* source, bool isRepeating, std::function<void()> function)
{
    stop();
    m_source = source;
    m_isRepeating = isRepeating;
    m_function = std::move(function);
    g_source_set_callback(source, &timer::dispatch, this, nullptr);
    g_source_attach(source, nullptr);
}

gboolean timer::dispatch(void* self)
{
    auto* owner = static_cast<timer*>(self);
    if (owner->m_isRepeating) {
        const auto function = owner->m_function;
        runGuarded("timer", function);
        return G_SOURCE_CONTINUE;
    }
    const auto function = std::move(owner->m_function);
    owner->stop();
    runGuarded("timer", function);
    return G_SOURCE_REMOVE;
}
}
