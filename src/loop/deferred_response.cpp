#include "loop/deferred_response.hpp"

#include "loop/http.hpp"

namespace bilberryseam {

deferred_response::deferred_response(SoupServerMessage* message)
    : m_message(gobject_ptr<SoupServerMessage>::share(message))
{
    soup_server_message_pause(message);
    const auto onFinished = +[](SoupServerMessage*, gpointer self) { static_cast<deferred_response*>(self)->m_isDisconnected = true; };
    m_finishedHandler = g_signal_connect(message, "finished", G_CALLBACK(onFinished), this);
}

deferred_response::~deferred_response()
{
    g_signal_handler_disconnect(m_message.get(), m_finishedHandler);
}

void deferred_response::respond(unsigned status, const nlohmann::json& body)
{
    if (m_isDisconnected)
        return;
    setJsonResponse(m_message.get(), status, body);
    soup_server_message_unpause(m_message.get());
}
}
