/// Decodes the records that the operator and the targets write to the platform's store.
#pragma once

#include "deployment/deployment.hpp"

#include <optional>
#include <string_view>

namespace bilberryseam::platform {

/// Topic of the operator's records.
constexpr std::string_view operatorTopic = "keyed.op";
/// Topic of the target records, whose keys are target identifiers.
constexpr std::string_view targetTopic = "keyed.servers";
/// Key of the configuration in `operatorTopic`.
constexpr std::string_view configurationKey = "config";
/// Prefix of the keys in `operatorTopic` that name an evacuated failure domain.
constexpr std::string_view evacuationPrefix = "evacuate/";

/// @return The failure domain that a key of `operatorTopic` evacuates; nothing for other keys. The domain may be empty.
[[nodiscard]] std::optional<std::string_view> evacuatedDomainOf(std::string_view key) noexcept;

/// Longest time for which a record or a response may state that its target is cold; longer ones are shortened.
constexpr milliseconds longestColdTime { 60000 };

/// @return The configuration, or `InvalidMessage` if any part of it is invalid.
[[nodiscard]] result<deployment::configuration> decodeConfiguration(std::string_view text);

/// Targets renew their records with a higher number and no other change.
/// @return The text of a target's record without the number in it: records with the same remaining text describe the same
/// target. Empty if the text must be decoded to know that.
[[nodiscard]] std::string withoutSequence(std::string_view text);

/// @return A text of at most `deployment::maxSoftwareVersionBytes` that is equal for equal versions only.
[[nodiscard]] std::string identityOfVersion(std::string_view version);

/// @param id  Key of the record.
/// @return The target, or `InvalidMessage` if the record does not describe a usable target.
[[nodiscard]] result<deployment::target> decodeTarget(std::string_view id, std::string_view text);
}
