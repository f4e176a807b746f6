#include "platform/instance_list.hpp"

#include "telemetry/log.hpp"

#include <nlohmann/json.hpp>

namespace bilberryseam::platform {

namespace {
    constexpr std::string_view logComponent = "instances";
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
    , m_follower(m_store, std::string(instanceTopic), { milliseconds(0), period }, makeCallbacks())
{
}

follow_callbacks instance_list::makeCallbacks()
{
    follow_callbacks callbacks;
    callbacks.onSnapshot = [this](const std::map<std::string, std::string>& records) {
        m_leaving.clear();
        for (const auto& [instance, record] : records)
            applyRecord(instance, record);
        m_onList(m_leaving);
    };
    callbacks.onRecord = [this](const keyed_record& record) {
        applyRecord(record.key, record.value);
        m_onList(m_leaving);
    };
    callbacks.onReadSuccess = [this](time_point) {
        if (std::exchange(m_isStoreUnreachable, false))
            logLine(log_level::Info, logComponent, "The instance list is reachable again.");
    };
    callbacks.onReadFailure = [this](std::string_view reason) {
        if (!std::exchange(m_isStoreUnreachable, true))
            logLine(log_level::Warning, logComponent, "The instance list is unreachable; the last known list stays in use.", { { "problem", std::string(reason) } });
    };
    return callbacks;
}

void instance_list::applyRecord(const std::string& instance, const std::optional<std::string>& record)
{
    if (record && detail::isLeaving(*record))
        m_leaving.insert(instance);
    else
        m_leaving.erase(instance);
}
}
