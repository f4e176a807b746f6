#include "settings/side_settings.hpp"

#include "settings/settings_file.hpp"

namespace bilberryseam::settings {

using nlohmann::json;

namespace {
    constexpr std::string_view sideSchema = R"json({
      "type": "object",
      "additionalProperties": false,
      "required": ["name", "region", "listen", "operatorListen", "platform"],
      "properties": {
        "name": { "type": "string", "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$" },
        "instance": { "type": "string", "minLength": 1 },
        "region": { "type": "string", "minLength": 1 },
        "failureDomain": { "type": "string", "minLength": 1 },
        "listen": { "type": "string" },
        "advertise": { "type": "string" },
        "operatorListen": { "type": "string" },
        "platform": @platform@,
        "limits": {
          "type": "object",
          "additionalProperties": false,
          "properties": {
            @clientMemory@,
            "maxCalls": { "type": "integer", "minimum": 1, "maximum": 1000000 },
            "idempotencyWindowMs": { "type": "integer", "minimum": 1000, "maximum": 86400000 },
            "targetSilenceMs": { "type": "integer", "minimum": 10, "maximum": 600000 },
            "drainTimeoutMs": { "type": "integer", "minimum": 0, "maximum": 3600000 }
          }
        }
      }
    })json";

    side_limits readLimits(const json& document)
    {
        side_limits limits;
        if (!document.contains("limits"))
            return limits;
        const json& values = document["limits"];
        limits.memory = detail::readClientMemory(values);
        limits.maxCalls = values.value("maxCalls", limits.maxCalls);
        limits.idempotencyWindow = milliseconds(values.value("idempotencyWindowMs", limits.idempotencyWindow.count()));
        limits.targetInactivityTimeout = milliseconds(values.value("targetSilenceMs", limits.targetInactivityTimeout.count()));
        limits.drainTimeout = milliseconds(values.value("drainTimeoutMs", limits.drainTimeout.count()));
        return limits;
    }

    side_settings readSide(const json& document, const std::string& path)
    {
        side_settings settings;
        detail::readCommonSettings(document, path, settings);
        settings.instance = document.value("instance", settings.name);
        settings.advertise = document.contains("advertise") ? detail::readEndpoint(document, "advertise", path) : settings.listen;
        settings.limits = readLimits(document);
        return settings;
    }
}

result<side_settings> side_settings::fromFile(const std::string& path)
{
    return detail::settingsFromFile(path, json_schema(detail::withClientMemorySchema(detail::withPlatformSchema(sideSchema))), &readSide);
}

json side_settings::toJson() const
{
    json limitsDocument { { "maxCalls", limits.maxCalls }, { "idempotencyWindowMs", limits.idempotencyWindow.count() }, { "targetSilenceMs", limits.targetInactivityTimeout.count() }, { "drainTimeoutMs", limits.drainTimeout.count() } };
    detail::addClientMemory(limitsDocument, limits.memory);
    return { { "name", name }, { "instance", instance }, { "region", region }, { "failureDomain", failureDomain }, { "listen", listen.toString() }, { "advertise", advertise.toString() },
        { "operatorListen", operatorListen.toString() }, { "platform", detail::platformToJson(platform) },
        { "limits", limitsDocument } };
}
}
