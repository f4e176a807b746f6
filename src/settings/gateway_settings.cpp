#include "settings/gateway_settings.hpp"

#include "settings/entry_settings.hpp"
#include "settings/settings_file.hpp"

namespace bilberryseam::settings {

using nlohmann::json;

namespace {
    constexpr std::string_view gatewaySchema = R"json({
      "type": "object",
      "additionalProperties": false,
      "required": ["name", "region", "failureDomain", "listen", "operatorListen", "peerListen", "store"],
      "properties": {
        "name": { "type": "string", "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$" },
        "region": { "type": "string", "minLength": 1 },
        "failureDomain": { "type": "string", "minLength": 1 },
        "listen": { "type": "string" },
        "operatorListen": { "type": "string" },
        "peerListen": { "type": "string" },
        "store": { "type": "string" },
        "processorShare": { "type": "number", "exclusiveMinimum": 0 },
        "loadSharing": { "type": "boolean" },
        "loadTrends": { "type": "boolean" },
        "longPromptPlacement": { "type": "boolean" },
        "regions": { "type": "object", "additionalProperties": { "type": "string" } },
        "poolAdmission": { "type": "boolean" },
        "poolReports": { "type": "boolean" },
        "preferredDomainWaitMs": { "type": "integer", "minimum": 0, "maximum": 10000 },
        "bounds": {
          "type": "object",
          "additionalProperties": false,
          "properties": {
            "revocationMs": { "type": "integer", "minimum": 500, "maximum": 3600000 },
            "configurationMs": { "type": "integer", "minimum": 100, "maximum": 3600000 },
            "evacuationMs": { "type": "integer", "minimum": 100, "maximum": 3600000 },
            "leavingMs": { "type": "integer", "minimum": 100, "maximum": 3600000 },
            "stopSeconds": { "type": "number", "minimum": 1, "maximum": 3600 },
            "retryRatio": { "type": "number", "minimum": 0, "maximum": 1 },
            "retrySlack": { "type": "number", "minimum": 0, "maximum": 1000000 },
            "retryWindowSeconds": { "type": "number", "minimum": 1, "maximum": 3600 },
            "coldOverage": { "type": "number", "minimum": 0, "maximum": 1000 },
            "coldSlack": { "type": "number", "minimum": 0, "maximum": 1000000 }
          }
        },
        "limits": {
          "type": "object",
          "additionalProperties": false,
          "properties": {
            @clientMemory@,
            "maxConnections": { "type": "integer", "minimum": 10, "maximum": 1000000 }
          }
        }
      }
    })json";

    milliseconds readSeconds(const json& document, const char* key, milliseconds defaultValue)
    {
        return document.contains(key) ? milliseconds(static_cast<int64_t>(document[key].get<double>() * 1000)) : defaultValue;
    }

    gateway_bounds readBounds(const json& document)
    {
        gateway_bounds bounds;
        bounds.revocation = milliseconds(document.value("revocationMs", bounds.revocation.count()));
        bounds.configuration = milliseconds(document.value("configurationMs", bounds.configuration.count()));
        bounds.evacuation = milliseconds(document.value("evacuationMs", bounds.evacuation.count()));
        bounds.leaving = milliseconds(document.value("leavingMs", bounds.leaving.count()));
        bounds.stop = readSeconds(document, "stopSeconds", bounds.stop);
        bounds.retryRatio = document.value("retryRatio", bounds.retryRatio);
        bounds.retrySlack = document.value("retrySlack", bounds.retrySlack);
        bounds.retryWindow = readSeconds(document, "retryWindowSeconds", bounds.retryWindow);
        bounds.coldOverage = document.value("coldOverage", bounds.coldOverage);
        bounds.coldSlack = document.value("coldSlack", bounds.coldSlack);
        return bounds;
    }

    gateway_settings readGateway(const json& document, const std::string& path)
    {
        gateway_settings settings;
        settings.name = document.at("name");
        settings.region = document.at("region");
        settings.failureDomain = document.at("failureDomain");
        settings.listen = detail::readEndpoint(document, "listen", path);
        settings.operatorListen = detail::readEndpoint(document, "operatorListen", path);
        settings.peerListen = detail::readEndpoint(document, "peerListen", path);
        settings.store = detail::readEndpoint(document, "store", path);
        settings.processorShare = document.value("processorShare", settings.processorShare);
        settings.poolAdmission = document.value("poolAdmission", settings.poolAdmission);
        settings.poolReports = document.value("poolReports", settings.poolReports);
        settings.preferredDomainWait = milliseconds(document.value("preferredDomainWaitMs", settings.preferredDomainWait.count()));
        const json regions = document.value("regions", json::object());
        for (const auto& [domain, region] : regions.items())
            settings.regions.emplace(domain, region.get<std::string>());
        settings.loadSharing = document.value("loadSharing", settings.loadSharing);
        settings.loadTrends = document.value("loadTrends", settings.loadTrends);
        settings.longPromptPlacement = document.value("longPromptPlacement", settings.longPromptPlacement);
        settings.bounds = readBounds(document.value("bounds", json::object()));
        const json limits = document.value("limits", json::object());
        settings.limits.memory = detail::readClientMemory(limits);
        settings.limits.maxConnections = limits.value("maxConnections", settings.limits.maxConnections);
        return settings;
    }
}

result<gateway_settings> gateway_settings::fromFile(const std::string& path)
{
    return detail::settingsFromFile(path, json_schema(detail::withClientMemorySchema(gatewaySchema)), &readGateway);
}

json gateway_settings::toJson() const
{
    json limitsDocument { { "maxConnections", limits.maxConnections } };
    detail::addClientMemory(limitsDocument, limits.memory);
    return { { "name", name }, { "region", region }, { "failureDomain", failureDomain }, { "listen", listen.toString() }, { "operatorListen", operatorListen.toString() },
        { "peerListen", peerListen.toString() }, { "store", store.toString() }, { "processorShare", processorShare }, { "regions", regions },
        { "loadSharing", loadSharing }, { "loadTrends", loadTrends }, { "longPromptPlacement", longPromptPlacement }, { "poolAdmission", poolAdmission }, { "poolReports", poolReports }, { "preferredDomainWaitMs", preferredDomainWait.count() },
        { "bounds", { { "revocationMs", bounds.revocation.count() }, { "configurationMs", bounds.configuration.count() }, { "evacuationMs", bounds.evacuation.count() }, { "leavingMs", bounds.leaving.count() }, { "stopSeconds", asSeconds(bounds.stop) }, { "retryRatio", bounds.retryRatio }, { "retrySlack", bounds.retrySlack }, { "retryWindowSeconds", asSeconds(bounds.retryWindow) }, { "coldOverage", bounds.coldOverage }, { "coldSlack", bounds.coldSlack } } },
        { "limits", limitsDocument } };
}
}
