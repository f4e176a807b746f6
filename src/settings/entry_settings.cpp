#include "settings/entry_settings.hpp"

#include "settings/settings_file.hpp"

namespace bilberryseam::settings {

using nlohmann::json;

namespace {
    constexpr std::string_view platformSchema = R"json({
      "type": "object",
      "additionalProperties": false,
      "required": ["log"],
      "properties": {
        "log": { "type": "string" },
        "configurationStream": { "type": "string", "pattern": "^[a-z0-9-]+$" },
        "snapshotStream": { "type": "string", "pattern": "^[a-z0-9-]+$" },
        "claimsStream": { "type": "string", "pattern": "^[a-z0-9-]+$" },
        "instanceList": { "type": "string" },
        "instanceListPeriodMs": { "type": "integer", "minimum": 50, "maximum": 60000 },
        "configurationPollPeriodMs": { "type": "integer", "minimum": 50, "maximum": 60000 },
        "snapshotEveryNotes": { "type": "integer", "minimum": 1, "maximum": 1000000 },
        "weightBytesPerSecond": { "type": "integer", "minimum": 0 }
      }
    })json";

    constexpr std::string_view entrySchema = R"json({
      "type": "object",
      "additionalProperties": false,
      "required": ["name", "region", "listen", "operatorListen", "platform"],
      "properties": {
        "name": { "type": "string", "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$" },
        "region": { "type": "string", "minLength": 1 },
        "failureDomain": { "type": "string", "minLength": 1 },
        "listen": { "type": "string" },
        "operatorListen": { "type": "string" },
        "platform": @platform@,
        "limits": {
          "type": "object",
          "additionalProperties": false,
          "properties": {
            @clientMemory@,
            "maxConnections": { "type": "integer", "minimum": 10, "maximum": 1000000 },
            "receiveTimeoutMs": { "type": "integer", "minimum": 100, "maximum": 3600000 },
            "idleTimeoutMs": { "type": "integer", "minimum": 100, "maximum": 3600000 },
            "maxRequests": { "type": "integer", "minimum": 1, "maximum": 1000000 },
            "maxBodyBytes": { "type": "integer", "minimum": 1, "maximum": 4000000 },
            "maxUnreadBytes": { "type": "integer", "minimum": 1024, "maximum": 1000000000 },
            "idempotencyWindowMs": { "type": "integer", "minimum": 1000, "maximum": 86400000 },
            "targetSilenceMs": { "type": "integer", "minimum": 10, "maximum": 600000 },
            "drainTimeoutMs": { "type": "integer", "minimum": 0, "maximum": 3600000 }
          }
        }
      }
    })json";

    entry_limits readLimits(const json& document)
    {
        entry_limits limits;
        if (!document.contains("limits"))
            return limits;
        const json& values = document["limits"];
        limits.memory = detail::readClientMemory(values);
        limits.maxConnections = values.value("maxConnections", limits.maxConnections);
        limits.receiveTimeout = milliseconds(values.value("receiveTimeoutMs", limits.receiveTimeout.count()));
        limits.idleTimeout = milliseconds(values.value("idleTimeoutMs", limits.idleTimeout.count()));
        limits.maxRequests = values.value("maxRequests", limits.maxRequests);
        limits.maxBodyBytes = values.value("maxBodyBytes", limits.maxBodyBytes);
        limits.maxUnreadBytes = values.value("maxUnreadBytes", limits.maxUnreadBytes);
        limits.idempotencyWindow = milliseconds(values.value("idempotencyWindowMs", limits.idempotencyWindow.count()));
        limits.targetInactivityTimeout = milliseconds(values.value("targetSilenceMs", limits.targetInactivityTimeout.count()));
        limits.drainTimeout = milliseconds(values.value("drainTimeoutMs", limits.drainTimeout.count()));
        return limits;
    }

    entry_settings readEntry(const json& document, const std::string& path)
    {
        entry_settings settings;
        detail::readCommonSettings(document, path, settings);
        settings.limits = readLimits(document);
        return settings;
    }
}

namespace detail {
    ip_endpoint readEndpoint(const json& document, const char* key, const std::string& path)
    {
        return ip_endpoint::parse(document.at(key).get<std::string>(), path + ": /" + key).value();
    }

    platform_settings readPlatform(const json& document, const std::string& path)
    {
        platform_settings settings;
        settings.log = readEndpoint(document, "log", path + ": /platform");
        settings.configurationStream = document.value("configurationStream", settings.configurationStream);
        settings.snapshotStream = document.value("snapshotStream", settings.snapshotStream);
        settings.claimsStream = document.value("claimsStream", settings.claimsStream);
        if (document.contains("instanceList"))
            settings.instanceList = readEndpoint(document, "instanceList", path + ": /platform");
        settings.instanceListPeriod = milliseconds(document.value("instanceListPeriodMs", settings.instanceListPeriod.count()));
        settings.configurationPollPeriod = milliseconds(document.value("configurationPollPeriodMs", settings.configurationPollPeriod.count()));
        settings.snapshotEveryNotes = document.value("snapshotEveryNotes", settings.snapshotEveryNotes);
        settings.weightBytesPerSecond = document.value("weightBytesPerSecond", settings.weightBytesPerSecond);
        const bool isDistinct = settings.configurationStream != settings.snapshotStream && settings.configurationStream != settings.claimsStream && settings.snapshotStream != settings.claimsStream;
        if (!isDistinct)
            throw error(error_kind::InvalidSettings, "Two streams have the same name.", "Choose a different name for each stream.", path + ": /platform");
        return settings;
    }

    json platformToJson(const platform_settings& value)
    {
        json document { { "log", value.log.toString() }, { "configurationStream", value.configurationStream }, { "snapshotStream", value.snapshotStream },
            { "claimsStream", value.claimsStream }, { "instanceListPeriodMs", value.instanceListPeriod.count() },
            { "configurationPollPeriodMs", value.configurationPollPeriod.count() },
            { "snapshotEveryNotes", value.snapshotEveryNotes }, { "weightBytesPerSecond", value.weightBytesPerSecond } };
        if (value.instanceList)
            document["instanceList"] = value.instanceList->toString();
        return document;
    }

    std::string withPlatformSchema(std::string_view schema)
    {
        constexpr std::string_view placeholder = "@platform@";
        std::string text(schema);
        return text.replace(text.find(placeholder), placeholder.size(), platformSchema);
    }
}

result<entry_settings> entry_settings::fromFile(const std::string& path)
{
    return detail::settingsFromFile(path, json_schema(detail::withClientMemorySchema(detail::withPlatformSchema(entrySchema))), &readEntry);
}

json entry_settings::toJson() const
{
    json limitsDocument { { "maxRequests", limits.maxRequests }, { "maxBodyBytes", limits.maxBodyBytes }, { "maxUnreadBytes", limits.maxUnreadBytes }, { "idempotencyWindowMs", limits.idempotencyWindow.count() }, { "targetSilenceMs", limits.targetInactivityTimeout.count() }, { "drainTimeoutMs", limits.drainTimeout.count() }, { "maxConnections", limits.maxConnections }, { "receiveTimeoutMs", limits.receiveTimeout.count() }, { "idleTimeoutMs", limits.idleTimeout.count() } };
    detail::addClientMemory(limitsDocument, limits.memory);
    return { { "name", name }, { "region", region }, { "failureDomain", failureDomain }, { "listen", listen.toString() },
        { "operatorListen", operatorListen.toString() }, { "platform", detail::platformToJson(platform) },
        { "limits", limitsDocument } };
}
}
