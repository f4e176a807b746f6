#include "execution/suspicion_exchange.hpp"

#include "telemetry/log.hpp"

namespace bilberryseam::execution {

namespace {
    constexpr std::string_view part = "suspicion";
}

suspicion_exchange::suspicion_exchange(metrics& metrics, std::function<void(const wire::message&)> sendToAll)
    : m_metrics(metrics)
    , m_sendToAll(std::move(sendToAll))
{
}

wire::crash_suspicion suspicion_exchange::messageOf(uint64_t fingerprint, const policy::suspicion& held, time_point now)
{
    return { fingerprint, held.crashCount, held.isQuarantined, static_cast<uint32_t>(std::max<int64_t>(0, asMilliseconds(held.expires - now))) };
}

void suspicion_exchange::recordCrash(uint64_t fingerprint, bool wasAlone, time_point now)
{
    const policy::suspicion held = policy::recordCrash(m_table, fingerprint, wasAlone, now);
    m_metrics.count("crash_strikes_total", { { "alone", wasAlone ? "true" : "false" } });
    if (held.isQuarantined)
        logLine(log_level::Warning, part, "A request is quarantined.", { { "fingerprint", std::to_string(fingerprint) } });
    m_sendToAll(messageOf(fingerprint, held, now));
}

bool suspicion_exchange::handle(const wire::message& item, time_point now)
{
    const auto* told = std::get_if<wire::crash_suspicion>(&item);
    if (!told)
        return false;
    const milliseconds remaining = std::min<milliseconds>(milliseconds(told->remainingMs), policy::quarantineTime);
    const policy::suspicion held { told->strikes, told->isQuarantined, now + remaining };
    if (policy::mergeSuspicion(m_table, told->fingerprint, held, now))
        m_sendToAll(*told);
    return true;
}

void suspicion_exchange::sendAll(const std::function<void(wire::message)>& send, time_point now) const
{
    for (const auto& [fingerprint, held] : m_table.byFingerprint) {
        if (held.expires > now)
            send(messageOf(fingerprint, held, now));
    }
}
}
