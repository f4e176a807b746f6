#include "fakes/soup_faults.hpp"

#include "loop/deferred_response.hpp"

namespace bilberryseam::fakes {

using nlohmann::json;

void dropConnection(SoupServerMessage* message)
{
    if (GSocket* socket = soup_server_message_get_socket(message))
        g_socket_shutdown(socket, TRUE, TRUE, nullptr);
}

void answerLater(SoupServerMessage* message, milliseconds delay, std::function<std::pair<unsigned, json>()> function)
{
    struct pending {
        deferred_response later;
        std::function<std::pair<unsigned, json>()> function;
    };
    auto* kept = new pending { deferred_response(message), std::move(function) };
    const auto call = [](gpointer data) -> gboolean {
        const std::unique_ptr<pending> due(static_cast<pending*>(data));
        const auto [status, body] = due->function();
        due->later.respond(status, body);
        return G_SOURCE_REMOVE;
    };
    g_timeout_add(static_cast<guint>(delay.count()), call, kept);
}
}
