#include "gateway/pool_reports.hpp"

#include "gateway/target_eligibility.hpp"
#include "platform/batch_call.hpp"
#include "platform/ingress.hpp"

namespace bilberryseam::gateway {

namespace {
    constexpr std::string_view logComponent = "pieces";

    /// Longest time for establishing a connection to a target.
    constexpr milliseconds connectTimeout { 300 };
    /// A response that arrives later says nothing about the present.
    constexpr milliseconds responseTimeout { 500 };
    constexpr uint64_t maxResponseBytes = 64 * 1024;

    /// Use by other entries below this share of a target's memory is not logged.
    constexpr double loggedShare = 0.1;
}

void pool_reports::onTakeover(std::string_view service, std::span<const target_ptr> targets) const
{
    for (const auto& target : targets)
        target->poolReport.isWanted = true;
    m_context.counters.count("pool_takeovers_total", { { "service", std::string(service) } });
    logLine(log_level::Info, logComponent, "The targets of a pool are queried, because another entry may have used them.", { { "service", std::string(service) }, { "targets", std::to_string(targets.size()) } });
}

void pool_reports::onLackOfRoom(target_state& target) const
{
    target.poolReport.isWanted = m_context.settings.poolReports;
}

void pool_reports::sendDueQueries(const std::string& service, std::span<const target_ptr> targets, const policy::pool_limits& limits, const own_use_of& ownUse, time_point now)
{
    for (const auto& target : targets) {
        if (!policy::needsReport(target->poolReport, now))
            continue;
        if (policy::reasonAgainst(conditionsOf(m_context, *target), now) == policy::ineligibility::None)
            query(service, target, limits, ownUse, now);
    }
}

void pool_reports::query(const std::string& service, const target_ptr& target, const policy::pool_limits& limits, const own_use_of& ownUse, time_point now)
{
    target->poolReport.askedAt = now;
    target->poolReport.isPending = true;
    target->poolReport.isWanted = false;
    const http1::outgoing_request request { "GET", std::string(platform::reportPath), platform::encodeInternalCallHeaders(target->listed), {} };
    const auto position = m_calls.insert(m_calls.end(), nullptr);
    const auto body = std::make_shared<std::string>();
    const auto status = std::make_shared<unsigned>(0);
    http1::client_call::callbacks callbacks;
    callbacks.onHead = [status](const http1::response_head& head) { *status = head.status; };
    callbacks.onBody = [body](std::string_view bytes) { body->append(bytes); };
    callbacks.onEnd = [this, service, target, limits, ownUse, position, body, status](http1::call_outcome outcome) {
        m_calls.erase(position);
        target->poolReport.isPending = false;
        const auto report = http1::isReceived(outcome) && *status == http1::statusOk ? platform::decodePoolReport(*body) : result<platform::pool_report>(error());
        m_context.counters.count("pool_reports_total", { { "service", service }, { "outcome", report ? "used" : "unusable" } });
        if (report)
            applyReport(service, *target, { report.value().running, report.value().waiting, report.value().freeBytes }, ownUse(*target), limits, monotonicNow());
    };
    *position = sendToTarget(m_context, target, request, { .connectTimeout = connectTimeout, .timeout = responseTimeout, .maxResponseBytes = maxResponseBytes, .isOnUnusedConnection = true }, std::move(callbacks));
}

void pool_reports::applyReport(const std::string& service, target_state& target, const policy::pool_report& report, const policy::own_use& own, const policy::pool_limits& limits, time_point now) const
{
    auto& state = target.poolReport;
    state.foreign = policy::foreignUseOf(report, own, limits, state.askedAt, now);
    const bool isBusy = now < state.foreign.busyUntil;
    if (!isBusy && state.foreign.bytes <= limits.memoryBytes * loggedShare)
        return;
    logLine(log_level::Info, logComponent, "Other entries use a target of a pool.", { { "target", target.listed.id }, { "service", service }, { "foreign_bytes", std::to_string(static_cast<int64_t>(state.foreign.bytes)) }, { "own_bytes", std::to_string(static_cast<int64_t>(own.bytes)) }, { "running", std::to_string(report.running) }, { "waiting", std::to_string(report.waiting) }, { "own_calls", std::to_string(own.calls) }, { "age_ms", std::to_string(asMilliseconds(now - state.askedAt)) } });
}
}
