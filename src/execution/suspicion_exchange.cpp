#include "execution/suspicion_exchange.hpp"

#include "telemetry/log.hpp"

namespace bilberryseam::execution {

namespace {
    constexpr std::string_view logComponent = "suspicion";
}

suspicion_exchange::suspicion_exchange(metrics& metrics, std::function<void(const wire::message&)> sendToAll)
    : m_metrics(metrics)
    , m_sendToAll(std::move(sendToAll))
{
}

wire::crash_suspicion suspicion_exchange::messageOf(uint64_t fingerprint, const policy::suspicion& suspicion, time_point now)
{
    return { fingerprint, suspicion.crashCount, suspicion.isQuarantined, static_cast<uint32_t>(std::max<int64_t>(0, asMilliseconds(suspicion.expires - now))) };
}

void suspicion_exchange::recordCrash(uint64_t fingerprint, bool wasIsolated, time_point now)
{
    const policy::suspicion suspicion = policy::recordCrash(m_table, fingerprint, wasIsolated, now);
    m_metrics.count("crash_strikes_total", { { "alone", wasIsolated ? "true" : "false" } });
    if (suspicion.isQuarantined)
        logLine(log_level::Warning, logComponent, "A request is quarantined.", { { "fingerprint", std::to_string(fingerprint) } });
    m_sendToAll(messageOf(fingerprint, suspicion, now));
}

bool suspicion_exchange::handle(const wire::message& message, time_point now)
{
    const auto* report = std::get_if<wire::crash_suspicion>(&message);
    if (!report)
        return false;
    const milliseconds remainingTime = std::min<milliseconds>(milliseconds(report->remainingMs), policy::quarantineTime);
    const policy::suspicion suspicion { report->crashCount, report->isQuarantined, now + remainingTime };
    if (policy::mergeSuspicion(m_table, report->fingerprint, suspicion, now))
        m_sendToAll(*report);
    return true;
}

void suspicion_exchange::sendAll(const std::function<void(wire::message)>& send, time_point now) const
{
    for (const auto& [fingerprint, suspicion] : m_table.byFingerprint) {
        if (suspicion.expires > now)
            send(messageOf(fingerprint, suspicion, now));
    }
}
}
