/// An HTTP response that is sent after the handler of its request has returned.
#pragma once

#include "loop/gobject_ptr.hpp"

#include <libsoup/soup.h>
#include <memory>
#include <nlohmann/json.hpp>

namespace bilberryseam {

/// Keeps a server message paused until its response is set. The client may disconnect before.
class deferred_response {
public:
    /// Pauses the message.
    explicit deferred_response(SoupServerMessage* message);
    ~deferred_response();
    deferred_response(const deferred_response&) = delete;
    deferred_response& operator=(const deferred_response&) = delete;

    /// Sends a JSON response, or does nothing if the client has disconnected. Call it at most once.
    void respond(unsigned status, const nlohmann::json& body);

    [[nodiscard]] bool isClientDisconnected() const noexcept { return m_isDisconnected; }

private:
    gobject_ptr<SoupServerMessage> m_message;
    gulong m_finishedHandler = 0;
    bool m_isDisconnected = false;
};
}
