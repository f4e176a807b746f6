/// What speaks against targets in this process: permitted regions, evacuations and what targets stated.
#pragma once

#include "gateway/context.hpp"
#include "gateway/stage_job.hpp"
#include "policy/eligibility.hpp"

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace bilberryseam::gateway {

/// @return The region of a failure domain; empty if the settings do not contain it.
[[nodiscard]] std::string_view regionOf(const context& context, std::string_view failureDomain) noexcept;

/// @return Whether the failure domain of a target is evacuated.
[[nodiscard]] bool isEvacuated(const context& context, const target_state& target) noexcept;

/// @return What holds for the target and any request that may use these regions. The result refers to the target's state.
[[nodiscard]] policy::target_conditions conditionsOf(const context& context, const target_state& target, const deployment::permitted_regions& regions = {}) noexcept;

/// @return Whether the target may get work as soon as its limit allows.
[[nodiscard]] bool isAvailable(const context& context, const target_state& target, const deployment::permitted_regions& regions, time_point now) noexcept;

/// @return The regions that a request or job may use now: those permitted when it was accepted, and those of the newest
/// configuration.
[[nodiscard]] deployment::permitted_regions regionsNow(const context& context, const deployment::permitted_regions& accepted, std::string_view route, std::string_view account);

/// @return The regions that a job may use now. They are kept in the job until the configuration changes.
[[nodiscard]] const deployment::permitted_regions& regionsNow(const context& context, stage_job& job);

/// @return `no_permitted_region` or `evacuated` if regions or evacuations leave no target of the service; nothing if they do
/// not, although there may be no usable target for other reasons.
/// @param isSuitable  Whether a target may be counted at all; may be empty.
[[nodiscard]] std::optional<std::string_view> placementObstacle(const context& context, std::string_view service, const deployment::permitted_regions& regions, const std::function<bool(const target_state&)>& isSuitable = {});

/// @return The permitted regions that the settings contain; the others permit no target.
[[nodiscard]] std::vector<std::string> knownRegionsOf(const context& context, const deployment::permitted_regions& regions);

/// @return Names for a log line, separated by commas; `any` if all regions are permitted.
[[nodiscard]] std::string textOf(const deployment::permitted_regions& regions);

/// @return The evacuated failure domains with the time since when they are known, as `DOMAIN:SINCE_MS_AGO`.
[[nodiscard]] std::string textOfEvacuations(const context& context, time_point now);

/// Applies a record of the operator's topic that evacuates a failure domain, or withdraws that.
/// @param value  Not set if the evacuation is withdrawn.
void applyEvacuation(context& context, std::string_view domain, const std::optional<std::string>& value, time_point now);

/// Applies all evacuations in the operator's topic.
/// @param domains  Values by failure domain.
/// @param era      Era of the store in which they were read.
void applyEvacuations(context& context, const std::map<std::string, std::string, std::less<>>& domains, uint64_t era, time_point now);

/// Ends the evacuations that were not written again in time after the store had lost them.
void dropLostEvacuations(context& context, time_point now);

/// Reports the regions in a configuration that the settings do not contain.
void logUnknownRegions(const context& context, const deployment::configuration& configuration);
}
