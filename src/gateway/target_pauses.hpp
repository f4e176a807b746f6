/// Pauses that targets ask for in refusals, and log lines about targets and their pauses.
#pragma once

#include "gateway/context.hpp"

#include <optional>
#include <span>
#include <string>

namespace bilberryseam::gateway {

/// One request that is counted among those that return after a pause, until its target responds or the call is destroyed.
class return_trial {
public:
    explicit return_trial(target_ptr target);
    return_trial(const return_trial&) = delete;
    return_trial& operator=(const return_trial&) = delete;
    ~return_trial();

    void onResponse(const http1::response_head& head);

private:
    void end(policy::trial_outcome outcome);

    target_ptr m_target;
    time_point m_pausedSince;
    bool m_isOpen;
};

/// Applies the pause that a response asks for, if any.
void applyPause(context& context, const target_ptr& target, const http1::response_head& head, time_point now);

/// Raises the limit of a service, if there is one, after a response of one of its targets.
void recordServed(context& context, std::string_view service, time_point now);

/// @return When a caller may come back to a service that takes no further request now; nothing if it takes one.
[[nodiscard]] std::optional<milliseconds> waitForService(const context& context, std::string_view service, time_point now);

/// Reports the pauses that have ended.
void endPauses(context& context, time_point now);

/// Reports a change of a target's record, with what the target said of itself.
void logRecordChange(const target_state& target, std::string_view change, time_point now);

/// @return The targets that get no requests now, as `ID:REASON:SINCE_MS_AGO:LEFT_MS`; times are empty if unknown. Names at most
/// eight and counts the others.
/// @param regions  The regions that the request may use.
[[nodiscard]] std::string textOfUnavailable(const context& context, std::span<const target_ptr> targets, const deployment::permitted_regions& regions, time_point now);
}
