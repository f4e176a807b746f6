/// Reading and validation of settings files.
#pragma once

#include "base/json_schema.hpp"

#include <string>

namespace bilberryseam::settings {

/// Reads a settings file and validates it.
/// @param path    The file.
/// @param schema  Its schema.
/// @return The document, or `InvalidSettings` with the file, the location in it and the remedy.
[[nodiscard]] result<nlohmann::json> readSettingsFile(const std::string& path, const json_schema& schema);

namespace detail {
    /// Reads and validates a settings file and converts it to settings.
    /// @param convert  Called with the document and the path; may throw `error`.
    template <typename Settings>
    [[nodiscard]] result<Settings> settingsFromFile(const std::string& path, const json_schema& schema, Settings (*convert)(const nlohmann::json&, const std::string&))
    {
        const result<nlohmann::json> document = readSettingsFile(path, schema);
        if (!document)
            return document.error();
        try {
            return convert(document.value(), path);
        } catch (const error& exception) {
            return exception;
        }
    }
}
}
