#include "base/json_schema.hpp"

#include <algorithm>
#include <memory>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace bilberryseam {

namespace {
    using adapter = valijson::adapters::NlohmannJsonAdapter;

    /// Converts valijson's context (`<root>`, `[key]`, ...) into a JSON pointer.
    std::string pointerOf(const std::vector<std::string>& context)
    {
        std::string pointer;
        for (std::string segment : context) {
            if (segment == "<root>")
                continue;
            std::erase_if(segment, [](char c) { return c == '[' || c == ']'; });
            pointer += "/" + segment;
        }
        return pointer.empty() ? "/" : pointer;
    }

    std::string_view remedyFor(std::string_view description)
    {
        const auto mentions = [&](std::string_view word) { return description.find(word) != std::string_view::npos; };
        if (mentions("additionalProperties"))
            return "Remove the key or correct its spelling.";
        if (mentions("Missing required"))
            return "Add the missing key.";
        if (mentions("type"))
            return "Give a value of the documented type.";
        if (mentions("maximum") || mentions("minimum") || mentions("Maximum") || mentions("Minimum"))
            return "Choose a value inside the documented range.";
        return "Give a value that the documentation of this key allows.";
    }
}

json_schema::json_schema(std::string_view text)
    : m_document(nlohmann::json::parse(text))
{
    const auto schema = std::make_shared<valijson::Schema>();
    valijson::SchemaParser parser;
    parser.populateSchema(adapter(m_document), *schema);
    m_schema = schema;
}

result<void> json_schema::validate(const nlohmann::json& document, std::string_view name, error_kind kind) const
{
    valijson::Validator validator;
    valijson::ValidationResults violations;
    const adapter adaptedDocument(document);
    if (validator.validate(*static_cast<const valijson::Schema*>(m_schema.get()), adaptedDocument, &violations))
        return boost::outcome_v2::success();
    // The violation with the deepest path is the most specific one.
    valijson::ValidationResults::Error violation;
    valijson::ValidationResults::Error deepest;
    while (violations.popError(violation)) {
        if (violation.context.size() > deepest.context.size())
            deepest = violation;
    }
    return error(kind, deepest.description, remedyFor(deepest.description), std::string(name) + ": " + pointerOf(deepest.context));
}

result<nlohmann::json> parseJson(std::string_view text, std::string_view name, error_kind kind)
{
    try {
        return nlohmann::json::parse(text);
    } catch (const nlohmann::json::parse_error& exception) {
        const std::string_view before = text.substr(0, std::min(exception.byte, text.size()));
        const auto line = std::count(before.begin(), before.end(), '\n') + 1;
        const size_t lineStart = before.rfind('\n');
        const size_t column = lineStart == std::string_view::npos ? before.size() : before.size() - lineStart - 1;
        return error(kind, "This is not valid JSON.", "Correct the syntax at this place.",
            std::string(name) + ":" + std::to_string(line) + ":" + std::to_string(column));
    } catch (const nlohmann::json::exception&) {
        // nlohmann::json reports an out-of-range number such as 1e400 without its position.
        return error(kind, "A number is too large.", "Use a number that fits 64 bits.", name);
    }
}
}
