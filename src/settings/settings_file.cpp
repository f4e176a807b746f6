#include "settings/settings_file.hpp"

#include <fstream>
#include <sstream>

namespace bilberryseam::settings {

result<nlohmann::json> readSettingsFile(const std::string& path, const json_schema& schema)
{
    std::ifstream file(path);
    if (!file)
        return error(error_kind::InvalidSettings, "The file cannot be read.", "Give the path of a readable file.", path);
    std::ostringstream text;
    text << file.rdbuf();
    result<nlohmann::json> document = parseJson(text.str(), path, error_kind::InvalidSettings);
    if (!document)
        return document;
    if (const result<void> validated = schema.validate(document.value(), path, error_kind::InvalidSettings); !validated)
        return validated.error();
    return document;
}
}
