#include "entry/request_reader.hpp"
#include "base/json_text.hpp"

#include "base/hash.hpp"

#include <charconv>

namespace bilberryseam::entry {

using nlohmann::json;

namespace {
    constexpr int64_t maxDeadlineMs = 600000;

    outcome notRun(outcome_reason reason, std::string detail)
    {
        return { outcome_kind::NotRun, reason, "", milliseconds(0), std::move(detail), {} };
    }

    template <typename Number>
    std::optional<Number> parseNumber(std::string_view text)
    {
        Number number {};
        const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (code != std::errc {} || end != text.data() + text.size())
            return std::nullopt;
        return number;
    }

    std::optional<outcome> readDeadlineAndPriority(const raw_request& raw, request& out)
    {
        milliseconds timeLimit = out.pipeline->deadline;
        if (!raw.deadlineMs.empty()) {
            const auto requestedMs = parseNumber<int64_t>(raw.deadlineMs);
            if (!requestedMs || *requestedMs > maxDeadlineMs)
                return notRun(outcome_reason::BadRequest, "Bilberryseam-Deadline-Ms is not a number of milliseconds up to 600000.");
            if (*requestedMs <= 0)
                return notRun(outcome_reason::DeadlinePassed, "The deadline has already passed.");
            timeLimit = milliseconds(*requestedMs);
        }
        out.deadline = out.arrivedAt + timeLimit;
        if (raw.priority.empty())
            return std::nullopt;
        const auto priority = parseNumber<uint8_t>(raw.priority);
        if (!priority || *priority > 9)
            return notRun(outcome_reason::BadRequest, "Bilberryseam-Priority is not a number from 0 to 9.");
        out.priority = *priority;
        return std::nullopt;
    }

    /// Parses an idempotency key of the form `<issue time in ms since 1970>-<text>`.
    std::optional<outcome> readKey(const raw_request& raw, const settings::entry_limits& limits, wall_time wall, request& out)
    {
        const int64_t wallMs = wall.time_since_epoch().count();
        if (raw.idempotencyKey.empty()) {
            out.idempotencyKey = out.id.toString();
            out.keyIssuedMs = wallMs;
            return std::nullopt;
        }
        const size_t dash = raw.idempotencyKey.find('-');
        const auto issuedMs = dash == std::string_view::npos ? std::nullopt : parseNumber<int64_t>(raw.idempotencyKey.substr(0, dash));
        if (!issuedMs || raw.idempotencyKey.size() > maxKeyBytes || dash + 1 == raw.idempotencyKey.size())
            return notRun(outcome_reason::BadRequest, "Idempotency-Key is not <milliseconds since 1970>-<text> of at most 200 bytes.");
        if (*issuedMs > wallMs + maxKeySkew.count())
            return notRun(outcome_reason::BadRequest, "Idempotency-Key was issued in the future.");
        out.idempotencyKey = raw.idempotencyKey;
        out.keyIssuedMs = *issuedMs;
        if (*issuedMs < wallMs - limits.idempotencyWindow.count())
            return outcome { outcome_kind::Unknown, outcome_reason::KeyExpired, "", milliseconds(0), "The key is older than the window in which repeats are recognised.", {} };
        return std::nullopt;
    }

    std::optional<outcome> readStages(const configuration::state& state, request& out)
    {
        for (const configuration::stage& stage : out.pipeline->stages) {
            const auto service = state.find<configuration::service>(stage.service);
            if (!service)
                return outcome { outcome_kind::NotRun, outcome_reason::NoTarget, stage.name, milliseconds(1000), "The stage's service is not configured.", {} };
            out.stages.push_back({ stage, service });
        }
        return std::nullopt;
    }

    std::optional<outcome> readBody(const raw_request& raw, const settings::entry_limits& limits, request& out)
    {
        if (raw.body.size() > std::min(limits.maxBodyBytes, out.pipeline->maxBodyBytes))
            return notRun(outcome_reason::BodyTooLarge, "The body is larger than this pipeline allows.");
        json body = json::parse(raw.body, nullptr, false);
        if (!body.is_object() || !body.contains("input"))
            return notRun(outcome_reason::BadRequest, "The body is not a JSON object with the key \"input\".");
        const json stream = body.value("stream", json(false));
        if (!stream.is_boolean())
            return notRun(outcome_reason::BadRequest, "\"stream\" is not true or false.");
        out.isStreamed = stream.get<bool>();
        out.input = std::move(body["input"]);
        if (out.input.is_object() && out.input.contains("prefix"))
            out.prefixHash = hashOf(dumpText(out.input["prefix"]));
        out.fingerprint = hashOf(dumpText(out.input), hashOf(out.pipeline->name));
        return std::nullopt;
    }

    std::shared_ptr<const configuration::policy> policyOf(const configuration::state& state)
    {
        static const auto defaultPolicy = std::make_shared<const configuration::policy>();
        const auto policy = state.find<configuration::policy>(defaultPolicy->name);
        return policy ? policy : defaultPolicy;
    }
}

std::variant<request, outcome> readRequest(const raw_request& raw, const configuration::state& state, const settings::entry_limits& limits, identifier id, time_point now, wall_time wall)
{
    request result;
    result.id = id;
    result.arrivedAt = now;
    result.pipeline = state.find<configuration::pipeline>(raw.pipeline);
    if (!result.pipeline)
        return notRun(outcome_reason::UnknownPipeline, "There is no such pipeline.");
    result.account = state.find<configuration::account>(raw.account);
    if (!result.account)
        return notRun(outcome_reason::UnknownAccount, "Bilberryseam-Account names no client account.");
    result.policy = policyOf(state);
    if (auto refusal = readDeadlineAndPriority(raw, result))
        return *std::move(refusal);
    if (auto refusal = readBody(raw, limits, result))
        return *std::move(refusal);
    if (auto refusal = readKey(raw, limits, wall, result))
        return *std::move(refusal);
    if (auto refusal = readStages(state, result))
        return *std::move(refusal);
    return result;
}
}
