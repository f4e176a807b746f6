#include "execution/operator_server.hpp"

#include "loop/deferred_response.hpp"

namespace bilberryseam::execution {

using nlohmann::json;

operator_server::operator_server(const ip_endpoint& listen, metrics& metrics, callbacks callbacks)
    : m_metrics(metrics)
    , m_callbacks(std::move(callbacks))
    , m_server(gobject_ptr<SoupServer>::adopt(soup_server_new(nullptr, nullptr)))
{
    soup_server_add_handler(m_server.get(), "/", &operator_server::handle, this, nullptr);
    listenOn(m_server.get(), listen);
}

void operator_server::handle(SoupServer*, SoupServerMessage* message, const char* path, GHashTable*, gpointer self)
{
    static_cast<operator_server*>(self)->handleRequest(message, path);
}

void operator_server::handleRequest(SoupServerMessage* message, const std::string& path)
{
    const std::string_view method = soup_server_message_get_method(message);
    if (method == "POST") {
        const auto position = m_postHandlers.find(path);
        if (position == m_postHandlers.end()) {
            setJsonResponse(message, 404, { { "error", "There is no such command." } });
            return;
        }
        callHandler(position->second, message, bodyOf(message));
        return;
    }
    if (path == "/metrics") {
        const std::string text = m_metrics.serialize();
        soup_server_message_set_status(message, 200, nullptr);
        soup_server_message_set_response(message, "text/plain; version=0.0.4", SOUP_MEMORY_COPY, text.data(), text.size());
    } else if (path == "/healthz") {
        setJsonResponse(message, 200, { { "healthy", true } });
    } else if (path == "/readyz") {
        const bool isReady = m_callbacks.isReady();
        setJsonResponse(message, isReady ? 200 : 503, { { "ready", isReady } });
    } else if (path == "/status") {
        setJsonResponse(message, 200, m_callbacks.status());
    } else if (const auto position = m_getHandlers.find(path); position != m_getHandlers.end()) {
        const char* query = g_uri_get_query(soup_server_message_get_uri(message));
        callHandler(position->second, message, query ? query : "");
    } else {
        setJsonResponse(message, 404, { { "error", "There is no such page." } });
    }
}

void operator_server::callHandler(const handler& requestHandler, SoupServerMessage* message, std::string_view input)
{
    const auto reply = std::make_shared<deferred_response>(message);
    requestHandler(input, [reply](unsigned status, const json& body) { reply->respond(status, body); });
}
}
