/// An answer to an HTTP request that comes later than its handler returns.
#pragma once

#include "loop/gobject_ptr.hpp"

#include <libsoup/soup.h>
#include <memory>
#include <nlohmann/json.hpp>

namespace bilberryseam {

/// Holds a message until its answer; harmless if the client leaves before.
class deferred_response {
public:
    /// Pauses the message.
    explicit deferred_response(SoupServerMessage* message);
    ~deferred_response();
    deferred_response(const deferred_response&) = delete;
    deferred_response& operator=(const deferred_response&) = delete;

    /// Answers with JSON; does nothing if the client has left. Call it once.
    void respond(unsigned status, const nlohmann::json& body);

    [[nodiscard]] bool isClientDisconnected() const noexcept { return m_isDisconnected; }

private:
    gobject_ptr<SoupServerMessage> m_message;
    gulong m_finishedHandler = 0;
    bool m_isDisconnected = false;
};
}
