#include "platform/ingress.hpp"

#include "platform/records.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <glib.h>

namespace bilberryseam::platform {

namespace {
    /// Identifies the caller's request. All attempts of the gateway at targets carry the same value.
    constexpr std::string_view requestIdName = "X-Attempt-Id";
    /// Remaining time, not a point in time.
    constexpr std::string_view deadlineName = "X-Deadline-Ms";
    constexpr std::string_view apiKeyName = "X-Api-Key";
    /// Name of the client account.
    constexpr std::string_view accountName = "X-Tenant";
    constexpr std::string_view modelName = "X-Model";
    /// Number of prompt tokens, then the largest number of output tokens.
    constexpr std::string_view tokenCountsName = "X-Token-Counts";
    /// All segments of the prompt as `ID:TOKENS`, not only the prefix that other requests share.
    constexpr std::string_view promptSegmentsName = "X-Prompt-Prefix";
    /// Number of tasks of each stage.
    constexpr std::string_view taskCountsName = "X-Pieces";
    /// Identifies the inputs of stages that take no results; it applies to all tasks of the request.
    constexpr std::string_view taskKeyName = "X-Piece-Key";
    constexpr std::string_view lastEventName = "Last-Event-Id";
    /// Identifies the caller's request that brought the first event of the stream which this request continues.
    constexpr std::string_view continuedRequestName = "Resumes";
    /// Handles of stage results.
    constexpr std::string_view inputsName = "X-Inputs";
    /// Identifier of the target that the request is meant for.
    constexpr std::string_view targetIdName = "X-Expect-Instance";
    constexpr std::string_view priorityName = "X-Request-Priority";
    constexpr std::string_view sealName = "X-Response-Seal";
    constexpr std::string_view notExecutedName = "X-Not-Executed";

    /// Requests a second that a target takes from all entries together, a decimal number.
    constexpr std::string_view limitName = "Server-Limit";

    /// In a refusal: seconds for which the target wants no requests of this entry, a decimal number.
    constexpr std::string_view retryAfterName = "Retry-After";

    /// "1" if the target leaves, as it also states in the target list.
    constexpr std::string_view leavingName = "Server-Leaving";

    /// Milliseconds for which the target that responds is still cold, a decimal number.
    constexpr std::string_view coldName = "X-Cold-Ms";
    /// Running calls, waiting calls and slots, separated by commas, and possibly how long work takes in percent of the usual time.
    constexpr std::string_view loadName = "X-Replica-Load";

    constexpr size_t maxPromptSegments = 1000;

    /// Bytes of a field from outside that are logged.
    constexpr size_t maxLoggedBytes = 40;

    /// Fields that apply to one connection and are not forwarded.
    constexpr std::array hopByHopFields { std::string_view("Connection"), std::string_view("Keep-Alive"), std::string_view("Proxy-Connection"),
        std::string_view("Proxy-Authenticate"), std::string_view("Proxy-Authorization"), std::string_view("TE"), std::string_view("Trailer"),
        std::string_view("Transfer-Encoding"), std::string_view("Upgrade"), std::string_view("Content-Length"), std::string_view("Expect") };

    /// Fields of callers that are not forwarded: the API key, and fields that only the gateway may set for targets.
    constexpr std::array gatewayFields { deadlineName, apiKeyName, accountName, inputsName, targetIdName, priorityName, std::string_view("X-Hold"),
        std::string_view("X-Pin-Ms"), std::string_view("X-Kv-Backup"), std::string_view("Kv-From"), std::string_view("Kv-Fetch"),
        std::string_view("X-Expect-Version"), notExecutedName };

    /// Fields that identify or describe the request. They are forwarded even if the caller's `Connection` field lists them.
    constexpr std::array requestFields { requestIdName, modelName, tokenCountsName, promptSegmentsName, taskCountsName, taskKeyName, lastEventName, std::string_view("Host") };

    bool isOneOf(std::span<const std::string_view> names, std::string_view name)
    {
        return std::any_of(names.begin(), names.end(), [name](std::string_view item) { return http1::isSameName(item, name); });
    }

    error invalidField(std::string_view name, std::string_view what)
    {
        return { error_kind::InvalidRequest, std::string(name) + " " + std::string(what) + ".", "Send the header field once, in the documented format.", name };
    }

    template <typename Number>
    Number parseNumber(std::string_view text, std::string_view name)
    {
        Number number {};
        const std::string_view digits = http1::trim(text);
        const auto [end, problem] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
        if (problem != std::errc() || end != digits.data() + digits.size())
            throw invalidField(name, "is not a number");
        return number;
    }

    /// @return A decimal number that is finite and at least zero, or nothing.
    std::optional<double> parseDecimal(std::string_view text, std::chars_format format = std::chars_format::fixed)
    {
        const std::string_view digits = http1::trim(text);
        double number = 0;
        const auto [end, problem] = std::from_chars(digits.data(), digits.data() + digits.size(), number, format);
        const bool isNumber = problem == std::errc() && end == digits.data() + digits.size() && std::isfinite(number) && number >= 0;
        return isNumber ? std::optional(number) : std::nullopt;
    }

    template <typename Handler>
    void forEachListItem(std::string_view list, Handler handler)
    {
        while (!list.empty()) {
            const size_t comma = std::min(list.find(','), list.size());
            if (const std::string_view item = http1::trim(list.substr(0, comma)); !item.empty())
                handler(item);
            list.remove_prefix(std::min(comma + 1, list.size()));
        }
    }

    std::optional<std::string_view> findUnique(const http1::header_list& headers, std::string_view name)
    {
        if (http1::countHeaders(headers, name) > 1)
            throw invalidField(name, "is given more than once");
        return http1::findHeader(headers, name);
    }

    /// @return The value of a field that is passed on in JSON; empty if it is missing.
    std::string readText(const http1::header_list& headers, std::string_view name)
    {
        const std::string_view text = findUnique(headers, name).value_or("");
        if (!g_utf8_validate(text.data(), static_cast<gssize>(text.size()), nullptr))
            throw invalidField(name, "is not UTF-8");
        return std::string(text);
    }

    std::string readHost(const http1::header_list& headers)
    {
        const auto host = findUnique(headers, "Host");
        if (!host || host->empty())
            throw invalidField("Host", "is missing");
        return std::string(host->substr(0, host->find(':')));
    }

    std::optional<deployment::generation_request> readPrompt(const http1::header_list& headers)
    {
        const auto tokens = findUnique(headers, tokenCountsName);
        if (!tokens)
            return std::nullopt;
        deployment::generation_request prompt;
        prompt.model = std::string(findUnique(headers, modelName).value_or(""));
        std::vector<uint64_t> counts;
        forEachListItem(*tokens, [&](std::string_view item) { counts.push_back(parseNumber<uint64_t>(item, tokenCountsName)); });
        prompt.promptTokens = counts.empty() ? 0 : counts[0];
        prompt.maxOutputTokens = counts.size() < 2 ? 0 : counts[1];
        forEachListItem(findUnique(headers, promptSegmentsName).value_or(""), [&](std::string_view item) {
            const size_t colon = item.find(':');
            if (colon == std::string_view::npos || prompt.segments.size() >= maxPromptSegments)
                throw invalidField(promptSegmentsName, "has a segment without a token count, or too many segments");
            prompt.segments.push_back({ std::string(item.substr(0, colon)), parseNumber<uint64_t>(item.substr(colon + 1), promptSegmentsName) });
        });
        return prompt;
    }

    deployment::caller_request readRequest(const http1::header_list& headers)
    {
        deployment::caller_request request;
        request.host = readHost(headers);
        request.id = readText(headers, requestIdName);
        if (request.id.empty())
            throw invalidField(requestIdName, "is missing");
        if (const auto deadline = findUnique(headers, deadlineName))
            request.deadline = milliseconds(parseNumber<uint32_t>(*deadline, deadlineName));
        request.apiKey = std::string(findUnique(headers, apiKeyName).value_or(""));
        request.generation = readPrompt(headers);
        uint64_t taskCount = 0;
        forEachListItem(findUnique(headers, taskCountsName).value_or(""), [&](std::string_view item) {
            request.taskCounts.push_back(parseNumber<uint32_t>(item, taskCountsName));
            taskCount += request.taskCounts.back();
            if (taskCount > deployment::maxTasksPerRequest)
                throw invalidField(taskCountsName, "states too many tasks");
        });
        request.taskKey = readText(headers, taskKeyName);
        request.continuedRequest = std::string(findUnique(headers, continuedRequestName).value_or(""));
        return request;
    }

    /// @return The largest number among the values of all fields of this name.
    std::optional<double> longestOf(const http1::response_head& head, std::string_view wanted)
    {
        std::optional<double> longest;
        for (const auto& [name, value] : head.headers) {
            if (!http1::isSameName(name, wanted))
                continue;
            forEachListItem(value, [&longest](std::string_view item) {
                if (const auto number = parseDecimal(item, std::chars_format::general))
                    longest = std::max(longest.value_or(*number), *number);
            });
        }
        return longest;
    }

    std::string textOfFields(const http1::response_head& head, std::string_view wanted)
    {
        std::string text;
        for (const auto& [name, value] : head.headers) {
            if (http1::isSameName(name, wanted))
                text.append(text.empty() ? "" : ",").append(value);
        }
        return text.substr(0, maxLoggedBytes);
    }

    std::string join(std::span<const std::string> items)
    {
        std::string joined;
        for (const auto& item : items)
            joined.append(joined.empty() ? "" : ",").append(item);
        return joined;
    }
}

result<deployment::caller_request> decodeRequest(const http1::request_head& head)
{
    try {
        if (!head.target.starts_with('/'))
            throw invalidField("The request target", "is not a path");
        return readRequest(head.headers);
    } catch (const error& problem) {
        return problem;
    }
}

http1::request_head encodeRequest(const request_description& description)
{
    http1::request_head head { "POST", description.path, {} };
    const auto add = [&head](std::string_view name, const std::string& value) {
        if (!value.empty())
            head.headers.emplace_back(name, value);
    };
    add("Host", description.host);
    add(requestIdName, description.id);
    add(apiKeyName, description.apiKey);
    add(modelName, description.model);
    add(tokenCountsName, description.tokenCounts);
    add(promptSegmentsName, description.promptSegments);
    add(taskCountsName, description.taskCounts);
    return head;
}

http1::header_list encodeTargetHeaders(const http1::request_head& head, const target_request_fields& fields)
{
    http1::header_list headers;
    for (const auto& [name, value] : head.headers) {
        if (isOneOf(hopByHopFields, name) || isOneOf(gatewayFields, name))
            continue;
        if (!isOneOf(requestFields, name) && http1::hasToken(head.headers, "Connection", name))
            continue;
        if (!fields.lastEventId.empty() && http1::isSameName(name, lastEventName))
            continue;
        headers.emplace_back(name, value);
    }
    headers.emplace_back(deadlineName, std::to_string(std::max<int64_t>(1, fields.timeLeft.count())));
    headers.emplace_back(targetIdName, fields.targetId);
    if (!fields.account.empty())
        headers.emplace_back(accountName, fields.account);
    if (!fields.inputs.empty())
        headers.emplace_back(inputsName, join(fields.inputs));
    if (!fields.lastEventId.empty())
        headers.emplace_back(lastEventName, fields.lastEventId);
    return headers;
}

target_response decodeResponse(const http1::response_head& head, std::string_view requestId)
{
    target_response response;
    response.status = head.status;
    const auto respondedId = http1::findHeader(head.headers, requestIdName);
    response.isForRequest = respondedId == requestId;
    response.isSealed = http1::findHeader(head.headers, sealName).has_value();
    // A refusal of an earlier request that arrives once more says nothing about this one. Some refusals name no request.
    const bool isForOtherRequest = respondedId && !response.isForRequest;
    response.isWrongTarget = head.status == http1::statusMisdirected && !isForOtherRequest;
    response.isNotExecuted = isNotExecuted(head) && !isForOtherRequest;
    response.isInputMissing = response.isNotExecuted && head.status == http1::statusConflict;
    response.isEncoded = http1::findHeader(head.headers, "Content-Encoding").has_value();
    return response;
}

http1::header_list encodeCallerHeaders(const http1::response_head& head)
{
    http1::header_list headers;
    for (const auto& [name, value] : head.headers) {
        if (!isOneOf(hopByHopFields, name) && !http1::hasToken(head.headers, "Connection", name))
            headers.emplace_back(name, value);
    }
    return headers;
}

std::pair<std::string, std::string> retryAfterHeader(milliseconds delay)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", asSeconds(delay));
    return { std::string(retryAfterName), text };
}

stated_limit decodeLimit(const http1::response_head& head)
{
    const auto value = http1::findHeader(head.headers, limitName);
    if (!value)
        return {};
    const bool isUnique = http1::countHeaders(head.headers, limitName) == 1;
    return { *value, isUnique ? parseDecimal(*value) : std::nullopt };
}

stated_cold decodeCold(const http1::response_head& head)
{
    const auto value = http1::findHeader(head.headers, coldName);
    if (!value || head.status == http1::statusMisdirected)
        return {};
    stated_cold cold { std::string(value->substr(0, maxLoggedBytes)), std::nullopt };
    const auto number = http1::countHeaders(head.headers, coldName) == 1 ? parseDecimal(*value) : std::nullopt;
    if (!number)
        return cold;
    const auto longestMs = static_cast<double>(longestColdTime.count());
    cold.isTooLong = *number > longestMs;
    cold.left = milliseconds(static_cast<int64_t>(std::ceil(std::min(*number, longestMs))));
    return cold;
}

replica_load decodeLoad(const http1::response_head& head)
{
    const auto value = http1::findHeader(head.headers, loadName);
    if (!value || head.status == http1::statusMisdirected)
        return {};
    replica_load load;
    load.text = value->substr(0, maxLoggedBytes);
    uint32_t* const figures[] { &load.running, &load.waiting, &load.slots, &load.workPercent };
    size_t count = 0;
    std::string_view rest = *value;
    for (bool isLast = false; !isLast; ++count) {
        const size_t comma = rest.find(',');
        isLast = comma == std::string_view::npos;
        std::string_view part = rest.substr(0, comma);
        rest = isLast ? std::string_view() : rest.substr(comma + 1);
        while (part.starts_with(' '))
            part.remove_prefix(1);
        while (part.ends_with(' '))
            part.remove_suffix(1);
        uint32_t number = 0;
        const auto [end, error] = std::from_chars(part.data(), part.data() + part.size(), number);
        if (count >= std::size(figures) || part.empty() || error != std::errc() || end != part.data() + part.size() || number > maxReplicaFigure)
            return load;
        *figures[count] = number;
    }
    load.isValid = count >= 3 && load.slots > 0 && load.workPercent > 0 && http1::countHeaders(head.headers, loadName) == 1;
    return load;
}

bool isLeaving(const http1::response_head& head)
{
    // A misdirected request was answered by another target at this address.
    return head.status != http1::statusMisdirected && http1::findHeader(head.headers, leavingName) == "1";
}

stated_pause decodePause(const http1::response_head& head)
{
    const size_t fieldCount = http1::countHeaders(head.headers, retryAfterName);
    if (fieldCount == 0)
        return {};
    stated_pause pause { textOfFields(head, retryAfterName), std::nullopt, {} };
    const auto longest = longestOf(head, retryAfterName);
    if (head.status != http1::statusUnavailable)
        pause.problem = "no_refusal";
    else if (!longest)
        pause.problem = "no_number";
    else {
        const bool isTooLong = *longest > asSeconds(longestPause);
        pause.length = isTooLong ? longestPause : milliseconds(static_cast<int64_t>(std::ceil(*longest * 1000)));
        pause.problem = isTooLong ? "too_long" : fieldCount > 1 ? "several"
                                                                : "";
    }
    return pause;
}

bool isNotExecuted(const http1::response_head& head)
{
    return head.status == http1::statusMisdirected || http1::findHeader(head.headers, notExecutedName).has_value();
}

http1::header_list encodeInternalCallHeaders(const deployment::target& target)
{
    return { { "Host", target.endpoint.toString() }, { "Content-Type", "application/json" }, { std::string(targetIdName), target.id } };
}
}
