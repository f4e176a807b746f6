#include "loop/main_loop.hpp"

#include "loop/callback_guard.hpp"

#include <csignal>
#include <glib-unix.h>

namespace bilberryseam {

main_loop::main_loop()
    : m_loop(g_main_loop_new(nullptr, FALSE))
{
    // A write to a connection that the peer has closed must not terminate the process.
    std::signal(SIGPIPE, SIG_IGN);
}

main_loop::~main_loop()
{
    g_main_loop_unref(m_loop);
}

void main_loop::onTerminate(std::function<void()> function)
{
    m_onTerminate = std::move(function);
    const auto handler = [](void* self) -> gboolean {
        runGuarded("signal", static_cast<main_loop*>(self)->m_onTerminate);
        return G_SOURCE_CONTINUE;
    };
    g_unix_signal_add(SIGTERM, handler, this);
    g_unix_signal_add(SIGINT, handler, this);
}

void onHangup(std::function<void()> function)
{
    using function_pointer = std::function<void()>*;
    const auto handler = [](void* self) -> gboolean {
        runGuarded("signal", *static_cast<function_pointer>(self));
        return G_SOURCE_CONTINUE;
    };
    const auto destroy = [](void* self) { delete static_cast<function_pointer>(self); };
    g_unix_signal_add_full(G_PRIORITY_DEFAULT, SIGHUP, handler, new std::function<void()>(std::move(function)), destroy);
}
}
