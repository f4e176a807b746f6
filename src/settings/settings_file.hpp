/// Reads a settings file and checks it against its schema.
#pragma once

#include "base/json_schema.hpp"

#include <string>

namespace bilberryseam::settings {

/// @param path    The file.
/// @param schema  Its schema.
/// @return The document, or `InvalidSettings` with the file, the place in it and the remedy.
[[nodiscard]] result<nlohmann::json> readSettingsFile(const std::string& path, const json_schema& schema);
}
