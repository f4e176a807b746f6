/// The configuration of the silence and planned work soaks, and the check that every gateway serves it.
#pragma once

#include "soak/soak_callers.hpp"

namespace bilberryseam::tests {

constexpr milliseconds longTimeout { 8000 };
constexpr milliseconds shortTimeout { 4500 };

/// What changes from one configuration to the next.
struct soak_configuration {
    bool isServiceMoved = false;
    bool isSplit = false;
    milliseconds timeout = longTimeout;
    bool isKeyRemoved = false;
    milliseconds idleTimeout { 3000 };
    /// Routes besides the common ones.
    nlohmann::json furtherRoutes = nlohmann::json::array();
    /// Permitted regions of the routes of pages and streams, and of the account with the revocable key; empty for all regions.
    nlohmann::json routeRegions = nlohmann::json::array();
    nlohmann::json accountRegions = nlohmann::json::array();
    /// Requests a second that cold targets of models and pages take; zero for no limit.
    double coldPerSecond = 0;
};

[[nodiscard]] inline nlohmann::json soakRoute(const soak_configuration& configuration, const char* prefix, const char* kind, const std::string& service, const nlohmann::json& changes = nlohmann::json::object())
{
    nlohmann::json all { { "timeout_ms", configuration.timeout.count() }, { "max_attempts", 3 } };
    all.update(changes);
    return deployment_fixture::route(prefix, kind, service, all);
}

/// Writes a configuration with bookings, pages and two kinds of streams to the store.
inline void configureSoak(deployment_fixture& deployment, unsigned version, const soak_configuration& configuration)
{
    using nlohmann::json;
    const json stages { { { "service", "encode" }, { "after", json::array() }, { "bytes", 1000 } } };
    const json halves { { { "service", "pages" }, { "weight", 50 } }, { { "service", "other-pages" }, { "weight", 50 } } };
    const json bookings = configuration.isSplit ? json { { "traffic_split", halves } } : json::object();
    json pages = bookings;
    pages["allowed_regions"] = configuration.routeRegions;
    const json streams { { "stages", stages }, { "sticky", true }, { "gap_aim_ms", 200 }, { "allowed_regions", configuration.routeRegions } };
    json resumable = streams;
    resumable["resumable"] = true;
    json services = json::array();
    const std::vector<const char*> coldServices = configuration.coldPerSecond > 0 ? std::vector { "model", "pages", "other-pages" } : std::vector<const char*>();
    for (const char* name : coldServices)
        services.push_back({ { "name", name }, { "cold_per_s", configuration.coldPerSecond } });
    services.push_back({ { "name", "encode" }, { "pieces", { { "slots", 1 }, { "queue", 2 }, { "batch", 8 }, { "call_ms", 5 }, { "item_ms", 1 }, { "headroom_mb", 10 }, { "handle_s", 4 } } } });
    const json revocableKeys = configuration.isKeyRemoved ? json::array() : json::array({ "revocable" });
    const json tenants = json::array({ { { "name", "acme" }, { "api_keys", json::array({ "lasting" }) } }, { { "name", "beta" }, { "api_keys", revocableKeys }, { "allowed_regions", configuration.accountRegions } } });
    const char* service = configuration.isServiceMoved ? "other-pages" : "pages";
    json routes { soakRoute(configuration, "/book/", "non_idempotent", service, bookings), soakRoute(configuration, "/page/", "idempotent", service, pages), soakRoute(configuration, "/stream/", "streaming", "model", streams), soakRoute(configuration, "/resume/", "streaming", "model", resumable) };
    routes.insert(routes.end(), configuration.furtherRoutes.begin(), configuration.furtherRoutes.end());
    deployment.configure(static_cast<int>(version), std::move(routes), services, tenants, { { "idle_timeout_ms", configuration.idleTimeout.count() } });
}

/// @return Whether each gateway serves requests of each kind.
[[nodiscard]] inline bool isSoakServed(deployment_fixture& deployment, size_t gatewayCount)
{
    for (size_t gateway = 0; gateway < gatewayCount; ++gateway) {
        for (const char* path : { "/book/", "/page/", "/stream/", "/resume/" }) {
            http1::header_list headers = promptHeaders("subject0", 0, "after");
            headers.insert(headers.end(), { { "X-Api-Key", "lasting" }, { "X-Pieces", "1" }, { "X-Piece-Key", "k" } });
            const auto caller = deployment.sendAndWait("POST", std::string(path) + "after", std::move(headers), "", gateway);
            if (caller->outcome != http1::call_outcome::Complete || caller->head.status != http1::statusOk)
                return false;
        }
    }
    return true;
}
}
