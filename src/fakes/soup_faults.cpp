#include "fakes/soup_faults.hpp"

#include "loop/deferred_response.hpp"

namespace bilberryseam::fakes {

using nlohmann::json;

void dropConnection(SoupServerMessage* message)
{
    if (GSocket* socket = soup_server_message_get_socket(message))
        g_socket_shutdown(socket, TRUE, TRUE, nullptr);
}

void respondLater(SoupServerMessage* message, milliseconds delay, std::function<std::pair<unsigned, json>()> function)
{
    struct pending_response {
        deferred_response deferred;
        std::function<std::pair<unsigned, json>()> function;
    };
    auto* newResponse = new pending_response { deferred_response(message), std::move(function) };
    const auto respond = [](gpointer data) -> gboolean {
        const std::unique_ptr<pending_response> response(static_cast<pending_response*>(data));
        const auto [status, body] = response->function();
        response->deferred.respond(status, body);
        return G_SOURCE_REMOVE;
    };
    g_timeout_add(static_cast<guint>(delay.count()), respond, newResponse);
}
}
