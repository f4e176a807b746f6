/// Checks JSON documents against a JSON schema and reports the place and the remedy.
#pragma once

#include "base/result.hpp"

#include <nlohmann/json.hpp>
#include <string_view>

namespace bilberryseam {

/// A JSON schema, compiled once.
class json_schema {
public:
    /// @param text  A JSON schema that belongs to the program; a mistake in it is a programming error.
    explicit json_schema(std::string_view text);

    /// @param document  What to check.
    /// @param name      Name of the document (a file name), for the error's place.
    /// @param kind      Kind of the error to report.
    /// @return The first violation with its JSON pointer and remedy, or success.
    [[nodiscard]] result<void> validate(const nlohmann::json& document, std::string_view name, error_kind kind) const;

private:
    nlohmann::json m_document;
    std::shared_ptr<const void> m_schema;
};

/// @param text  JSON text.
/// @param name  Name of the document (a file name), for the error's place.
/// @param kind  Kind of the error to report.
/// @return The document, or an error that names the line and column.
[[nodiscard]] result<nlohmann::json> parseJson(std::string_view text, std::string_view name, error_kind kind);
}
