#include "fakes/fake_instances.hpp"

namespace bilberryseam::fakes {

using nlohmann::json;

fake_instances::fake_instances(const ip_endpoint& listen)
    : m_server(gobject_ptr<SoupServer>::adopt(soup_server_new(nullptr, nullptr)))
{
    soup_server_add_handler(m_server.get(), "/", &fake_instances::handle, this, nullptr);
    listenOn(m_server.get(), listen);
}

void fake_instances::handle(SoupServer*, SoupServerMessage* message, const char*, GHashTable*, gpointer self)
{
    json instances = json::array();
    for (const std::string& name : static_cast<fake_instances*>(self)->m_leaving)
        instances.push_back({ { "name", name }, { "state", "leaving" } });
    replyJson(message, 200, { { "instances", instances } });
}

void fake_instances::control(const json& switches)
{
    m_leaving = switches.value("leaving", m_leaving);
}
}
