/// Decodes the records that the operator and the targets write to the platform's store.
#pragma once

#include "deployment/deployment.hpp"

#include <string_view>

namespace bilberryseam::platform {

/// Topics of the store's records, and the operator's key in the first.
constexpr std::string_view operatorTopic = "keyed.op";
constexpr std::string_view targetTopic = "keyed.servers";
constexpr std::string_view configurationKey = "config";

/// @return The configuration, or `InvalidMessage` for one that cannot be read as a whole.
[[nodiscard]] result<deployment::configuration> decodeConfiguration(std::string_view text);

/// @param id  The key of the record.
/// @return The target, or `InvalidMessage` for an entry that names no target to use.
[[nodiscard]] result<deployment::target> decodeTarget(std::string_view id, std::string_view text);
}
