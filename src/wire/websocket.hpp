/// One WebSocket connection over a GIO socket. This header compiles as C++17 and C++20.
#pragma once

#include <functional>
#include <gio/gio.h>
#include <memory>
#include <string>
#include <string_view>

namespace bilberryseam::wire {

/// Maximum size of a WebSocket message that is sent or accepted, in bytes.
constexpr size_t maxWebsocketMessageBytes = 8 * 1024 * 1024;

/// A WebSocket connection; binary messages only. Its destructor closes the socket.
class websocket {
public:
    /// Event handlers of the owner, which may destroy the websocket inside any of them.
    struct callbacks {
        std::function<void()> onOpen;
        std::function<void(std::string_view message)> onMessage;
        std::function<void(std::string_view reason)> onClose;
        /// Bytes were received that do not end a message, or the handshake; may be empty.
        /// @return False if the connection is to be closed.
        std::function<bool(size_t unfinishedBytes)> onUnfinished;
    };

    /// Runs the client's side of the opening handshake on a connected socket.
    [[nodiscard]] static std::unique_ptr<websocket> connect(GSocketConnection* connection, callbacks callbacks);

    /// Runs the server's side of the opening handshake on an accepted socket.
    [[nodiscard]] static std::unique_ptr<websocket> accept(GSocketConnection* connection, callbacks callbacks);

    ~websocket();

    /// Sets the largest message that is accepted; at most `maxWebsocketMessageBytes`.
    void setMaxMessageBytes(size_t bytes);

    /// Sends one binary message; bytes that the socket cannot accept now are buffered.
    void send(std::string_view message);

    /// @return Bytes accepted by `send` that are not yet written to the socket.
    [[nodiscard]] size_t bufferedBytes() const noexcept;

private:
    class implementation;
    explicit websocket(std::shared_ptr<implementation> impl);
    std::shared_ptr<implementation> m_implementation;
};
}
