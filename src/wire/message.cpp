#include "wire/message.hpp"

#include <array>

namespace bilberryseam::wire {

namespace {
    /// In the order of the variant.
    constexpr std::array<std::string_view, std::variant_size_v<message>> messageNames { "start_call", "cancel_call", "call_refused", "call_started", "call_output", "call_finished", "target_load",
        "configuration_offset", "configuration_records", "crash_suspicion", "start_tasks", "task_finished", "tasks_refused", "cancel_tasks", "release_results", "crash_report",
        "segment_verdict", "segment_survival", "stream_begun", "stream_query", "stream_unknown", "survival_query", "crash_strike",
        "topic_query", "topic_records", "load_report", "load_summary" };
}

std::string_view nameOf(const message& item) noexcept
{
    return item.valueless_by_exception() ? "unknown" : messageNames[item.index()];
}

std::string_view nameOf(refusal reason) noexcept
{
    switch (reason) {
    case refusal::Draining:
        return "draining";
    case refusal::QueueFull:
        return "queue_full";
    case refusal::DeadlinePassed:
        return "deadline_passed";
    case refusal::UnknownTarget:
        return "unknown_target";
    case refusal::Quarantined:
        return "quarantined";
    case refusal::KeyExpired:
        return "key_expired";
    case refusal::ClaimsNotReady:
        return "claims_not_ready";
    case refusal::LogUnavailable:
        return "log_unavailable";
    case refusal::TargetDown:
        return "target_down";
    case refusal::Cancelled:
        return "cancelled";
    case refusal::RunsElsewhere:
        return "runs_elsewhere";
    case refusal::KeyReused:
        return "key_reused";
    }
    return "unknown";
}

std::string_view nameOf(call_end end) noexcept
{
    switch (end) {
    case call_end::Answered:
        return "answered";
    case call_end::Rejected:
        return "rejected";
    case call_end::TargetCrashed:
        return "target_crashed";
    case call_end::TimedOut:
        return "timed_out";
    case call_end::Cancelled:
        return "cancelled";
    case call_end::Unknown:
        return "unknown";
    }
    return "unknown";
}
}
