/// Notices that an HTTP client went away while its request is paused; libsoup does not look then.
#pragma once

#include <functional>
#include <gio/gio.h>
#include <libsoup/soup.h>

namespace bilberryseam {

/// Watches the connection of one server message until dropped.
class disconnect_watch {
public:
    /// @param message  The message whose client is watched.
    /// @param onGone   Called once if the client closes its end.
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
