#include "platform/batch_call.hpp"

#include <nlohmann/json.hpp>

namespace bilberryseam::platform {

using nlohmann::json;

namespace {
    json encodePiece(const task_request& call)
    {
        json item { { "id", call.requestId }, { "stage", call.stage }, { "piece", call.taskIndex } };
        if (call.timeLeft.count() > 0)
            item["left_ms"] = call.timeLeft.count();
        if (call.inputs.empty())
            item["key"] = call.key;
        else
            item["inputs"] = std::vector<std::string>(call.inputs.begin(), call.inputs.end());
        return item;
    }

    task_failure failureOf(const std::string& reason)
    {
        if (reason == "late")
            return task_failure::Expired;
        if (reason == "gone")
            return task_failure::InputMissing;
        if (reason == "room")
            return task_failure::NoMemory;
        return task_failure::Failed;
    }

    error unreadable(std::string_view what)
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
    case task_failure::NoMemory:
        return "no_memory";
    case task_failure::Failed:
        return "failed";
    }
    return "failed";
}

std::string encodeBatchCall(std::span<const task_request> pieces)
{
    json items = json::array();
    for (const auto& call : pieces)
        items.push_back(encodePiece(call));
    return json { { "items", std::move(items) } }.dump();
}

result<std::vector<task_result>> decodeTaskResults(std::string_view text, size_t count)
{
    try {
        const json document = json::parse(text);
        const json& items = document.at("items");
        if (!items.is_array() || items.size() != count)
            return unreadable("The answer does not hold one item for each piece.");
        std::vector<task_result> answers;
        for (const json& item : items) {
            if (item.contains("handle"))
                answers.push_back({ item.at("handle"), task_failure::None });
            else
                answers.push_back({ "", failureOf(item.at("reason")) });
        }
        return answers;
    } catch (const json::exception& problem) {
        return unreadable(problem.what());
    }
}

std::optional<ip_endpoint> holderOf(std::string_view handle)
{
    const auto endpoint = ip_endpoint::parse(handle.substr(0, handle.find('/')));
    return endpoint ? std::optional(endpoint.value()) : std::nullopt;
}

std::string encodeReleaseCall(std::span<const std::string> handles)
{
    return json { { "handles", std::vector<std::string>(handles.begin(), handles.end()) } }.dump();
}
}
