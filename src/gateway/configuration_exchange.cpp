#include "gateway/configuration_exchange.hpp"

namespace bilberryseam::gateway {

configuration_exchange::configuration_exchange(metrics& metrics, std::function<void(std::string_view text)> onReceived)
    : m_metrics(metrics)
    , m_onReceived(std::move(onReceived))
{
}

void configuration_exchange::setInForce(uint64_t version, std::string_view text)
{
    m_version = version;
    m_text = text;
}

wire::message configuration_exchange::query() const
{
    return wire::configuration_offset { m_version, true };
}

bool configuration_exchange::handle(const wire::message& message, const std::function<void(wire::message)>& reply)
{
    if (const auto* query = std::get_if<wire::configuration_offset>(&message)) {
        reply(wire::configuration_records { query->offset < m_version ? m_text : "", {} });
        return true;
    }
    const auto* response = std::get_if<wire::configuration_records>(&message);
    if (!response)
        return false;
    if (!response->snapshot.empty()) {
        m_metrics.count("configurations_from_entries_total");
        m_onReceived(response->snapshot);
    }
    return true;
}
}
