#include "platform/instance_list.hpp"

#include "telemetry/log.hpp"

#include <nlohmann/json.hpp>

namespace bilberryseam::platform {

namespace {
    constexpr std::string_view part = "instances";
}

namespace detail {

    bool isLeaving(std::string_view record)
    {
        const nlohmann::json document = nlohmann::json::parse(record, nullptr, false);
        return document.is_object() && document.contains("state") && document["state"] == "leaving";
    }
}

instance_list::instance_list(ip_endpoint store, milliseconds period, std::function<void(const leaving_instances&)> onList)
    : m_onList(std::move(onList))
    , m_store(std::move(store))
    , m_follower(m_store, std::string(instanceTopic), { milliseconds(0), period }, followCalls())
{
}

follow_callbacks instance_list::followCalls()
{
    follow_callbacks calls;
    calls.onSnapshot = [this](const std::map<std::string, std::string>& newest) {
        m_leaving.clear();
        for (const auto& [name, text] : newest)
            take(name, text);
        m_onList(m_leaving);
    };
    calls.onRecord = [this](const keyed_record& record) {
        take(record.key, record.value);
        m_onList(m_leaving);
    };
    calls.onReadSuccess = [this](time_point) {
        if (std::exchange(m_isLost, false))
            logLine(log_level::Info, part, "The instance list answers again.");
    };
    calls.onReadFailure = [this](std::string_view why) {
        if (!std::exchange(m_isLost, true))
            logLine(log_level::Warning, part, "The instance list does not answer; the last one holds.", { { "problem", std::string(why) } });
    };
    return calls;
}

void instance_list::take(const std::string& name, const std::optional<std::string>& text)
{
    if (text && detail::isLeaving(*text))
        m_leaving.insert(name);
    else
        m_leaving.erase(name);
}
}
