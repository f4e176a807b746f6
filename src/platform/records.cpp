#include "platform/records.hpp"

#include "base/json_numbers.hpp"

#include <algorithm>
#include <cmath>
#include <glib.h>
#include <nlohmann/json.hpp>

namespace bilberryseam::platform {

using nlohmann::json;

namespace {
    error invalidRecord(std::string_view what, std::string_view place)
    {
        return { error_kind::InvalidMessage, what, "Write the record with every documented field in its documented type.", place };
    }

    deployment::call_kind parseCallKind(const std::string& text)
    {
        if (text == "idempotent")
            return deployment::call_kind::Idempotent;
        if (text == "streaming")
            return deployment::call_kind::Streaming;
        // An unknown kind gets the most restrictive handling: at most one execution.
        return deployment::call_kind::NonIdempotent;
    }

    milliseconds readMilliseconds(const json& from, const char* name, milliseconds fallback)
    {
        const auto it = from.find(name);
        return it != from.end() && it->is_number() ? milliseconds(static_cast<int64_t>(it->get<double>())) : fallback;
    }

    /// @return A number from zero to `max`; zero if the field is missing, negative, not finite or no number.
    double readBounded(const json& from, const char* name, double max)
    {
        const auto it = from.find(name);
        const double number = it != from.end() && it->is_number() ? it->get<double>() : 0;
        return number > 0 && std::isfinite(number) ? std::min(number, max) : 0;
    }

    /// "cold_left_ms" is the time for which the target was still cold when it wrote the record.
    deployment::cold_statement readCold(const json& from)
    {
        const auto maxMs = static_cast<double>(longestColdTime.count());
        deployment::cold_statement cold;
        cold.left = milliseconds(static_cast<int64_t>(readBounded(from, "cold_left_ms", maxMs)));
        if (const auto it = from.find("cold_left_ms"); it != from.end())
            cold.isMalformed = !it->is_number() || !(it->get<double>() >= 0 && it->get<double>() <= maxMs);
        if (const auto it = from.find("seq"); it != from.end() && it->is_number_unsigned())
            cold.sequence = it->get<uint64_t>();
        return cold;
    }

    template <typename Value>
    Value readOr(const json& from, const char* name, Value fallback)
    {
        const auto it = from.find(name);
        if (it == from.end() || it->is_null())
            return fallback;
        return it->get<Value>();
    }

    std::vector<deployment::stage> readStages(const json& from)
    {
        std::vector<deployment::stage> stages;
        for (const json& item : readOr(from, "stages", json::array()))
            stages.push_back({ item.at("service"), readOr(item, "after", std::vector<size_t>()), readOr<uint64_t>(item, "bytes", 0) });
        for (size_t i = 0; i < stages.size(); ++i) {
            for (const size_t input : stages[i].inputStages) {
                if (input >= i)
                    throw invalidRecord("A stage takes results of a stage that is not listed before it.", "stages");
            }
        }
        return stages;
    }

    std::vector<deployment::weighted_service> readServices(const json& from)
    {
        std::vector<deployment::weighted_service> services;
        for (const json& item : readOr(from, "traffic_split", json::array()))
            services.push_back({ item.at("service"), item.at("weight") });
        if (services.empty())
            services.push_back({ from.at("service"), 1 });
        return services;
    }

    /// @return The regions in a list; all regions if it is missing or empty.
    /// @throws json::exception for a value of the wrong type.
    deployment::permitted_regions readRegions(const json& from)
    {
        auto names = readOr(from, "allowed_regions", std::vector<std::string>());
        if (names.empty())
            return {};
        std::sort(names.begin(), names.end());
        names.erase(std::unique(names.begin(), names.end()), names.end());
        return { std::move(names) };
    }

    deployment::route readRoute(const json& from)
    {
        deployment::route route;
        route.name = from.at("name");
        route.host = from.at("host");
        route.pathPrefix = from.at("path_prefix");
        route.kind = parseCallKind(from.at("kind"));
        route.timeout = readMilliseconds(from, "timeout_ms", route.timeout);
        // The latency objective of the route; "target" does not mean a server here.
        route.objective = readMilliseconds(from, "target_latency_ms", route.timeout);
        route.hasObjective = readMilliseconds(from, "target_latency_ms", milliseconds(0)).count() > 0;
        // The objective for the pause between two events of a stream.
        route.gapObjective = readMilliseconds(from, "gap_aim_ms", route.gapObjective);
        route.priority = readOr(from, "priority", 0);
        route.services = readServices(from);
        route.maxAttempts = readOr(from, "max_attempts", 1);
        route.stages = readStages(from);
        route.isPublic = readOr(from, "public", false);
        // "sticky" marks routes whose requests carry a prompt; it does not ask for session affinity.
        route.hasPrompt = readOr(from, "sticky", false);
        route.isResumable = readOr(from, "resumable", false);
        route.allowedRegions = readRegions(from);
        return route;
    }

    deployment::pool_profile readPool(const json& from)
    {
        constexpr double bytesPerMegabyte = 1e6;
        deployment::pool_profile pool;
        pool.slots = std::max(1, readOr(from, "slots", pool.slots));
        pool.maxQueuedCalls = readOr(from, "queue", pool.maxQueuedCalls);
        pool.batchSize = std::max(1, readOr(from, "batch", pool.batchSize));
        // A call takes "call_ms" plus "item_ms" for each of its tasks.
        pool.callOverhead = readMilliseconds(from, "call_ms", pool.callOverhead);
        pool.taskMilliseconds = readOr(from, "item_ms", pool.taskMilliseconds);
        // "headroom_mb" is the whole memory of a target for results, not a reserve.
        pool.resultMemoryBytes = readOr(from, "headroom_mb", 0.0) * bytesPerMegabyte;
        // "handle_s" is the time in seconds for which a target keeps a result after its call.
        pool.resultLifetime = milliseconds(static_cast<int64_t>(readOr(from, "handle_s", 0.0) * 1000));
        // "link_mbps" is in megabits per second.
        pool.linkBytesPerMillisecond = readOr(from, "link_mbps", 0.0) * bytesPerMegabyte / 8 / 1000;
        return pool;
    }

    deployment::engine_profile readEngine(const json& from)
    {
        constexpr uint32_t maxEventTokens = 1024;
        deployment::engine_profile engine;
        engine.memoryTokens = readOr<uint64_t>(from, "kv_capacity_tokens", engine.memoryTokens);
        // "stride" is the number of tokens in one event of a stream.
        engine.eventTokens = std::clamp<uint32_t>(readOr<uint32_t>(from, "stride", engine.eventTokens), 1, maxEventTokens);
        return engine;
    }

    deployment::service readService(const json& from)
    {
        deployment::service service;
        service.name = from.at("name");
        // "pieces" is the pool profile of a service that runs tasks of stages.
        if (const auto it = from.find("pieces"); it != from.end() && it->is_object())
            service.pool = readPool(*it);
        if (const auto it = from.find("engine"); it != from.end() && it->is_object())
            service.engine = readEngine(*it);
        constexpr double maxColdPerSecond = 1e6;
        service.coldTime = milliseconds(static_cast<int64_t>(1000 * readBounded(from, "cold_start_s", asSeconds(longestColdTime))));
        service.coldPerSecond = readBounded(from, "cold_per_s", maxColdPerSecond);
        return service;
    }

    deployment::client_limits readLimits(const json& from)
    {
        deployment::client_limits limits;
        limits.maxHeaderBytes = readOr(from, "max_header_bytes", limits.maxHeaderBytes);
        limits.maxBodyBytes = readOr(from, "max_body_bytes", limits.maxBodyBytes);
        limits.headerTimeout = readMilliseconds(from, "header_timeout_ms", limits.headerTimeout);
        limits.idleTimeout = readMilliseconds(from, "idle_timeout_ms", limits.idleTimeout);
        return limits;
    }

    void readAccounts(const json& from, deployment::configuration& configuration)
    {
        // "tenants" are the client accounts.
        const auto it = from.find("tenants");
        if (it == from.end() || it->is_null())
            return;
        configuration.hasAccounts = true;
        for (const json& item : *it) {
            deployment::client_account account { item.at("name"), std::nullopt, readRegions(item) };
            if (const auto priority = item.find("priority"); priority != item.end() && priority->is_number_integer())
                account.priority = priority->get<int>();
            for (const json& key : readOr(item, "api_keys", json::array()))
                configuration.accountsByApiKey.emplace(key.get<std::string>(), account);
        }
    }

    /// @return What identifies the version of a target's software; empty if it states none.
    /// @throws error (`InvalidMessage`) if it is no text: it must not pass for a target that states none.
    std::string readSoftwareVersion(const json& from, std::string_view id)
    {
        const auto it = from.find("version");
        if (it == from.end())
            return {};
        if (!it->is_string())
            throw invalidRecord("The software version of the target is no text.", id);
        return identityOfVersion(it->get_ref<const std::string&>());
    }

    /// @return Whether a header field can hold the identifier.
    bool isIdentifier(std::string_view id) noexcept
    {
        return !id.empty() && std::all_of(id.begin(), id.end(), [](char character) { return character > ' ' && character <= '~'; });
    }

    deployment::target readTarget(std::string_view id, const json& from)
    {
        constexpr uint32_t maxSlots = 1'000'000;
        if (!isIdentifier(id))
            throw invalidRecord("The identifier of a target is empty or has characters other than printable ASCII.", "id");
        deployment::target target;
        target.id = std::string(id);
        target.service = from.at("service");
        target.endpoint = ip_endpoint::parse(from.at("address").get<std::string>(), id).value();
        if (target.endpoint.port == 0)
            throw invalidRecord("The port of the target is zero.", id);
        target.failureDomain = from.at("zone");
        target.slots = wholeNumber<uint32_t>(from.at("slots"), "slots", 1, maxSlots);
        const std::string state = from.at("state");
        if (state != "ready" && state != "draining")
            throw invalidRecord("The state of the target is neither \"ready\" nor \"draining\".", id);
        target.isDraining = state == "draining";
        // "born" is the Unix time of the target's start in milliseconds.
        if (const auto born = from.find("born"); born != from.end() && !born->is_null())
            target.startedAtMs = wholeNumber<int64_t>(*born, "born", 0, latestUnixMs);
        target.softwareVersion = readSoftwareVersion(from, id);
        target.cold = readCold(from);
        return target;
    }
}

result<deployment::configuration> decodeConfiguration(std::string_view text)
{
    try {
        const json document = json::parse(text);
        deployment::configuration configuration;
        configuration.version = document.at("version");
        for (const json& item : document.at("routes"))
            configuration.routes.push_back(readRoute(item));
        for (const json& item : document.at("services")) {
            deployment::service service = readService(item);
            configuration.services.emplace(service.name, std::move(service));
        }
        configuration.limits = readLimits(readOr(document, "limits", json::object()));
        readAccounts(document, configuration);
        configuration.indexRegions();
        configuration.indexRoutes();
        return configuration;
    } catch (const json::exception& problem) {
        return invalidRecord(problem.what(), configurationKey);
    } catch (const error& problem) {
        return problem;
    }
}

std::string withoutSequence(std::string_view text)
{
    // An unescaped quotation mark before the name and a colon after it cannot be inside another text of a valid document.
    constexpr std::string_view name = "\"seq\":";
    // More digits may not be a valid number.
    constexpr size_t maxDigits = 18;
    const size_t position = text.find(name);
    if (position == std::string_view::npos || position == 0 || text[position - 1] == '\\')
        return {};
    const size_t first = position + name.size();
    const size_t end = text.find_first_not_of("0123456789", first);
    const bool isWhole = end != std::string_view::npos && (text[end] == ',' || text[end] == '}');
    if (!isWhole || end == first || end - first > maxDigits || (text[first] == '0' && end - first > 1))
        return {};
    return std::string(text.substr(0, first)).append(text.substr(end));
}

std::string identityOfVersion(std::string_view version)
{
    // Digests are longer than the versions that stand for themselves, so that no version equals the digest of another one.
    constexpr size_t maxPlainBytes = 64;
    if (version.size() <= maxPlainBytes)
        return std::string(version);
    char* digest = g_compute_checksum_for_data(G_CHECKSUM_SHA512, reinterpret_cast<const guchar*>(version.data()), version.size());
    std::string identity = std::string("sha512:").append(digest);
    g_free(digest);
    return identity;
}

std::optional<std::string_view> evacuatedDomainOf(std::string_view key) noexcept
{
    if (!key.starts_with(evacuationPrefix))
        return std::nullopt;
    return key.substr(evacuationPrefix.size());
}

result<deployment::target> decodeTarget(std::string_view id, std::string_view text)
{
    try {
        return readTarget(id, json::parse(text));
    } catch (const json::exception& problem) {
        return invalidRecord(problem.what(), id);
    } catch (const error& problem) {
        return problem;
    }
}
}
