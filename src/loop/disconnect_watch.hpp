/// Detects that an HTTP client disconnects while its request is paused; libsoup does not read from the socket then.
#pragma once

#include <functional>
#include <gio/gio.h>
#include <libsoup/soup.h>

namespace bilberryseam {

/// Monitors the connection of one server message until destroyed.
class disconnect_watch {
public:
    /// @param message       The message whose client is monitored.
    /// @param onDisconnect  Called once if the client closes the connection.
    disconnect_watch(SoupServerMessage* message, std::function<void()> onDisconnect);
    ~disconnect_watch() { stop(); }
    disconnect_watch(const disconnect_watch&) = delete;
    disconnect_watch& operator=(const disconnect_watch&) = delete;

    void stop() noexcept;

private:
    static gboolean onReady(GSocket* socket, GIOCondition condition, gpointer self);

    std::function<void()> m_onDisconnect;
    GSource* m_source = nullptr;
};
}
