/// The query of operators where a request would be sent now.
#include "base/json_text.hpp"
#include "gateway/gateway.hpp"
#include "gateway/target_eligibility.hpp"

#include <glib.h>
#include <nlohmann/json.hpp>

namespace bilberryseam::gateway {

using nlohmann::json;

namespace {
    /// @return The decoded value of a query parameter; empty if it is missing.
    std::string parameterOf(GHashTable* parameters, const char* name)
    {
        const auto* value = parameters ? static_cast<const char*>(g_hash_table_lookup(parameters, name)) : nullptr;
        return value ? value : "";
    }

    platform::request_description describe(const http1::request_head& head)
    {
        const std::string_view target = head.target;
        const size_t mark = target.find('?');
        const std::string_view query = mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
        GHashTable* parameters = g_uri_parse_params(query.data(), static_cast<gssize>(query.size()), "&", G_URI_PARAMS_NONE, nullptr);
        platform::request_description description;
        description.id = parameterOf(parameters, "id");
        description.host = parameterOf(parameters, "host");
        description.path = parameterOf(parameters, "path");
        description.model = parameterOf(parameters, "model");
        description.tokenCounts = parameterOf(parameters, "tokens");
        description.promptSegments = parameterOf(parameters, "prompt");
        description.taskCounts = parameterOf(parameters, "tasks");
        description.apiKey = http1::findHeader(head.headers, explainKeyName).value_or("");
        if (parameters)
            g_hash_table_unref(parameters);
        if (description.id.empty())
            description.id = "explained";
        return description;
    }

    std::optional<explained_refusal> toExplained(const acceptance_refusal& refusal)
    {
        return explained_refusal { refusal.status, std::string(refusal.reason), refusal.retryAfter };
    }
}

void gateway::explain(const std::shared_ptr<http1::exchange>& exchange)
{
    const time_point now = monotonicNow();
    const http1::header_list jsonHeaders { { "Content-Type", "application/json" } };
    if (const auto wait = takeExplanation(m_explainedAt, now)) {
        exchange->respond(http1::statusTooManyRequests, { jsonHeaders.front(), platform::retryAfterHeader(*wait) }, R"({"error":"The gateway answers at most four such queries a second."})");
        return;
    }
    const platform::request_description description = describe(exchange->head());
    json object { { "gateway", m_context.settings.name }, { "configurationVersion", m_context.configuration ? json(m_context.configuration->version) : json() }, { "configurationCheckedMsAgo", asMilliseconds(now - m_context.configurationCheckedAt) }, { "request", { { "id", description.id }, { "host", description.host }, { "path", description.path } } } };
    const auto respond = [&] { exchange->respond(http1::statusOk, jsonHeaders, dumpText(object)); };

    const auto decoded = platform::decodeRequest(platform::encodeRequest(description));
    if (!decoded) {
        object["refusal"] = toJson(std::optional(explained_refusal { http1::statusBadRequest, "malformed", {} }));
        object["detail"] = decoded.error().what();
        respond();
        return;
    }
    accepted_request request;
    request.exchange = exchange;
    request.callerRequest = decoded.value();
    request.configuration = m_context.configuration;
    const auto refusal = refusalOf(request, description.path, now);
    if (request.route) {
        object["route"] = request.route->name;
        object["account"] = request.account;
        object["rank"] = request.rank;
        const auto regions = regionsNow(m_context, request.permittedRegions, request.route->name, request.account);
        object["permittedRegions"] = regions.names ? json(*regions.names) : json("any");
    }
    if (refusal) {
        object["refusal"] = toJson(toExplained(*refusal));
        object["mayRunAsTrial"] = refusal->segment.has_value();
        respond();
        return;
    }
    request.service = serviceOf(request);
    object["service"] = request.service;
    const auto run = std::make_shared<request_run>(m_context, *m_pools, std::move(request), [](request_run*) {});
    object.update(toJson(run->explain(now)));
    respond();
}
}
