/// The main loop of a process; each daemon runs one, on a single thread.
#pragma once

#include <functional>
#include <glib.h>

namespace bilberryseam {

/// Runs GLib's default main context until `quit` is called.
class main_loop {
public:
    main_loop();
    ~main_loop();
    main_loop(const main_loop&) = delete;
    main_loop& operator=(const main_loop&) = delete;

    /// Calls `function` from the main loop on SIGTERM and SIGINT.
    void onTerminate(std::function<void()> function);

    void run() { g_main_loop_run(m_loop); }
    void quit() { g_main_loop_quit(m_loop); }

private:
    GMainLoop* m_loop;
    std::function<void()> m_onTerminate;
};

/// Calls `function` from the main loop at each SIGHUP, until the process ends.
void onHangup(std::function<void()> function);
}
