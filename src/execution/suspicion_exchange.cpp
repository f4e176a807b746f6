#include "execution/suspicion_exchange.hpp"

#include "base/hash.hpp"
#include "telemetry/log.hpp"

namespace bilberryseam::execution {

namespace {
    constexpr std::string_view logComponent = "suspicion";

    /// Daemons wait for different times before they start a trial, so that only one of them does.
    constexpr milliseconds trialDelayStep { 250 };
    constexpr uint64_t trialDelaySteps = 16;
}

suspicion_exchange::suspicion_exchange(metrics& metrics, std::string_view ownName, std::function<void(const wire::message&)> sendToAll, std::function<void()> onVerdict)
    : m_metrics(metrics)
    , m_sendToAll(std::move(sendToAll))
    , m_ownName(hashOf(ownName))
    , m_probe(metrics, [this](const probed_target& target, std::span<const std::vector<uint64_t>> requests, time_point at) { m_crashes.reportCrash(target.hash, target.name, requests, at); })
    , m_crashes(metrics, ownName,
          { m_sendToAll,
              [this, onVerdict = std::move(onVerdict)](time_point firstCrashAt) {
                  policy::withdrawSuspicions(m_table, firstCrashAt);
                  if (onVerdict)
                      onVerdict();
              },
              {} })
{
}

policy::execution_mode suspicion_exchange::executionModeOf(uint64_t fingerprint, std::span<const uint64_t> segments, time_point now) const noexcept
{
    return m_crashes.refusedSegment(segments, now) ? policy::execution_mode::Refused : policy::executionModeOf(m_table, fingerprint, now);
}

bool suspicion_exchange::tryStartTrial(uint64_t fingerprint, std::span<const uint64_t> segments, time_point now)
{
    if (policy::executionModeOf(m_table, fingerprint, now) == policy::execution_mode::Refused)
        return false;
    const auto segment = m_crashes.refusedSegment(segments, now);
    return segment && m_crashes.tryStartTrial(segments, trialDelayStep * static_cast<int64_t>(hashOfPair(m_ownName, *segment) % trialDelaySteps), now);
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
        return m_crashes.handle(message, "peer", now);
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
    m_crashes.sendAll(send, now);
}
}
