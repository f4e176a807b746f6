/// One WebSocket connection over a GIO socket. This header compiles as C++17 and C++20.
#pragma once

#include <functional>
#include <gio/gio.h>
#include <memory>
#include <string>
#include <string_view>

namespace bilberryseam::wire {

/// Largest WebSocket message that is sent or accepted, in bytes.
constexpr size_t maxWebsocketMessageBytes = 8 * 1024 * 1024;

/// A WebSocket connection; binary messages only. Dropping it closes the socket.
class websocket {
public:
    /// What the owner is told. The owner may drop the websocket inside any of these calls.
    struct callbacks {
        std::function<void()> onOpen;
        std::function<void(std::string_view message)> onMessage;
        std::function<void(std::string_view reason)> onClose;
    };

    /// Runs the client's side of the opening handshake on a connected socket.
    [[nodiscard]] static std::unique_ptr<websocket> connect(GSocketConnection* connection, callbacks callbacks);

    /// Runs the server's side of the opening handshake on an accepted socket.
    [[nodiscard]] static std::unique_ptr<websocket> accept(GSocketConnection* connection, callbacks callbacks);

    ~websocket();

    /// Sends one binary message; bytes that the socket does not take now are buffered.
    void send(std::string_view message);

    /// @return Bytes accepted by `send` that the socket has not yet taken.
    [[nodiscard]] size_t bufferedBytes() const noexcept;

private:
    class implementation;
    explicit websocket(std::shared_ptr<implementation> impl);
    std::shared_ptr<implementation> m_implementation;
};
}
