#include "platform/batch_call.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace bilberryseam::platform {

using nlohmann::json;

namespace {
    constexpr double bytesPerMegabyte = 1e6;
    /// A target that reports more calls is at fault.
    constexpr double maxReportedCalls = 10000;

    json encodeTask(const task_request& task)
    {
        // "id" is the identifier of the request, not of the task.
        json item { { "id", task.requestId }, { "stage", task.stage }, { "piece", task.taskIndex } };
        if (task.timeLeft.count() > 0)
            item["left_ms"] = task.timeLeft.count();
        if (task.inputs.empty())
            item["key"] = task.key;
        else
            item["inputs"] = std::vector<std::string>(task.inputs.begin(), task.inputs.end());
        return item;
    }

    task_failure parseFailure(const std::string& reason)
    {
        if (reason == "late")
            return task_failure::Expired;
        // "gone" refers to an input of the task, not to the target.
        if (reason == "gone")
            return task_failure::InputMissing;
        // "room" is a lack of memory for the result.
        if (reason == "room")
            return task_failure::NoMemory;
        return task_failure::Failed;
    }

    error invalidResponse(std::string_view what)
    {
        return { error_kind::InvalidMessage, what, "Check the target's version.", "pieces" };
    }
}

std::string_view nameOf(task_failure failure) noexcept
{
    switch (failure) {
    case task_failure::None:
        return "none";
    case task_failure::Expired:
        return "late";
    case task_failure::InputMissing:
        return "input_gone";
    case task_failure::Unplaceable:
        return "unplaceable";
    case task_failure::NoMemory:
        return "no_memory";
    case task_failure::Failed:
        return "failed";
    case task_failure::Overloaded:
        return "overloaded";
    }
    return "failed";
}

std::string encodeBatchCall(std::span<const task_request> tasks)
{
    json items = json::array();
    for (const auto& task : tasks)
        items.push_back(encodeTask(task));
    return json { { "items", std::move(items) } }.dump();
}

result<std::vector<task_result>> decodeTaskResults(std::string_view text, size_t count)
{
    try {
        const json document = json::parse(text);
        const json& items = document.at("items");
        if (!items.is_array() || items.size() != count)
            return invalidResponse("The response does not contain one item for each task.");
        std::vector<task_result> results;
        for (const json& item : items) {
            if (item.contains("handle"))
                results.push_back({ item.at("handle"), task_failure::None });
            else
                results.push_back({ "", parseFailure(item.at("reason")) });
        }
        return results;
    } catch (const json::exception& problem) {
        return invalidResponse(problem.what());
    }
}

std::optional<ip_endpoint> holderOf(std::string_view handle)
{
    const auto endpoint = ip_endpoint::parse(handle.substr(0, handle.find('/')));
    return endpoint && endpoint.value().port != 0 ? std::optional(endpoint.value()) : std::nullopt;
}

std::string encodeReleaseCall(std::span<const std::string> handles)
{
    return json { { "handles", std::vector<std::string>(handles.begin(), handles.end()) } }.dump();
}

result<pool_report> decodePoolReport(std::string_view text)
{
    const json document = json::parse(text, nullptr, false);
    if (!document.is_object())
        return invalidResponse("The report of a target is not a JSON object.");
    const auto figure = [&document](const char* name) -> std::optional<double> {
        const auto position = document.find(name);
        if (position == document.end())
            return std::nullopt;
        // "busy" is a flag at targets that run one call at a time.
        if (position->is_boolean())
            return position->get<bool>() ? 1 : 0;
        if (!position->is_number() || !(position->get<double>() >= 0))
            return std::nullopt;
        return position->get<double>();
    };
    const auto running = figure("busy");
    const auto waiting = figure("waiting");
    const auto freeMegabytes = figure("free_mb");
    if (!running || !waiting || !freeMegabytes)
        return invalidResponse("The report of a target lacks a figure, or it is negative or not a number.");
    const auto toCount = [](double value) { return static_cast<uint32_t>(std::min(value, maxReportedCalls)); };
    // Whole megabytes are rounded down: up to one more is free, which is all the memory of some pools.
    const bool isRounded = *freeMegabytes == std::floor(*freeMegabytes);
    return pool_report { toCount(*running), toCount(*waiting), (*freeMegabytes + (isRounded ? 1 : 0)) * bytesPerMegabyte };
}
}
