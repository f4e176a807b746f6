#include "platform/instance_list.hpp"

namespace bilberryseam::platform {

namespace {
    constexpr milliseconds listTimeout { 2000 };

    std::optional<leaving_instances> readList(const http_reply& reply)
    {
        const nlohmann::json body = nlohmann::json::parse(reply.body, nullptr, false);
        if (!reply.isOk() || !body.is_object() || !body.contains("instances") || !body["instances"].is_array())
            return std::nullopt;
        leaving_instances leaving;
        for (const auto& item : body["instances"]) {
            if (item.is_object() && item.value("state", "") == "leaving")
                leaving.insert(item.value("name", ""));
        }
        return leaving;
    }
}

instance_list::instance_list(ip_endpoint list, milliseconds period, std::function<void(const leaving_instances&)> onList)
    : m_list(std::move(list))
    , m_onList(std::move(onList))
{
    m_period.startEvery(period, [this] { poll(); });
    poll();
}

void instance_list::poll()
{
    m_pending = m_http.send({ "GET", urlOf(m_list, "/v1/instances"), "", {}, false, listTimeout }, [this](http_reply reply) {
        if (const auto leaving = readList(reply))
            m_onList(*leaving);
    });
}
}
