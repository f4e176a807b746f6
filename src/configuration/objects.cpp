#include "configuration/objects.hpp"

namespace bilberryseam::configuration {

namespace {
    using nlohmann::json;

    std::string_view nameOfKind(service_kind kind)
    {
        switch (kind) {
        case service_kind::Engine:
            return "engine";
        case service_kind::Pool:
            return "pool";
        case service_kind::Plain:
            return "plain";
        }
        return "pool";
    }

    service_kind kindOf(std::string_view name)
    {
        if (name == "engine")
            return service_kind::Engine;
        return name == "pool" ? service_kind::Pool : service_kind::Plain;
    }

    json toJson(const stage& value)
    {
        return { { "name", value.name }, { "service", value.service }, { "model", value.model }, { "maxTokens", value.maxTokens } };
    }

    stage stageFromJson(const json& document)
    {
        stage value;
        value.name = document.at("name");
        value.service = document.at("service");
        value.model = document.value("model", value.model);
        value.maxTokens = document.value("maxTokens", value.maxTokens);
        return value;
    }
}

json toJson(const service& value)
{
    return { { "name", value.name }, { "kind", nameOfKind(value.kind) }, { "path", value.path }, { "repeatable", value.isRetryable },
        { "checksFencing", value.checksFencing }, { "maxQueue", value.maxQueue } };
}

json toJson(const target& value)
{
    return { { "name", value.name }, { "service", value.service }, { "instance", value.instance }, { "region", value.region },
        { "failureDomain", value.failureDomain }, { "side", value.side.toString() }, { "address", value.address.toString() }, { "capacity", value.capacity } };
}

json toJson(const pipeline& value)
{
    json stages = json::array();
    for (const stage& item : value.stages)
        stages.push_back(toJson(item));
    return { { "name", value.name }, { "stages", stages }, { "deadlineMs", value.deadline.count() }, { "maxBodyBytes", value.maxBodyBytes } };
}

json toJson(const account& value)
{
    return { { "name", value.name }, { "weight", value.weight }, { "maxInFlight", value.maxInFlight } };
}

json toJson(const model& value)
{
    return { { "name", value.name }, { "service", value.service }, { "version", value.version }, { "adapters", value.adapters }, { "weightBytes", value.weightBytes } };
}

json toJson(const region_price& value)
{
    return { { "from", value.from }, { "to", value.to }, { "perGib", value.perGib } };
}

json toJson(const policy& value)
{
    return { { "name", value.name }, { "mode", value.mode }, { "attainmentWeight", value.attainmentWeight }, { "costWeight", value.costWeight },
        { "hedgePercent", value.hedgePercent }, { "retryPercent", value.retryPercent } };
}

void fromJson(const json& document, service& out)
{
    out.name = document.at("name");
    out.kind = kindOf(document.at("kind").get<std::string>());
    out.path = document.value("path", out.path);
    out.isRetryable = document.value("repeatable", out.isRetryable);
    out.checksFencing = document.value("checksFencing", out.checksFencing);
    out.maxQueue = document.value("maxQueue", out.maxQueue);
}

void fromJson(const json& document, target& out)
{
    out.name = document.at("name");
    out.service = document.at("service");
    out.instance = document.value("instance", out.name);
    out.region = document.at("region");
    out.failureDomain = document.value("failureDomain", out.region);
    out.side = ip_endpoint::parse(document.at("side").get<std::string>(), out.name + "/side").value();
    out.address = ip_endpoint::parse(document.at("address").get<std::string>(), out.name + "/address").value();
    out.capacity = document.value("capacity", out.capacity);
}

void fromJson(const json& document, pipeline& out)
{
    out.name = document.at("name");
    out.stages.clear();
    for (const json& item : document.at("stages"))
        out.stages.push_back(stageFromJson(item));
    out.deadline = milliseconds(document.value("deadlineMs", out.deadline.count()));
    out.maxBodyBytes = document.value("maxBodyBytes", out.maxBodyBytes);
}

void fromJson(const json& document, account& out)
{
    out.name = document.at("name");
    out.weight = document.value("weight", out.weight);
    out.maxInFlight = document.value("maxInFlight", out.maxInFlight);
}

void fromJson(const json& document, model& out)
{
    out.name = document.at("name");
    out.service = document.at("service");
    out.version = document.at("version");
    out.adapters = document.value("adapters", out.adapters);
    out.weightBytes = document.value("weightBytes", out.weightBytes);
}

void fromJson(const json& document, region_price& out)
{
    out.from = document.at("from");
    out.to = document.at("to");
    out.perGib = document.at("perGib");
}

void fromJson(const json& document, policy& out)
{
    out.name = document.at("name");
    out.mode = document.value("mode", out.mode);
    out.attainmentWeight = document.value("attainmentWeight", out.attainmentWeight);
    out.costWeight = document.value("costWeight", out.costWeight);
    out.hedgePercent = document.value("hedgePercent", out.hedgePercent);
    out.retryPercent = document.value("retryPercent", out.retryPercent);
}
}
