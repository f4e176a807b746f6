#include "entry/stage_body.hpp"

#include "base/json_text.hpp"

namespace bilberryseam::entry {

using nlohmann::json;

namespace {
    /// @return A string without quotes, any other value as JSON.
    std::string textOf(const json& value)
    {
        return value.is_string() ? value.get<std::string>() : dumpText(value);
    }

    std::string promptOf(const json& input, const json& previous)
    {
        std::string prompt = previous.is_object() && previous.contains("context") ? textOf(previous["context"]) : "";
        if (!prompt.empty())
            prompt += "\n\n";
        const bool hasPrompt = input.is_object() && input.contains("prompt");
        return prompt + textOf(hasPrompt ? input["prompt"] : input);
    }

    /// A caller may lower the stage's token limit but not raise it.
    uint64_t maxTokensOf(const configuration::stage& stage, const json& input)
    {
        const bool hasCallerLimit = input.is_object() && input.contains("max_tokens") && input["max_tokens"].is_number_unsigned();
        return hasCallerLimit ? std::min<uint64_t>(stage.maxTokens, input["max_tokens"].get<uint64_t>()) : stage.maxTokens;
    }
}

bool isEngine(const planned_stage& stage) noexcept
{
    return stage.service->kind == configuration::service_kind::Engine;
}

std::string writeStageBody(const planned_stage& stage, const json& input, const json& previous, std::string_view resumeText)
{
    if (!isEngine(stage))
        return dumpText(json { { "stage", stage.stage.name }, { "input", input }, { "previous", previous } });
    json body { { "model", stage.stage.model }, { "prompt", promptOf(input, previous) }, { "max_tokens", maxTokensOf(stage.stage, input) }, { "stream", true } };
    if (!resumeText.empty())
        body["resume_text"] = resumeText;
    return dumpText(body);
}

json readStageOutput(const planned_stage& stage, std::string_view text, std::string_view body)
{
    json parsedBody = json::parse(body, nullptr, false);
    if (!isEngine(stage))
        return parsedBody.is_discarded() ? json(body) : parsedBody;
    json output { { "text", text } };
    if (parsedBody.is_object())
        output["usage"] = std::move(parsedBody);
    return output;
}
}
