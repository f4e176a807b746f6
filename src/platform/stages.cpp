#include "platform/stages.hpp"

#include <nlohmann/json.hpp>

namespace bilberryseam::platform {

using nlohmann::json;

namespace {
    json encodePiece(const piece_call& call)
    {
        json item { { "id", call.requestId }, { "stage", call.stage }, { "piece", call.piece } };
        if (call.left.count() > 0)
            item["left_ms"] = call.left.count();
        if (call.inputs.empty())
            item["key"] = call.key;
        else
            item["inputs"] = std::vector<std::string>(call.inputs.begin(), call.inputs.end());
        return item;
    }

    piece_failure failureOf(const std::string& reason)
    {
        if (reason == "late")
            return piece_failure::Late;
        if (reason == "gone")
            return piece_failure::InputGone;
        if (reason == "room")
            return piece_failure::NoMemory;
        return piece_failure::Failed;
    }

    error unreadable(std::string_view what)
    {
        return { error_kind::InvalidMessage, what, "Check the target's version.", "pieces" };
    }
}

std::string_view nameOf(piece_failure failure) noexcept
{
    switch (failure) {
    case piece_failure::None:
        return "none";
    case piece_failure::Late:
        return "late";
    case piece_failure::InputGone:
        return "input_gone";
    case piece_failure::NoMemory:
        return "no_memory";
    case piece_failure::Failed:
        return "failed";
    }
    return "failed";
}

std::string encodePieces(std::span<const piece_call> pieces)
{
    json items = json::array();
    for (const auto& call : pieces)
        items.push_back(encodePiece(call));
    return json { { "items", std::move(items) } }.dump();
}

result<std::vector<piece_answer>> decodePieces(std::string_view text, size_t count)
{
    try {
        const json document = json::parse(text);
        const json& items = document.at("items");
        if (!items.is_array() || items.size() != count)
            return unreadable("The answer does not hold one item for each piece.");
        std::vector<piece_answer> answers;
        for (const json& item : items) {
            if (item.contains("handle"))
                answers.push_back({ item.at("handle"), piece_failure::None });
            else
                answers.push_back({ "", failureOf(item.at("reason")) });
        }
        return answers;
    } catch (const json::exception& problem) {
        return unreadable(problem.what());
    }
}

std::optional<ip_endpoint> makerOf(std::string_view handle)
{
    const auto endpoint = ip_endpoint::parse(handle.substr(0, handle.find('/')));
    return endpoint ? std::optional(endpoint.value()) : std::nullopt;
}

std::string encodeFreed(std::span<const std::string> handles)
{
    return json { { "handles", std::vector<std::string>(handles.begin(), handles.end()) } }.dump();
}
}
