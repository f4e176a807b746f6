#include "loop/disconnect_watch.hpp"

#include "loop/callback_guard.hpp"

#include <cerrno>
#include <sys/socket.h>

namespace bilberryseam {

disconnect_watch::disconnect_watch(SoupServerMessage* message, std::function<void()> onDisconnect)
    : m_onDisconnect(std::move(onDisconnect))
{
    GSocket* socket = soup_server_message_get_socket(message);
    if (!socket)
        return;
    m_source = g_socket_create_source(socket, static_cast<GIOCondition>(G_IO_IN | G_IO_HUP | G_IO_ERR), nullptr);
    g_source_set_callback(m_source, G_SOURCE_FUNC(&disconnect_watch::onReady), this, nullptr);
    g_source_attach(m_source, nullptr);
}

void disconnect_watch::stop() noexcept
{
    if (!m_source)
        return;
    g_source_destroy(m_source);
    g_source_unref(m_source);
    m_source = nullptr;
}

gboolean disconnect_watch::onReady(GSocket* socket, GIOCondition, gpointer self)
{
    auto* watch = static_cast<disconnect_watch*>(self);
    char byte;
    const ssize_t count = recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
        return G_SOURCE_CONTINUE;
    // With data of a pipelined request in the socket, a later disconnect can no longer be detected.
    watch->stop();
    if (const auto onDisconnect = watch->m_onDisconnect; count <= 0)
        runGuarded("disconnect", onDisconnect);
    return G_SOURCE_REMOVE;
}
}
