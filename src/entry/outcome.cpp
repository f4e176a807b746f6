#include "entry/outcome.hpp"

namespace bilberryseam::entry {

outcome_reason reasonOf(wire::refusal refusal) noexcept
{
    switch (refusal) {
    case wire::refusal::KeyExpired:
        return outcome_reason::KeyExpired;
    case wire::refusal::KeyReused:
        return outcome_reason::KeyReused;
    case wire::refusal::RunsElsewhere:
        return outcome_reason::KeyRunsElsewhere;
    case wire::refusal::LogUnavailable:
    case wire::refusal::ClaimsNotReady:
        return outcome_reason::LogUnavailable;
    case wire::refusal::Quarantined:
        return outcome_reason::Quarantined;
    case wire::refusal::DeadlinePassed:
    case wire::refusal::Cancelled:
        return outcome_reason::DeadlinePassed;
    case wire::refusal::QueueFull:
        return outcome_reason::Overloaded;
    case wire::refusal::Draining:
    case wire::refusal::UnknownTarget:
    case wire::refusal::TargetDown:
        break;
    }
    return outcome_reason::NoTarget;
}

std::string_view nameOf(outcome_kind kind) noexcept
{
    switch (kind) {
    case outcome_kind::Answered:
        return "answered";
    case outcome_kind::NotRun:
        return "not_run";
    case outcome_kind::Failed:
        return "failed";
    case outcome_kind::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::string_view nameOf(outcome_reason reason) noexcept
{
    switch (reason) {
    case outcome_reason::None:
        return "none";
    case outcome_reason::BadRequest:
        return "bad_request";
    case outcome_reason::BodyTooLarge:
        return "body_too_large";
    case outcome_reason::UnknownPipeline:
        return "unknown_pipeline";
    case outcome_reason::UnknownAccount:
        return "unknown_account";
    case outcome_reason::DeadlinePassed:
        return "deadline_passed";
    case outcome_reason::KeyExpired:
        return "key_expired";
    case outcome_reason::KeyReused:
        return "key_reused";
    case outcome_reason::KeyRunsElsewhere:
        return "key_runs_elsewhere";
    case outcome_reason::NotReady:
        return "not_ready";
    case outcome_reason::Overloaded:
        return "overloaded";
    case outcome_reason::AccountLimit:
        return "account_limit";
    case outcome_reason::NoTarget:
        return "no_target";
    case outcome_reason::LogUnavailable:
        return "log_unavailable";
    case outcome_reason::TargetRejected:
        return "target_rejected";
    case outcome_reason::TargetCrashed:
        return "target_crashed";
    case outcome_reason::Quarantined:
        return "quarantined";
    case outcome_reason::RetriesSpent:
        return "retries_spent";
    case outcome_reason::LinkLost:
        return "link_lost";
    case outcome_reason::SlowReader:
        return "slow_reader";
    case outcome_reason::CallerDisconnected:
        return "caller_gone";
    case outcome_reason::Stopping:
        return "stopping";
    case outcome_reason::OutputLost:
        return "output_lost";
    }
    return "none";
}

unsigned httpStatusOf(const outcome& result) noexcept
{
    switch (result.kind) {
    case outcome_kind::Answered:
        return 200;
    case outcome_kind::Failed:
        return result.reason == outcome_reason::Quarantined ? 422 : 502;
    case outcome_kind::Unknown:
        return 504;
    case outcome_kind::NotRun:
        break;
    }
    switch (result.reason) {
    case outcome_reason::BadRequest:
    case outcome_reason::KeyExpired:
        return 400;
    case outcome_reason::DeadlinePassed:
        // With a retry time, capacity was lacking; without one, the deadline had passed on arrival.
        return result.retryAfter.count() > 0 ? 429 : 400;
    case outcome_reason::BodyTooLarge:
        return 413;
    case outcome_reason::UnknownPipeline:
        return 404;
    case outcome_reason::UnknownAccount:
        return 403;
    case outcome_reason::KeyReused:
    case outcome_reason::Quarantined:
        return 422;
    case outcome_reason::AccountLimit:
    case outcome_reason::Overloaded:
        return 429;
    default:
        return 503;
    }
}

std::string_view remedyOf(const outcome& result) noexcept
{
    switch (result.kind) {
    case outcome_kind::Answered:
        return "";
    case outcome_kind::NotRun:
        return result.retryAfter.count() > 0 ? "Send it again after the time in Retry-After." : "Correct the request before you send it again.";
    case outcome_kind::Failed:
        return "Do not send it again unchanged without need; it ran and failed.";
    case outcome_kind::Unknown:
        return "Ask again with the same Idempotency-Key; it cannot run twice under that key.";
    }
    return "";
}
}
